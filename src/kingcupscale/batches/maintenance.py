"""Maintenance of the batch cache: loading, refreshing and evicting batches.

``BatchCache`` holds the records; this module decides at regular intervals which
of them are loaded, refreshed and evicted.
"""

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records

# A batch is kept up to date for this long after a client read it. Clients read
# about twice a second.
READ_TTL_S = 10.0
# Maximum estimated size of the cached batches that get no more results.
MAX_CLOSED_BYTES = 8_000_000
MAINTENANCE_INTERVAL_S = 0.1
EVICTION_INTERVAL_S = 1.0


class CacheMaintainer:
    """Loads the batches that the node is interested in and evicts the rest.

    Args:
        batch_cache: The cache.
        clock: Clock for the intervals.
    """

    def __init__(
        self, batch_cache: caches.BatchCache, clock: clocks.Clock
    ) -> None:
        self.batch_cache = batch_cache
        self.clock = clock
        self.evicted_at = 0.0

    async def run(self) -> None:
        """Maintains the cache until cancelled."""
        while True:
            await self._load_and_refresh()
            now = self.clock.monotonic()
            if now - self.evicted_at >= EVICTION_INTERVAL_S:
                self.evicted_at = now
                self._evict()
            await self.clock.sleep_aligned(MAINTENANCE_INTERVAL_S)

    async def _load_and_refresh(self) -> None:
        """Loads the wanted candidates, then refreshes open batches.

        After a failure, the rest is left to the next call.
        """
        for batch_id in sorted(self.batch_cache.load_candidates):
            summary = self.batch_cache.summaries.get(batch_id)
            is_wanted = summary is None or self.batch_cache.interest.includes(
                batch_id, summary.model
            )
            if not is_wanted or self.batch_cache.has_end(batch_id):
                self.batch_cache.load_candidates.discard(batch_id)
                continue
            try:
                await self.batch_cache.load(batch_id, is_read=False)
            except errors.ServiceError as e:
                self.batch_cache.load_candidates.add(batch_id)
                caches.log_load_failure(batch_id, e)
                return
        await self._refresh_open()

    async def _refresh_open(self) -> None:
        """Refreshes open batches that may lack results, until one fails."""
        for record in list(self.batch_cache.records.values()):
            if record.is_current or not record.is_open():
                continue
            try:
                await self.batch_cache.fetcher.refresh(record)
            except errors.ServiceError as e:
                caches.log_load_failure(record.batch.id, e)
                return

    def _evict(self) -> None:
        """Evicts batches outside the node's interest, and old closed batches.

        Closed batches get no more results. Those read or submitted last stay
        cached up to a total size.
        """
        now = self.clock.monotonic()
        self.batch_cache.last_read_at = {
            batch_id: at
            for batch_id, at in self.batch_cache.last_read_at.items()
            if now - at < READ_TTL_S
        }
        self.batch_cache.update_interest()
        closed_bytes = 0
        newest_first = sorted(
            self.batch_cache.records.values(), key=self._recency, reverse=True
        )
        for record in newest_first:
            batch_id = record.batch.id
            is_wanted = self.batch_cache.interest.includes(
                batch_id, record.batch.model
            )
            if is_wanted and record.is_open():
                continue
            closed_bytes += record.estimated_bytes()
            if not is_wanted or closed_bytes > MAX_CLOSED_BYTES:
                self.batch_cache.evict(batch_id)

    def _recency(self, record: records.Record) -> tuple[float, int]:
        """Returns a sort key: time of the last read, then of submission."""
        read_at = self.batch_cache.last_read_at.get(record.batch.id, 0.0)
        return read_at, record.submitted_ms
