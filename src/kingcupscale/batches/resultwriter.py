"""Writes results of finished samples to the store, several per transaction.

The write assigns each result its position in the batch's list of results.
"""

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

# Results that finish within this time are written by one transaction.
BATCHING_DELAY_S = 0.2
RETRY_PAUSE_S = 0.3
# A write takes no further result once its results exceed this size.
MAX_WRITE_BYTES = 400_000
# Maximum number of batches in one write, each with a condition and a put.
MAX_WRITE_BATCHES = stores.MAX_TRANSACTION_ENTRIES // 2


class ResultWriter:
    """Writes the results of one service's samples to the store.

    Args:
        service: Name of the service, for the log.
        batch_cache: The batches and their results.
        clock: Clock for the pauses.
        find_samples: Returns the samples that may have unwritten results.

    Attributes:
        has_results: Set by the coordinator when a sample has a result.
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
        """Writes results as samples finish, until cancelled."""
        while True:
            await self.has_results.wait()
            await self.clock.sleep(BATCHING_DELAY_S)
            self.has_results = trio.Event()
            try:
                await self._commit()
            except (stores.StoreError, errors.ServiceError) as e:
                events.log(
                    events.Event.RESULTS_UNLISTED,
                    service=self.service,
                    reason=str(e),
                )
                await self.clock.sleep(RETRY_PAUSE_S)
                self.has_results.set()

    async def _commit(self) -> None:
        chunks = self._collect_unwritten()
        if not chunks:
            return
        revision = await self.batch_cache.append(chunks)
        for record, chunk in chunks:
            events.log(
                events.Event.RESULTS_LISTED,
                batch=record.batch.id,
                items=[result.item for result in chunk.results],
                listed=revision is not None,
                position=len(record.results),
                revision=revision,
            )
        # Run again: results may be left over because of the size limits or
        # because another node wrote at the same position first.
        self.has_results.set()

    def _collect_unwritten(self) -> list[tuple[records.Record, records.Chunk]]:
        """Returns results that are not in the store, up to the size limits."""
        unwritten: dict[
            str, tuple[records.Record, dict[str, batches.Result]]
        ] = {}
        size = 0
        for sample in self.find_samples():
            record = sample.record
            if sample.result is None or record.has_result(sample.id):
                continue
            if size > MAX_WRITE_BYTES:
                break
            size += records.encoded_bytes(sample.result)
            _, results = unwritten.setdefault(record.batch.id, (record, {}))
            results.setdefault(sample.id, sample.result)
        return [
            (record, records.Chunk(list(results.values())))
            for record, results in list(unwritten.values())[:MAX_WRITE_BATCHES]
        ]
