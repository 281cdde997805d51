"""Removes batches from the store once their retention time has passed."""

import functools

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.storage import decoding
from kingcupscale.storage import store as stores

# Maximum number of keys in one transaction. Every supported store accepts
# transactions of this size.
MAX_REMOVALS = 32


class Retention:
    """Removes old batches that get no more results from the store.

    Args:
        batch_cache: The batches.
        clock: Clock for the age of batches.
    """

    def __init__(
        self, batch_cache: caches.BatchCache, clock: clocks.Clock
    ) -> None:
        self.batch_cache = batch_cache
        self.fetcher = batch_cache.fetcher
        self.store = batch_cache.store
        self.clock = clock

    async def remove_older_than(self, seconds: float) -> None:
        """Removes finished or ended batches that are older than ``seconds``.

        A batch whose submission time is not known is read first, and removed by
        a later call.

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
            summary = self.batch_cache.summaries.get(batch_id)
            if summary is None:
                await self._load_summary(batch_id)
                continue
            is_old = now_ms - summary.submitted_ms > seconds * 1000
            if is_old and await self._is_closed(batch_id):
                await self._remove(batch_id)

    async def _is_closed(self, batch_id: str) -> bool:
        """Returns whether a batch certainly gets no more results.

        Returns False if the batch cannot be read.
        """
        if self.batch_cache.has_end(batch_id):
            return True
        try:
            record = await self.batch_cache.load(batch_id, is_read=True)
        except errors.ServiceError as e:
            caches.log_load_failure(batch_id, e)
            return False
        return record is not None and not record.is_open()

    async def _load_summary(self, batch_id: str) -> None:
        """Reads the submission time and the model of a batch from the store.

        The mirror may hold the key of a batch without its value.
        """
        key = records.batch_key(batch_id, records.SPECIFICATION, "0")
        entry = await self.store.store.get(key)
        if entry is None or entry.value is None:
            return
        decode = functools.partial(records.decode, records.Specification)
        specification = decoding.decode_entry(entry, decode)
        if specification is None:
            return
        self.batch_cache.summaries[batch_id] = caches.BatchSummary(
            specification.submitted_ms, specification.batch.model
        )

    async def _remove(self, batch_id: str) -> None:
        prefix = f"{records.RESULTS_PREFIX}{batch_id}/"
        keys = [entry.key for entry in await self.fetcher.entries(prefix)]
        batch_entries = self.batch_cache.mirror.entries_under(
            records.batch_key(batch_id, "")
        )
        # The specification is removed last. If the removal is interrupted, the
        # next call finds the batch again.
        keys += sorted(
            (entry.key for entry in batch_entries),
            key=lambda key: records.SPECIFICATION in key,
        )
        for start in range(0, len(keys), MAX_REMOVALS):
            removals = keys[start : start + MAX_REMOVALS]
            await self.store.commit(stores.Transaction(removals=removals))
