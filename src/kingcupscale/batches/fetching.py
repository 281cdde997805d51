"""Fetches batches from another node or from the store.

``BatchFetcher`` loads whole batches and refreshes records that may lack
results.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import record as records
from kingcupscale.storage import decoding
from kingcupscale.storage import fallback
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

# Time-out for the followed node to confirm that the mirror is current.
MAX_REFRESH_S = 2.5
RETRY_AFTER_S = 0.5

# Returns another node's snapshot of a batch, or None if no node has one.
FetchSnapshot = Callable[[str], Awaitable[records.RecordSnapshot | None]]


class BatchFetcher:
    """Loads batches and refreshes their records.

    Args:
        mirror: The mirror of the store.
        store: The store.
        clock: Clock for time-outs.
        fetch_snapshot: Fetches a snapshot of a batch from another node.
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
        """Returns the record of a batch, or None if it does not exist.

        Args:
            batch_id: Id of the batch.
            asks_nodes: Whether a snapshot from another node may be used.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if the store cannot be reached
                and no other node has provided a current snapshot.
        """
        if asks_nodes:
            record = await self._fetch_current(batch_id)
            if record is not None:
                return record
        try:
            return await self._read_from_store(batch_id)
        except stores.StoreError as e:
            reason = e.reason
        if asks_nodes and await self._wait_for_current_mirror():
            key = records.batch_key(batch_id, records.SPECIFICATION, "0")
            if key not in self.mirror.entries:
                return None
            record = await self._fetch_current(batch_id)
            if record is not None:
                return record
        raise errors.ServiceError(
            errors.ResultCode.STORE_UNAVAILABLE,
            reason,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _fetch_current(self, batch_id: str) -> records.Record | None:
        """Returns another node's record if it is as new as the mirror."""
        key = records.batch_key(batch_id, records.SPECIFICATION, "0")
        if key not in self.mirror.entries:
            return None
        revision = self.mirror.revision
        snapshot = await self.fetch_snapshot(batch_id)
        if snapshot is None or snapshot.revision < revision:
            return None
        return records.from_snapshot(snapshot)

    async def _read_from_store(self, batch_id: str) -> records.Record | None:
        """Reads a batch from the store; returns None if it does not exist."""
        parts: dict[str, bytes] = {}
        is_ended = False
        for entry in await self._read_batch_entries(batch_id):
            kind, _, number = entry.key.rpartition("/")
            if kind.endswith("/" + records.SPECIFICATION):
                parts[number] = entry.value or b""
            is_ended = is_ended or number == records.END
            self.mirror.apply(entry)
        key = records.batch_key(batch_id, records.SPECIFICATION, "0")
        record = decoding.decode_required(
            stores.Entry(key, parts.get("0"), 0),
            lambda _: records.assemble(parts),
        )
        if record is None:
            return None
        record.origin = records.Origin.STORE
        await self._read_results(record)
        if is_ended:
            record.mark_ended()
            record.is_end_confirmed = True
        return record

    async def _read_batch_entries(self, batch_id: str) -> list[stores.Entry]:
        """Returns a batch's end and specification parts at one revision."""
        prefix = records.batch_key(batch_id, "")
        found = await self.entries(prefix)
        has_end = any(e.key == prefix + records.END for e in found)
        if has_end or all(e.created == e.revision for e in found):
            return found
        # The batch was ended between two pages: its end belongs on the first
        # page, which was read before. Nothing is written after the end, so a
        # second scan is consistent.
        return await self.entries(prefix)

    async def entries(self, prefix: str, after: str = "") -> list[stores.Entry]:
        """Returns all entries in the store under a prefix and after a key.

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
        """Reads the results that a record lacks.

        They are read from the store. If it cannot be reached, a current mirror
        is enough for a record that has missed no change; other records, and
        those of ended batches that lack results, need a current snapshot from
        another node.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if none of these is available.
        """
        try:
            await self.refresh_from_store(record)
            return
        except stores.StoreError as e:
            reason = e.reason
        if not await self._wait_for_current_mirror():
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE,
                reason,
                retry_after_s=RETRY_AFTER_S,
            )
        if not record.is_current or record.needs_confirmation():
            await self._apply_snapshot(record)

    async def refresh_from_store(self, record: records.Record) -> None:
        """Reads the results that a record lacks from the store only.

        Raises:
            StoreError: If the store cannot be reached, or a stored chunk cannot
                be decoded.
        """
        # Later changes are received, unless missed_updates is incremented.
        missed_updates = record.missed_updates
        is_ended = record.is_ended
        await self._read_results(record)
        if record.missed_updates == missed_updates:
            record.is_current = True
            record.is_end_confirmed = is_ended

    async def _read_results(self, record: records.Record) -> None:
        """Adds the results that a record lacks, read from the store."""
        prefix = f"{records.RESULTS_PREFIX}{record.batch.id}/"
        after = ""
        if record.results:
            last = len(record.results) - 1
            after = records.result_key(record.batch.id, last)
        for entry in await self.entries(prefix, after):
            decoding.decode_required(
                entry,
                lambda value, key=entry.key: record.add_encoded_chunk(
                    int(key.removeprefix(prefix)), value
                ),
            )

    async def _apply_snapshot(self, record: records.Record) -> None:
        """Adds the results that another node has.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if no node has a current
                snapshot.
        """
        missed_updates = record.missed_updates
        snapshot = await self._fetch_current(record.batch.id)
        if snapshot is None:
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
            )
        known = len(record.results)
        record.add_chunk(known, snapshot.results[known:])
        if record.missed_updates == missed_updates:
            record.is_current = True
            record.is_end_confirmed |= snapshot.is_end_confirmed

    async def _wait_for_current_mirror(self) -> bool:
        """Waits until another node has confirmed that the mirror is current.

        Returns False if none has after ``MAX_REFRESH_S``.
        """
        asked_at = self.clock.monotonic()
        with trio.move_on_after(MAX_REFRESH_S):
            while self.mirror.current_at < asked_at:
                await self.mirror.changed.wait()
            return True
        return False
