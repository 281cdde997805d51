"""The order in which waiting calls get free servers.

Load pattern: more calls than room, from organisations that send unequal
numbers. The class priority comes first. Within a class, the organisation for
which the servers have worked least recently is next, so that one that sends
many calls does not delay the others. Background calls come after the callers'
calls of their class, and are charged to no organisation: those of an open route
have the same, empty name.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import itertools
import math

import attrs

from kingcupscale.fleet import registry

# Time constant of the decaying sum of an organisation's work.
WORK_TIME_S = 10.0
# Most organisations whose work is kept; the oldest are dropped first.
MAX_ORGANISATIONS = 1000


@attrs.define(eq=False)
class Waiter:
    """A call that waits for a server.

    Attributes:
        priority: Its priority; 0 is the most urgent.
        organisation: Name of its organisation; empty on an open route.
        group: Waiters of the same group may use the same servers.
        is_background: Whether it is work for this service itself.
        number: Its number in the order of arrival.
        granted: The server that it got; None while it waits.
    """

    priority: int
    organisation: str
    group: Hashable
    is_background: bool = False
    number: int = 0
    granted: registry.Server | None = None


@attrs.define
class Work:
    """The work that servers have done for an organisation.

    Attributes:
        seconds: Slot-seconds, decaying exponentially.
        updated_at: Monotonic time of the last change.
    """

    seconds: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Returns the decayed work."""
        age_s = max(0.0, now - self.updated_at)
        return self.seconds * math.exp(-age_s / WORK_TIME_S)


class WaitQueue:
    """The waiting calls of one service.

    Attributes:
        waiters: The waiting calls in the order of arrival.
        work: Work by organisation.
    """

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.work: dict[str, Work] = {}
        self._numbers = itertools.count()

    def add(self, waiter: Waiter) -> None:
        """Adds a call."""
        waiter.number = next(self._numbers)
        self.waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Removes a call, if it still waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def charge(self, organisation: str, seconds: float, now: float) -> None:
        """Adds work for an organisation; a negative amount corrects it."""
        done = self.work.pop(organisation, None) or Work()
        done.seconds = max(0.0, done.at(now) + seconds)
        done.updated_at = now
        self.work[organisation] = done
        while len(self.work) > MAX_ORGANISATIONS:
            del self.work[next(iter(self.work))]

    def ordered(self, now: float) -> list[Waiter]:
        """Returns the waiting calls, the next one first."""
        done = {name: work.at(now) for name, work in self.work.items()}
        return sorted(
            self.waiters,
            key=lambda waiter: (
                waiter.priority,
                waiter.is_background,
                0.0
                if waiter.is_background
                else done.get(waiter.organisation, 0.0),
                waiter.number,
            ),
        )

    def grant(
        self,
        find_server: Callable[[Waiter], registry.Server | None],
        expected_s: float,
        now: float,
    ) -> Iterator[Waiter]:
        """Gives free servers to the waiting calls and yields these calls.

        A call for which no server is free does not hold up those that may use
        others.

        Args:
            find_server: Returns a free server for a call, or None. It must
                take the calls into account that have been yielded.
            expected_s: Expected work of a call, which its organisation is
                charged, except for background calls.
            now: Monotonic time.
        """
        without_server: set[Hashable] = set()
        while True:
            waiter = self._grant_next(find_server, without_server, now)
            if waiter is None:
                return
            self.waiters.remove(waiter)
            if not waiter.is_background:
                self.charge(waiter.organisation, expected_s, now)
            yield waiter

    def _grant_next(
        self,
        find_server: Callable[[Waiter], registry.Server | None],
        without_server: set[Hashable],
        now: float,
    ) -> Waiter | None:
        for waiter in self.ordered(now):
            if waiter.group in without_server:
                continue
            waiter.granted = find_server(waiter)
            if waiter.granted is not None:
                return waiter
            without_server.add(waiter.group)
        return None
