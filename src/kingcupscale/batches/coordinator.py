"""Running the batches of some models on one service's engines."""

from collections.abc import Callable
import contextlib
import traceback

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import metrics
from kingcupscale.batches import batch as batches
from kingcupscale.batches import book as books
from kingcupscale.batches import moving
from kingcupscale.batches import placement
from kingcupscale.batches import sample as samples
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import roster
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import forwarder
from kingcupscale.peering import handover
from kingcupscale.storage import store as stores

TICK_S = 0.05
# Results that come within this time are listed by one write.
GATHER_S = 0.2
COMMIT_RETRY_S = 0.3
# Time that an engine gets for the connection and for the whole run.
CONNECT_S = 0.3
RUN_LIMIT_S = 30.0
# An engine that sends nothing for this long is given up for another one; one
# that loads weights keeps its runs waiting meanwhile.
SILENCE_S = 0.8
LOADING_SILENCE_S = 3.0
# Tokens of an event before any has been counted.
EVENT_TOKENS = 30.0
# Pause before an engine that turned a model's item away gets another one.
TURNED_AWAY_S = 0.1
FAILED_PAUSE_S = 0.1
# A scoring call has this many times the route's wanted latency.
SCORE_PATIENCE = 10
SCORE_PAUSE_S = 0.1
# Weight of the newest run in the mean time of a token.
TOKEN_WEIGHT = 0.1
# Longer times of a token come from hints that were far off.
LONGEST_TOKEN_S = 0.01
# A copied text replaces one that is shorter by more events than this.
ADOPTED_LEAD = 8
# Texts of ended batches that are kept for items that come again.
TEXTS_KEPT = 2000
# Most results in one write, by the size of their texts in bytes.
WRITE_BYTES = 400_000
# Most batches in one write; a transaction takes 32 entries at the least.
WRITE_BATCHES = 16


@attrs.define
class Progress:
    """Samples of one batch, by item."""

    record: books.Record
    samples: dict[str, samples.Sample]


class Coordinator:
    """Runs the open batches of some models whose routes go to one service.

    Args:
        service: Name of the service.
        book: The batches.
        servers: The backend servers.
        client: Calls them.
        scoring: Passes scoring calls on.
        measures: Counters and histograms.
        clock: Tells the time.
        catalogue_now: Returns the configuration in force.

    Attributes:
        active: Models whose batches this node runs.
        leftovers: Finished samples of batches that another node runs by now;
            whichever node lists a result first, it stands.
        token_s: Mean time of a token, in seconds.
        event_s: Mean time of an event, in seconds; 0 before the first.
        event_tokens: Geometric mean of the expected tokens for an event.
    """

    def __init__(
        self,
        service: str,
        book: books.Book,
        servers: roster.Roster,
        client: serverclient.ServerClient,
        scoring: forwarder.Forwarder,
        measures: metrics.Metrics,
        clock: clocks.Clock,
        catalogue_now: Callable[[], catalogue.Catalogue | None],
    ) -> None:
        self.service = service
        self.book = book
        self.servers = servers
        self.client = client
        self.scoring = scoring
        self.measures = measures
        self.clock = clock
        self.catalogue_now = catalogue_now
        self.active: set[str] = set()
        self.token_s = placement.TOKEN_S
        self.event_s = 0.0
        self.event_tokens = EVENT_TOKENS
        self.progress: dict[str, Progress] = {}
        self.prompts: dict[str, set[str]] = {}
        self.texts: dict[str, list[serverclient.StreamEvent]] = {}
        self.results: dict[str, batches.Result] = {}
        self.leftovers: list[samples.Sample] = []
        self.finished = trio.Event()
        self.woken = trio.Event()

    def open_samples(self) -> list[samples.Sample]:
        """Returns all samples of open batches."""
        return [
            sample
            for progress in self.progress.values()
            for sample in progress.samples.values()
        ]

    def unlisted_samples(self, model: str) -> list[samples.Sample]:
        """Returns a model's samples that would be lost with this node."""
        return [
            sample
            for sample in [*self.open_samples(), *self.leftovers]
            if sample.record.batch.model == model
            and (sample.events or sample.result)
            and not sample.record.is_listed(sample.id)
        ]

    def take_copy(self, copy: handover.Copy) -> None:
        """Takes over texts that another node has made."""
        present = {sample.id: sample for sample in self.open_samples()}
        for text in copy.texts:
            known = self.texts.get(text.item, [])
            first = text.events[0].number if text.events else 0
            if first == 1:
                known = list(text.events)
            elif first == len(known) + 1:
                known = known + list(text.events)
            self.texts[text.item] = known
            if text.result is not None:
                self.results[text.item] = text.result
            sample = present.get(text.item)
            if sample is not None:
                self._adopt(sample)
        self._bound_copies()

    def _adopt(self, sample: samples.Sample) -> None:
        """Goes on with a copied text or result, if it is ahead."""
        if sample.result is not None:
            return
        text = self.texts.get(sample.id, [])
        if sample.id in self.results:
            sample.result = self.results.pop(sample.id)
            sample.stage = samples.Stage.FINISHED
            sample.scope.cancel()
            self.finished.set()
        elif (
            sample.stage is not samples.Stage.SCORING
            and len(text) > len(sample.events) + ADOPTED_LEAD
        ):
            sample.run_scope.cancel()
            sample.events = list(text)

    def _bound_copies(self) -> None:
        for kept in (self.texts, self.results):
            while len(kept) > TEXTS_KEPT:
                del kept[next(iter(kept))]

    def is_active(self, model: str) -> bool:
        """Tells whether this node runs a model's batches."""
        return model in self.active

    def set_active(self, model: str, is_active: bool) -> None:
        """Takes up a model's batches, or lets them go."""
        if is_active != self.is_active(model):
            self.active ^= {model}
            self._follow_batches()
            self.wake()

    def wake(self) -> None:
        """Has the samples looked at again at once."""
        self.woken.set()

    async def run(self) -> None:
        """Runs batches while active, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._commit_forever)
            while True:
                self._follow_batches()
                self._dispatch(nursery)
                with trio.move_on_after(TICK_S):
                    await self.woken.wait()
                self.woken = trio.Event()

    def _follow_batches(self) -> None:
        """Takes up new batches and lets go of closed ones."""
        for batch_id in list(self.progress):
            progress = self.progress[batch_id]
            is_over = not progress.record.is_open()
            if is_over or not self.is_active(progress.record.batch.model):
                self._let_go(progress)
        for batch_id, record in list(self.book.records.items()):
            is_ours = self.is_active(record.batch.model)
            is_known = batch_id in self.progress
            if is_ours and not is_known and record.is_open():
                self._take_up(record)

    def _let_go(self, progress: Progress) -> None:
        del self.progress[progress.record.batch.id]
        for sample in progress.samples.values():
            sample.scope.cancel()
            if sample.events and sample.result is None:
                self.texts[sample.id] = list(sample.events)
            if sample.result is not None and progress.record.is_open():
                self.leftovers.append(sample)
        self._bound_copies()
        events.log(
            events.Event.BATCH_CLOSED,
            batch=progress.record.batch.id,
            step=progress.record.batch.step,
            listed=len(progress.record.results),
            total=len(progress.record.batch.items),
            ended=progress.record.is_ended,
            active=self.is_active(progress.record.batch.model),
            age_s=round(self._age_s(progress.record), 3),
            unfinished=[
                [s.id, s.stage.value, s.server, len(s.events)]
                for s in progress.samples.values()
                if not progress.record.is_listed(s.id)
            ][:20],
        )

    def _age_s(self, record: books.Record) -> float:
        return self.clock.now().timestamp() - record.submitted_ms / 1000

    def _take_up(self, record: books.Record) -> None:
        configured = self.catalogue_now()
        if configured is None:
            return
        route = self._find_route(configured, record)
        if route is None:
            return
        now = self.clock.monotonic()
        listed = {result.item for result in record.results}
        progress = Progress(record, {})
        for item in record.batch.items:
            if item.id not in listed:
                sample = samples.Sample(item, record, route)
                sample.waiting_since = now
                sample.events = self.texts.pop(item.id, [])
                progress.samples[item.id] = sample
                if item.id in self.results:
                    self._adopt(sample)
        self.progress[record.batch.id] = progress
        events.log(
            events.Event.BATCH_TAKEN_UP,
            batch=record.batch.id,
            step=record.batch.step,
            model=record.batch.model,
            minimum_version=record.batch.minimum_version,
            items=len(progress.samples),
            carried=sum(bool(s.events) for s in progress.samples.values()),
            age_s=round(self._age_s(record), 3),
        )

    def _find_route(
        self, configured: catalogue.Catalogue, record: books.Record
    ) -> catalogue.Route | None:
        """Returns a batch's route if its service is this one."""
        for item in record.batch.items[:1]:
            route = configured.find_route(record.batch.host, item.path)
            names = [share.service for share in route.shares] if route else []
            if self.service in names:
                return route
        return None

    def _dispatch(self, nursery: trio.Nursery) -> None:
        """Sends waiting samples to engines with room."""
        now = self.clock.monotonic()
        now_ms = int(self.clock.now().timestamp() * 1000)
        self._give_up_old(now_ms)
        waiting = [
            s for s in self.open_samples() if s.stage is samples.Stage.WAITING
        ]
        self._move_slow_runs(now, waiting)
        usable = [
            s for s in self.servers.of_service(self.service) if s.is_usable(now)
        ]
        while waiting:
            choice = placement.choose(
                waiting, usable, self.prompts, now, now_ms, self.token_s
            )
            if choice is None:
                return
            waiting.remove(choice.sample)
            choice.sample.stage = samples.Stage.GENERATING
            choice.sample.server = choice.server.id
            choice.server.in_flight += 1
            self._note_prompt(choice)
            nursery.start_soon(self._run_guarded, choice)

    def _move_slow_runs(
        self, now: float, waiting: list[samples.Sample]
    ) -> None:
        """Ends runs that would be done sooner on another engine."""
        free = [
            s
            for s in self.servers.of_service(self.service)
            if s.is_usable(now) and s.load(now) < s.entry.slots
        ]
        taken = len(waiting)
        for sample in self.open_samples():
            if sample.stage is not samples.Stage.GENERATING:
                continue
            here = self.servers.servers.get(sample.server)
            others = [
                s
                for s in free
                if s.id != sample.server and placement.can_run(sample, s, now)
            ]
            room = sum(s.entry.slots - s.in_flight for s in others)
            if not others or here is None or room <= taken:
                continue
            best = min(placement.finish_cost(s, now, False) for s in others)
            pace = moving.Pace(
                sample.run_events,
                len(sample.events),
                sample.event_s(now),
                sample.moves,
            )
            expected = sample.expected_tokens() / self.event_tokens
            if moving.is_worth_moving(pace, best * self.event_s, expected):
                sample.moves += 1
                taken += 1
                here.note_pace(pace.event_s / max(1e-6, self.event_s))
                sample.run_scope.cancel()

    def _note_prompt(self, choice: placement.Choice) -> None:
        if len(self.prompts) > TEXTS_KEPT:
            self.prompts.clear()
        group = choice.sample.item.group
        self.prompts.setdefault(group, set()).add(choice.server.id)

    def _give_up_old(self, now_ms: int) -> None:
        for sample in self.open_samples():
            age_s = (now_ms - sample.record.submitted_ms) / 1000
            is_waiting = sample.stage is samples.Stage.WAITING
            if is_waiting and age_s > sample.route.max_age_s:
                self._finish(sample, None, "too old")

    async def _run_guarded(self, choice: placement.Choice) -> None:
        """Runs a sample; an unexpected error ends only this run."""
        try:
            await self._run_sample(choice)
        except Exception as e:
            events.log(
                events.Event.REQUEST_FAILED,
                kind=type(e).__name__,
                item=choice.sample.id,
                trace=traceback.format_tb(e.__traceback__),
            )
            choice.sample.stage = samples.Stage.WAITING
            self._postpone(choice.sample, SILENCE_S)

    async def _run_sample(self, choice: placement.Choice) -> None:
        sample, server = choice.sample, choice.server
        is_whole = False
        with trio.CancelScope() as sample.scope:
            try:
                is_whole = await self._generate(sample, server)
            finally:
                server.in_flight -= 1
                self.wake()
            if is_whole:
                sample.stage = samples.Stage.SCORING
                await self._score(sample)
        if sample.stage is samples.Stage.GENERATING:
            sample.stage = samples.Stage.WAITING
            sample.waiting_since = self.clock.monotonic()

    async def _generate(
        self, sample: samples.Sample, server: roster.Server
    ) -> bool:
        """Runs a sample once; whether its text is whole."""
        model = sample.record.batch.model
        version = server.versions.get(model, 0)
        sample.keep_usable_text(version)
        sample.begin_run()
        began_at = self.clock.monotonic()
        before = len(sample.events)
        call = self._make_call(sample, version)
        outcome = "whole"
        try:
            with sample.run_scope:
                async with self.client.run(server, call, CONNECT_S) as answer:
                    outcome = await self._take_answer(sample, server, answer)
            if sample.run_scope.cancelled_caught:
                outcome = "moved"
        except serverclient.ServerError as e:
            outcome = f"broken: {e.reason}"
            server.note_failure(self.clock.monotonic())
            self._postpone(sample, FAILED_PAUSE_S)
        finally:
            self._log_run(sample, server, outcome, began_at, before)
        if outcome != "whole":
            return False
        server.note_success()
        self._learn(sample, server, began_at, before)
        return True

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
            time_left_s=RUN_LIMIT_S,
            organisation=sample.record.batch.organisation or None,
            expected_version=version or None,
            resume_after=sample.resume_after(),
            priority=min(9, sample.route.priority),
        )

    async def _take_answer(
        self,
        sample: samples.Sample,
        server: roster.Server,
        answer: serverclient.Answer,
    ) -> str:
        """Reads an answer; returns "whole" or why the text is not."""
        now = self.clock.monotonic()
        if answer.load is not None:
            server.note_load(answer.load, now)
        if answer.not_run:
            model = sample.record.batch.model
            if not answer.wrong_server:
                server.closed[model] = now + TURNED_AWAY_S
            elif answer.version:
                server.versions[model] = answer.version
            else:
                server.note_failure(now)
            return f"turned away with {answer.status}"
        if answer.status == 422:
            self._finish(sample, None, "the server can never do it")
            return "refused for good"
        if not answer.is_success:
            self._note_own_failure(sample, answer)
            return f"failed with {answer.status}"
        return await self._read_events(sample, server, answer)

    def _note_own_failure(
        self, sample: samples.Sample, answer: serverclient.Answer
    ) -> None:
        self._postpone(sample, FAILED_PAUSE_S)
        if answer.status == 500 and answer.signature:
            sample.failures += 1
            if sample.failures >= sample.route.max_attempts:
                self._finish(sample, None, "failed at every run")

    async def _read_events(
        self,
        sample: samples.Sample,
        server: roster.Server,
        answer: serverclient.Answer,
    ) -> str:
        stream = self.client.events(answer)
        async with contextlib.aclosing(stream):
            while True:
                event = None
                with trio.move_on_after(self._silence_s(server)) as scope:
                    event = await anext(stream, None)
                if scope.cancelled_caught:
                    raise serverclient.ServerError("silent in a stream", True)
                if event is None:
                    return "whole"
                if not sample.add(event, self.clock.monotonic()):
                    raise serverclient.ServerError(
                        f"event {event.number} after {len(sample.events)}",
                        True,
                    )

    def _silence_s(self, server: roster.Server) -> float:
        is_loading = server.loading_until > self.clock.monotonic()
        return LOADING_SILENCE_S if is_loading else SILENCE_S

    def _postpone(self, sample: samples.Sample, seconds: float) -> None:
        sample.not_before = self.clock.monotonic() + seconds

    def _learn(
        self,
        sample: samples.Sample,
        server: roster.Server,
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
        server.note_pace(elapsed_s / made / max(1e-6, self.event_s))

    def _log_run(
        self,
        sample: samples.Sample,
        server: roster.Server,
        outcome: str,
        began_at: float,
        before: int,
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
        )

    async def _score(self, sample: samples.Sample) -> None:
        scorer = sample.item.scorer
        if scorer is None:
            self._finish(sample, "", "")
            return
        while sample.result is None:
            try:
                answer = await self.scoring.forward(self._score_call(scorer))
                score = answer.signature if answer.status < 300 else ""
            except errors.ServiceError as e:
                events.log(
                    events.Event.SCORING_FAILED,
                    item=sample.id,
                    request=scorer.id,
                    reason=str(e),
                )
                await self.clock.sleep(SCORE_PAUSE_S)
                continue
            if score:
                self._finish(sample, score, "")
            else:
                self._note_score_failure(sample, answer.status)
                await self.clock.sleep(SCORE_PAUSE_S)

    def _note_score_failure(self, sample: samples.Sample, status: int) -> None:
        sample.score_failures += 1
        events.log(
            events.Event.SCORING_FAILED,
            item=sample.id,
            request=sample.item.scorer.id if sample.item.scorer else "",
            reason=f"status {status}",
            failures=sample.score_failures,
        )
        scorer = sample.item.scorer
        configured = self.catalogue_now()
        if scorer is None or configured is None:
            return
        route = configured.find_route(scorer.host, scorer.path)
        if route and sample.score_failures >= route.max_attempts:
            self._finish(sample, None, "its scoring call failed at every run")

    def _score_call(self, scorer: batches.Scorer) -> forwarder.Inbound:
        return forwarder.Inbound(
            request_id=scorer.id,
            method="POST",
            host=scorer.host,
            path=scorer.path,
            query="",
            headers={},
            body=scorer.body,
            key="",
            patience_s=RUN_LIMIT_S,
            received_at=self.clock.monotonic(),
            is_background=True,
        )

    def _finish(
        self, sample: samples.Sample, score: str | None, reason: str
    ) -> None:
        """Makes a result; without a score, that of a failed item."""
        if score is None:
            sample.fail()
            events.log(
                events.Event.SAMPLE_FAILED, item=sample.id, reason=reason
            )
        else:
            sample.finish(score)
            self.measures.record(
                sample.record.batch.organisation,
                sample.route.name,
                metrics.Measure.SAMPLE_MS,
                1000 * self._age_s(sample.record),
            )
        self.finished.set()

    async def _commit_forever(self) -> None:
        """Lists finished samples, several by one write."""
        while True:
            await self.finished.wait()
            await self.clock.sleep(GATHER_S)
            self.finished = trio.Event()
            try:
                await self._commit()
            except (stores.StoreError, errors.ServiceError) as e:
                events.log(
                    events.Event.RESULTS_UNLISTED,
                    service=self.service,
                    reason=str(e),
                )
                await self.clock.sleep(COMMIT_RETRY_S)
                self.finished.set()

    async def _commit(self) -> None:
        additions = self._gather()
        if not additions:
            return
        is_listed = await self.book.append(additions)
        for record, chunk in additions:
            events.log(
                events.Event.RESULTS_LISTED,
                batch=record.batch.id,
                items=[result.item for result in chunk.results],
                listed=is_listed,
                position=len(record.results),
            )
        # What did not fit, or met another writer, is looked at again.
        self.finished.set()
        self.wake()

    def _gather(self) -> list[tuple[books.Record, books.Chunk]]:
        """Returns the results that are not listed yet, as far as fits."""
        self.leftovers = [
            sample
            for sample in self.leftovers
            if sample.record.is_open()
            and not sample.record.is_listed(sample.id)
        ]
        found: dict[str, tuple[books.Record, dict[str, batches.Result]]] = {}
        size = 0
        for sample in [*self.open_samples(), *self.leftovers]:
            record = sample.record
            if sample.result is None or record.is_listed(sample.id):
                continue
            if size > WRITE_BYTES:
                break
            size += len(sample.result.text) + 200
            _, results = found.setdefault(record.batch.id, (record, {}))
            results.setdefault(sample.id, sample.result)
        return [
            (record, books.Chunk(list(results.values())))
            for record, results in list(found.values())[:WRITE_BATCHES]
        ]
