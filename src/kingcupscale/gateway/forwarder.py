"""Forwards single calls to backend servers, with retries and timeouts."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import functools
import math
import random
from typing import Protocol

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import metrics
from kingcupscale import plannedstop
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import records as crash_records
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import eligibility as eligibilities
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import admission as admissions
from kingcupscale.gateway import backoff
from kingcupscale.gateway import callstate
from kingcupscale.gateway import crashwatch
from kingcupscale.gateway import inboundrequest
from kingcupscale.gateway import placement
from kingcupscale.gateway import responsestream
from kingcupscale.gateway import serverwait
from kingcupscale.web import message

# Backend servers are in the same region and accept connections within
# milliseconds.
CONNECT_TIMEOUT_S = 0.25
# Timeout of an attempt, as a multiple of the expected latency. It applies to
# calls that may be repeated; the call is then retried on another server. The
# timeout doubles with each attempt; the last attempt may take until the call's
# deadline.
ATTEMPT_TIMEOUT_FACTOR = 1.5
# Lower bound of the expected latency in the timeout of an attempt.
MIN_EXPECTED_LATENCY_S = 0.15
# Longest wait for a free server, as a multiple of the target latency.
QUEUE_WAIT_FACTOR = 1.0
# Response bodies up to this size are buffered until they are complete, so that
# a call can be retried if its response is cut off. Longer bodies are streamed
# to the caller, so that memory use is bounded whatever a server sends.
MAX_BUFFERED_BYTES = 64 * 1024
# Weight of the newest response in a service's moving average of the latency.
LATENCY_WEIGHT = 0.05


class UsageCounter(Protocol):
    """Counts the requests that backend servers started to run."""

    def count_started(self, organisation: str) -> None:
        """Counts one request of an organisation, started now."""
        ...


class Forwarder:
    """Forwards single calls to backend servers.

    It chooses a server, sends the call, and retries it on another server if
    the route allows that. If the route allows no retries, the call is sent
    again only if the server cannot have executed it: the server said so, or the
    request was not sent.

    Args:
        admission: Finds the route and authenticates the organisation.
        servers: The known backend servers.
        client: Sends requests to backend servers.
        usage: Counts the requests of each organisation.
        call_metrics: Records the latency of calls.
        clock: The clock.
        rng: Picks services by weight, breaks ties and adds jitter.
        zone: Availability zone of this node.
        eligibility: Excludes servers; by default those of evacuated zones.
        node: Name of this node.
        regions: Region by zone; None if not known.
        crash_guard: Blocks requests under which servers crash; by default one
            that shares its records with no other node.
        planned_stop: Limits calls in a planned stop; by default there is none.

    Attributes:
        crash_watch: Applies the crash guard to calls.
        placement: Chooses the servers.
        waits: The calls that wait for a server.
        refused: Number of refused calls, by organisation and result code.
        latency_s: Moving average of the latency, by service.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        servers: registry.ServerRegistry,
        client: serverclient.ServerClient,
        usage: UsageCounter,
        call_metrics: metrics.Metrics,
        clock: clocks.Clock,
        rng: random.Random,
        zone: str,
        eligibility: eligibilities.Eligibility | None = None,
        node: str = "",
        regions: Mapping[str, str] | None = None,
        crash_guard: guards.CrashGuard[registry.Server] | None = None,
        planned_stop: plannedstop.PlannedStop | None = None,
    ) -> None:
        self.crash_watch = crashwatch.CrashWatch(
            crash_guard or guards.CrashGuard(client, clock, lambda _: True)
        )
        self.eligibility = eligibility or eligibilities.Eligibility(servers)
        self.admission = admission
        self.servers = servers
        self.client = client
        self.usage = usage
        self.metrics = call_metrics
        self.clock = clock
        self.planned_stop = planned_stop or plannedstop.PlannedStop(clock)
        self.rng = rng
        self.placement = placement.CallPlacement(
            node, zone, client.has_idle_connection, rng, regions
        )
        self.latency_s: dict[str, float] = {}
        self.waits = serverwait.ServerWaits(
            self._choose_server, clock, self.latency_s
        )
        self.refused: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        servers.on_registered.append(self.waits.dispatch)

    async def forward(
        self, inbound: inboundrequest.InboundRequest
    ) -> message.Response:
        """Forwards a call and returns the response of a backend server.

        Raises:
            ServiceError: If the call is not admitted, or no server responds
                in time.
            NotSentError: If the request's ``before_send`` check fails.
        """
        route, organisation = self.admission.admit(inbound)
        owner = organisation.name if organisation else inbound.on_behalf_of
        state = callstate.CallState(
            route,
            organisation,
            self._pick_service(self.eligibility.usable_shares(route, owner)),
            inbound.received_at + _time_limit_s(inbound, route),
            inbound.received_at + QUEUE_WAIT_FACTOR * route.target_latency_s,
            is_background=inbound.is_background,
        )
        last_response: message.Response | None = None
        while True:
            permission = self.crash_watch.check(inbound, state)
            if not permission.is_allowed:
                if not state.attempts:
                    raise self._make_block_error(inbound, state, permission)
                break
            server = await self._wait_for_server(inbound, state)
            if server is None:
                break
            response = await self._try_server(inbound, state, server)
            if response is not None:
                last_response = response
                if response.status < 500 or not self._may_retry(state):
                    break
            elif state.failure_reason and not self._may_retry(state):
                break
        if last_response is None:
            raise self._make_error(inbound, state)
        self._record(inbound, state, last_response)
        return last_response

    def _record(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        response: message.Response,
    ) -> None:
        elapsed_s = self.clock.monotonic() - inbound.received_at
        label = state.organisation.name if state.organisation else "open"
        self.metrics.record(
            label,
            state.route.name,
            metrics.Measure.TOTAL_MS,
            elapsed_s * 1000,
        )
        is_late = elapsed_s > state.route.target_latency_s
        if is_late or response.status >= 500 or state.attempts > 1:
            events.log(
                events.Event.CALL_ANSWERED,
                request=inbound.request_id,
                route=state.route.name,
                status=response.status,
                elapsed_s=round(elapsed_s, 3),
                sent=state.attempts,
                tried=sorted(state.tried),
                reason=state.failure_reason,
            )

    def _pick_service(self, shares: Sequence[catalogue.Share]) -> str:
        weights = [share.weight for share in shares]
        if len(weights) == 1 or sum(weights) <= 0:
            return shares[0].service
        return self.rng.choices(shares, weights)[0].service

    def _may_retry(self, state: callstate.CallState) -> bool:
        return (
            state.route.allows_retry()
            and state.attempts < state.route.max_attempts
            and self.clock.monotonic() < state.deadline
        )

    async def _wait_for_server(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> registry.Server | None:
        """Returns a server with a free slot, or None if none gets one in time.

        The server counts the call as in flight.

        Raises:
            ServiceError: If the expected wait is longer than that, or the call
                has not been sent by the end of a planned stop's notice.

        Background calls wait until their deadline, others only for
        ``QUEUE_WAIT_FACTOR`` times the target latency.
        """
        stop = self.planned_stop
        state.deadline = stop.limit(state.deadline)
        until = state.wait_until
        if inbound.is_background:
            until = state.deadline
        if self.clock.monotonic() >= state.deadline:
            return None
        server = None
        left_s = stop.requests_left_s if state.attempts else stop.notice_left_s
        try:
            with stop.move_on_after(math.inf, left_s):
                server = await self.waits.acquire(
                    inbound, state, min(until, state.deadline)
                )
        except serverwait.WaitTooLongError as e:
            raise self._make_wait_error(inbound, state, e) from e
        refusal = stop.find_refusal()
        if refusal is not None and not state.attempts:
            if server is not None:
                self.waits.release(state, server, 0.0)
            self._log_refusal(inbound, state, refusal.code)
            raise refusal
        state.deadline = stop.limit(state.deadline)
        state.sent_at = self.clock.monotonic()
        if server is not None and state.sent_at >= state.deadline:
            self.waits.release(state, server, 0.0)
            return None
        return server

    def _choose_server(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        now: float,
    ) -> registry.Server | None:
        usable = [
            server
            for server in self.servers.list_servers(state.service)
            if server.is_usable(now)
            and server.accepts_calls(now)
            and server.id not in state.unavailable
        ]
        if inbound.is_background:
            # Background calls leave one slot of each server to other calls.
            usable = [
                s for s in usable if s.load(now) < max(1, s.entry.slots - 1)
            ]
        usable = self.eligibility.filter(
            usable, self._allowed_zones(inbound, state)
        )
        untried = [s for s in usable if s.id not in state.tried]
        server = self.placement.choose(untried or usable, now)
        if server is not None:
            # Several waiting calls get servers before the first is sent.
            self.eligibility.reserve(server)
        return server

    def _allowed_zones(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> frozenset[str] | None:
        """Returns the zones that the present configuration allows a call."""
        owner = (
            state.organisation.name
            if state.organisation
            else inbound.on_behalf_of
        )
        return self.eligibility.allowed_zones(state.route, owner)

    async def _try_server(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
    ) -> message.Response | None:
        """Sends a call to one server.

        Returns None if the attempt failed or the server rejected the call.
        """
        # A later time could be after the deadline.
        now = state.sent_at
        left_s = min(state.deadline - now, state.route.timeout_s)
        timeout_s = left_s
        if state.route.allows_retry() and not state.route.is_streaming:
            timeout_s = min(left_s, self._attempt_timeout_s(state))
        call = self._make_call(inbound, state, server, left_s)
        self.placement.record_call(server, now)
        response: message.Response | None = None
        try:
            with self.planned_stop.move_on_after(
                timeout_s, self.planned_stop.requests_left_s
            ) as scope:
                response = await self._send_call(inbound, state, server, call)
            if scope.cancelled_caught:
                self._note_timeout(state, server, timeout_s)
        except serverclient.IneligibleError:
            state.unavailable.add(server.id)
        except serverclient.NotSentError:
            raise
        except serverclient.ServerError as e:
            state.failure_reason = e.reason
            if e.is_connection_lost:
                self.crash_watch.note_loss(inbound, state, server)
            if e.may_have_run:
                state.attempts += 1
                state.tried.add(server.id)
            else:
                state.unavailable.add(server.id)
                state.failure_reason = ""
            server.record_failure(self.clock.monotonic())
            events.log(
                events.Event.ANSWER_REJECTED,
                request=call.request_id,
                fingerprint=self.crash_watch.fingerprint(inbound, state),
                route=state.route.name,
                server=server.id,
                reason=e.reason,
                may_have_run=e.may_have_run,
            )
        finally:
            elapsed_s = self.clock.monotonic() - now
            self.waits.release(state, server, elapsed_s)
        return response

    def _note_timeout(
        self,
        state: callstate.CallState,
        server: registry.Server,
        timeout_s: float,
    ) -> None:
        """Records that an attempt has timed out, or that the node stops."""
        state.attempts += 1
        state.tried.add(server.id)
        state.deadline = self.planned_stop.limit(state.deadline)
        if self.planned_stop.requests_left_s() <= 0:
            state.failure_reason = "no response before the node stops"
            return
        state.failure_reason = f"no response within {timeout_s:.2f} s"
        self._update_latency(state.service, timeout_s)
        server.record_failure(self.clock.monotonic())

    def _attempt_timeout_s(self, state: callstate.CallState) -> float:
        if state.attempts + 1 >= state.route.max_attempts:
            return float("inf")
        expected_s = max(
            state.route.target_latency_s,
            2 * self.latency_s.get(state.service, 0.0),
            MIN_EXPECTED_LATENCY_S,
        )
        return ATTEMPT_TIMEOUT_FACTOR * expected_s * 2**state.attempts

    def _make_call(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
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
            before_send=self.crash_watch.guard_send(
                inbound,
                state,
                self.eligibility.guard(
                    server,
                    inbound.before_send,
                    zones=functools.partial(
                        self._allowed_zones, inbound, state
                    ),
                ),
            ),
        )

    async def _send_call(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
        call: serverclient.Call,
    ) -> message.Response | None:
        started_at = self.clock.monotonic()
        if state.route.is_streaming:
            return await self._open_stream(inbound, state, server, call)
        stack = contextlib.AsyncExitStack()
        async with contextlib.AsyncExitStack() as opening:
            server_response = await opening.enter_async_context(
                self.client.run(server, call, CONNECT_TIMEOUT_S)
            )
            if self._was_rejected(state, server, server_response):
                return None
            response = message.Response(
                server_response.status,
                server_response.headers,
                chunks=server_response.body,
                signature=server_response.signature,
            )
            is_complete = await response.read_at_most(MAX_BUFFERED_BYTES)
            self._require_signature(server_response)
            if not is_complete:
                stack = opening.pop_all()
        state.attempts += 1
        state.tried.add(server.id)
        self._record_success(state, server, started_at, server_response.load)
        if is_complete:
            self.crash_watch.note_answer(inbound, state)
        else:
            # The stream begins with what has been read. A body that is left in
            # the response would be sent again after it.
            received, response.body = response.body, b""
            chunks = responsestream.stream_body(
                stack, received, server_response, state.deadline, self.clock
            )
            response.chunks = self.crash_watch.watch_body(
                chunks, inbound, state, server
            )
        return response

    def _was_rejected(
        self,
        state: callstate.CallState,
        server: registry.Server,
        server_response: serverclient.ServerResponse,
    ) -> bool:
        now = self.clock.monotonic()
        if not server_response.wrong_server:
            server.answered_at = now
        if server_response.load is not None:
            server.update_load(server_response.load, now)
        if not server_response.not_executed:
            self.waits.record_accepted(state)
            return False
        state.unavailable.add(server.id)
        if server_response.wrong_server:
            self.eligibility.refund(server)
            server.record_failure(now)
        else:
            server.record_full(now)
        return True

    def _require_signature(
        self, server_response: serverclient.ServerResponse
    ) -> None:
        if not server_response.signature:
            raise serverclient.ServerError(
                f"no signature, response has status {server_response.status}",
                True,
            )

    def _record_success(
        self,
        state: callstate.CallState,
        server: registry.Server,
        started_at: float,
        load: registry.LoadReport | None,
    ) -> None:
        now = self.clock.monotonic()
        elapsed_s = now - started_at
        expected_s = self._update_latency(state.service, elapsed_s)
        server.record_success()
        server.record_observation(now)
        # The cost multiplies the relative latency by the reported slowness.
        slowness = load.slowness if load else 1.0
        server.update_relative_latency(
            elapsed_s / max(expected_s, 0.001) / slowness
        )
        if state.organisation is not None:
            self.usage.count_started(state.organisation.name)

    def _update_latency(self, service: str, elapsed_s: float) -> float:
        """Updates a service's mean latency and returns its previous value.

        Calls that timed out are included with the time spent waiting, which is
        a lower bound of their latency. Without them, the expected latency would
        stay too low on a node that is slow itself, and all calls would time
        out.
        """
        expected_s = self.latency_s.setdefault(service, elapsed_s)
        self.latency_s[service] = expected_s + LATENCY_WEIGHT * (
            elapsed_s - expected_s
        )
        return expected_s

    async def _open_stream(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
        call: serverclient.Call,
    ) -> message.Response | None:
        """Returns a response whose events are streamed as they arrive."""
        stack = contextlib.AsyncExitStack()
        async with contextlib.AsyncExitStack() as opening:
            server_response = await opening.enter_async_context(
                self.client.run(server, call, CONNECT_TIMEOUT_S)
            )
            if self._was_rejected(state, server, server_response):
                return None
            self._require_signature(server_response)
            stack = opening.pop_all()
        state.attempts += 1
        state.tried.add(server.id)
        if state.organisation is not None:
            self.usage.count_started(state.organisation.name)
        until = state.deadline + responsestream.STREAM_MARGIN_S
        chunks = responsestream.stream_body(
            stack, b"", server_response, until, self.clock
        )
        return message.Response(
            server_response.status,
            server_response.headers,
            chunks=self.crash_watch.watch_body(chunks, inbound, state, server),
        )

    def _make_block_error(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        permission: crash_records.Permission,
    ) -> errors.ServiceError:
        code = errors.ResultCode.CRASHES_SERVERS
        self._count_refusal(state, code)
        events.log(
            events.Event.CALL_BLOCKED,
            request=inbound.request_id,
            route=state.route.name,
            fingerprint=state.fingerprint,
            crashes=permission.crashes,
            retry_after_s=round(permission.retry_after_s, 3),
        )
        return errors.ServiceError(
            code, retry_after_s=round(permission.retry_after_s, 3)
        )

    def _make_wait_error(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        cause: serverwait.WaitTooLongError,
    ) -> errors.ServiceError:
        code = errors.ResultCode.WAIT_TOO_LONG
        left_s = state.deadline - self.clock.monotonic()
        error = errors.ServiceError(
            code,
            str(cause),
            retry_after_s=backoff.retry_after_s(
                cause.expected_s, left_s, self.rng
            ),
        )
        self._count_refusal(state, code)
        events.log(
            events.Event.CALL_NOT_QUEUED,
            request=inbound.request_id,
            route=state.route.name,
            service=state.service,
            organisation=state.organisation.name if state.organisation else "",
            code=code.number,
            expected_s=round(cause.expected_s, 3),
            waiting=cause.waiting,
            left_s=round(left_s, 3),
            retry_after_s=error.retry_after_s,
        )
        return error

    def _count_refusal(
        self, state: callstate.CallState, code: errors.ResultCode
    ) -> None:
        label = state.organisation.name if state.organisation else "open"
        self.refused[label, code.number] += 1

    def _make_error(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> errors.ServiceError:
        now = self.clock.monotonic()
        left_s = inbound.received_at + inbound.timeout_s - now
        if state.attempts:
            code = (
                errors.ResultCode.BACKEND_TIMEOUT
                if now >= state.deadline
                else errors.ResultCode.BACKEND_FAILED
            )
            error = errors.ServiceError(
                code, state.failure_reason, errors.Run.UNKNOWN
            )
        else:
            servers = self.servers.list_servers(state.service)
            has_usable = any(s.is_usable(now) for s in servers)
            code = (
                errors.ResultCode.DEADLINE_UNMET
                if has_usable
                else errors.ResultCode.NO_SERVER
            )
            wait_s = self.latency_s.get(state.service, 0.1)
            error = errors.ServiceError(
                code,
                state.failure_reason,
                retry_after_s=backoff.retry_after_s(wait_s, left_s, self.rng),
            )
        self._log_refusal(inbound, state, code)
        return error

    def _log_refusal(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        code: errors.ResultCode,
    ) -> None:
        """Counts and logs a call that ends without a server's answer."""
        left_s = (
            inbound.received_at + inbound.timeout_s - self.clock.monotonic()
        )
        self._count_refusal(state, code)
        events.log(
            events.Event.CALL_REFUSED,
            request=inbound.request_id,
            route=state.route.name,
            service=state.service,
            code=code.number,
            sent=state.attempts,
            tried=sorted(state.tried),
            full=sorted(state.unavailable),
            reason=state.failure_reason,
            left_s=round(left_s, 3),
        )


def _time_limit_s(
    inbound: inboundrequest.InboundRequest, route: catalogue.Route
) -> float:
    """Returns the time limit of a call, including waiting and retries.

    A background call has only the limit of its sender, because the route's
    limit would also count the time spent waiting for a free server.
    """
    if inbound.is_background:
        return inbound.timeout_s
    return min(inbound.timeout_s, route.timeout_s)
