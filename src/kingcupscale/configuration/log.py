"""The change log in the key-value service, where revisions are decided."""

import attrs

from kingcupscale import codec
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import document
from kingcupscale.providers import keyvalue

SNAPSHOT_KEY = "configuration/snapshot"
CHANGES_PREFIX = "configuration/changes/"
SNAPSHOT_EVERY = 50


@attrs.frozen
class Reading:
    """What a reading of the log brought.

    Attributes:
        batch: What the reader lacks.
        revision: The newest revision in the store.
        version: The store's version at the reading.
    """

    batch: changes.Batch
    revision: int
    version: int


def change_key(revision: int) -> str:
    """Returns the key of a change, in the order of revisions."""
    return f"{CHANGES_PREFIX}{revision:010d}"


class ChangeLog:
    """Reads and appends changes.

    A change is accepted at the moment its key is created: of two writers of
    the same revision the store lets one through.

    Args:
        store: The key-value service.
    """

    def __init__(self, store: keyvalue.KeyValueStore) -> None:
        self.store = store

    async def read(self, since: int) -> Reading:
        """Returns what came after a revision.

        Raises:
            PlatformError: If the store cannot be reached.
        """
        answer = await self.store.scan(CHANGES_PREFIX, change_key(since))
        return await self._make_reading(answer, since)

    async def watch(self, since: int, after: int, timeout_s: float) -> Reading:
        """Like ``read``, but waits for something new for a while.

        Args:
            since: The revision that the reader has.
            after: The store's version at the last reading.
            timeout_s: Seconds to wait.
        """
        answer = await self.store.watch(CHANGES_PREFIX, after, timeout_s)
        return await self._make_reading(answer, since)

    async def _make_reading(
        self, answer: keyvalue.GetResponse, since: int
    ) -> Reading:
        found = [codec.decode(changes.Change, e.value) for e in answer.entries]
        found = [change for change in found if change.revision > since]
        snapshot = None
        if not found or found[0].revision != since + 1:
            snapshot = await self._read_snapshot(since)
        last = found[-1].revision if found else since
        revision = max(last, snapshot.revision if snapshot else 0)
        batch = changes.Batch(snapshot, found)
        return Reading(batch, revision, answer.version)

    async def _read_snapshot(self, since: int) -> changes.Snapshot | None:
        entry = await self.store.get(SNAPSHOT_KEY)
        if entry is None:
            return None
        snapshot = codec.decode(changes.Snapshot, entry.value)
        return snapshot if snapshot.revision > since else None

    async def append(self, change: changes.Change) -> bool:
        """Tries to accept a change as the next revision.

        Returns:
            Whether it was accepted; False if another took the revision.

        Raises:
            PlatformError: If its fate cannot be learned now.
        """
        text = codec.encode(change).decode()
        key = change_key(change.revision)
        answer = await keyvalue.put_resolved(
            self.store, key, text, keyvalue.ABSENT
        )
        return answer.written

    async def compact(self, revision: int, entries: document.Entries) -> None:
        """Writes a snapshot now and then and drops the changes before it.

        The changes of the last ``SNAPSHOT_EVERY`` revisions stay, so that a
        node that is a little behind needs no snapshot.
        """
        if revision % SNAPSHOT_EVERY:
            return
        entry = await self.store.get(SNAPSHOT_KEY)
        version = entry.version if entry else keyvalue.ABSENT
        snapshot = changes.Snapshot(revision, entries)
        text = codec.encode(snapshot).decode()
        answer = await self.store.put(SNAPSHOT_KEY, text, version)
        if answer.written:
            await self._drop(revision - SNAPSHOT_EVERY)

    async def _drop(self, last: int) -> None:
        answer = await self.store.scan(CHANGES_PREFIX)
        for entry in answer.entries:
            if entry.key <= change_key(last):
                await self.store.put(entry.key, None, entry.version)
