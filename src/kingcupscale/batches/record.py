"""What the store holds of a batch, and a batch as one node knows it."""

from typing import TypeVar

import attrs

from kingcupscale import codec
from kingcupscale.batches import batch

T = TypeVar("T")

PREFIX = "kingcupscale/batches/"
# Results have a prefix of their own, so that all batches can be listed
# without the texts.
RESULTS_PREFIX = "kingcupscale/results/"
SPECIFICATION = "specification"
END = "end"
# Most results in one answer, by the size of their texts in bytes.
PAGE_BYTES = 900_000
# Bytes of a result beside its text, roughly.
RESULT_BYTES = 200

_converter = codec.make_wire_converter()


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


@attrs.frozen
class RecordSnapshot:
    """All that a node knows of a batch, for another node.

    Attributes:
        revision: Store revision up to which nothing is missing.
        submitted_ms: When it came, in milliseconds since 1970.
        batch: The batch with all of its items.
        results: The listed results, in order of position.
        is_ended: Whether its sender has ended it.
    """

    revision: int
    submitted_ms: int
    batch: batch.Batch
    results: list[batch.Result]
    is_ended: bool


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
        is_current: Whether all changes of it have been heard since it was
            loaded.
        misses: How often changes of it may have been missed.
    """

    batch: batch.Batch
    submitted_ms: int
    results: list[batch.Result] = attrs.field(factory=list)
    chunks: dict[int, list[batch.Result]] = attrs.field(factory=dict)
    listed: set[str] = attrs.field(factory=set)
    is_ended: bool = False
    is_removed: bool = False
    is_current: bool = True
    missed_updates: int = 0

    def has_result(self, item: str) -> bool:
        """Tells whether an item has its result."""
        return item in self.listed

    def add_chunk(self, first: int, results: list[batch.Result]) -> None:
        """Takes over listed results, and those that follow them."""
        if first < len(self.results):
            return
        self.chunks[first] = results
        while len(self.results) in self.chunks:
            following = self.chunks.pop(len(self.results))
            self.results += following
            self.listed.update(result.item for result in following)

    def add_encoded_chunk(self, first: int, value: bytes) -> None:
        """Takes over a chunk as the store holds it.

        Raises:
            ValueError: If it makes no sense, or a
                ``cattrs.BaseValidationError``.
        """
        if value:
            self.add_chunk(first, decode(Chunk, value).results)
        is_left_out = not value and first >= len(self.results)
        if is_left_out or self.chunks:
            # What is missing may have been told before it was wanted.
            self.mark_incomplete()

    def mark_incomplete(self) -> None:
        """Notes that results may be missing until they are read."""
        self.is_current = False
        self.missed_updates += 1

    def mark_ended(self) -> None:
        """Notes the end; bodies need not be shown any more after it."""
        if self.is_ended:
            return
        self.is_ended = True
        self.batch = without_bodies(self.batch)

    def is_open(self) -> bool:
        """Tells whether items are still to be run."""
        return not (
            self.is_ended
            or self.is_removed
            or len(self.results) >= len(self.batch.items)
        )

    def size(self) -> int:
        """Returns the bytes of its results, roughly."""
        return sum(len(r.text) + RESULT_BYTES for r in self.results)

    def page(self, after: int) -> list[batch.Result]:
        """Returns the results from a position on that fit into an answer."""
        page: list[batch.Result] = []
        size = 0
        for result in self.results[after:]:
            size += len(result.text) + RESULT_BYTES
            if page and size > PAGE_BYTES:
                break
            page.append(result)
        return page

    def snapshot(self, revision: int) -> RecordSnapshot:
        """Returns it for another node."""
        return RecordSnapshot(
            revision,
            self.submitted_ms,
            self.batch,
            list(self.results),
            self.is_ended,
        )


def without_bodies(whole: batch.Batch) -> batch.Batch:
    """Returns what is still shown of a batch that has been ended."""
    items = [
        attrs.evolve(item, body=b"", headers={}, scorer=None)
        for item in whole.items
    ]
    return attrs.evolve(whole, items=items)


def from_snapshot(copy: RecordSnapshot) -> Record:
    """Returns a batch as another node knows it."""
    record = Record(copy.batch, copy.submitted_ms)
    record.add_chunk(0, copy.results)
    record.is_ended = copy.is_ended
    return record


def assemble(parts: dict[str, bytes]) -> Record | None:
    """Returns the batch that a specification's parts make, once all are there.

    Raises:
        ValueError: If a part makes no sense, or a
            ``cattrs.BaseValidationError``.
    """
    if "0" not in parts:
        return None
    head = decode(Specification, parts["0"])
    if len(parts) < head.parts:
        return None
    items = list(head.batch.items)
    for part in range(1, head.parts):
        items += decode(Items, parts[str(part)]).items
    whole = attrs.evolve(head.batch, items=items)
    return Record(whole, head.submitted_ms)


def batch_key(batch_id: str, *parts: str) -> str:
    """Returns a key of a batch."""
    return "/".join([PREFIX + batch_id, *parts])


def result_key(batch_id: str, position: int) -> str:
    """Returns the key of a chunk of results."""
    return f"{RESULTS_PREFIX}{batch_id}/{position:06d}"


def batch_id_of(key: str) -> str | None:
    """Returns the batch that a key belongs to, if it belongs to one."""
    for prefix in (PREFIX, RESULTS_PREFIX):
        if key.startswith(prefix):
            return key.removeprefix(prefix).partition("/")[0]
    return None


def split(items: list[batch.Item], limit: int) -> list[list[batch.Item]]:
    """Divides items so that each part fits into one value."""
    parts: list[list[batch.Item]] = [[]]
    size = 0
    for item in items:
        item_bytes = len(encode(item))
        if parts[-1] and size + item_bytes > limit:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_bytes
    return parts


def encode(value: object) -> bytes:
    """Returns a value as the store holds it."""
    return _converter.dumps(value)


def decode(kind: type[T], value: bytes) -> T:
    """Returns a value as it was.

    Raises:
        ValueError: If it is no JSON, or a ``cattrs.BaseValidationError`` if it
            is not of this kind.
    """
    return _converter.loads(value, kind)
