"""Interface of the shared store: transactions, leases and watches."""

import collections
from typing import Protocol

import attrs

ABSENT = 0
NO_LEASE = 0
# Most conditions, puts and removals of one transaction together, in every
# supported store.
MAX_TRANSACTION_ENTRIES = 32


class StoreError(Exception):
    """A call to the store failed or returned an unusable response.

    Args:
        reason: Description of the failure.
        may_have_run: Whether the call took effect or may still take effect.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class HistoryLostError(Exception):
    """A watch starts at a revision that the store has already compacted."""


class LeaseEndedError(Exception):
    """A lease has expired, was revoked or never existed."""


@attrs.frozen
class Entry:
    """A key with its value.

    Attributes:
        key: The key.
        value: The value; None if the key was removed.
        revision: Store-wide revision of the last change of the key.
        created: Store-wide revision at which the key was created.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


@attrs.frozen
class Page:
    """A page of entries.

    Attributes:
        entries: Entries in key order; those of a watch in order of change.
        revision: Store revision at which the entries were read.
        has_more: Whether more entries follow the last key.
    """

    entries: list[Entry]
    revision: int
    has_more: bool = False


@attrs.frozen
class Condition:
    """Requires that a key has a revision; ``ABSENT`` if it must not exist."""

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
    """Writes and removals that are executed atomically.

    Nothing is executed unless all conditions hold.
    """

    conditions: list[Condition] = attrs.field(factory=list)
    puts: list[Put] = attrs.field(factory=list)
    removals: list[str] = attrs.field(factory=list)

    def fits(self, value_bytes: int) -> bool:
        """Returns whether the store accepts its number of entries and values.

        A transaction that does not fit is refused each time it is sent.

        Args:
            value_bytes: Maximum size of a value in bytes.
        """
        count = len(self.conditions) + len(self.puts) + len(self.removals)
        return count <= MAX_TRANSACTION_ENTRIES and all(
            len(put.value) <= value_bytes for put in self.puts
        )


class Store(Protocol):
    """Client of the shared store. All calls may raise ``StoreError``.

    Attributes:
        calls: Number of calls by kind.
    """

    calls: collections.Counter[str]

    async def get(self, key: str) -> Entry | None:
        """Returns one entry, or None if there is none."""
        ...

    async def scan(self, prefix: str, after: str = "") -> Page:
        """Returns a page of the entries under a prefix, after a key."""
        ...

    async def read_revision(self) -> int:
        """Returns the store's revision, which includes all earlier changes."""
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Returns changes after a revision, waiting for the first one.

        The page may contain only the first of the changes. It may be empty
        although there are changes, before the store compacts them.

        Args:
            prefix: Prefix of the keys.
            after: The revision.
            wait_s: Maximum wait in seconds; the page is empty after that.

        Raises:
            HistoryLostError: If the store has compacted these changes.
        """
        ...

    async def commit(self, transaction: Transaction) -> int | None:
        """Returns the new revision, or None if a condition did not hold.

        Raises:
            LeaseEndedError: If a lease of the transaction has expired.
        """
        ...

    async def grant(self, ttl_s: float) -> int:
        """Returns the number of a new lease."""
        ...

    async def renew(self, lease: int) -> None:
        """Renews a lease.

        Raises:
            LeaseEndedError: If it has expired.
        """
        ...

    async def revoke(self, lease: int) -> None:
        """Revokes a lease and removes its keys."""
        ...
