"""Removes ended batches from the store once their retention time has passed.

A batch that its sender has not ended is open, even if it is complete, and stays
readable however old it is.
"""

import functools

from kingcupscale import clock as clocks
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.storage import decoding
from kingcupscale.storage import store as stores

# An old batch is kept this much longer after its end, because clients may
# repeat the request that ended it.
END_MARGIN_S = 30.0


class Retention:
    """Removes old batches that have ended from the store.

    Args:
        batch_cache: The batches.
        clock: Clock for the age of batches.

    Attributes:
        ended_at: Monotonic time at which this node first found the end of an
            old batch, by batch id.
    """

    def __init__(
        self, batch_cache: caches.BatchCache, clock: clocks.Clock
    ) -> None:
        self.batch_cache = batch_cache
        self.fetcher = batch_cache.fetcher
        self.store = batch_cache.store
        self.clock = clock
        self.ended_at: dict[str, float] = {}

    async def remove_older_than(self, seconds: float) -> None:
        """Removes ended batches that were submitted ``seconds`` ago or earlier.

        A batch whose submission time is not known is read first, and removed by
        a later call.

        Raises:
            StoreError: If the store cannot be reached.
        """
        now_ms = self.clock.now().timestamp() * 1000
        batch_ids = self.batch_cache.batch_ids()
        for batch_id in self.ended_at.keys() - set(batch_ids):
            del self.ended_at[batch_id]
        for batch_id in batch_ids:
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
            if is_old and self._ended_long_ago(batch_id):
                await self._remove(batch_id)

    def _ended_long_ago(self, batch_id: str) -> bool:
        """Returns whether a batch ended at least ``END_MARGIN_S`` ago."""
        if not self.batch_cache.has_end(batch_id):
            return False
        now = self.clock.monotonic()
        return now - self.ended_at.setdefault(batch_id, now) >= END_MARGIN_S

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
        # The end and the first value of the specification are removed last, in
        # one transaction. If the removal is interrupted, the next call finds
        # the batch and its end again.
        last = [
            records.batch_key(batch_id, records.END),
            records.batch_key(batch_id, records.SPECIFICATION, "0"),
        ]
        keys += [e.key for e in batch_entries if e.key not in last]
        step = stores.MAX_TRANSACTION_ENTRIES - len(last)
        for start in range(0, max(1, len(keys)), step):
            removals = keys[start : start + step]
            if start + step >= len(keys):
                removals = [*removals, *last]
            await self.store.commit(stores.Transaction(removals=removals))
