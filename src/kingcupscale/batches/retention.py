"""Removing batches that need not be read any more."""

import functools

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.storage import decoding
from kingcupscale.storage import store as stores

# Keys in one transaction, which the store takes at the least.
REMOVALS_MOST = 32


class Retention:
    """Removes old batches from the store.

    Args:
        batch_cache: The batches.
        clock: Tells the time.
    """

    def __init__(
        self, batch_cache: caches.BatchCache, clock: clocks.Clock
    ) -> None:
        self.batch_cache = batch_cache
        self.fetcher = batch_cache.fetcher
        self.store = batch_cache.store
        self.clock = clock

    async def remove_older_than(self, seconds: float) -> None:
        """Removes batches that need not be read any more.

        Raises:
            StoreError: If the store cannot be reached.
        """
        now_ms = self.clock.now().timestamp() * 1000
        for batch_id in self.batch_cache.batch_ids():
            if (
                batch_id in self.batch_cache.load_candidates
                or batch_id in self.batch_cache.pending_loads
            ):
                continue
            known = self.batch_cache.summaries.get(batch_id)
            if known is None:
                await self._learn(batch_id)
                continue
            is_old = now_ms - known.submitted_ms > seconds * 1000
            if is_old and await self._is_closed(batch_id):
                await self._forget(batch_id)

    async def _is_closed(self, batch_id: str) -> bool:
        """Tells whether nothing is added to a batch any more for sure."""
        if self.batch_cache.has_end(batch_id):
            return True
        try:
            record = await self.batch_cache.load(batch_id, is_read=True)
        except errors.ServiceError as e:
            caches.log_load_failure(batch_id, e)
            return False
        return record is not None and not record.is_open()

    async def _learn(self, batch_id: str) -> None:
        """Reads when a batch came, of one that was seen by its name only."""
        key = records.batch_key(batch_id, records.SPECIFICATION, "0")
        entry = await self.store.store.get(key)
        if entry is None or entry.value is None:
            return
        decode = functools.partial(records.decode, records.Specification)
        head = decoding.decode_entry(entry, decode)
        if head is None:
            return
        self.batch_cache.summaries[batch_id] = caches.BatchSummary(
            head.submitted_ms, head.batch.model
        )

    async def _forget(self, batch_id: str) -> None:
        prefix = f"{records.RESULTS_PREFIX}{batch_id}/"
        keys = [entry.key for entry in await self.fetcher.entries(prefix)]
        heads = self.batch_cache.mirror.entries_under(
            records.batch_key(batch_id, "")
        )
        # The specification goes last, so that a half-removed batch is found
        # again by the next round.
        keys += sorted(
            (entry.key for entry in heads),
            key=lambda key: records.SPECIFICATION in key,
        )
        for start in range(0, len(keys), REMOVALS_MOST):
            removals = keys[start : start + REMOVALS_MOST]
            await self.store.commit(stores.Transaction(removals=removals))
