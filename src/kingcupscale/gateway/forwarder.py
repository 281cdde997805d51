"""Passing single calls on to plain servers and model engines."""

import contextlib
import random
from typing import Protocol

import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import metrics
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import admission as admissions
from kingcupscale.gateway import backoff
from kingcupscale.gateway import callstate
from kingcupscale.gateway import inboundrequest
from kingcupscale.gateway import placement
from kingcupscale.gateway import responsestream
from kingcupscale.web import message

# A server in the same region accepts a connection within milliseconds.
CONNECT_S = 0.25
# An attempt is given up for another server after this many times the wanted
# latency, if the call may be repeated; later attempts get twice as long.
ATTEMPT_PATIENCE = 1.5
ATTEMPT_LEAST_S = 0.15
# How often a call looks for room while all servers are full, and for how much
# of the wanted latency.
ROOM_POLL_S = 0.02
ROOM_PATIENCE = 1.0
# Bodies up to this size are held back until they are whole, so that a call
# whose answer breaks off can be repeated; longer ones are passed on as they
# come, so that memory is bounded whatever a server sends.
MAX_BUFFERED_BYTES = 64 * 1024
# Weight of the newest answer in a service's mean latency.
LATENCY_WEIGHT = 0.05


class UsageCounter(Protocol):
    """Counts requests that began to run."""

    def count_started(self, organisation: str) -> None:
        """Counts one, begun now."""
        ...


class Forwarder:
    """Answers single calls by way of backend servers.

    Args:
        admission: Finds routes and organisations.
        servers: The servers.
        client: Calls them.
        usage: Counts what organisations run.
        measures: Counters and histograms.
        clock: Tells the time.
        rng: Decides among equals.
        zone: Availability zone of this node.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        servers: registry.ServerRegistry,
        client: serverclient.ServerClient,
        usage: UsageCounter,
        measures: metrics.Metrics,
        clock: clocks.Clock,
        rng: random.Random,
        zone: str,
    ) -> None:
        self.admission = admission
        self.servers = servers
        self.client = client
        self.usage = usage
        self.measures = measures
        self.clock = clock
        self.rng = rng
        self.zone = zone
        self.latency_s: dict[str, float] = {}

    async def forward(
        self, inbound: inboundrequest.InboundRequest
    ) -> message.Response:
        """Returns the answer of a backend server.

        Raises:
            ServiceError: If none of them answers in time.
            NotSentError: If the call may not leave any more.
        """
        route, organisation = self.admission.admit(inbound)
        state = callstate.CallState(
            route,
            organisation,
            self._draw_service(route),
            inbound.received_at + _patience_s(inbound, route),
            inbound.received_at + ROOM_PATIENCE * route.target_latency_s,
        )
        last: message.Response | None = None
        while True:
            server = await self._find_server(inbound, state)
            if server is None:
                break
            answer = await self._attempt(inbound, state, server)
            if answer is not None:
                last = answer
                if answer.status < 500 or not self._may_retry(state):
                    break
            elif state.reason and not self._may_retry(state):
                break
        if last is None:
            raise self._failure(inbound, state)
        self._record(inbound, state, last)
        return last

    def _record(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        answer: message.Response,
    ) -> None:
        elapsed_s = self.clock.monotonic() - inbound.received_at
        label = state.organisation.name if state.organisation else "open"
        self.measures.record(
            label,
            state.route.name,
            metrics.Measure.TOTAL_MS,
            elapsed_s * 1000,
        )
        is_late = elapsed_s > state.route.target_latency_s
        if is_late or answer.status >= 500 or state.sent > 1:
            events.log(
                events.Event.CALL_ANSWERED,
                request=inbound.request_id,
                route=state.route.name,
                status=answer.status,
                elapsed_s=round(elapsed_s, 3),
                sent=state.sent,
                tried=sorted(state.tried),
                reason=state.reason,
            )

    def _draw_service(self, route: catalogue.Route) -> str:
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.shares[0].service
        return self.rng.choices(route.shares, weights)[0].service

    def _may_retry(self, state: callstate.CallState) -> bool:
        return (
            state.route.allows_retry()
            and state.sent < state.route.max_attempts
            and self.clock.monotonic() < state.deadline
        )

    async def _find_server(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> registry.Server | None:
        """Returns a server with room, waiting a little for one."""
        until = state.wait_until
        if inbound.is_background:
            until = state.deadline
        while True:
            now = self.clock.monotonic()
            if now >= state.deadline:
                return None
            server = self._choose(inbound, state, now)
            if server is not None:
                return server
            if now >= until:
                return None
            state.full.clear()
            await self.clock.sleep(ROOM_POLL_S)

    def _choose(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        now: float,
    ) -> registry.Server | None:
        usable = [
            server
            for server in self.servers.list_servers(state.service)
            if server.is_usable(now) and server.id not in state.full
        ]
        if inbound.is_background:
            # Calls that nobody waits for leave a slot free at each server.
            usable = [
                s for s in usable if s.load(now) < max(1, s.entry.slots - 1)
            ]
        fresh = [s for s in usable if s.id not in state.tried]
        return placement.choose(fresh or usable, self.zone, now, self.rng)

    async def _attempt(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
    ) -> message.Response | None:
        """Sends a call once; None if that brought no answer to pass on."""
        now = self.clock.monotonic()
        left_s = min(state.deadline - now, state.route.timeout_s)
        limit_s = left_s
        if state.route.allows_retry() and not state.route.is_streaming:
            limit_s = min(left_s, self._attempt_limit_s(state))
        call = self._make_call(inbound, state, left_s)
        server.in_flight += 1
        answer: message.Response | None = None
        try:
            with trio.move_on_after(limit_s) as scope:
                answer = await self._exchange(state, server, call)
            if scope.cancelled_caught:
                state.sent += 1
                state.tried.add(server.id)
                state.reason = f"no answer in {limit_s:.2f} s"
                self._learn_latency(state.service, limit_s)
                server.record_failure(self.clock.monotonic())
        except serverclient.NotSentError:
            raise
        except serverclient.ServerError as e:
            state.reason = e.reason
            if e.may_have_run:
                state.sent += 1
                state.tried.add(server.id)
            else:
                state.full.add(server.id)
                state.reason = ""
            server.record_failure(self.clock.monotonic())
            events.log(
                events.Event.ANSWER_REJECTED,
                request=call.request_id,
                server=server.id,
                reason=e.reason,
                may_have_run=e.may_have_run,
            )
        finally:
            server.in_flight -= 1
        return answer

    def _attempt_limit_s(self, state: callstate.CallState) -> float:
        if state.sent + 1 >= state.route.max_attempts:
            return float("inf")
        usual_s = max(
            state.route.target_latency_s,
            2 * self.latency_s.get(state.service, 0.0),
            ATTEMPT_LEAST_S,
        )
        return ATTEMPT_PATIENCE * usual_s * 2**state.sent

    def _make_call(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        left_s: float,
    ) -> serverclient.Call:
        organisation = state.organisation
        return serverclient.Call(
            request_id=inbound.request_id,
            method=inbound.method,
            path=inbound.path,
            query=inbound.query,
            host=inbound.host,
            headers=inbound.headers,
            body=inbound.body,
            timeout_s=left_s,
            organisation=organisation.name if organisation else None,
            resume_after=inbound.resume_after,
            before_send=inbound.before_send,
        )

    async def _exchange(
        self,
        state: callstate.CallState,
        server: registry.Server,
        call: serverclient.Call,
    ) -> message.Response | None:
        began_at = self.clock.monotonic()
        if state.route.is_streaming:
            return await self._open_stream(state, server, call)
        stack = contextlib.AsyncExitStack()
        async with contextlib.AsyncExitStack() as opening:
            answer = await opening.enter_async_context(
                self.client.run(server, call, CONNECT_S)
            )
            if self._was_turned_away(state, server, answer):
                return None
            response = message.Response(
                answer.status,
                answer.headers,
                chunks=answer.body,
                signature=answer.signature,
            )
            is_whole = await response.read_at_most(MAX_BUFFERED_BYTES)
            self._check(answer)
            if not is_whole:
                stack = opening.pop_all()
        state.sent += 1
        state.tried.add(server.id)
        self._learn(state, server, began_at)
        if not is_whole:
            response.chunks = responsestream.stream_body(
                stack, response.body, answer, state.deadline, self.clock
            )
        return response

    def _was_turned_away(
        self,
        state: callstate.CallState,
        server: registry.Server,
        answer: serverclient.ServerResponse,
    ) -> bool:
        now = self.clock.monotonic()
        if answer.load is not None:
            server.update_load(answer.load, now)
        if not answer.not_executed:
            return False
        state.full.add(server.id)
        if answer.wrong_server:
            server.record_failure(now)
        return True

    def _check(self, answer: serverclient.ServerResponse) -> None:
        if not answer.signature:
            raise serverclient.ServerError(
                f"status {answer.status} without a signature", True
            )

    def _learn(
        self,
        state: callstate.CallState,
        server: registry.Server,
        began_at: float,
    ) -> None:
        elapsed_s = self.clock.monotonic() - began_at
        usual_s = self._learn_latency(state.service, elapsed_s)
        server.record_success()
        server.update_relative_latency(elapsed_s / max(usual_s, 0.001))
        if state.organisation is not None:
            self.usage.count_started(state.organisation.name)

    def _learn_latency(self, service: str, elapsed_s: float) -> float:
        """Adds a call to a service's mean latency, and returns the one before.

        A call that was given up took at least as long as it was waited for;
        without those, a node that is slow itself would give up all calls.
        """
        usual_s = self.latency_s.setdefault(service, elapsed_s)
        self.latency_s[service] = usual_s + LATENCY_WEIGHT * (
            elapsed_s - usual_s
        )
        return usual_s

    async def _open_stream(
        self,
        state: callstate.CallState,
        server: registry.Server,
        call: serverclient.Call,
    ) -> message.Response | None:
        """Returns an answer whose events are passed on as they come."""
        stack = contextlib.AsyncExitStack()
        async with contextlib.AsyncExitStack() as opening:
            answer = await opening.enter_async_context(
                self.client.run(server, call, CONNECT_S)
            )
            if self._was_turned_away(state, server, answer):
                return None
            self._check(answer)
            stack = opening.pop_all()
        state.sent += 1
        state.tried.add(server.id)
        if state.organisation is not None:
            self.usage.count_started(state.organisation.name)
        until = state.deadline + responsestream.STREAM_MARGIN_S
        pieces = responsestream.stream_body(
            stack, b"", answer, until, self.clock
        )
        return message.Response(answer.status, answer.headers, chunks=pieces)

    def _failure(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> errors.ServiceError:
        now = self.clock.monotonic()
        left_s = inbound.received_at + inbound.timeout_s - now
        if state.sent:
            code = (
                errors.ResultCode.BACKEND_TIMEOUT
                if now >= state.deadline
                else errors.ResultCode.BACKEND_FAILED
            )
            failure = errors.ServiceError(
                code, state.reason, errors.Run.UNKNOWN
            )
        else:
            servers = self.servers.list_servers(state.service)
            is_any = any(s.is_usable(now) for s in servers)
            code = (
                errors.ResultCode.DEADLINE_UNMET
                if is_any
                else errors.ResultCode.NO_SERVER
            )
            wait_s = self.latency_s.get(state.service, 0.1)
            failure = errors.ServiceError(
                code,
                state.reason,
                retry_after_s=backoff.retry_after_s(wait_s, left_s, self.rng),
            )
        events.log(
            events.Event.CALL_REFUSED,
            request=inbound.request_id,
            route=state.route.name,
            service=state.service,
            code=code.number,
            sent=state.sent,
            tried=sorted(state.tried),
            full=sorted(state.full),
            reason=state.reason,
            left_s=round(left_s, 3),
        )
        return failure


def _patience_s(
    inbound: inboundrequest.InboundRequest, route: catalogue.Route
) -> float:
    """Returns for how long a call may wait for room and for answers."""
    if inbound.is_background:
        return inbound.timeout_s
    return min(inbound.timeout_s, route.timeout_s)
