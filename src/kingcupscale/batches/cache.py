"""Cache of the store's batches and results that this node needs.

``BatchCache`` follows the store mirror, loads batches on demand and writes new
batches, ends of batches and results to the store.
"""

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

# Share of the store's value limit that items may fill. Values are sent as
# base64, which leaves three quarters; the rest is room for field names.
VALUE_SHARE = 0.7
# Age from which the mirror may lack results that other nodes already return.
MIRROR_STALE_S = 0.7
# Minimum time between two restarts of the long poll for a wider interest. A
# long poll that finds no change takes less than this.
MIN_RESTART_INTERVAL_S = 1.0


@attrs.frozen
class BatchSummary:
    """Summary of a batch whose specification has been received."""

    submitted_ms: int
    model: str


@attrs.define(eq=False)
class PendingLoad:
    """A load of a batch in progress, with the changes received meanwhile.

    Attributes:
        reload_count: The cache's reload count when the load began.
        done: Set once the load has succeeded or failed.
        entries: Changed entries of the batch, applied after the load.
    """

    reload_count: int
    done: trio.Event = attrs.field(factory=trio.Event)
    entries: list[stores.Entry] = attrs.field(factory=list)


class BatchCache:
    """Cached records of the batches that this node needs.

    A chunk of results is written on condition that no chunk starts at its
    position yet. A writer knows all results before its position, so a result
    gets one position and a position one result, whoever writes.

    Args:
        mirror: The mirror of the store.
        store: The store.
        clock: Clock for submission and read times.
        value_bytes: Maximum size of a stored value in bytes.
        fetch_snapshot: Fetches a snapshot of a batch from another node.

    Attributes:
        records: Cached records by batch id.
        interest: Batches whose values other nodes are asked to send.
        summaries: Summary of every batch whose specification has been received.
        load_candidates: Ids of batches that may have to be loaded.
        last_read_at: Monotonic time of the last read on this node, by batch id.
        pending_loads: Loads in progress, by batch id.
        reload_count: How often changes may have been missed because the mirror
            was reloaded.
        waiting_readers: Number of readers that wait for a result.
        waiting_parts: Parts of specifications that are not complete yet, by
            batch id and part number.
        on_change: Called when a batch is added or ended.
        on_accept: Called after a new batch was written, with the batch, its
            submission time and the revision of the store.
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
        self.value_bytes = value_bytes
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
        self.follow_restarted_at = -MIN_RESTART_INTERVAL_S
        self.on_change: Callable[[], None] = _ignore
        self.on_accept: Callable[[batch.Batch, int, int], None] = _ignore
        mirror.exclude_prefix(records.RESULTS_PREFIX)
        mirror.defer_prefix(records.PREFIX)
        mirror.subscribe(records.PREFIX, self._apply_batch_entry)
        mirror.subscribe(records.RESULTS_PREFIX, self._apply_results)
        mirror.on_reloaded = self._mark_all_incomplete

    def set_interest(self, everything: bool, models: frozenset[str]) -> None:
        """Sets what to cache besides the batches that clients read here.

        Args:
            everything: Whether to cache all batches.
            models: Models whose batches to cache.
        """
        before = self.interest
        self._replace_interest(everything, models)
        if (everything and not before.everything) or models - before.models:
            self.load_candidates |= {
                batch_id
                for batch_id in self.batch_ids()
                if batch_id not in self.records and not self.has_end(batch_id)
            }

    def model_of(self, batch_id: str) -> str | None:
        """Returns the model that a batch trains, or None if it is not known."""
        summary = self.summaries.get(batch_id)
        return summary.model if summary else None

    def _replace_interest(
        self, everything: bool, models: frozenset[str]
    ) -> None:
        """Sets the interest, with the batches that are read or loaded now.

        A wider interest restarts the long poll of the followed node.
        """
        further_batches = frozenset()
        if not everything:
            further_batches = frozenset(self.last_read_at) | frozenset(
                self.pending_loads
            )
        new = interests.Interest(everything, models, further_batches)
        is_wider = new.is_wider_than(self.interest)
        self.interest = new
        now = self.clock.monotonic()
        if (
            is_wider
            and now - self.follow_restarted_at >= MIN_RESTART_INTERVAL_S
        ):
            # The running long poll may omit values that are needed now, which
            # would then have to be read from the store. Restarts are limited
            # because a long poll that is restarted too often never returns.
            self.follow_restarted_at = now
            self.mirror.restart_follow()

    def update_interest(self) -> None:
        """Updates the interest with the batches that are read or loaded now."""
        self._replace_interest(self.interest.everything, self.interest.models)

    def batch_ids(self) -> list[str]:
        """Returns all batches that the store is known to hold."""
        suffix = f"/{records.SPECIFICATION}/0"
        return [
            entry.key.removeprefix(records.PREFIX).removesuffix(suffix)
            for entry in self.mirror.entries_under(records.PREFIX)
            if entry.key.endswith(suffix)
        ]

    def has_end(self, batch_id: str) -> bool:
        """Returns whether the store is known to hold a batch's end."""
        key = records.batch_key(batch_id, records.END)
        return key in self.mirror.entries

    def _apply_batch_entry(self, entry: stores.Entry) -> None:
        """Applies a changed specification part or end of a batch."""
        rest = entry.key.removeprefix(records.PREFIX)
        batch_id, _, rest = rest.partition("/")
        kind, _, number = rest.partition("/")
        if batch_id in self.pending_loads:
            self.pending_loads[batch_id].entries.append(entry)
            if kind == records.SPECIFICATION:
                self.mirror.discard_value(entry.key)
        elif kind == records.SPECIFICATION and entry.value is None:
            self.remove(batch_id)
        elif kind == records.SPECIFICATION:
            self._apply_specification(batch_id, number, entry)
        elif kind == records.END and batch_id in self.records:
            self.records[batch_id].mark_ended()
            self.on_change()

    def remove(self, batch_id: str) -> None:
        """Drops a batch that is not in the store, and stops its samples."""
        self.summaries.pop(batch_id, None)
        self.last_read_at.pop(batch_id, None)
        self.load_candidates.discard(batch_id)
        if batch_id in self.records:
            self.records[batch_id].is_removed = True
            self.evict(batch_id)

    def evict(self, batch_id: str) -> None:
        """Drops the record of a batch.

        It gets no more changes, so a reader that still has it must refresh it.
        """
        self.records.pop(batch_id).mark_incomplete()

    def _apply_specification(
        self, batch_id: str, number: str, entry: stores.Entry
    ) -> None:
        """Applies a part of a specification; the last one completes the batch.

        A new batch of interest is cached. A batch that is not new or may have
        results becomes a load candidate.
        """
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
        # Ending a batch rewrites its specification, long after the results.
        is_new = entry.created == entry.revision
        if not is_new or self.may_have_results(batch_id):
            self.load_candidates.add(batch_id)
        elif self.interest.includes(batch_id, model):
            self._add_record(record)

    def _add_record(self, record: records.Record) -> None:
        """Adds a record to the cache."""
        batch_id = record.batch.id
        if self.has_end(batch_id):
            # The record may come from a snapshot that is older than the end.
            record.mark_ended()
        self.records[batch_id] = record
        self.on_change()

    def add_announced(self, record: records.Record) -> None:
        """Adds a batch that the mirror has yet to deliver."""
        batch_id = record.batch.id
        self.waiting_parts.pop(batch_id, None)
        self.summaries[batch_id] = BatchSummary(
            record.submitted_ms, record.batch.model
        )
        self._add_record(record)

    def may_have_results(self, batch_id: str) -> bool:
        """Returns whether results may have arrived before the specification."""
        prefix = f"{records.RESULTS_PREFIX}{batch_id}/"
        return self.mirror.is_loading or bool(self.mirror.entries_under(prefix))

    def _apply_results(self, entry: stores.Entry) -> None:
        """Applies a changed chunk of results."""
        rest = entry.key.removeprefix(records.RESULTS_PREFIX)
        batch_id, _, position = rest.partition("/")
        if entry.value is None:
            return
        self.mirror.discard_value(entry.key)
        if batch_id in self.pending_loads:
            self.pending_loads[batch_id].entries.append(entry)
            return
        record = self.records.get(batch_id)
        if record is None:
            return
        try:
            decoding.decode_required(
                entry, lambda v: record.add_encoded_chunk(int(position), v)
            )
        except stores.StoreError:
            record.mark_incomplete()

    def _mark_all_incomplete(self) -> None:
        """Marks all records as incomplete after a reload of the mirror.

        A reload does not read results, so some may have been missed.
        """
        for record in self.records.values():
            record.mark_incomplete()
        self.reload_count += 1

    async def accept(self, new: batch.Batch, timeout_s: float) -> bool:
        """Writes a batch to the store, and returns once the store has it.

        Args:
            new: The batch.
            timeout_s: Seconds after which no failed write is retried.

        Returns:
            Whether the batch is new; False if it was already in the store,
            maybe from an earlier attempt whose response was lost.

        Raises:
            ServiceError: ``BODY_TOO_LARGE`` if the store cannot hold the batch,
                ``STORE_UNAVAILABLE`` if it was certainly not written,
                ``BATCH_UNDECIDED`` if it may have been.
        """
        if new.id in self.records:
            return False
        now_ms = int(self.clock.now().timestamp() * 1000)
        transaction = transactions.make_acceptance(new, now_ms, self.part_bytes)
        if not transaction.fits(self.value_bytes):
            largest = max(len(put.value) for put in transaction.puts)
            raise errors.ServiceError(
                errors.ResultCode.BODY_TOO_LARGE,
                f"the batch needs {len(transaction.puts)} stored values,"
                f" the largest of {largest} bytes",
            )
        self._mark_read(new.id)
        reload_count = self.reload_count
        revision = await transactions.commit_with_retries(
            self.store, self.clock, transaction, timeout_s, new.id
        )
        if revision is None:
            return False
        self.mirror.skip_pause()
        if self.reload_count == reload_count:
            # A reload of the mirror in between delivers the batch but not its
            # first results, so the batch must not be added without results.
            for put in transaction.puts:
                self._apply_batch_entry(stores.Entry(put.key, put.value, 0))
        self.on_accept(new, now_ms, revision)
        return True

    def _mark_read(self, batch_id: str) -> None:
        self.last_read_at[batch_id] = self.clock.monotonic()
        self.update_interest()

    async def find(self, batch_id: str, organisation: str) -> records.Record:
        """Returns a batch of an organisation.

        Raises:
            ServiceError: ``BATCH_UNKNOWN`` if the store has none, and
                ``STORE_UNAVAILABLE`` if that cannot be determined.
        """
        record = self.records.get(batch_id)
        if record is None:
            record = await self.load(batch_id, is_read=True)
        if record is None or record.batch.organisation != organisation:
            raise errors.ServiceError(errors.ResultCode.BATCH_UNKNOWN)
        self._mark_read(batch_id)
        return record

    async def load(
        self, batch_id: str, is_read: bool, asks_nodes: bool = True
    ) -> records.Record | None:
        """Returns a batch, loaded if necessary; None if it does not exist.

        Args:
            batch_id: The batch.
            is_read: Whether to cache it even if its model is not of interest.
            asks_nodes: Whether another node's snapshot may be used.

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
        """Caches a loaded record and applies changes received meanwhile."""
        pending = self.pending_loads.pop(batch_id)
        pending.done.set()
        if record is not None:
            self._log_loaded(record)
            self._add_loaded(record, is_read)
        # If no record was found, these may be the first notice of the batch.
        for entry in pending.entries:
            self._apply_entry(entry)
        cached = record or self.records.get(batch_id)
        if cached is not None and (
            self.reload_count != pending.reload_count
            or self._lacks_received_chunk(cached)
        ):
            cached.mark_incomplete()

    def _lacks_received_chunk(self, record: records.Record) -> bool:
        """Returns whether the mirror has received results that a record lacks.

        A mirror receives some changes ahead of its revision, and only once. A
        snapshot that is as new as the revision may lack them.
        """
        positions = self.received_positions(record.batch.id)
        return any(position >= len(record.results) for position in positions)

    def _log_loaded(self, record: records.Record) -> None:
        events.log(
            events.Event.BATCH_LOADED,
            batch=record.batch.id,
            listed=len(record.results),
            ended=record.is_ended,
            received=self.received_positions(record.batch.id),
            origin=record.origin.value,
            origin_revision=record.origin_revision,
            revision=self.mirror.revision,
        )

    def _add_loaded(self, record: records.Record, is_read: bool) -> None:
        """Caches a loaded record if it was read or is of interest."""
        batch_id, model = record.batch.id, record.batch.model
        self.summaries[batch_id] = BatchSummary(record.submitted_ms, model)
        if is_read:
            self.last_read_at[batch_id] = self.clock.monotonic()
        if is_read or self.interest.includes(batch_id, model):
            self._add_record(record)

    def _apply_entry(self, entry: stores.Entry) -> None:
        """Applies a change that was received while its batch was loaded."""
        if entry.key.startswith(records.PREFIX):
            self._apply_batch_entry(entry)
        else:
            self._apply_results(entry)

    async def confirm(self, record: records.Record) -> bool:
        """Returns whether a record is as complete as the store.

        The results of an ended batch are read from the store if they have not
        been since the end. Other nodes are not asked: they may be asking this
        one.
        """
        if record.needs_confirmation():
            try:
                await self.fetcher.refresh_from_store(record)
            except stores.StoreError:
                return False
        return record.is_current and not record.needs_confirmation()

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
        page = record.page(after)
        if not page and after < len(record.batch.items):
            self._log_short(record, after)
        return page

    def _log_short(self, record: records.Record, after: int) -> None:
        events.log(
            events.Event.RESULTS_SHORT,
            batch=record.batch.id,
            after=after,
            listed=len(record.results),
            total=len(record.batch.items),
            ended=record.is_ended,
            received=self.received_positions(record.batch.id),
            current=record.is_current,
            origin=record.origin.value,
            origin_revision=record.origin_revision,
            revision=self.mirror.revision,
            view_age_s=round(self.mirror.age_s(), 3),
        )

    def received_positions(self, batch_id: str) -> list[int]:
        """Returns the positions of the chunks that the mirror has received."""
        prefix = f"{records.RESULTS_PREFIX}{batch_id}/"
        suffixes = [
            entry.key.removeprefix(prefix)
            for entry in self.mirror.entries_under(prefix)
        ]
        return [int(suffix) for suffix in suffixes if suffix.isdigit()]

    def _may_lack_results(self, record: records.Record) -> bool:
        """Returns whether other nodes may have results that this one lacks.

        This includes ended batches: this node may have ended one before the
        mirror delivered its results.
        """
        is_complete = len(record.results) >= len(record.batch.items)
        # A record that has left the cache gets no more changes, and a refresh
        # calls it current as of that moment only.
        is_cached = self.records.get(record.batch.id) is record
        is_uncertain = (
            self.mirror.age_s() > MIRROR_STALE_S
            or not record.is_current
            or not is_cached
            or record.needs_confirmation()
        )
        return is_uncertain and not is_complete

    async def _wait_for_result(
        self, record: records.Record, after: int, wait_s: float
    ) -> None:
        """Waits up to ``wait_s`` for a result at a position, or for the end."""
        with trio.move_on_after(wait_s):
            while after >= len(record.results) and record.is_open():
                await self.mirror.changed.wait()

    async def end(self, record: records.Record, timeout_s: float) -> None:
        """Ends a batch, and returns once the store has the end.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` or ``BATCH_UNDECIDED``.
        """
        if record.is_ended:
            return
        transaction = transactions.make_end(
            record, self._count_parts(record), self.value_bytes
        )
        await transactions.commit_with_retries(
            self.store, self.clock, transaction, timeout_s, record.batch.id
        )
        record.mark_ended()
        self.mirror.skip_pause()

    def _count_parts(self, record: records.Record) -> int:
        """Returns how many stored values hold a batch's items; 0 if unknown."""
        if self.mirror.is_loading:
            return 0
        prefix = records.batch_key(record.batch.id, records.SPECIFICATION)
        return len(self.mirror.entries_under(prefix + "/"))

    async def append(
        self, additions: list[tuple[records.Record, records.Chunk]]
    ) -> int | None:
        """Appends results to several batches in one transaction.

        Returns:
            The store's revision with the results. None if another node had
            written at one of the positions. The records have then been
            refreshed, so the caller can determine which results are still
            missing.

        Raises:
            StoreError: If the write failed or got no answer. If it was executed
                nevertheless, the mirror delivers the results later.
            ServiceError: ``STORE_UNAVAILABLE`` if another node had written and
                a record could not be refreshed.
        """
        puts = []
        for record, chunk in additions:
            key = records.result_key(record.batch.id, len(record.results))
            puts.append(stores.Put(key, records.encode(chunk)))
        conditions = [stores.Condition(p.key, stores.ABSENT) for p in puts]
        asked_at = self.clock.monotonic()
        revision = await self.store.commit(stores.Transaction(conditions, puts))
        if revision is None:
            for record, _ in additions:
                await self.fetcher.refresh(record)
            return None
        for put in puts:
            self.mirror.apply(
                stores.Entry(put.key, put.value, revision, revision)
            )
        self.mirror.note_revision(revision, asked_at)
        self.mirror.notify_changed()
        return revision


def _ignore(*_: object) -> None:
    """Does nothing."""


def log_load_failure(batch_id: str, error: errors.ServiceError) -> None:
    """Logs that a batch could not be loaded or refreshed."""
    events.log(events.Event.BATCH_UNREADABLE, batch=batch_id, reason=str(error))
