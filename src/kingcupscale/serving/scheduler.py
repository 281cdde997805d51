"""Assigns queued requests to backend servers.

Owns the queue of one service on one node, its admission check and its
deadlines.
"""

from collections.abc import AsyncIterator
import contextlib

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.configuration import document
from kingcupscale.serving import queue
from kingcupscale.serving import routing

DISPATCH_INTERVAL_S = 0.1
# Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.5


@attrs.define(eq=False)
class SlotRequest:
    """A request for a slot on a server.

    Attributes:
        organisation: The organisation that the request belongs to.
        service_class: Class of the request.
        cost: Expected cost in tokens.
        requirements: Requirements of the server.
        server: The assigned server, or None.
        assigned: Set once a server is assigned.
    """

    organisation: str
    service_class: document.ServiceClass
    cost: float
    requirements: routing.ServerRequirements
    server: routing.ServerState | None = None
    assigned: trio.Event = attrs.field(factory=trio.Event)


class Scheduler:
    """The queue of requests for one service's servers on one node.

    Args:
        router: Chooses the servers.
        clock: Source of the time.
    """

    def __init__(self, router: routing.Router, clock: clocks.Clock) -> None:
        self.router = router
        self.clock = clock
        self.queue: queue.FairQueue[SlotRequest] = queue.FairQueue()
        self.mean_service_time_s = 0.0

    @contextlib.asynccontextmanager
    async def slot(
        self, slot_request: SlotRequest
    ) -> AsyncIterator[routing.ServerState]:
        """Waits for a slot on a server and frees it at the end.

        Raises:
            ServiceError: ``QUEUE_FULL``, ``NO_SERVER`` or
                ``DEADLINE_UNMET``; the request has not run.
        """
        state = await self._wait(slot_request)
        started_at = self.clock.monotonic()
        try:
            yield state
        finally:
            state.in_flight -= 1
            self._update_service_time(self.clock.monotonic() - started_at)
            self.dispatch()

    async def _wait(self, slot_request: SlotRequest) -> routing.ServerState:
        self._check_admission(slot_request)
        entry = queue.Entry(
            slot_request,
            slot_request.service_class.priority,
            slot_request.organisation,
            slot_request.cost,
        )
        self.queue.push(entry)
        self.dispatch()
        if slot_request.server is not None:
            return slot_request.server
        try:
            with trio.move_on_after(slot_request.service_class.deadline_s):
                await slot_request.assigned.wait()
        except trio.Cancelled:
            self._abandon(entry)
            raise
        if slot_request.server is None:
            self.queue.remove(entry)
            raise self.make_rejection(errors.ResultCode.DEADLINE_UNMET)
        return slot_request.server

    def _abandon(self, entry: queue.Entry[SlotRequest]) -> None:
        state = entry.item.server
        if state is None:
            self.queue.remove(entry)
        else:
            state.in_flight -= 1
            self.dispatch()

    def _check_admission(self, slot_request: SlotRequest) -> None:
        service_class = slot_request.service_class
        if not self.router.usable(slot_request.requirements):
            raise self.make_rejection(errors.ResultCode.NO_SERVER)
        if self.queue.count(service_class.priority) >= service_class.queue:
            raise self.make_rejection(errors.ResultCode.QUEUE_FULL)
        if self.expected_wait_s(service_class) > service_class.deadline_s:
            raise self.make_rejection(errors.ResultCode.DEADLINE_UNMET)

    def expected_wait_s(self, service_class: document.ServiceClass) -> float:
        """Returns the expected wait of a new request of a class, in seconds."""
        ahead = sum(
            self.queue.count(priority)
            for priority in self.queue.waiting
            if priority >= service_class.priority
        )
        servers = self.router.usable(routing.ServerRequirements(cheap=True))
        slots = sum(state.slots() for state in servers)
        return ahead * self.mean_service_time_s / max(1, slots)

    def make_rejection(self, code: errors.ResultCode) -> errors.ServiceError:
        """Returns the error that rejects a request now."""
        wait_s = len(self.queue) * self.mean_service_time_s
        wait_s /= max(1, len(self.router.servers))
        return errors.ServiceError(
            code, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s)
        )

    def _update_service_time(self, seconds: float) -> None:
        self.mean_service_time_s += SERVICE_TIME_SMOOTHING * (
            seconds - self.mean_service_time_s
        )

    def dispatch(self) -> None:
        """Assigns servers until no queued request can get one."""
        while self.queue and self._dispatch_one():
            pass

    def _dispatch_one(self) -> bool:
        for entry in self.queue.candidates():
            state = self.router.choose(entry.item.requirements)
            if state is None:
                continue
            self.queue.take(entry)
            state.in_flight += 1
            entry.item.server = state
            entry.item.assigned.set()
            return True
        return False
