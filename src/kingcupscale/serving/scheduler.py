"""Giving waiting requests a server, in order of service."""

from collections.abc import AsyncIterator
import contextlib

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.configuration import document
from kingcupscale.serving import queue
from kingcupscale.serving import routing

TICK_S = 0.1
SERVICE_TIME_WEIGHT = 0.1
RETRY_AFTER_LEAST_S = 0.5


@attrs.define(eq=False)
class Ticket:
    """A request for a server.

    Attributes:
        organisation: Whose it is.
        service_class: Class of the work.
        cost: Tokens it is expected to take.
        wish: What it asks of a server.
        server: The server it was given.
        given: Set once it has one.
    """

    organisation: str
    service_class: document.ServiceClass
    cost: float
    wish: routing.Wish
    server: routing.ServerState | None = None
    given: trio.Event = attrs.field(factory=trio.Event)


class Scheduler:
    """The queue before one service's servers, on one node.

    Args:
        router: Knows the servers.
        clock: Tells the time.
    """

    def __init__(self, router: routing.Router, clock: clocks.Clock) -> None:
        self.router = router
        self.clock = clock
        self.queue: queue.FairQueue[Ticket] = queue.FairQueue()
        self.service_s = 0.0

    @contextlib.asynccontextmanager
    async def slot(self, ticket: Ticket) -> AsyncIterator[routing.ServerState]:
        """Waits for a server and holds a slot on it.

        Raises:
            ServiceError: ``QUEUE_FULL``, ``NO_SERVER`` or
                ``DEADLINE_UNMET``; none of them has run.
        """
        state = await self._wait(ticket)
        started_at = self.clock.monotonic()
        try:
            yield state
        finally:
            state.in_flight -= 1
            self._learn(self.clock.monotonic() - started_at)
            self.dispatch()

    async def _wait(self, ticket: Ticket) -> routing.ServerState:
        self._refuse_early(ticket)
        entry = queue.Entry(
            ticket,
            ticket.service_class.priority,
            ticket.organisation,
            ticket.cost,
        )
        self.queue.push(entry)
        self.dispatch()
        if ticket.server is not None:
            return ticket.server
        try:
            with trio.move_on_after(ticket.service_class.deadline_s):
                await ticket.given.wait()
        except trio.Cancelled:
            self._give_up(entry)
            raise
        if ticket.server is None:
            self.queue.remove(entry)
            raise self._refusal(errors.ResultCode.DEADLINE_UNMET)
        return ticket.server

    def _give_up(self, entry: queue.Entry[Ticket]) -> None:
        state = entry.item.server
        if state is None:
            self.queue.remove(entry)
        else:
            state.in_flight -= 1
            self.dispatch()

    def _refuse_early(self, ticket: Ticket) -> None:
        service_class = ticket.service_class
        if not self.router.usable(ticket.wish):
            raise self._refusal(errors.ResultCode.NO_SERVER)
        if self.queue.count(service_class.priority) >= service_class.queue:
            raise self._refusal(errors.ResultCode.QUEUE_FULL)
        if self.expected_wait_s(service_class) > service_class.deadline_s:
            raise self._refusal(errors.ResultCode.DEADLINE_UNMET)

    def expected_wait_s(self, service_class: document.ServiceClass) -> float:
        """Returns how long a new request of a class would wait, in seconds."""
        ahead = sum(
            self.queue.count(priority)
            for priority in self.queue.waiting
            if priority >= service_class.priority
        )
        servers = self.router.usable(routing.Wish(cheap=True))
        slots = sum(state.slots() for state in servers)
        return ahead * self.service_s / max(1, slots)

    def _refusal(self, code: errors.ResultCode) -> errors.ServiceError:
        wait_s = len(self.queue) * self.service_s
        wait_s /= max(1, len(self.router.servers))
        return errors.ServiceError(
            code, retry_after_s=max(RETRY_AFTER_LEAST_S, wait_s)
        )

    def _learn(self, seconds: float) -> None:
        self.service_s += SERVICE_TIME_WEIGHT * (seconds - self.service_s)

    def dispatch(self) -> None:
        """Gives out servers until nobody who waits can have one."""
        while self.queue and self._dispatch_one():
            pass

    def _dispatch_one(self) -> bool:
        for entry in self.queue.candidates():
            state = self.router.choose(entry.item.wish)
            if state is None:
                continue
            self.queue.take(entry)
            state.in_flight += 1
            entry.item.server = state
            entry.item.given.set()
            return True
        return False
