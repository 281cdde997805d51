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
from kingcupscale.gateway import attempts as tries
from kingcupscale.gateway import inbound as inbounds
from kingcupscale.gateway import passing
from kingcupscale.gateway import placement
from kingcupscale.gateway import refusal
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
HELD_BYTES_MOST = 64 * 1024
# Weight of the newest answer in a service's mean latency.
LATENCY_WEIGHT = 0.05


class UsageCounter(Protocol):
    """Counts requests that began to run."""

    def note_begun(self, organisation: str) -> None:
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

    async def forward(self, inbound: inbounds.Inbound) -> message.Response:
        """Returns the answer of a backend server.

        Raises:
            ServiceError: If none of them answers in time.
            WithdrawnError: If the call may not leave any more.
        """
        route, organisation = self.admission.admit(inbound)
        attempts = tries.Attempts(
            route,
            organisation,
            self._draw_service(route),
            inbound.received_at + _patience_s(inbound, route),
            inbound.received_at + ROOM_PATIENCE * route.target_s,
        )
        last: message.Response | None = None
        while True:
            server = await self._find_server(inbound, attempts)
            if server is None:
                break
            answer = await self._attempt(inbound, attempts, server)
            if answer is not None:
                last = answer
                if answer.status < 500 or not self._may_retry(attempts):
                    break
            elif attempts.reason and not self._may_retry(attempts):
                break
        if last is None:
            raise self._failure(inbound, attempts)
        self._record(inbound, attempts, last)
        return last

    def _record(
        self,
        inbound: inbounds.Inbound,
        attempts: tries.Attempts,
        answer: message.Response,
    ) -> None:
        elapsed_s = self.clock.monotonic() - inbound.received_at
        label = attempts.organisation.name if attempts.organisation else "open"
        self.measures.record(
            label,
            attempts.route.name,
            metrics.Measure.TOTAL_MS,
            elapsed_s * 1000,
        )
        is_late = elapsed_s > attempts.route.target_s
        if is_late or answer.status >= 500 or attempts.sent > 1:
            events.log(
                events.Event.CALL_ANSWERED,
                request=inbound.request_id,
                route=attempts.route.name,
                status=answer.status,
                elapsed_s=round(elapsed_s, 3),
                sent=attempts.sent,
                tried=sorted(attempts.tried),
                reason=attempts.reason,
            )

    def _draw_service(self, route: catalogue.Route) -> str:
        weights = [share.weight for share in route.shares]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.shares[0].service
        return self.rng.choices(route.shares, weights)[0].service

    def _may_retry(self, attempts: tries.Attempts) -> bool:
        return (
            attempts.route.may_repeat()
            and attempts.sent < attempts.route.max_attempts
            and self.clock.monotonic() < attempts.deadline
        )

    async def _find_server(
        self, inbound: inbounds.Inbound, attempts: tries.Attempts
    ) -> registry.Server | None:
        """Returns a server with room, waiting a little for one."""
        until = attempts.wait_until
        if inbound.is_background:
            until = attempts.deadline
        while True:
            now = self.clock.monotonic()
            if now >= attempts.deadline:
                return None
            server = self._choose(inbound, attempts, now)
            if server is not None:
                return server
            if now >= until:
                return None
            attempts.full.clear()
            await self.clock.sleep(ROOM_POLL_S)

    def _choose(
        self, inbound: inbounds.Inbound, attempts: tries.Attempts, now: float
    ) -> registry.Server | None:
        usable = [
            server
            for server in self.servers.list_servers(attempts.service)
            if server.is_usable(now) and server.id not in attempts.full
        ]
        if inbound.is_background:
            # Calls that nobody waits for leave a slot free at each server.
            usable = [
                s for s in usable if s.load(now) < max(1, s.entry.slots - 1)
            ]
        fresh = [s for s in usable if s.id not in attempts.tried]
        return placement.choose(fresh or usable, self.zone, now, self.rng)

    async def _attempt(
        self,
        inbound: inbounds.Inbound,
        attempts: tries.Attempts,
        server: registry.Server,
    ) -> message.Response | None:
        """Sends a call once; None if that brought no answer to pass on."""
        now = self.clock.monotonic()
        left_s = min(attempts.deadline - now, attempts.route.timeout_s)
        limit_s = left_s
        if attempts.route.may_repeat() and not attempts.route.is_streaming:
            limit_s = min(left_s, self._attempt_limit_s(attempts))
        call = self._make_call(inbound, attempts, left_s)
        server.in_flight += 1
        answer: message.Response | None = None
        try:
            with trio.move_on_after(limit_s) as scope:
                answer = await self._exchange(attempts, server, call)
            if scope.cancelled_caught:
                attempts.sent += 1
                attempts.tried.add(server.id)
                attempts.reason = f"no answer in {limit_s:.2f} s"
                self._learn_latency(attempts.service, limit_s)
                server.record_failure(self.clock.monotonic())
        except serverclient.WithdrawnError:
            raise
        except serverclient.ServerError as e:
            attempts.reason = e.reason
            if e.may_have_run:
                attempts.sent += 1
                attempts.tried.add(server.id)
            else:
                attempts.full.add(server.id)
                attempts.reason = ""
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

    def _attempt_limit_s(self, attempts: tries.Attempts) -> float:
        if attempts.sent + 1 >= attempts.route.max_attempts:
            return float("inf")
        usual_s = max(
            attempts.route.target_s,
            2 * self.latency_s.get(attempts.service, 0.0),
            ATTEMPT_LEAST_S,
        )
        return ATTEMPT_PATIENCE * usual_s * 2**attempts.sent

    def _make_call(
        self, inbound: inbounds.Inbound, attempts: tries.Attempts, left_s: float
    ) -> serverclient.Call:
        organisation = attempts.organisation
        return serverclient.Call(
            request_id=inbound.request_id,
            method=inbound.method,
            path=inbound.path,
            query=inbound.query,
            host=inbound.host,
            headers=inbound.headers,
            body=inbound.body,
            time_left_s=left_s,
            organisation=organisation.name if organisation else None,
            resume_after=inbound.resume_after,
            check=inbound.check,
        )

    async def _exchange(
        self,
        attempts: tries.Attempts,
        server: registry.Server,
        call: serverclient.Call,
    ) -> message.Response | None:
        began_at = self.clock.monotonic()
        if attempts.route.is_streaming:
            return await self._open_stream(attempts, server, call)
        stack = contextlib.AsyncExitStack()
        async with contextlib.AsyncExitStack() as opening:
            answer = await opening.enter_async_context(
                self.client.run(server, call, CONNECT_S)
            )
            if self._was_turned_away(attempts, server, answer):
                return None
            response = message.Response(
                answer.status,
                answer.headers,
                chunks=answer.body,
                signature=answer.signature,
            )
            is_whole = await response.read_within(HELD_BYTES_MOST)
            self._check(answer)
            if not is_whole:
                stack = opening.pop_all()
        attempts.sent += 1
        attempts.tried.add(server.id)
        self._learn(attempts, server, began_at)
        if not is_whole:
            response.chunks = passing.pass_on(
                stack, response.body, answer, attempts.deadline, self.clock
            )
        return response

    def _was_turned_away(
        self,
        attempts: tries.Attempts,
        server: registry.Server,
        answer: serverclient.Answer,
    ) -> bool:
        now = self.clock.monotonic()
        if answer.load is not None:
            server.update_load(answer.load, now)
        if not answer.not_run:
            return False
        attempts.full.add(server.id)
        if answer.wrong_server:
            server.record_failure(now)
        return True

    def _check(self, answer: serverclient.Answer) -> None:
        if not answer.signature:
            raise serverclient.ServerError(
                f"status {answer.status} without a signature", True
            )

    def _learn(
        self, attempts: tries.Attempts, server: registry.Server, began_at: float
    ) -> None:
        elapsed_s = self.clock.monotonic() - began_at
        usual_s = self._learn_latency(attempts.service, elapsed_s)
        server.record_success()
        server.update_relative_latency(elapsed_s / max(usual_s, 0.001))
        if attempts.organisation is not None:
            self.usage.note_begun(attempts.organisation.name)

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
        attempts: tries.Attempts,
        server: registry.Server,
        call: serverclient.Call,
    ) -> message.Response | None:
        """Returns an answer whose events are passed on as they come."""
        stack = contextlib.AsyncExitStack()
        async with contextlib.AsyncExitStack() as opening:
            answer = await opening.enter_async_context(
                self.client.run(server, call, CONNECT_S)
            )
            if self._was_turned_away(attempts, server, answer):
                return None
            self._check(answer)
            stack = opening.pop_all()
        attempts.sent += 1
        attempts.tried.add(server.id)
        if attempts.organisation is not None:
            self.usage.note_begun(attempts.organisation.name)
        until = attempts.deadline + passing.STREAM_MARGIN_S
        pieces = passing.pass_on(stack, b"", answer, until, self.clock)
        return message.Response(answer.status, answer.headers, chunks=pieces)

    def _failure(
        self, inbound: inbounds.Inbound, attempts: tries.Attempts
    ) -> errors.ServiceError:
        now = self.clock.monotonic()
        left_s = inbound.received_at + inbound.patience_s - now
        if attempts.sent:
            code = (
                errors.ResultCode.BACKEND_TIMEOUT
                if now >= attempts.deadline
                else errors.ResultCode.BACKEND_FAILED
            )
            failure = errors.ServiceError(
                code, attempts.reason, errors.Run.UNKNOWN
            )
        else:
            servers = self.servers.list_servers(attempts.service)
            is_any = any(s.is_usable(now) for s in servers)
            code = (
                errors.ResultCode.DEADLINE_UNMET
                if is_any
                else errors.ResultCode.NO_SERVER
            )
            wait_s = self.latency_s.get(attempts.service, 0.1)
            failure = errors.ServiceError(
                code,
                attempts.reason,
                retry_after_s=refusal.retry_after_s(wait_s, left_s, self.rng),
            )
        events.log(
            events.Event.CALL_REFUSED,
            request=inbound.request_id,
            route=attempts.route.name,
            service=attempts.service,
            code=code.number,
            sent=attempts.sent,
            tried=sorted(attempts.tried),
            full=sorted(attempts.full),
            reason=attempts.reason,
            left_s=round(left_s, 3),
        )
        return failure


def _patience_s(inbound: inbounds.Inbound, route: catalogue.Route) -> float:
    """Returns for how long a call may wait for room and for answers."""
    if inbound.is_background:
        return inbound.patience_s
    return min(inbound.patience_s, route.timeout_s)
