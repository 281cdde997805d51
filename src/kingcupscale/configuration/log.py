"""The log of configuration changes in the key-value service."""

import attrs

from kingcupscale import codec
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import document
from kingcupscale.providers import keyvalue

SNAPSHOT_KEY = "configuration/snapshot"
CHANGES_PREFIX = "configuration/changes/"
SNAPSHOT_INTERVAL = 50


@attrs.frozen
class ReadResult:
    """The result of reading the log.

    Attributes:
        batch: The changes that the reader lacks.
        revision: The newest revision in the store.
        version: The store's version when the log was read.
    """

    batch: changes.Batch
    revision: int
    version: int


def change_key(revision: int) -> str:
    """Returns the key of a change; keys sort by revision."""
    return f"{CHANGES_PREFIX}{revision:010d}"


class ChangeLog:
    """Reads and appends changes.

    A change is accepted when its key is created. If two writers append the
    same revision, the store accepts only one of them.

    Args:
        store: The key-value service.
    """

    def __init__(self, store: keyvalue.KeyValueStore) -> None:
        self.store = store

    async def read(self, since: int) -> ReadResult:
        """Returns the changes after a revision.

        Raises:
            PlatformError: If the store cannot be reached.
        """
        response = await self.store.scan(CHANGES_PREFIX, change_key(since))
        return await self._make_result(response, since)

    async def watch(
        self, since: int, after: int, timeout_s: float
    ) -> ReadResult:
        """Like ``read``, but waits for a change up to a timeout.

        Args:
            since: The revision that the reader has.
            after: The store's version at the last read.
            timeout_s: Longest time to wait, in seconds.

        Raises:
            PlatformError: If the store cannot be reached.
        """
        response = await self.store.watch(CHANGES_PREFIX, after, timeout_s)
        return await self._make_result(response, since)

    async def _make_result(
        self, response: keyvalue.GetResponse, since: int
    ) -> ReadResult:
        found = [
            codec.decode(changes.Change, e.value) for e in response.entries
        ]
        found = [change for change in found if change.revision > since]
        snapshot = None
        if not found or found[0].revision != since + 1:
            snapshot = await self._read_snapshot(since)
        last = found[-1].revision if found else since
        revision = max(last, snapshot.revision if snapshot else 0)
        batch = changes.Batch(snapshot, found)
        return ReadResult(batch, revision, response.version)

    async def _read_snapshot(self, since: int) -> changes.Snapshot | None:
        entry = await self.store.get(SNAPSHOT_KEY)
        if entry is None:
            return None
        snapshot = codec.decode(changes.Snapshot, entry.value)
        return snapshot if snapshot.revision > since else None

    async def append(self, change: changes.Change) -> bool:
        """Tries to write a change as the next revision.

        Returns:
            Whether it was written; False if the revision already exists.

        Raises:
            PlatformError: If the outcome of the write is unknown.
        """
        text = codec.encode(change).decode()
        key = change_key(change.revision)
        response = await keyvalue.put_resolved(
            self.store, key, text, keyvalue.ABSENT
        )
        return response.written

    async def compact(self, revision: int, entries: document.Entries) -> None:
        """Writes a snapshot at intervals and deletes old changes.

        Changes of the last ``SNAPSHOT_INTERVAL`` revisions stay, so that a
        node that is only slightly behind needs no snapshot.
        """
        if revision % SNAPSHOT_INTERVAL:
            return
        entry = await self.store.get(SNAPSHOT_KEY)
        version = entry.version if entry else keyvalue.ABSENT
        snapshot = changes.Snapshot(revision, entries)
        text = codec.encode(snapshot).decode()
        response = await self.store.put(SNAPSHOT_KEY, text, version)
        if response.written:
            await self._delete_changes(revision - SNAPSHOT_INTERVAL)

    async def _delete_changes(self, last: int) -> None:
        response = await self.store.scan(CHANGES_PREFIX)
        for entry in response.entries:
            if entry.key <= change_key(last):
                await self.store.put(entry.key, None, entry.version)
