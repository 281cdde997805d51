"""The latest changes of a mirror, for other nodes to follow it."""

import collections
import uuid

import attrs

from kingcupscale.storage import store as stores

# Changes kept, and the bytes of their values; a node that is further behind
# reads from the store.
MAX_CHANGES = 3000
MAX_BYTES = 4_000_000


@attrs.frozen
class Position:
    """How far a follower has read.

    Attributes:
        log: Identity of the log; empty for none yet.
        number: Number of the last change read from it.
        revision: Store revision up to which the follower knows everything.
    """

    log: str
    number: int
    revision: int


@attrs.frozen
class Changes:
    """Changes since a position.

    Attributes:
        entries: The changes, in order.
        position: Where to go on.
        checksum: Of all keys and revisions of the other node.
        age_s: Seconds from when the mirror was known to be current until the
            follower asked; below 0 if it was current later than that.
    """

    entries: list[stores.Entry]
    position: Position
    age_s: float
    checksum: int


class ChangeLog:
    """Numbers the changes of a mirror in the order in which it saw them.

    A mirror takes over its own writes before it has seen all earlier ones, so
    a follower is told both what is new to it and up to which revision nothing
    is missing.
    """

    def __init__(self) -> None:
        self.id = uuid.uuid4().hex
        self.changes: collections.deque[tuple[int, stores.Entry]] = (
            collections.deque()
        )
        self.number = 0
        self.complete_from = 0
        self.size = 0

    def restart(self, revision: int) -> None:
        """Begins anew after everything was read at a revision."""
        self.id = uuid.uuid4().hex
        self.changes.clear()
        self.size = 0
        self.complete_from = revision

    def add(self, entry: stores.Entry) -> None:
        """Adds a change."""
        self.number += 1
        self.changes.append((self.number, entry))
        self.size += len(entry.value or b"")
        while len(self.changes) > MAX_CHANGES or self.size > MAX_BYTES:
            _, dropped = self.changes.popleft()
            self.size -= len(dropped.value or b"")
            self.complete_from = max(self.complete_from, dropped.revision)

    def since(self, position: Position) -> list[stores.Entry] | None:
        """Returns the changes past a position, or None if some are lost."""
        if position.log == self.id:
            if self.changes and position.number < self.changes[0][0] - 1:
                return None
            new = self.number - position.number
            return [self.changes[i][1] for i in range(-new, 0)] if new else []
        if position.revision < self.complete_from:
            return None
        return [e for _, e in self.changes if e.revision > position.revision]
