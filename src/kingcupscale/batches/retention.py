"""Removing batches that need not be read any more."""

import functools

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.batches import book as books
from kingcupscale.batches import record as records
from kingcupscale.storage import decoding
from kingcupscale.storage import store as stores

# Keys in one transaction, which the store takes at the least.
REMOVALS_MOST = 32


class Retention:
    """Removes old batches from the store.

    Args:
        book: The batches.
        clock: Tells the time.
    """

    def __init__(self, book: books.Book, clock: clocks.Clock) -> None:
        self.book = book
        self.source = book.source
        self.store = book.store
        self.clock = clock

    async def forget_older_than(self, seconds: float) -> None:
        """Removes batches that need not be read any more.

        Raises:
            StoreError: If the store cannot be reached.
        """
        now_ms = self.clock.now().timestamp() * 1000
        for batch_id in self.book.batch_ids():
            if (
                batch_id in self.book.unexamined
                or batch_id in self.book.loading
            ):
                continue
            known = self.book.known.get(batch_id)
            if known is None:
                await self._learn(batch_id)
                continue
            is_old = now_ms - known.submitted_ms > seconds * 1000
            if is_old and await self._is_closed(batch_id):
                await self._forget(batch_id)

    async def _is_closed(self, batch_id: str) -> bool:
        """Tells whether nothing is added to a batch any more for sure."""
        if self.book.has_end(batch_id):
            return True
        try:
            record = await self.book.load(batch_id, is_read=True)
        except errors.ServiceError as e:
            books.log_unloaded(batch_id, e)
            return False
        return record is not None and not record.is_open()

    async def _learn(self, batch_id: str) -> None:
        """Reads when a batch came, of one that was seen by its name only."""
        key = records.key_of(batch_id, records.SPECIFICATION, "0")
        entry = await self.store.store.get(key)
        if entry is None or entry.value is None:
            return
        decode = functools.partial(records.decode, records.Specification)
        head = decoding.decode_entry(entry, decode)
        if head is None:
            return
        self.book.known[batch_id] = books.Known(
            head.submitted_ms, head.batch.model
        )

    async def _forget(self, batch_id: str) -> None:
        prefix = f"{records.RESULTS_PREFIX}{batch_id}/"
        keys = [entry.key for entry in await self.source.entries(prefix)]
        heads = self.book.mirror.entries_under(records.key_of(batch_id, ""))
        # The specification goes last, so that a half-removed batch is found
        # again by the next round.
        keys += sorted(
            (entry.key for entry in heads),
            key=lambda key: records.SPECIFICATION in key,
        )
        for start in range(0, len(keys), REMOVALS_MOST):
            removals = keys[start : start + REMOVALS_MOST]
            await self.store.commit(stores.Transaction(removals=removals))
