"""Where a whole batch is had from: a node that knows it, or the store."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import record as records
from kingcupscale.storage import fallback
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

# Time for a node that is followed to tell that nothing is missing.
REFRESH_S = 2.5
RETRY_AFTER_S = 0.5

# Returns another node's copy of a batch, if one has it.
FetchSnapshot = Callable[[str], Awaitable[records.RecordSnapshot | None]]


class BatchFetcher:
    """Gets batches, and brings them up to date.

    Args:
        mirror: The mirror of the store.
        store: Where batches are written.
        clock: Tells the time.
        fetch_copy: Asks other nodes for a batch.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        store: fallback.FallbackStore,
        clock: clocks.Clock,
        fetch_snapshot: FetchSnapshot,
    ) -> None:
        self.mirror = mirror
        self.store = store
        self.clock = clock
        self.fetch_snapshot = fetch_snapshot

    async def fetch(
        self, batch_id: str, asks_nodes: bool
    ) -> records.Record | None:
        """Returns a batch; None if it does not exist.

        Args:
            batch_id: The batch.
            asks_nodes: Whether another node's copy will do.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE``.
        """
        if asks_nodes:
            copy = await self._fetch_current_copy(batch_id)
            if copy is not None:
                return copy
        try:
            return await self._scan(batch_id)
        except stores.StoreError as e:
            reason = e.reason
        if asks_nodes and await self._is_refreshed_by_followed_node():
            key = records.batch_key(batch_id, records.SPECIFICATION, "0")
            if key not in self.mirror.entries:
                return None
            copy = await self._fetch_current_copy(batch_id)
            if copy is not None:
                return copy
        raise errors.ServiceError(
            errors.ResultCode.STORE_UNAVAILABLE,
            reason,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _fetch_current_copy(self, batch_id: str) -> records.Record | None:
        """Returns another node's state, if it is as new as the mirror."""
        key = records.batch_key(batch_id, records.SPECIFICATION, "0")
        if key not in self.mirror.entries:
            return None
        revision = self.mirror.revision
        copy = await self.fetch_snapshot(batch_id)
        if copy is None or copy.revision < revision:
            return None
        return records.from_snapshot(copy)

    async def _scan(self, batch_id: str) -> records.Record | None:
        """Reads a batch from the store; None if there is none."""
        parts: dict[str, bytes] = {}
        is_ended = False
        for entry in await self._head_entries(batch_id):
            kind, _, number = entry.key.rpartition("/")
            if kind.endswith("/" + records.SPECIFICATION):
                parts[number] = entry.value or b""
            is_ended = is_ended or number == records.END
            self.mirror.apply(entry)
        record = records.assemble(parts)
        if record is None:
            return None
        await self._read_results(record)
        if is_ended:
            record.mark_ended()
        return record

    async def _head_entries(self, batch_id: str) -> list[stores.Entry]:
        """Returns a batch's end and specification, both of one state."""
        prefix = records.batch_key(batch_id, "")
        found = await self.entries(prefix)
        has_end = any(e.key == prefix + records.END for e in found)
        if has_end or all(e.created == e.revision for e in found):
            return found
        # The end came between two pages; its key is on the first one, and
        # nothing is written behind it.
        return await self.entries(prefix)

    async def entries(self, prefix: str, after: str = "") -> list[stores.Entry]:
        """Returns all entries under a prefix, past a key, from the store.

        Raises:
            StoreError: If the store cannot be reached.
        """
        found: list[stores.Entry] = []
        has_more = True
        while has_more:
            page = await self.store.scan(prefix, after)
            found += page.entries
            has_more = page.has_more
            after = page.entries[-1].key if page.entries else after
        return found

    async def refresh(self, record: records.Record) -> None:
        """Brings a batch up to date with the store itself.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE``.
        """
        # What changes from here on is heard of, unless a miss is noted.
        missed_updates = record.missed_updates
        try:
            await self._read_results(record)
            if record.missed_updates == missed_updates:
                record.is_current = True
            return
        except stores.StoreError as e:
            reason = e.reason
        if not await self._is_refreshed_by_followed_node():
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE,
                reason,
                retry_after_s=RETRY_AFTER_S,
            )
        if not record.is_current:
            await self._take_copy(record)

    async def _read_results(self, record: records.Record) -> None:
        """Reads the results that a record lacks from the store."""
        prefix = f"{records.RESULTS_PREFIX}{record.batch.id}/"
        after = ""
        if record.results:
            last = len(record.results) - 1
            after = records.result_key(record.batch.id, last)
        for entry in await self.entries(prefix, after):
            first = int(entry.key.removeprefix(prefix))
            record.add_encoded_chunk(first, entry.value or b"")

    async def _take_copy(self, record: records.Record) -> None:
        """Adds what another node has listed.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if none can tell.
        """
        missed_updates = record.missed_updates
        copy = await self._fetch_current_copy(record.batch.id)
        if copy is None:
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
            )
        known = len(record.results)
        record.add_chunk(known, copy.results[known:])
        if record.missed_updates == missed_updates:
            record.is_current = True

    async def _is_refreshed_by_followed_node(self) -> bool:
        """Waits a little for the mirror to become current by another node."""
        asked_at = self.clock.monotonic()
        with trio.move_on_after(REFRESH_S):
            while self.mirror.current_at < asked_at:
                await self.mirror.changed.wait()
            return True
        return False
