"""The shared store as the product sees it: transactions, leases, watches."""

import collections
from typing import Protocol

import attrs

ABSENT = 0
NO_LEASE = 0


class StoreError(Exception):
    """A call to the store that brought no usable answer.

    Args:
        reason: What went wrong.
        may_have_run: Whether the call took effect or may do so later.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class HistoryLostError(Exception):
    """A watch that starts before the history that the store still has."""


class LeaseEndedError(Exception):
    """A lease that the store does not know or no longer knows."""


@attrs.frozen
class Entry:
    """A key with its value.

    Attributes:
        key: Its name.
        value: Its bytes; None if the key was removed.
        revision: Store-wide number of its last change.
        created: Store-wide number of the change that created it.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@attrs.frozen
class Page:
    """Entries, with the revision of the store that they are as of.

    Attributes:
        entries: In key order, or in order of change from a watch.
        revision: The store's revision.
        has_more: Whether further entries follow the last key.
    """

    entries: list[Entry]
    revision: int
    has_more: bool = False


@attrs.frozen
class Condition:
    """A key's revision that must hold; ``ABSENT`` if it must not exist."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """A value to write, bound to a lease unless ``NO_LEASE``."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@attrs.frozen
class Transaction:
    """Writes and removals that take effect together, or not at all."""

    conditions: list[Condition] = attrs.field(factory=list)
    puts: list[Put] = attrs.field(factory=list)
    removals: list[str] = attrs.field(factory=list)


class Store(Protocol):
    """What the product asks of the store. All calls raise ``StoreError``.

    Attributes:
        calls: Calls that were made, by kind.
    """

    calls: collections.Counter[str]

    async def get(self, key: str) -> Entry | None:
        """Returns one entry, or None if there is none."""
        ...

    async def scan(self, prefix: str, after: str = "") -> Page:
        """Returns a page of the entries under a prefix, past a key."""
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Returns changes past a revision, waiting for the first.

        Raises:
            HistoryLostError: If those changes are no longer known.
        """
        ...

    async def commit(self, transaction: Transaction) -> int | None:
        """Returns the new revision, or None if a condition did not hold.

        Raises:
            LeaseEndedError: If a lease of the transaction has ended.
        """
        ...

    async def grant(self, ttl_s: float) -> int:
        """Returns the number of a new lease."""
        ...

    async def renew(self, lease: int) -> None:
        """Renews a lease.

        Raises:
            LeaseEndedError: If it has ended.
        """
        ...

    async def revoke(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        ...
