"""Runs samples on engines and measures the engines' speed.

A run is one request. It generates a sample's text or resumes it after the
events that are already known.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools

import orjson
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.batches import order
from kingcupscale.batches import placement
from kingcupscale.batches import rejections
from kingcupscale.batches import sample as samples
from kingcupscale.batches import sendguard
from kingcupscale.fleet import eligibility as eligibilities
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient

# Time limits of the connection and of the whole run.
CONNECT_TIMEOUT_S = 0.3
RUN_TIMEOUT_S = 30.0
# Time limit of the response headers. An engine sends them with the first
# token, which may have to wait for a slot and for weights that are loading.
HEADER_TIMEOUT_S = 5.0
# A run ends if its engine sends no event for this long, so that the sample can
# run on another engine. An engine that is loading weights gets more time,
# because its runs wait meanwhile.
IDLE_TIMEOUT_S = 0.8
LOADING_IDLE_TIMEOUT_S = 3.0
# The idle timeout of a sample doubles with each one that it has met, up to
# this, so that engines which are slow but healthy can finish it.
MAX_IDLE_TIMEOUT_S = 10.0
# Upper limit of the size of a text as encoded. A value of the store has to hold
# a result together with other results.
MAX_TEXT_BYTES = 512 * 1024
# Tokens per event that are assumed until a run has been measured.
DEFAULT_EVENT_TOKENS = 30.0
# Pause before an item is sent again after a failed run.
FAILED_PAUSE_S = 0.1
# Pause before an item is sent again after the send guard blocked its request.
BLOCKED_PAUSE_S = 0.1
# Weight of the latest run in the moving averages of the speed.
AVERAGE_WEIGHT = 0.1
# Upper limit of a measured time per token. Higher values come from length
# hints that were far too low.
MAX_TOKEN_S = 0.01


class Generator:
    """Runs samples on engines.

    Args:
        client: Client for requests to engines.
        clock: Clock for times.
        guard: Checks that requests may still be sent.
        on_failed: Called with a sample that can't be completed and the
            reason.
        eligibility: Checks that requests may still be sent to their server.

    Attributes:
        token_s: Average seconds per token.
        event_s: Average seconds per event; 0 until a run has been measured.
        event_tokens: Geometric mean of the expected tokens per event.
        rejections: Pauses of engines that reject samples.
    """

    def __init__(
        self,
        client: serverclient.ServerClient,
        clock: clocks.Clock,
        guard: sendguard.SendGuard,
        on_failed: Callable[[samples.Sample, str], None],
        eligibility: eligibilities.Eligibility,
    ) -> None:
        self.eligibility = eligibility
        self.client = client
        self.clock = clock
        self.guard = guard
        self.on_failed = on_failed
        self.token_s = placement.DEFAULT_TOKEN_S
        self.event_s = 0.0
        self.event_tokens = DEFAULT_EVENT_TOKENS
        self.rejections = rejections.Rejections()

    def speed(self) -> order.Speed:
        """Returns how fast samples have been generated."""
        return order.Speed(self.token_s, self.event_tokens)

    async def run(
        self, sample: samples.Sample, server: registry.Server
    ) -> bool:
        """Runs a sample once on an engine.

        Returns:
            Whether its text is complete.
        """
        model = sample.record.batch.model
        version = server.versions.get(model, 0)
        sample.discard_unusable_text(version)
        sample.begin_run()
        started_at = self.clock.monotonic()
        resumed_events = len(sample.events)
        call = self._make_call(sample, server, version)
        outcome = "cancelled before its end"
        view_age_s = self.guard.view.age_s()
        try:
            with sample.run_scope:
                async with self._open_request(server, call) as response:
                    outcome = await self._read_response(
                        sample, server, response, started_at
                    )
            if sample.run_scope.cancelled_caught:
                outcome = "moved"
        except serverclient.NotSentError as e:
            outcome = f"blocked by the send guard: {e.reason}"
            self._postpone(sample, BLOCKED_PAUSE_S)
        except serverclient.ServerError as e:
            outcome = f"request failed: {e.reason}"
            server.record_failure(self.clock.monotonic())
            self._postpone(sample, FAILED_PAUSE_S)
        finally:
            self._log_run(
                sample, server, outcome, started_at, resumed_events, view_age_s
            )
        if outcome != "whole":
            return False
        server.record_success()
        self._update_averages(sample, server, started_at, resumed_events)
        return True

    @contextlib.asynccontextmanager
    async def _open_request(
        self, server: registry.Server, call: serverclient.Call
    ) -> AsyncIterator[serverclient.ServerResponse]:
        """Sends a request and waits for the response headers.

        Raises:
            ServerError: If they do not arrive within ``HEADER_TIMEOUT_S``.
        """
        async with contextlib.AsyncExitStack() as stack:
            with trio.move_on_after(HEADER_TIMEOUT_S) as scope:
                response = await stack.enter_async_context(
                    self.client.run(server, call, CONNECT_TIMEOUT_S)
                )
            if scope.cancelled_caught:
                raise serverclient.ServerError(
                    "no response headers in time", True
                )
            yield response

    def _make_call(
        self, sample: samples.Sample, server: registry.Server, version: int
    ) -> serverclient.Call:
        return serverclient.Call(
            request_id=sample.id,
            method="POST",
            path=sample.item.path,
            query="",
            host=sample.record.batch.host,
            headers=sample.item.headers,
            body=sample.item.body,
            timeout_s=RUN_TIMEOUT_S,
            organisation=sample.record.batch.organisation or None,
            expected_version=version or None,
            resume_after=sample.resume_after(),
            priority=min(9, sample.route.priority),
            before_send=self.eligibility.guard(
                server,
                functools.partial(self.guard.check, sample),
                sample.record.batch.model,
                sample.zones,
            ),
        )

    async def _read_response(
        self,
        sample: samples.Sample,
        server: registry.Server,
        response: serverclient.ServerResponse,
        sent_at: float,
    ) -> str:
        """Reads a response; returns "whole" or why the text is incomplete."""
        now = self.clock.monotonic()
        if response.load is not None:
            server.update_load(response.load, now)
        if response.not_executed:
            await self._handle_rejection(sample, server, response, sent_at)
            return f"rejected without running, status {response.status}"
        if response.status == 422:
            self.on_failed(sample, "rejected by the engine as unprocessable")
            return "rejected as unprocessable"
        if not response.is_success:
            self._handle_failure(sample, response)
            return f"failed with status {response.status}"
        self.rejections.end(server, sample.record.batch.model)
        return await self._read_events(sample, server, response)

    async def _handle_rejection(
        self,
        sample: samples.Sample,
        server: registry.Server,
        response: serverclient.ServerResponse,
        sent_at: float,
    ) -> None:
        """Updates what is known of an engine that rejected a run."""
        now = self.clock.monotonic()
        model = sample.record.batch.model
        if response.wrong_server:
            self.eligibility.refund(server, model)
        if not response.wrong_server:
            self.rejections.record(server, model, sent_at, now)
        elif response.version:
            server.versions[model] = response.version
        else:
            # The address may belong to another server by now, or the engine
            # may have other weights than this node knows. Its status tells
            # which of the two it is.
            server.record_failure(now)
            status = await self.client.fetch_engine_status(server)
            server.versions.update(status.versions)

    def _handle_failure(
        self, sample: samples.Sample, response: serverclient.ServerResponse
    ) -> None:
        """Postpones a sample after a failure; fails it after too many.

        Only failures that the engine itself reports count: status 500 with a
        signature.
        """
        self._postpone(sample, FAILED_PAUSE_S)
        if response.status == 500 and response.signature:
            sample.failures += 1
            if sample.failures >= sample.route.max_attempts:
                self.on_failed(sample, "failed at every attempt")

    async def _read_events(
        self,
        sample: samples.Sample,
        server: registry.Server,
        response: serverclient.ServerResponse,
    ) -> str:
        """Appends a response's events to a sample until the text is complete.

        Raises:
            ServerError: If the stream breaks, stops, skips an event or
                exceeds a limit.
        """
        stream = self.client.events(response)
        size = sum(_encoded_bytes(event) for event in sample.events)
        async with contextlib.aclosing(stream):
            while True:
                event = None
                timeout_s = self._idle_timeout_s(sample, server)
                with trio.move_on_after(timeout_s) as scope:
                    event = await anext(stream, None)
                if scope.cancelled_caught:
                    sample.idle_timeouts += 1
                    raise serverclient.ServerError(
                        "no event within the idle timeout", True
                    )
                if event is None:
                    return "whole"
                if not sample.append(event, self.clock.monotonic()):
                    raise serverclient.ServerError(
                        f"got event {event.number} after event"
                        f" {len(sample.events)}",
                        True,
                    )
                size += _encoded_bytes(event)
                if size > MAX_TEXT_BYTES or sample.exceeds_token_limit():
                    sample.events.clear()
                    raise serverclient.ServerError(
                        "text exceeds the size or token limit", True
                    )

    def _idle_timeout_s(
        self, sample: samples.Sample, server: registry.Server
    ) -> float:
        """Returns how long an engine may send no event."""
        is_loading = server.loading_until > self.clock.monotonic()
        base_s = LOADING_IDLE_TIMEOUT_S if is_loading else IDLE_TIMEOUT_S
        return min(MAX_IDLE_TIMEOUT_S, base_s * 2**sample.idle_timeouts)

    def _postpone(self, sample: samples.Sample, seconds: float) -> None:
        sample.not_before = self.clock.monotonic() + seconds

    def _update_averages(
        self,
        sample: samples.Sample,
        server: registry.Server,
        started_at: float,
        resumed_events: int,
    ) -> None:
        """Updates the averages and the engine's speed after a complete run."""
        generated = len(sample.events) - resumed_events
        if not generated:
            return
        elapsed_s = self.clock.monotonic() - started_at
        if resumed_events == 0 and sample.item.length_hint:
            ratio = sample.item.length_hint / len(sample.events)
            self.event_tokens *= (ratio / self.event_tokens) ** AVERAGE_WEIGHT
            token_s = min(MAX_TOKEN_S, elapsed_s / sample.item.length_hint)
            self.token_s += AVERAGE_WEIGHT * (token_s - self.token_s)
        self.event_s = self.event_s or elapsed_s / generated
        self.event_s += AVERAGE_WEIGHT * (elapsed_s / generated - self.event_s)
        server.update_relative_latency(
            elapsed_s / generated / max(1e-6, self.event_s)
        )

    def _log_run(
        self,
        sample: samples.Sample,
        server: registry.Server,
        outcome: str,
        started_at: float,
        resumed_events: int,
        view_age_s: float,
    ) -> None:
        now = self.clock.monotonic()
        events.log(
            events.Event.SAMPLE_RUN,
            item=sample.id,
            batch=sample.record.batch.id,
            server=server.id,
            version=server.versions.get(sample.record.batch.model, 0),
            outcome=outcome,
            waited_s=round(started_at - sample.waiting_since, 3),
            took_s=round(now - started_at, 3),
            events=[resumed_events, len(sample.events)],
            expected_tokens=sample.expected_tokens(),
            in_flight=server.in_flight,
            view_age_s=round(view_age_s, 3),
        )


def _encoded_bytes(event: serverclient.StreamEvent) -> int:
    """Returns the size of an event's data as part of an encoded text."""
    return len(orjson.dumps(event.data))
