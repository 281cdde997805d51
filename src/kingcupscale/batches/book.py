"""The batches that the store holds, and the positions of their results."""

from typing import TypeVar

import attrs
import cattrs.preconf.orjson
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch
from kingcupscale.storage import detour
from kingcupscale.storage import feed as feeds
from kingcupscale.storage import store as stores

T = TypeVar("T")

PREFIX = "kingcupscale/batches/"
SPECIFICATION = "specification"
RESULTS = "results"
END = "end"

# A value travels as base64, so three quarters of the largest value, less some
# room for names.
VALUE_SHARE = 0.7
# Pause between two tries of a write that the store did not take.
RETRY_S = 0.15
RETRY_MOST_S = 0.6
# Time for a node that is followed to tell that nothing is missing.
REFRESH_S = 2.5
# A mirror that is older than this may lack results that other nodes show.
STALE_S = 0.7
# Most results in one answer, by the size of their texts in bytes.
PAGE_BYTES = 900_000

_converter = cattrs.preconf.orjson.make_converter()


@attrs.frozen
class Specification:
    """What the store holds of a batch from its acceptance on.

    Attributes:
        submitted_ms: When it came, in milliseconds since 1970.
        parts: Values that its items are spread over.
        batch: The batch, with the items of the first part.
    """

    submitted_ms: int
    parts: int
    batch: batch.Batch


@attrs.frozen
class Items:
    """Further items of a batch."""

    items: list[batch.Item]


@attrs.frozen
class Chunk:
    """Results that were listed together, at consecutive positions."""

    results: list[batch.Result]


@attrs.define(eq=False)
class Record:
    """A batch as one node knows it.

    Attributes:
        batch: The batch with all of its items.
        submitted_ms: When it came, in milliseconds since 1970.
        results: The listed results, in order of position.
        chunks: Listed chunks by first position, until they follow in order.
        listed: Items that have their result.
        is_ended: Whether its sender has ended it.
        is_forgotten: Whether it has been removed.
    """

    batch: batch.Batch
    submitted_ms: int
    results: list[batch.Result] = attrs.field(factory=list)
    chunks: dict[int, list[batch.Result]] = attrs.field(factory=dict)
    listed: set[str] = attrs.field(factory=set)
    is_ended: bool = False
    is_forgotten: bool = False

    def is_listed(self, item: str) -> bool:
        """Tells whether an item has its result."""
        return item in self.listed

    def take_chunk(self, first: int, results: list[batch.Result]) -> None:
        """Takes over listed results, and those that follow them."""
        self.chunks[first] = results
        while len(self.results) in self.chunks:
            following = self.chunks.pop(len(self.results))
            self.results += following
            self.listed.update(result.item for result in following)

    def is_open(self) -> bool:
        """Tells whether items are still to be run."""
        return not (
            self.is_ended
            or self.is_forgotten
            or len(self.results) >= len(self.batch.items)
        )


def key_of(batch_id: str, *parts: str) -> str:
    """Returns a key of a batch."""
    return "/".join([PREFIX + batch_id, *parts])


class Book:
    """All batches, mirrored from the store.

    A chunk of results is written on condition that no chunk starts at its
    position yet. A writer knows all results before its position, so a result
    gets one position and a position one result, whoever writes.

    Args:
        feed: The mirror of the store.
        store: Where batches are written.
        clock: Tells the time.
        value_bytes: Largest value that the store holds.

    Attributes:
        records: The batches by id.
        readers: How many readers wait for a result.
    """

    def __init__(
        self,
        feed: feeds.Feed,
        store: detour.DetourStore,
        clock: clocks.Clock,
        value_bytes: int,
    ) -> None:
        self.feed = feed
        self.store = store
        self.clock = clock
        self.part_bytes = int(value_bytes * VALUE_SHARE)
        self.records: dict[str, Record] = {}
        self.readers = 0
        self.waiting_parts: dict[str, dict[str, bytes]] = {}
        feed.subscribe(PREFIX, self._take)

    def _take(self, entry: stores.Entry) -> None:
        """Takes over one changed key."""
        batch_id, _, rest = entry.key.removeprefix(PREFIX).partition("/")
        kind, _, number = rest.partition("/")
        if entry.value is None:
            if kind == SPECIFICATION and batch_id in self.records:
                self.records.pop(batch_id).is_forgotten = True
            return
        try:
            if kind == SPECIFICATION:
                self._take_specification(batch_id, number, entry.value)
            elif kind == RESULTS and batch_id in self.records:
                self._take_chunk(batch_id, int(number), entry.value)
                self.feed.drop_value(entry.key)
            elif kind == END and batch_id in self.records:
                self._note_ended(self.records[batch_id])
        except (ValueError, cattrs.BaseValidationError) as e:
            events.log(
                events.Event.STORE_ENTRY_UNREADABLE,
                key=entry.key,
                reason=repr(e)[:200],
            )

    def _take_specification(
        self, batch_id: str, number: str, value: bytes
    ) -> None:
        if batch_id in self.records:
            return
        parts = self.waiting_parts.setdefault(batch_id, {})
        parts[number] = value
        head = parts.get("0")
        if head is None:
            return
        specification = _decode(Specification, head)
        if len(parts) < specification.parts:
            return
        items = list(specification.batch.items)
        for part in range(1, specification.parts):
            items += _decode(Items, parts[str(part)]).items
        self.records[batch_id] = Record(
            attrs.evolve(specification.batch, items=items),
            specification.submitted_ms,
        )
        del self.waiting_parts[batch_id]
        for number in parts:
            self.feed.drop_value(key_of(batch_id, SPECIFICATION, number))
        self._take_waiting(batch_id)

    def _note_ended(self, record: Record) -> None:
        """Notes the end; bodies need not be shown any more after it."""
        if not record.is_ended:
            record.is_ended = True
            items = [
                attrs.evolve(item, body=b"", headers={}, scorer=None)
                for item in record.batch.items
            ]
            record.batch = attrs.evolve(record.batch, items=items)

    def _take_waiting(self, batch_id: str) -> None:
        """Takes over keys of a batch that came before its specification."""
        for kind in (RESULTS, END):
            for entry in self.feed.under(key_of(batch_id, kind)):
                self._take(entry)

    def _take_chunk(self, batch_id: str, first: int, value: bytes) -> None:
        self.records[batch_id].take_chunk(first, _decode(Chunk, value).results)

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
        now_ms = int(self.clock.now().timestamp() * 1000)
        transaction = self._make_acceptance(new, now_ms)
        is_new = await self._commit_for_sure(transaction, patience_s, new.id)
        if is_new:
            for put in transaction.puts:
                self.feed.hurry()
                self._take(stores.Entry(put.key, put.value, 0))
        return is_new

    def _make_acceptance(
        self, new: batch.Batch, now_ms: int
    ) -> stores.Transaction:
        groups = _split(new.items, self.part_bytes)
        head = Specification(
            now_ms, len(groups), attrs.evolve(new, items=groups[0])
        )
        values = [_encode(head)]
        values += [_encode(Items(items)) for items in groups[1:]]
        keys = [
            key_of(new.id, SPECIFICATION, str(number))
            for number in range(len(values))
        ]
        return stores.Transaction(
            [stores.Condition(keys[0], stores.ABSENT)],
            [stores.Put(k, v) for k, v in zip(keys, values, strict=True)],
        )

    async def _commit_for_sure(
        self,
        transaction: stores.Transaction,
        patience_s: float,
        batch_id: str,
    ) -> bool:
        """Commits; whether a lost answer took effect shows in a repetition."""
        until = self.clock.monotonic() + patience_s
        may_have_run = False
        pause_s = RETRY_S
        while True:
            try:
                revision = await self.store.commit(transaction)
                return revision is not None
            except stores.StoreError as e:
                may_have_run = may_have_run or e.may_have_run
                events.log(
                    events.Event.BATCH_WRITE_FAILED,
                    batch=batch_id,
                    reason=e.reason,
                    may_have_run=e.may_have_run,
                )
            if self.clock.monotonic() + pause_s >= until:
                break
            await self.clock.sleep(pause_s)
            pause_s = min(RETRY_MOST_S, 2 * pause_s)
        if may_have_run:
            raise errors.ServiceError(
                errors.ResultCode.BATCH_UNDECIDED, run=errors.Run.UNKNOWN
            )
        raise errors.ServiceError(
            errors.ResultCode.STORE_UNAVAILABLE, retry_after_s=pause_s
        )

    async def find(self, batch_id: str, organisation: str) -> Record:
        """Returns a batch of an organisation.

        Raises:
            ServiceError: ``BATCH_UNKNOWN`` if the store has none, and
                ``STORE_UNAVAILABLE`` if that cannot be known.
        """
        record = self.records.get(batch_id)
        if record is None:
            await self.refresh(batch_id)
            record = self.records.get(batch_id)
        if record is None or record.batch.organisation != organisation:
            raise errors.ServiceError(errors.ResultCode.BATCH_UNKNOWN)
        return record

    async def refresh(self, batch_id: str) -> None:
        """Reads a batch's keys from the store itself.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE``.
        """
        prefix = key_of(batch_id, "")
        after, has_more = "", True
        try:
            while has_more:
                page = await self.store.scan(prefix, after)
                for entry in page.entries:
                    self.feed.apply(entry)
                has_more = page.has_more
                after = page.entries[-1].key if page.entries else after
        except stores.StoreError as e:
            if not await self._is_refreshed_by_followed_node():
                raise errors.ServiceError(
                    errors.ResultCode.STORE_UNAVAILABLE,
                    e.reason,
                    retry_after_s=0.5,
                ) from e

    async def _is_refreshed_by_followed_node(self) -> bool:
        """Waits a little for the mirror to become current by another node."""
        asked_at = self.clock.monotonic()
        with trio.move_on_after(REFRESH_S):
            while self.feed.current_at < asked_at:
                await self.feed.changed.wait()
            return True
        return False

    async def read(
        self, record: Record, after: int, wait_s: float
    ) -> list[batch.Result]:
        """Returns results from a position on, waiting for the first.

        Args:
            record: The batch.
            after: The position, counted from 0.
            wait_s: Seconds to wait for a result.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` if results may be missing.
        """
        if after > len(record.results):
            await self.refresh(record.batch.id)
        if after >= len(record.results) and record.is_open():
            self.readers += 1
            self.feed.hurry()
            try:
                await self._wait_for_result(record, after, wait_s)
            finally:
                self.readers -= 1
            is_empty = after >= len(record.results) and record.is_open()
            if is_empty and self.feed.age_s() > STALE_S:
                await self.refresh(record.batch.id)
        return _page(record.results[after:])

    async def _wait_for_result(
        self, record: Record, after: int, wait_s: float
    ) -> None:
        with trio.move_on_after(wait_s):
            while after >= len(record.results) and record.is_open():
                await self.feed.changed.wait()

    async def end(self, record: Record, patience_s: float) -> None:
        """Ends a batch; once it returns, the store knows it.

        Raises:
            ServiceError: ``STORE_UNAVAILABLE`` or ``BATCH_UNDECIDED``.
        """
        if record.is_ended:
            return
        key = key_of(record.batch.id, END)
        transaction = stores.Transaction(
            [stores.Condition(key, stores.ABSENT)], [stores.Put(key, b"1")]
        )
        await self._commit_for_sure(transaction, patience_s, record.batch.id)
        self._note_ended(record)
        self.feed.hurry()

    async def append(self, additions: list[tuple[Record, Chunk]]) -> bool:
        """Lists results of several batches at the next positions, or none.

        Returns:
            Whether they are listed. If not, the book has been brought up to
            date and the caller decides anew what is still to be listed.

        Raises:
            StoreError: If the fate is not known; it shows in the book later.
        """
        puts = []
        for record, chunk in additions:
            position = f"{len(record.results):06d}"
            key = key_of(record.batch.id, RESULTS, position)
            puts.append(stores.Put(key, _encode(chunk)))
        conditions = [stores.Condition(p.key, stores.ABSENT) for p in puts]
        revision = await self.store.commit(stores.Transaction(conditions, puts))
        if revision is None:
            for record, _ in additions:
                await self.refresh(record.batch.id)
            return False
        for put in puts:
            self.feed.apply(
                stores.Entry(put.key, put.value, revision, revision)
            )
        self.feed.announce()
        return True

    async def forget(self, record: Record) -> None:
        """Removes a batch that need not be read any more.

        Raises:
            StoreError: If the store cannot be reached.
        """
        prefix = key_of(record.batch.id, "")
        keys = [entry.key for entry in self.feed.under(prefix)]
        # The specification goes last, so that a half-removed batch is found
        # again by the next round.
        keys.sort(key=lambda key: SPECIFICATION in key)
        for start in range(0, len(keys), 32):
            removals = keys[start : start + 32]
            await self.store.commit(stores.Transaction(removals=removals))


def _page(results: list[batch.Result]) -> list[batch.Result]:
    page: list[batch.Result] = []
    size = 0
    for result in results:
        size += len(result.text) + 200
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page


def _split(items: list[batch.Item], limit: int) -> list[list[batch.Item]]:
    """Divides items so that each part fits into one value."""
    parts: list[list[batch.Item]] = [[]]
    size = 0
    for item in items:
        item_bytes = len(_encode(item))
        if parts[-1] and size + item_bytes > limit:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_bytes
    return parts


def _encode(value: object) -> bytes:
    return _converter.dumps(value)


def _decode(kind: type[T], value: bytes) -> T:
    return _converter.loads(value, kind)
