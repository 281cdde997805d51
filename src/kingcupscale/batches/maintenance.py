"""Maintenance of the batch cache: loading, refreshing and evicting batches."""

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records

# A batch stays cached for this long after a client read it. A client reads
# about twice a second.
READ_TTL_S = 10.0
# Maximum estimated size of the cached batches that get no more results.
CLOSED_BYTES = 8_000_000
PAUSE_S = 0.1
SWEEP_S = 1.0


class CacheMaintainer:
    """Loads the batches that the node is interested in and evicts the rest.

    Args:
        cache: The cache.
        clock: Tells the time.
    """

    def __init__(self, cache: caches.BatchCache, clock: clocks.Clock) -> None:
        self.cache = cache
        self.clock = clock
        self.swept_at = 0.0

    async def run(self) -> None:
        """Maintains the cache until cancelled."""
        while True:
            await self._load_wanted()
            now = self.clock.monotonic()
            if now - self.swept_at >= SWEEP_S:
                self.swept_at = now
                self._evict()
            await self.clock.rest(PAUSE_S)

    async def _load_wanted(self) -> None:
        for batch_id in sorted(self.cache.load_candidates):
            known = self.cache.summaries.get(batch_id)
            is_wanted = known is None or self.cache.interest.includes(
                batch_id, known.model
            )
            if not is_wanted or self.cache.has_end(batch_id):
                self.cache.load_candidates.discard(batch_id)
                continue
            try:
                await self.cache.load(batch_id, is_read=False)
            except errors.ServiceError as e:
                self.cache.load_candidates.add(batch_id)
                caches.log_load_failure(batch_id, e)
                return
        await self._refresh_open()

    async def _refresh_open(self) -> None:
        """Refreshes open batches that may lack results."""
        for record in list(self.cache.records.values()):
            if record.is_current or not record.is_open():
                continue
            try:
                await self.cache.fetcher.refresh(record)
            except errors.ServiceError as e:
                caches.log_load_failure(record.batch.id, e)
                return

    def _evict(self) -> None:
        """Evicts batches outside the node's interest, and old closed batches.

        Closed batches get no more results. Those read or submitted last stay
        cached up to a total size.
        """
        now = self.clock.monotonic()
        self.cache.last_read_at = {
            batch_id: at
            for batch_id, at in self.cache.last_read_at.items()
            if now - at < READ_TTL_S
        }
        self.cache.update_interest()
        closed_bytes = 0
        newest_first = sorted(
            self.cache.records.values(), key=self._last_wanted_at, reverse=True
        )
        for record in newest_first:
            batch_id = record.batch.id
            is_wanted = self.cache.interest.includes(
                batch_id, record.batch.model
            )
            if is_wanted and record.is_open():
                continue
            closed_bytes += record.estimated_bytes()
            if not is_wanted or closed_bytes > CLOSED_BYTES:
                del self.cache.records[batch_id]

    def _last_wanted_at(self, record: records.Record) -> tuple[float, int]:
        read_at = self.cache.last_read_at.get(record.batch.id, 0.0)
        return read_at, record.submitted_ms
