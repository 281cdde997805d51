"""Decides which connections stay open when there are too many of them.

Load pattern: clients open connections without sending a request, or without
completing it, and open them again when they are closed.
"""

import collections
from collections.abc import Iterable
import enum

import attrs

from kingcupscale.web import clientlimits

# Connections that each listener can always open, as a share of all, so that
# the clients of one listener cannot keep those of another one away.
RESERVED_SHARE = 1 / 32
MIN_RESERVED = 2
# A body of which nothing arrived for this long may be closed for a new
# connection if there are no idle connections and no incomplete headers.
STALLED_S = 1.0


class Reason(enum.Enum):
    """Why a connection was closed."""

    TOO_MANY = "too_many"
    IDLE = "idle"
    HEADER_TIMEOUT = "header_timeout"
    NOT_READ = "not_read"


class State(enum.IntEnum):
    """What a connection is waiting for; the first ones are closed first."""

    IDLE = 0
    HEADERS = 1
    BODY = 2
    HANDLING = 3


@attrs.frozen
class Candidate:
    """An open connection.

    Attributes:
        number: Number that identifies it.
        address: Address of the client.
        state: What it is waiting for.
        since: Time at which it began to wait, or for a body, at which its
            last bytes arrived.
    """

    number: int
    address: str
    state: State
    since: float


class ConnectionLimits:
    """The number of open connections of a process, over all listeners.

    Args:
        limits: The limits of the process.
        listeners: Names of the listeners.

    Attributes:
        open: Number of open connections by listener.
        closed: Number of closed connections by reason.
    """

    def __init__(
        self, limits: clientlimits.ClientLimits, listeners: Iterable[str]
    ) -> None:
        self.limits = limits
        self.open = dict.fromkeys(listeners, 0)
        self.by_address: collections.Counter[str] = collections.Counter()
        self.closed: collections.Counter[Reason] = collections.Counter()
        share = int(RESERVED_SHARE * limits.connections)
        self.reserved = max(MIN_RESERVED, share)

    def is_full_for(self, listener: str, address: str) -> bool:
        """Returns whether a further connection needs another one to close."""
        others = sum(
            max(number, self.reserved)
            for name, number in self.open.items()
            if name != listener
        )
        if self.open[listener] + others >= self.limits.connections:
            return True
        return self.is_address_full(address)

    def is_address_full(self, address: str) -> bool:
        """Returns whether an address has as many connections as allowed."""
        return self.by_address[address] >= self.limits.address_connections

    def add(self, listener: str, address: str) -> None:
        """Counts a connection that was opened."""
        self.open[listener] += 1
        self.by_address[address] += 1

    def remove(self, listener: str, address: str) -> None:
        """Counts a connection that was closed."""
        self.open[listener] -= 1
        self.by_address[address] -= 1
        if not self.by_address[address]:
            del self.by_address[address]


def choose_victim(candidates: list[Candidate], now: float) -> Candidate | None:
    """Returns the connection to close for a new one; None to refuse that.

    Args:
        candidates: The open connections of the listener.
        now: The time on the clock of ``Candidate.since``.
    """
    closable = [
        candidate
        for candidate in candidates
        if candidate.state < State.BODY
        or (
            candidate.state is State.BODY and now - candidate.since >= STALLED_S
        )
    ]
    return min(closable, key=lambda c: (c.state, c.since), default=None)
