"""The batches that the store holds, as far as this node needs to know them."""

from collections.abc import Callable

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch
from kingcupscale.batches import fetching
from kingcupscale.batches import interest as interests
from kingcupscale.batches import record as records
from kingcupscale.batches import transactions
from kingcupscale.storage import decoding
from kingcupscale.storage import fallback
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

# A value travels as base64, so three quarters of the largest value, less some
# room for names.
VALUE_SHARE = 0.7
# A mirror that is older than this may lack results that other nodes show.
STALE_S = 0.7
# Shortest time between two questions that are dropped for a wider one; longer
# than a quiet one takes.
ASK_ANEW_S = 1.0


@attrs.frozen
class BatchSummary:
    """What a node remembers of each batch whose specification it has seen."""

    submitted_ms: int
    model: str


@attrs.define(eq=False)
class PendingLoad:
    """A batch that is being loaded, and the changes of it meanwhile.

    Attributes:
        reloads: How often changes may have been missed before it.
        done: Set once it is loaded, or cannot be.
        entries: The changes.
    """

    reload_count: int
    done: trio.Event = attrs.field(factory=trio.Event)
    entries: list[stores.Entry] = attrs.field(factory=list)


class BatchCache:
    """Batches, mirrored from the store as far as they are wanted here.

    A chunk of results is written on condition that no chunk starts at its
    position yet. A writer knows all results before its position, so a result
    gets one position and a position one result, whoever writes.

    Args:
        mirror: The mirror of the store.
        store: Where batches are written.
        clock: Tells the time.
        value_bytes: Largest value that the store holds.
        fetch_copy: Asks other nodes for a batch.

    Attributes:
        records: The batches that are known in full, by id.
        interest: What other nodes are asked to tell in full.
        known: Every batch whose specification has been seen.
        unexamined: Batches that may have to be loaded.
        reads: Monotonic time of the last read here, by batch.
        reloads: How often changes may have been missed.
        readers: How many readers wait for a result.
        on_change: Called when a batch is added or ended.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        store: fallback.FallbackStore,
        clock: clocks.Clock,
        value_bytes: int,
        fetch_snapshot: fetching.FetchSnapshot,
    ) -> None:
        self.mirror = mirror
        self.store = store
        self.clock = clock
        self.part_bytes = int(value_bytes * VALUE_SHARE)
        self.fetcher = fetching.BatchFetcher(
            mirror, store, clock, fetch_snapshot
        )
        self.records: dict[str, records.Record] = {}
        self.interest = interests.Interest()
        self.summaries: dict[str, BatchSummary] = {}
        self.load_candidates: set[str] = set()
        self.last_read_at: dict[str, float] = {}
        self.pending_loads: dict[str, PendingLoad] = {}
        self.reload_count = 0
        self.waiting_readers = 0
        self.waiting_parts: dict[str, dict[str, bytes]] = {}
        self.asked_anew_at = -ASK_ANEW_S
        self.on_change: Callable[[], None] = _ignore
        mirror.exclude_prefix(records.RESULTS_PREFIX)
        mirror.defer_prefix(records.PREFIX)
        mirror.subscribe(records.PREFIX, self._take_head)
        mirror.subscribe(records.RESULTS_PREFIX, self._take_results)
        mirror.on_reloaded = self._note_reloaded

    def set_interest(self, everything: bool, models: frozenset[str]) -> None:
        """Sets what has to be known here beside the batches that are read."""
        before = self.interest
        self._apply_interest(everything, models)
        if (everything and not before.everything) or models - before.models:
            self.load_candidates |= {
                batch_id
                for batch_id in self.batch_ids()
                if batch_id not in self.records and not self.has_end(batch_id)
            }

    def model_of(self, batch_id: str) -> str | None:
        """Returns the model that a batch trains, if that is known."""
        known = self.summaries.get(batch_id)
        return known.model if known else None

    def _apply_interest(self, everything: bool, models: frozenset[str]) -> None:
        single = frozenset()
        if not everything:
            single = frozenset(self.last_read_at) | frozenset(
                self.pending_loads
            )
        new = interests.Interest(everything, models, single)
        is_wider = new.is_wider_than(self.interest)
        self.interest = new
        now = self.clock.monotonic()
        if is_wider and now - self.asked_anew_at >= ASK_ANEW_S:
            # An answer to the narrower question may leave out what is wanted,
            # which then has to be read; but a question that is dropped again
            # and again would never be answered.
            self.asked_anew_at = now
            self.mirror.restart_follow()

    def update_interest(self) -> None:
        """Has other nodes asked for what is read or loaded here by now."""
        self._apply_interest(self.interest.everything, self.interest.models)

    def batch_ids(self) -> list[str]:
        """Returns all batches that the store is known to hold."""
        suffix = f"/{records.SPECIFICATION}/0"
        return [
            entry.key.removeprefix(records.PREFIX).removesuffix(suffix)
            for entry in self.mirror.entries_under(records.PREFIX)
            if entry.key.endswith(suffix)
        ]

    def has_end(self, batch_id: str) -> bool:
        """Tells whether the store is known to hold a batch's end."""
        key = records.batch_key(batch_id, records.END)
        return key in self.mirror.entries

    def _take_head(self, entry: stores.Entry) -> None:
        """Takes over a changed key that is not one of results."""
        rest = entry.key.removeprefix(records.PREFIX)
        batch_id, _, rest = rest.partition("/")
        kind, _, number = rest.partition("/")
        if batch_id in self.pending_loads:
            self.pending_loads[batch_id].entries.append(entry)
            if kind == records.SPECIFICATION:
                self.mirror.discard_value(entry.key)
        elif kind == records.SPECIFICATION and entry.value is None:
            self._note_forgotten(batch_id)
        elif kind == records.SPECIFICATION:
            self._take_specification(batch_id, number, entry)
        elif kind == records.END and batch_id in self.records:
            self.records[batch_id].mark_ended()
            self.on_change()

    def _note_forgotten(self, batch_id: str) -> None:
        self.summaries.pop(batch_id, None)
        self.last_read_at.pop(batch_id, None)
        self.load_candidates.discard(batch_id)
        record = self.records.pop(batch_id, None)
        if record is not None:
            record.is_removed = True

    def _take_specification(
        self, batch_id: str, number: str, entry: stores.Entry
    ) -> None:
        self.mirror.discard_value(entry.key)
        if not entry.value or batch_id in self.records:
            return
        parts = self.waiting_parts.setdefault(batch_id, {})
        parts[number] = entry.value
        record = decoding.decode_entry(entry, lambda _: records.assemble(parts))
        if record is None:
            return
        del self.waiting_parts[batch_id]
        model = record.batch.model
        self.summaries[batch_id] = BatchSummary(record.submitted_ms, model)
        # An end writes the specification anew, long after the results.
        is_new = entry.created == entry.revision
        if not is_new or self._may_have_results(batch_id):
            self.load_candidates.add(batch_id)
        elif self.interest.includes(batch_id, model):
            self._hold(record)

    def _hold(self, record: records.Record) -> None:
        """Knows a batch in full from here on."""
        batch_id = record.batch.id
        if self.has_end(batch_id):
            # The end may have been heard of before what the batch came from.
            record.mark_ended()
        self.records[batch_id] = record
        self.on_change()

    def _may_have_results(self, batch_id: str) -> bool:
        """Tells whether results may have come before their batch."""
        prefix = f"{records.RESULTS_PREFIX}{batch_id}/"
        return self.mirror.is_loading or bool(self.mirror.entries_under(prefix))

    def _take_results(self, entry: stores.Entry) -> None:
        """Takes over a changed key of results."""
        rest = entry.key.removeprefix(records.RESULTS_PREFIX)
        batch_id, _, number = rest.partition("/")
        if entry.value is None:
            return
        self.mirror.discard_value(entry.key)
        if batch_id in self.pending_loads:
            self.pending_loads[batch_id].entries.append(entry)
            return
        record = self.records.get(batch_id)
        if record is None:
            return
        decoding.decode_entry(
            entry, lambda v: record.add_encoded_chunk(int(number), v)
        )

    def _note_reloaded(self) -> None:
        """Has all batches looked at again: results may have been missed."""
        for record in self.records.values():
            record.mark_incomplete()
        self.reload_count += 1

    async def accept(self, new: batch.Batch, patience_s: float) -> bool:
        """Keeps a batch; once it returns, the store has it.

        Args:
            new: The batch.
            patience_s: Seconds that the sender will wait.

        Returns:
            Whether it is new; False if it was there already.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if it was surely not kept,
                ``BATCH_UNDECIDED`` if that is not known.
        """
        if new.id in self.records:
            return False
        self._note_read(new.id)
        now_ms = int(self.clock.now().timestamp() * 1000)
        transaction = transactions.make_acceptance(new, now_ms, self.part_bytes)
        reload_count = self.reload_count
        is_new = await transactions.commit_with_retries(
            self.store, self.clock, transaction, patience_s, new.id
        )
        if is_new:
            self.mirror.skip_pause()
        if is_new and self.reload_count == reload_count:
            # After a reload the mirror has told of it, not of first results.
            for put in transaction.puts:
                self._take_head(stores.Entry(put.key, put.value, 0))
        return is_new

    def _note_read(self, batch_id: str) -> None:
        self.last_read_at[batch_id] = self.clock.monotonic()
        self.update_interest()

    async def find(self, batch_id: str, organisation: str) -> records.Record:
        """Returns a batch of an organisation.

        Raises:
            ServiceError: ``BATCH_UNKNOWN`` if the store has none, and
                ``STORE_UNAVAILABLE`` if that cannot be known.
        """
        record = self.records.get(batch_id)
        if record is None:
            record = await self.load(batch_id, is_read=True)
        if record is None or record.batch.organisation != organisation:
            raise errors.ServiceError(errors.ResultCode.BATCH_UNKNOWN)
        self._note_read(batch_id)
        return record

    async def load(
        self, batch_id: str, is_read: bool, asks_nodes: bool = True
    ) -> records.Record | None:
        """Has a batch known in full; None if it does not exist.

        Args:
            batch_id: The batch.
            is_read: Whether it is wanted whatever its model is.
            asks_nodes: Whether another node's copy will do.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE``.
        """
        while batch_id in self.pending_loads:
            await self.pending_loads[batch_id].done.wait()
        if batch_id in self.records:
            return self.records[batch_id]
        self.pending_loads[batch_id] = PendingLoad(self.reload_count)
        self.update_interest()
        record = None
        try:
            record = await self.fetcher.fetch(batch_id, asks_nodes)
            self.load_candidates.discard(batch_id)
        finally:
            self._end_load(batch_id, record, is_read)
        self.update_interest()
        return record

    def _end_load(
        self, batch_id: str, record: records.Record | None, is_read: bool
    ) -> None:
        """Takes over what a load has brought, and the changes meanwhile."""
        pending = self.pending_loads.pop(batch_id)
        pending.done.set()
        if record is not None:
            self._keep(record, is_read)
        # Without a record, these may be the first that tell of the batch.
        for entry in pending.entries:
            self._take_again(entry)
        held = record or self.records.get(batch_id)
        if held is not None and self.reload_count != pending.reload_count:
            held.mark_incomplete()

    def _keep(self, record: records.Record, is_read: bool) -> None:
        batch_id, model = record.batch.id, record.batch.model
        self.summaries[batch_id] = BatchSummary(record.submitted_ms, model)
        if is_read:
            self.last_read_at[batch_id] = self.clock.monotonic()
        if is_read or self.interest.includes(batch_id, model):
            self._hold(record)

    def _take_again(self, entry: stores.Entry) -> None:
        """Takes over a change that came while its batch was loaded."""
        if entry.key.startswith(records.PREFIX):
            self._take_head(entry)
        else:
            self._take_results(entry)

    async def read(
        self, record: records.Record, after: int, wait_s: float
    ) -> list[batch.Result]:
        """Returns results from a position on, waiting for the first.

        Args:
            record: The batch.
            after: The position, counted from 0.
            wait_s: Seconds to wait for a result.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if results may be missing.
        """
        if after > len(record.results) or not record.is_current:
            await self.fetcher.refresh(record)
        if after >= len(record.results) and record.is_open():
            self.waiting_readers += 1
            self.mirror.skip_pause()
            try:
                await self._wait_for_result(record, after, wait_s)
            finally:
                self.waiting_readers -= 1
        if after >= len(record.results) and self._may_lack_results(record):
            await self.fetcher.refresh(record)
        return record.page(after)

    def _may_lack_results(self, record: records.Record) -> bool:
        """Tells whether other nodes may show results that are not known here.

        Also of an ended batch: this node may have ended it before its mirror
        told of the results.
        """
        is_whole = len(record.results) >= len(record.batch.items)
        is_stale = self.mirror.age_s() > STALE_S or not record.is_current
        return is_stale and not is_whole

    async def _wait_for_result(
        self, record: records.Record, after: int, wait_s: float
    ) -> None:
        with trio.move_on_after(wait_s):
            while after >= len(record.results) and record.is_open():
                await self.mirror.changed.wait()

    async def end(self, record: records.Record, patience_s: float) -> None:
        """Ends a batch; once it returns, the store knows it.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` or ``BATCH_UNDECIDED``.
        """
        if record.is_ended:
            return
        transaction = transactions.make_end(record, self._parts_of(record))
        await transactions.commit_with_retries(
            self.store, self.clock, transaction, patience_s, record.batch.id
        )
        record.mark_ended()
        self.mirror.skip_pause()

    def _parts_of(self, record: records.Record) -> int:
        """Returns over how many values a batch is spread; 0 if unknown."""
        if self.mirror.is_loading:
            return 0
        prefix = records.batch_key(record.batch.id, records.SPECIFICATION)
        return len(self.mirror.entries_under(prefix + "/"))

    async def append(
        self, additions: list[tuple[records.Record, records.Chunk]]
    ) -> bool:
        """Lists results of several batches at the next positions, or none.

        Returns:
            Whether they are listed. If not, the book has been brought up to
            date and the caller decides anew what is still to be listed.

        Raises:
            StoreError: If the fate is not known; it shows in the book later.
        """
        puts = []
        for record, chunk in additions:
            key = records.result_key(record.batch.id, len(record.results))
            puts.append(stores.Put(key, records.encode(chunk)))
        conditions = [stores.Condition(p.key, stores.ABSENT) for p in puts]
        revision = await self.store.commit(stores.Transaction(conditions, puts))
        if revision is None:
            for record, _ in additions:
                await self.fetcher.refresh(record)
            return False
        for put in puts:
            self.mirror.apply(
                stores.Entry(put.key, put.value, revision, revision)
            )
        self.mirror.notify_changed()
        return True


def _ignore() -> None:
    """Does nothing."""


def log_load_failure(batch_id: str, error: errors.ServiceError) -> None:
    """Logs a batch that could not be had."""
    events.log(events.Event.BATCH_UNREADABLE, batch=batch_id, reason=str(error))
