"""Waits for free servers, in the order of ``waitqueue``.

A waiting call is woken when a call of this node ends, or when a server
registers. Servers also become free by time alone: an ejection ends, or calls of
other nodes do. One of the waiting calls checks for that from time to time.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.fleet import registry
from kingcupscale.gateway import callstate
from kingcupscale.gateway import inboundrequest
from kingcupscale.gateway import refusal
from kingcupscale.gateway import waitqueue

# Interval of the checks for servers that became free by time alone.
RECHECK_S = 0.05
# Expected work of a call before any has been measured.
DEFAULT_WORK_S = 0.1

ChooseServer = Callable[
    [inboundrequest.InboundRequest, callstate.CallState, float],
    registry.Server | None,
]


class WaitTooLongError(Exception):
    """A call is expected not to get a server in time.

    Args:
        expected_s: Expected wait.
        waiting: Number of calls that wait.
    """

    def __init__(self, expected_s: float, waiting: int) -> None:
        super().__init__(f"expected wait {expected_s:.2f} s")
        self.expected_s = expected_s
        self.waiting = waiting


@attrs.define(eq=False)
class WaitingCall(waitqueue.Waiter):
    """A waiting call with its task.

    Attributes:
        inbound: The call.
        state: Its state.
        woken: Set when the call got a server or should check again.
    """

    inbound: inboundrequest.InboundRequest = attrs.field(kw_only=True)
    state: callstate.CallState = attrs.field(kw_only=True)
    woken: trio.Event = attrs.field(factory=trio.Event)


class ServiceQueue(waitqueue.WaitQueue):
    """The waiting calls of a service.

    Attributes:
        checker: The call that checks for free servers.
        rate: Rate at which its calls get slots. Background calls do not
            count, because they need servers with two free slots.
    """

    def __init__(self) -> None:
        super().__init__()
        self.checker: WaitingCall | None = None
        self.rate = refusal.SlotRate()

    def update_rate(self, now: float) -> None:
        """Records whether calls wait that count for the rate."""
        is_waiting = any(not waiter.is_background for waiter in self.waiters)
        self.rate.update(is_waiting, now)


class ServerWaits:
    """Hands out the servers of all services to calls.

    A server that is handed out counts the call as in flight. ``release`` must
    be called when the call has ended.

    Args:
        choose_server: Returns a free server for a call, or None.
        clock: The clock.
        latency_s: Mean latency, by service.

    Attributes:
        queues: The waiting calls, by service.
    """

    def __init__(
        self,
        choose_server: ChooseServer,
        clock: clocks.Clock,
        latency_s: Mapping[str, float],
    ) -> None:
        self.choose_server = choose_server
        self.clock = clock
        self.queues: dict[str, ServiceQueue] = {}
        self.latency_s = latency_s

    def waiting(self) -> collections.Counter[tuple[str, int]]:
        """Returns the number of waiting calls by organisation and priority."""
        return collections.Counter(
            (call.organisation, call.priority)
            for queue in self.queues.values()
            for call in queue.waiters
        )

    async def acquire(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        until: float,
    ) -> registry.Server | None:
        """Returns a server, or None if none gets free until a time.

        Args:
            inbound: The call.
            state: Its state.
            until: Monotonic time.

        Raises:
            WaitTooLongError: If none is expected to get free until then.
        """
        queue = self.queues.setdefault(state.service, ServiceQueue())
        call = _make_waiting_call(inbound, state)
        started_at = self.clock.monotonic()
        queue.add(call)
        try:
            self.dispatch(state.service)
            if call.granted is None:
                # From here on, ``Server.accepts_calls`` tells which servers
                # that rejected the call may be tried again.
                state.unavailable.clear()
                self._require_short_wait(queue, call, until - started_at)
                queue.update_rate(started_at)
                await self._wait(queue, call, until)
                self._log_wait(queue, call, started_at)
        except BaseException:
            self._give_back(call)
            raise
        finally:
            queue.discard(call)
            now = self.clock.monotonic()
            queue.update_rate(now)
            self._pass_check_on(queue, call)
        return call.granted

    def release(
        self,
        state: callstate.CallState,
        server: registry.Server,
        elapsed_s: float,
    ) -> None:
        """Records the end of a call and wakes the next one.

        Args:
            state: The call's state.
            server: Its server.
            elapsed_s: How long it used a slot.
        """
        server.in_flight -= 1
        service = state.service
        queue = self.queues.setdefault(service, ServiceQueue())
        if not state.is_background:
            # The expected work has been charged when the server was handed out.
            expected_s = self.latency_s.get(service, DEFAULT_WORK_S)
            queue.charge(
                _organisation(state),
                elapsed_s - expected_s,
                self.clock.monotonic(),
            )
        self.dispatch(service)

    def record_accepted(self, state: callstate.CallState) -> None:
        """Records that a server has accepted a call.

        Servers that are handed out do not count before, because a full server
        rejects the calls that probe it.
        """
        queue = self.queues.get(state.service)
        if queue is not None and not state.is_background:
            queue.rate.record_slot(self.clock.monotonic())

    def dispatch(self, service: str) -> None:
        """Hands out the free servers of a service to its waiting calls."""
        queue = self.queues.get(service)
        if queue is None or not queue.waiters:
            return
        now = self.clock.monotonic()
        expected_s = self.latency_s.get(service, DEFAULT_WORK_S)
        granted = queue.grant(
            lambda call: self.choose_server(call.inbound, call.state, now),
            expected_s,
            now,
        )
        for call in granted:
            call.granted.in_flight += 1
            call.woken.set()

    def _require_short_wait(
        self, queue: ServiceQueue, call: WaitingCall, left_s: float
    ) -> None:
        """Checks that a call can get a server in time.

        Background calls always wait, and so do calls that a server may have
        executed already: they must not be told that they have not run.
        """
        if call.is_background or call.state.attempts:
            return
        now = self.clock.monotonic()
        ordered = queue.ordered(now)
        ahead = [
            other
            for other in ordered[: ordered.index(call)]
            if not other.is_background
        ]
        # The rate decays within a second, although calls may run for longer
        # without any ending.
        if not ahead:
            return
        wait_s = refusal.expected_wait_s(len(ahead), queue.rate, now)
        if wait_s is not None and wait_s > left_s:
            raise WaitTooLongError(wait_s, len(ordered) - 1)

    async def _wait(
        self, queue: ServiceQueue, call: WaitingCall, until: float
    ) -> None:
        """Waits until a call got a server or a time has passed."""
        while call.granted is None:
            left_s = until - self.clock.monotonic()
            if left_s <= 0:
                return
            if queue.checker is None:
                queue.checker = call
            is_checker = queue.checker is call
            timeout_s = min(left_s, RECHECK_S) if is_checker else left_s
            call.woken = trio.Event()
            with trio.move_on_after(timeout_s):
                await call.woken.wait()
            if self.clock.monotonic() >= until:
                return
            if is_checker and call.granted is None:
                self.dispatch(call.state.service)

    def _log_wait(
        self, queue: ServiceQueue, call: WaitingCall, started_at: float
    ) -> None:
        events.log(
            events.Event.CALL_WAITED,
            request=call.inbound.request_id,
            service=call.state.service,
            priority=call.priority,
            organisation=call.organisation,
            waited_s=round(self.clock.monotonic() - started_at, 3),
            server=call.granted.id if call.granted else "",
            waiting=len(queue.waiters),
        )

    def _pass_check_on(self, queue: ServiceQueue, call: WaitingCall) -> None:
        if queue.checker is call:
            queue.checker = None
        # The call that was woken before may have ended without checking.
        if queue.checker is None and queue.waiters:
            queue.waiters[0].woken.set()

    def _give_back(self, call: WaitingCall) -> None:
        """Frees the server of a call that was cancelled before it used it."""
        if call.granted is not None:
            self.release(call.state, call.granted, 0.0)


def _make_waiting_call(
    inbound: inboundrequest.InboundRequest, state: callstate.CallState
) -> WaitingCall:
    organisation = state.organisation
    priority = state.route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    name = _organisation(state)
    return WaitingCall(
        priority,
        name,
        (state.route.name, name, state.is_background),
        is_background=state.is_background,
        inbound=inbound,
        state=state,
    )


def _organisation(state: callstate.CallState) -> str:
    return state.organisation.name if state.organisation else ""
