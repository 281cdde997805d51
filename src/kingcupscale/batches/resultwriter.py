"""Giving finished samples their positions, several by one write."""

from collections.abc import Callable
from collections.abc import Iterable

import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch as batches
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.batches import sample as samples
from kingcupscale.storage import store as stores

# Results that come within this time are listed by one write.
GATHER_S = 0.2
COMMIT_RETRY_S = 0.3
# Most results in one write, by the size of their texts in bytes.
WRITE_BYTES = 400_000
# Most batches in one write; a transaction takes 32 entries at the least.
WRITE_BATCHES = 16


class ResultWriter:
    """Lists the results of one service's samples.

    Args:
        service: Name of the service, for the log.
        batch_cache: The batches.
        clock: Tells the time.
        find_samples: Returns the samples that may have results.

    Attributes:
        finished: Set once a sample has a result.
    """

    def __init__(
        self,
        service: str,
        batch_cache: caches.BatchCache,
        clock: clocks.Clock,
        find_samples: Callable[[], Iterable[samples.Sample]],
    ) -> None:
        self.service = service
        self.batch_cache = batch_cache
        self.clock = clock
        self.find_samples = find_samples
        self.has_results = trio.Event()

    async def run(self) -> None:
        """Lists finished samples, several by one write."""
        while True:
            await self.has_results.wait()
            await self.clock.sleep(GATHER_S)
            self.has_results = trio.Event()
            try:
                await self._commit()
            except (stores.StoreError, errors.ServiceError) as e:
                events.log(
                    events.Event.RESULTS_UNLISTED,
                    service=self.service,
                    reason=str(e),
                )
                await self.clock.sleep(COMMIT_RETRY_S)
                self.has_results.set()

    async def _commit(self) -> None:
        additions = self._gather()
        if not additions:
            return
        has_result = await self.batch_cache.append(additions)
        for record, chunk in additions:
            events.log(
                events.Event.RESULTS_LISTED,
                batch=record.batch.id,
                items=[result.item for result in chunk.results],
                listed=has_result,
                position=len(record.results),
            )
        # What did not fit, or met another writer, is looked at again.
        self.has_results.set()

    def _gather(self) -> list[tuple[records.Record, records.Chunk]]:
        """Returns the results that are not listed yet, as far as fits."""
        found: dict[str, tuple[records.Record, dict[str, batches.Result]]] = {}
        size = 0
        for sample in self.find_samples():
            record = sample.record
            if sample.result is None or record.has_result(sample.id):
                continue
            if size > WRITE_BYTES:
                break
            size += len(sample.result.text) + 200
            _, results = found.setdefault(record.batch.id, (record, {}))
            results.setdefault(sample.id, sample.result)
        return [
            (record, records.Chunk(list(results.values())))
            for record, results in list(found.values())[:WRITE_BATCHES]
        ]
