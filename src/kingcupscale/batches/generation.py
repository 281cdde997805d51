"""One run of a sample on an engine, and what it teaches."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools

import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.batches import placement
from kingcupscale.batches import sample as samples
from kingcupscale.batches import sendguard
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient

# Time that an engine gets for the connection and for the whole run.
CONNECT_S = 0.3
RUN_LIMIT_S = 30.0
# An engine begins its answer with the first token; before that, a run waits
# for a place and for weights that are being loaded.
HEADER_TIMEOUT_S = 5.0
# An engine that sends nothing for this long is given up for another one; one
# that loads weights keeps its runs waiting meanwhile.
SILENCE_S = 0.8
LOADING_SILENCE_S = 3.0
# A sample that met silence waits twice as long the next time, up to this, so
# that engines which are slow but sound finish it.
LONGEST_SILENCE_S = 10.0
# A result has to fit into a value of the store with others beside it.
TEXT_BYTES_MOST = 512 * 1024
# Tokens of an event before any has been counted.
EVENT_TOKENS = 30.0
# Pause before an engine that turned a model's item away gets another one.
TURNED_AWAY_S = 0.1
FAILED_PAUSE_S = 0.1
# Pause before an item that was kept from leaving is looked at again.
KEPT_BACK_PAUSE_S = 0.1
# Weight of the newest run in the mean time of a token.
TOKEN_WEIGHT = 0.1
# Longer times of a token come from hints that were far off.
LONGEST_TOKEN_S = 0.01


class Generator:
    """Runs samples on engines.

    Args:
        client: Calls the engines.
        clock: Tells the time.
        guard: Checks that requests may still be sent.
        fail: Ends a sample that can't be done, for a reason.

    Attributes:
        token_s: Mean time of a token, in seconds.
        event_s: Mean time of an event, in seconds; 0 before the first.
        event_tokens: Geometric mean of the expected tokens for an event.
    """

    def __init__(
        self,
        client: serverclient.ServerClient,
        clock: clocks.Clock,
        guard: sendguard.SendGuard,
        fail: Callable[[samples.Sample, str], None],
    ) -> None:
        self.client = client
        self.clock = clock
        self.guard = guard
        self.fail = fail
        self.token_s = placement.TOKEN_S
        self.event_s = 0.0
        self.event_tokens = EVENT_TOKENS

    async def run(
        self, sample: samples.Sample, server: registry.Server
    ) -> bool:
        """Runs a sample once; whether its text is whole."""
        model = sample.record.batch.model
        version = server.versions.get(model, 0)
        sample.keep_usable_text(version)
        sample.begin_run()
        began_at = self.clock.monotonic()
        before = len(sample.events)
        call = self._make_call(sample, version)
        outcome = "given up"
        view_age_s = self.guard.view.age_s()
        try:
            with sample.run_scope:
                async with self._begun(server, call) as answer:
                    outcome = await self._take_answer(sample, server, answer)
            if sample.run_scope.cancelled_caught:
                outcome = "moved"
        except serverclient.NotSentError as e:
            outcome = f"kept back: {e.reason}"
            self._postpone(sample, KEPT_BACK_PAUSE_S)
        except serverclient.ServerError as e:
            outcome = f"broken: {e.reason}"
            server.record_failure(self.clock.monotonic())
            self._postpone(sample, FAILED_PAUSE_S)
        finally:
            self._log_run(sample, server, outcome, began_at, before, view_age_s)
        if outcome != "whole":
            return False
        server.record_success()
        self._learn(sample, server, began_at, before)
        return True

    @contextlib.asynccontextmanager
    async def _begun(
        self, server: registry.Server, call: serverclient.Call
    ) -> AsyncIterator[serverclient.ServerResponse]:
        """Sends a request whose answer has to begin in time."""
        async with contextlib.AsyncExitStack() as stack:
            with trio.move_on_after(HEADER_TIMEOUT_S) as scope:
                answer = await stack.enter_async_context(
                    self.client.run(server, call, CONNECT_S)
                )
            if scope.cancelled_caught:
                raise serverclient.ServerError("no head in time", True)
            yield answer

    def _make_call(
        self, sample: samples.Sample, version: int
    ) -> serverclient.Call:
        return serverclient.Call(
            request_id=sample.id,
            method="POST",
            path=sample.item.path,
            query="",
            host=sample.record.batch.host,
            headers=sample.item.headers,
            body=sample.item.body,
            timeout_s=RUN_LIMIT_S,
            organisation=sample.record.batch.organisation or None,
            expected_version=version or None,
            resume_after=sample.resume_after(),
            priority=min(9, sample.route.priority),
            before_send=functools.partial(self.guard.check, sample),
        )

    async def _take_answer(
        self,
        sample: samples.Sample,
        server: registry.Server,
        answer: serverclient.ServerResponse,
    ) -> str:
        """Reads an answer; returns "whole" or why the text is not."""
        now = self.clock.monotonic()
        if answer.load is not None:
            server.update_load(answer.load, now)
        if answer.not_executed:
            await self._note_turned_away(sample, server, answer)
            return f"turned away with {answer.status}"
        if answer.status == 422:
            self.fail(sample, "the server can never do it")
            return "refused for good"
        if not answer.is_success:
            self._note_own_failure(sample, answer)
            return f"failed with {answer.status}"
        return await self._read_events(sample, server, answer)

    async def _note_turned_away(
        self,
        sample: samples.Sample,
        server: registry.Server,
        answer: serverclient.ServerResponse,
    ) -> None:
        now = self.clock.monotonic()
        model = sample.record.batch.model
        if not answer.wrong_server:
            server.no_samples_until[model] = now + TURNED_AWAY_S
        elif answer.version:
            server.versions[model] = answer.version
        else:
            # Its address may have gone to another server, or it has other
            # weights than this node was told; the report shows which.
            server.record_failure(now)
            report = await self.client.fetch_engine_status(server)
            server.versions.update(report.versions)

    def _note_own_failure(
        self, sample: samples.Sample, answer: serverclient.ServerResponse
    ) -> None:
        self._postpone(sample, FAILED_PAUSE_S)
        if answer.status == 500 and answer.signature:
            sample.failures += 1
            if sample.failures >= sample.route.max_attempts:
                self.fail(sample, "failed at every run")

    async def _read_events(
        self,
        sample: samples.Sample,
        server: registry.Server,
        answer: serverclient.ServerResponse,
    ) -> str:
        stream = self.client.events(answer)
        size = sum(len(event.data) for event in sample.events)
        async with contextlib.aclosing(stream):
            while True:
                event = None
                silence_s = self._silence_s(sample, server)
                with trio.move_on_after(silence_s) as scope:
                    event = await anext(stream, None)
                if scope.cancelled_caught:
                    sample.silences += 1
                    raise serverclient.ServerError("silent in a stream", True)
                if event is None:
                    return "whole"
                if not sample.add(event, self.clock.monotonic()):
                    raise serverclient.ServerError(
                        f"event {event.number} after {len(sample.events)}",
                        True,
                    )
                size += len(event.data)
                if size > TEXT_BYTES_MOST or sample.is_overlong():
                    sample.events.clear()
                    raise serverclient.ServerError("text without end", True)

    def _silence_s(
        self, sample: samples.Sample, server: registry.Server
    ) -> float:
        is_loading = server.loading_until > self.clock.monotonic()
        usual_s = LOADING_SILENCE_S if is_loading else SILENCE_S
        return min(LONGEST_SILENCE_S, usual_s * 2**sample.silences)

    def _postpone(self, sample: samples.Sample, seconds: float) -> None:
        sample.not_before = self.clock.monotonic() + seconds

    def _learn(
        self,
        sample: samples.Sample,
        server: registry.Server,
        began_at: float,
        before: int,
    ) -> None:
        made = len(sample.events) - before
        if not made:
            return
        elapsed_s = self.clock.monotonic() - began_at
        if before == 0 and sample.item.length_hint:
            ratio = sample.item.length_hint / len(sample.events)
            self.event_tokens *= (ratio / self.event_tokens) ** TOKEN_WEIGHT
            token_s = min(LONGEST_TOKEN_S, elapsed_s / sample.item.length_hint)
            self.token_s += TOKEN_WEIGHT * (token_s - self.token_s)
        self.event_s = self.event_s or elapsed_s / made
        self.event_s += TOKEN_WEIGHT * (elapsed_s / made - self.event_s)
        server.update_relative_latency(
            elapsed_s / made / max(1e-6, self.event_s)
        )

    def _log_run(
        self,
        sample: samples.Sample,
        server: registry.Server,
        outcome: str,
        began_at: float,
        before: int,
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
            waited_s=round(began_at - sample.waiting_since, 3),
            took_s=round(now - began_at, 3),
            events=[before, len(sample.events)],
            expected_tokens=sample.expected_tokens(),
            in_flight=server.in_flight,
            view_age_s=round(view_age_s, 3),
        )
