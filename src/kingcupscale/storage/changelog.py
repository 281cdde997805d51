"""Log of the latest changes of a mirror, read by nodes that follow it."""

import collections
import uuid

import attrs

from kingcupscale.storage import store as stores

# Limits of the log: number of changes, and total size of their values. A node
# that is further behind reads from the store.
MAX_CHANGES = 3000
MAX_BYTES = 4_000_000
# A followed mirror that is older than this, and has received nothing for as
# long, is not used; the store is watched instead.
MAX_FOLLOWED_AGE_S = 1.1


@attrs.frozen
class Position:
    """A follower's position in a change log.

    Attributes:
        log: Id of the log; empty if none was read yet.
        number: Number of the last change that was read from it.
        revision: Store revision up to which the follower has all changes.
    """

    log: str
    number: int
    revision: int


@attrs.frozen
class Changes:
    """Changes since a position.

    Attributes:
        entries: The changes, in order.
        position: Position after them.
        age_s: Seconds between the time at which the followed mirror was known
            to be current and the arrival of the request; negative if the
            mirror was current later than that.
        checksum: Checksum of all keys and revisions of the followed mirror.
        advanced_s: Seconds since the followed mirror received changes from the
            store, at the arrival of the request.
        is_unreachable: Whether the store does not respond to the followed node.
    """

    entries: list[stores.Entry]
    position: Position
    age_s: float
    checksum: int
    advanced_s: float = float("inf")
    is_unreachable: bool = False

    def is_recent(self, elapsed_s: float) -> bool:
        """Returns whether the followed mirror is recent.

        The age at the arrival of the request is not enough: if two nodes follow
        each other, both only get older while one waits for the other.

        Args:
            elapsed_s: Seconds since the request was sent.
        """
        return self.age_s + elapsed_s <= MAX_FOLLOWED_AGE_S

    def is_advancing(self, elapsed_s: float) -> bool:
        """Returns whether the followed mirror receives changes of the store.

        Followers keep to such a node even if it is behind. If each of them read
        the same changes from the store, the load would delay all of them.

        Args:
            elapsed_s: Seconds since the request was sent.
        """
        return self.advanced_s + elapsed_s <= MAX_FOLLOWED_AGE_S


class ChangeLog:
    """Numbered changes of a mirror, in the order in which it applied them.

    A mirror applies its node's own writes before it has received all earlier
    changes, so numbers and revisions may be in different order. A follower
    therefore tracks both the number of the last change that it read and the
    revision up to which it has all changes.

    Attributes:
        id: Id of the log; a new one after each restart.
        changes: The latest changes with their numbers.
        number: Number of the last change.
        complete_from: Revision after which the log contains all changes.
        size: Total size of the values, in bytes.
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
        """Empties the log after all keys were read as of a revision."""
        self.id = uuid.uuid4().hex
        self.changes.clear()
        self.size = 0
        self.complete_from = revision

    def add(self, entry: stores.Entry) -> None:
        """Adds a change; drops the oldest ones beyond the limits."""
        self.number += 1
        self.changes.append((self.number, entry))
        self.size += len(entry.value or b"")
        while len(self.changes) > MAX_CHANGES or self.size > MAX_BYTES:
            _, dropped = self.changes.popleft()
            self.size -= len(dropped.value or b"")
            self.complete_from = max(self.complete_from, dropped.revision)

    def since(self, position: Position) -> list[stores.Entry] | None:
        """Returns the changes after a position, or None if any was dropped."""
        if position.log == self.id:
            if self.changes and position.number < self.changes[0][0] - 1:
                return None
            count = self.number - position.number
            return (
                [self.changes[i][1] for i in range(-count, 0)] if count else []
            )
        if position.revision < self.complete_from:
            return None
        return [e for _, e in self.changes if e.revision > position.revision]
