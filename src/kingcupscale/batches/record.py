"""Stored form of a batch, and the record that a node keeps of it in memory.

Owns the store keys and value types of batches and their results, their
encoding, and ``Record``, which collects a batch's results in order.
"""

import enum
from typing import TypeVar

import attrs
import orjson

from kingcupscale import codec
from kingcupscale.batches import batch

T = TypeVar("T")

PREFIX = "kingcupscale/batches/"
# Results have a prefix of their own, so that a scan of all batches does not
# read their texts.
RESULTS_PREFIX = "kingcupscale/results/"
# Segments of store keys that follow the batch id.
SPECIFICATION = "specification"
END = "end"
# Maximum estimated size of the results in one response.
MAX_PAGE_BYTES = 900_000
# Estimated bytes of a result in addition to its text.
RESULT_OVERHEAD_BYTES = 200

_converter = codec.make_wire_converter()


@attrs.frozen
class Specification:
    """First stored value of a batch, written when the batch is accepted.

    Attributes:
        submitted_ms: Submission time in milliseconds since the Unix epoch.
        parts: Number of stored values that the items are split over.
        batch: The batch with the items of the first part only.
    """

    submitted_ms: int
    parts: int
    batch: batch.Batch


@attrs.frozen
class Items:
    """Stored value with the items of one further part of a batch."""

    items: list[batch.Item]


@attrs.frozen
class Chunk:
    """Stored value with results at consecutive positions."""

    results: list[batch.Result]


@attrs.frozen
class RecordSnapshot:
    """A node's record of a batch, as sent to another node.

    Attributes:
        revision: Store revision up to which the snapshot is complete.
        submitted_ms: Submission time in milliseconds since the Unix epoch.
        batch: The batch with all of its items.
        results: Results that are in the store, in order of position.
        is_ended: Whether the client has ended the batch.
        is_end_confirmed: Whether the results have been read from the store
            since the batch ended; False from a node of an earlier release.
    """

    revision: int
    submitted_ms: int
    batch: batch.Batch
    results: list[batch.Result]
    is_ended: bool
    is_end_confirmed: bool = False


class Origin(enum.Enum):
    """What a node made its record of a batch from."""

    SPECIFICATION = "specification"
    SNAPSHOT = "snapshot"
    ANNOUNCEMENT = "announcement"
    STORE = "store"


@attrs.define(eq=False)
class Record:
    """In-memory record of a batch and of its results in the store.

    Attributes:
        batch: The batch with all of its items.
        submitted_ms: Submission time in milliseconds since the Unix epoch.
        results: Results that are in the store, in order of position.
        unordered_chunks: Chunks received before their predecessors, by first
            position.
        finished_items: Ids of the items whose result is in ``results``.
        is_ended: Whether the client has ended the batch.
        is_removed: Whether the batch has been removed from the store.
        is_current: Whether the record has received every change since it was
            loaded.
        missed_updates: How often changes may have been missed. A caller
            compares two readings to detect a miss in between.
        is_end_confirmed: Whether the results have been read from the store
            since the batch ended.
        origin: What the record was made from, for the log.
        origin_revision: Store revision of the snapshot that it was made from;
            0 for any other origin.
    """

    batch: batch.Batch
    submitted_ms: int
    results: list[batch.Result] = attrs.field(factory=list)
    unordered_chunks: dict[int, list[batch.Result]] = attrs.field(factory=dict)
    finished_items: set[str] = attrs.field(factory=set)
    is_ended: bool = False
    is_removed: bool = False
    is_current: bool = True
    missed_updates: int = 0
    is_end_confirmed: bool = False
    origin: Origin = Origin.SPECIFICATION
    origin_revision: int = 0

    def has_result(self, item: str) -> bool:
        """Returns whether the store is known to hold an item's result."""
        return item in self.finished_items

    def add_chunk(self, first: int, results: list[batch.Result]) -> None:
        """Adds results at a position, and waiting chunks that follow them.

        A chunk that starts before the end of ``results`` is already known and
        is ignored.
        """
        if first < len(self.results):
            return
        self.unordered_chunks[first] = results
        while len(self.results) in self.unordered_chunks:
            following = self.unordered_chunks.pop(len(self.results))
            self.results += following
            self.finished_items.update(result.item for result in following)

    def add_encoded_chunk(self, first: int, value: bytes) -> None:
        """Adds a chunk as encoded in the store.

        Args:
            first: Position of the chunk's first result.
            value: The encoded chunk; empty if its value was omitted.

        Raises:
            ValueError: If the value is not JSON.
            cattrs.BaseValidationError: If it is not an encoded chunk.
        """
        if value:
            self.add_chunk(first, decode(Chunk, value).results)
        is_omitted = not value and first >= len(self.results)
        if is_omitted or self.unordered_chunks:
            # The missing results may have been sent before this node asked
            # for the batch, so they must be read from the store.
            self.mark_incomplete()

    def mark_incomplete(self) -> None:
        """Marks results as possibly missing until the next refresh."""
        self.is_current = False
        self.missed_updates += 1

    def mark_ended(self) -> None:
        """Marks the batch as ended and drops its request bodies.

        Bodies of an ended batch are not served any more.
        """
        if self.is_ended:
            return
        self.is_ended = True
        self.batch = without_bodies(self.batch)

    def needs_confirmation(self) -> bool:
        """Returns whether the batch ended and may have further results.

        An open batch is read again until it is complete, but a reader of an
        ended one takes missing results as final. So its results have to be read
        from the store once since the end.
        """
        is_complete = len(self.results) >= len(self.batch.items)
        return self.is_ended and not self.is_end_confirmed and not is_complete

    def is_open(self) -> bool:
        """Returns whether the batch still has items to run."""
        return not (
            self.is_ended
            or self.is_removed
            or len(self.results) >= len(self.batch.items)
        )

    def estimated_bytes(self) -> int:
        """Returns the estimated size of all results and bodies in bytes.

        The bodies are dropped when the batch ends, not when it is complete.
        """
        results = sum(len(r.text) + RESULT_OVERHEAD_BYTES for r in self.results)
        return results + sum(len(item.body) for item in self.batch.items)

    def page(self, after: int) -> list[batch.Result]:
        """Returns results from a position on, as many as fit in a response.

        At least one result is returned if there is one, whatever its size.
        """
        page: list[batch.Result] = []
        estimated_bytes = 0
        for result in self.results[after:]:
            estimated_bytes += encoded_bytes(result)
            if page and estimated_bytes > MAX_PAGE_BYTES:
                break
            page.append(result)
        return page

    def snapshot(self, revision: int) -> RecordSnapshot:
        """Returns a snapshot to send to another node.

        Args:
            revision: Store revision up to which this record is complete.
        """
        return RecordSnapshot(
            revision,
            self.submitted_ms,
            self.batch,
            list(self.results),
            self.is_ended,
            self.is_end_confirmed,
        )


def encoded_bytes(result: batch.Result) -> int:
    """Returns the estimated size of a result in the store or in a response.

    Its text is measured as encoded: a character may take several bytes.
    """
    return len(orjson.dumps(result.text)) + RESULT_OVERHEAD_BYTES


def without_bodies(whole: batch.Batch) -> batch.Batch:
    """Returns a batch without request bodies, headers and scoring calls.

    This is what remains of a batch after its end.
    """
    items = [
        attrs.evolve(item, body=b"", headers={}, scorer=None)
        for item in whole.items
    ]
    return attrs.evolve(whole, items=items)


def from_snapshot(
    snapshot: RecordSnapshot, origin: Origin = Origin.SNAPSHOT
) -> Record:
    """Returns a record made from another node's snapshot."""
    record = Record(
        snapshot.batch,
        snapshot.submitted_ms,
        is_end_confirmed=snapshot.is_end_confirmed,
        origin=origin,
        origin_revision=snapshot.revision,
    )
    record.add_chunk(0, snapshot.results)
    record.is_ended = snapshot.is_ended
    return record


def assemble(parts: dict[str, bytes]) -> Record | None:
    """Returns the record of a batch from its stored parts.

    Args:
        parts: Stored values by part number.

    Returns:
        The record, or None if a part is missing.

    Raises:
        ValueError: If a part is not JSON.
        cattrs.BaseValidationError: If a part has an unexpected structure.
    """
    if "0" not in parts:
        return None
    specification = decode(Specification, parts["0"])
    if len(parts) < specification.parts:
        return None
    items = list(specification.batch.items)
    for part in range(1, specification.parts):
        items += decode(Items, parts[str(part)]).items
    whole = attrs.evolve(specification.batch, items=items)
    return Record(whole, specification.submitted_ms)


def batch_key(batch_id: str, *parts: str) -> str:
    """Returns the store key made of a batch's prefix and further segments."""
    return "/".join([PREFIX + batch_id, *parts])


def result_key(batch_id: str, position: int) -> str:
    """Returns the store key of the chunk that starts at a position."""
    return f"{RESULTS_PREFIX}{batch_id}/{position:06d}"


def batch_id_of(key: str) -> str | None:
    """Returns the id of the batch that a store key belongs to, or None."""
    for prefix in (PREFIX, RESULTS_PREFIX):
        if key.startswith(prefix):
            return key.removeprefix(prefix).partition("/")[0]
    return None


def split(items: list[batch.Item], limit: int) -> list[list[batch.Item]]:
    """Splits items into parts of at most ``limit`` encoded bytes.

    An item that is larger than the limit gets a part of its own.
    """
    parts: list[list[batch.Item]] = [[]]
    estimated_bytes = 0
    for item in items:
        item_bytes = len(encode(item))
        if parts[-1] and estimated_bytes + item_bytes > limit:
            parts.append([])
            estimated_bytes = 0
        parts[-1].append(item)
        estimated_bytes += item_bytes
    return parts


def encode(value: object) -> bytes:
    """Returns an object encoded for the store."""
    return _converter.dumps(value)


def decode(kind: type[T], value: bytes) -> T:
    """Returns the object that a stored value encodes.

    Raises:
        ValueError: If the value is not JSON.
        cattrs.BaseValidationError: If its structure does not match ``kind``.
    """
    return _converter.loads(value, kind)
