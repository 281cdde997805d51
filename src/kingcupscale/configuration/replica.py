"""A node's replica of the configuration; its revision never decreases."""

import collections
from collections.abc import Callable

from kingcupscale import codec
from kingcupscale import events
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import document

RECENT_CHANGES = 256


class Replica:
    """Replica of the configuration that is in force on one node.

    Args:
        node: The node's name, for log lines.

    Attributes:
        revision: Revision of the configuration in force; 0 before the first.
        entries: The configuration in force, by ``table/name``.
        document: The configuration in force, as typed tables.
        recent: The latest changes, the oldest first.
        withdrawn: Ids of keys withdrawn during a store outage; ids are never
            removed.
        leaving: Addresses of backend servers that are about to stop.
        listeners: Called after every change of the configuration, of
            ``withdrawn`` or of ``leaving``.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.revision = 0
        self.entries: document.Entries = {}
        self.document = document.Document()
        self.recent: collections.deque[changes.Change] = collections.deque(
            maxlen=RECENT_CHANGES
        )
        self.withdrawn: set[str] = set()
        self.leaving: set[str] = set()
        self.listeners: list[Callable[[], None]] = []

    def apply_batch(self, batch: changes.Batch) -> bool:
        """Applies the parts of a batch that are newer than the replica.

        Args:
            batch: Changes from the store or a peer; may repeat known ones.

        Returns:
            Whether the revision increased.
        """
        before = self.revision
        if batch.snapshot and batch.snapshot.revision > self.revision:
            self.recent.clear()
            self._set(batch.snapshot.revision, batch.snapshot.entries)
        for change in batch.changes:
            if change.revision == self.revision + 1:
                entries = changes.apply(self.entries, change)
                self.recent.append(change)
                self._set(change.revision, entries)
        if self.revision == before:
            return False
        self._publish()
        return True

    def _set(self, revision: int, entries: document.Entries) -> None:
        self.revision = revision
        self.entries = entries

    def _publish(self) -> None:
        tables = document.unflatten(self.entries)
        self.document = codec.structure(document.Document, tables)
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            node=self.node,
            revision=self.revision,
        )
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()

    def mark_withdrawn(self, key_ids: set[str]) -> bool:
        """Adds ids of withdrawn keys; returns whether any was new."""
        if key_ids <= self.withdrawn:
            return False
        self.withdrawn |= key_ids
        self._notify()
        return True

    def mark_leaving(self, addresses: set[str]) -> bool:
        """Adds addresses of leaving servers; returns whether any was new."""
        if addresses <= self.leaving:
            return False
        self.leaving |= addresses
        self._notify()
        return True

    def batch_since(self, revision: int) -> changes.Batch:
        """Returns what a peer at a revision lacks.

        It is a snapshot if the recent changes do not reach back that far.
        """
        found = [change for change in self.recent if change.revision > revision]
        has_all = bool(found) and found[0].revision == revision + 1
        if has_all or revision >= self.revision:
            return changes.Batch(None, found)
        snapshot = changes.Snapshot(self.revision, self.entries)
        return changes.Batch(snapshot, [])
