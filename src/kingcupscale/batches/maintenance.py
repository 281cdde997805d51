"""Which batches a node goes on knowing in full."""

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records

# A batch that is read here is kept up to date for this long after a read;
# readers ask about twice a second.
READ_TTL_S = 10.0
# Texts of batches that nothing is added to any more, in bytes.
CLOSED_BYTES = 8_000_000
PAUSE_S = 0.1
SWEEP_S = 1.0


class CacheMaintainer:
    """Loads the batches that are wanted, and lets go of the rest.

    Args:
        batch_cache: The batches.
        clock: Tells the time.
    """

    def __init__(
        self, batch_cache: caches.BatchCache, clock: clocks.Clock
    ) -> None:
        self.batch_cache = batch_cache
        self.clock = clock
        self.swept_at = 0.0

    async def run(self) -> None:
        """Loads what is wanted and lets go of the rest, until cancelled."""
        while True:
            await self._load_wanted()
            now = self.clock.monotonic()
            if now - self.swept_at >= SWEEP_S:
                self.swept_at = now
                self._let_go()
            await self.clock.rest(PAUSE_S)

    async def _load_wanted(self) -> None:
        for batch_id in sorted(self.batch_cache.load_candidates):
            known = self.batch_cache.summaries.get(batch_id)
            is_wanted = known is None or self.batch_cache.interest.includes(
                batch_id, known.model
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
        """Brings up to date what may have been missed of open batches."""
        for record in list(self.batch_cache.records.values()):
            if record.is_current or not record.is_open():
                continue
            try:
                await self.batch_cache.fetcher.refresh(record)
            except errors.ServiceError as e:
                caches.log_load_failure(record.batch.id, e)
                return

    def _let_go(self) -> None:
        """Lets go of batches that nobody here asks for any more."""
        now = self.clock.monotonic()
        self.batch_cache.last_read_at = {
            batch_id: at
            for batch_id, at in self.batch_cache.last_read_at.items()
            if now - at < READ_TTL_S
        }
        self.batch_cache.update_interest()
        closed_bytes = 0
        newest_first = sorted(
            self.batch_cache.records.values(),
            key=self._last_wanted_at,
            reverse=True,
        )
        for record in newest_first:
            batch_id = record.batch.id
            is_wanted = self.batch_cache.interest.includes(
                batch_id, record.batch.model
            )
            if is_wanted and record.is_open():
                continue
            closed_bytes += record.size()
            if not is_wanted or closed_bytes > CLOSED_BYTES:
                del self.batch_cache.records[batch_id]

    def _last_wanted_at(self, record: records.Record) -> tuple[float, int]:
        read_at = self.batch_cache.last_read_at.get(record.batch.id, 0.0)
        return read_at, record.submitted_ms
