"""Running the batches of some models on one service's engines."""

from collections.abc import Callable
import traceback

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import metrics
from kingcupscale.batches import batch as batches
from kingcupscale.batches import cache as caches
from kingcupscale.batches import generation
from kingcupscale.batches import moving
from kingcupscale.batches import placement
from kingcupscale.batches import record as records
from kingcupscale.batches import resultwriter
from kingcupscale.batches import sample as samples
from kingcupscale.batches import scoring
from kingcupscale.batches import sendguard
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import forwarder
from kingcupscale.peering import handover
from kingcupscale.storage import view as views

TICK_S = 0.05
# New batches wake the coordinator; this is for what nobody tells of.
IDLE_TICK_S = 0.5
# Pause before a sample goes on after an unexpected error of our own.
ERROR_PAUSE_S = 0.8
# A copied text replaces one that is shorter by more events than this.
ADOPTED_LEAD = 8
# Texts of ended batches that are kept for items that come again.
TEXTS_KEPT = 2000


@attrs.define
class Progress:
    """Samples of one batch, by item."""

    record: records.Record
    samples: dict[str, samples.Sample]


class Coordinator:
    """Runs the open batches of some models whose routes go to one service.

    Args:
        service: Name of the service.
        batch_cache: The batches.
        servers: The backend servers.
        client: Calls them.
        forward: Passes scoring calls on.
        measures: Counters and histograms.
        clock: Tells the time.
        catalogue_now: Returns the configuration in force.
        view: Tells whether batches' ends are known here.

    Attributes:
        active_models: Models whose batches this node runs.
        partial_texts: Texts, by item, to continue when this node runs the
            item: from other nodes' copies, and of batches it has released.
        copied_results: Results from other nodes' copies, by batch and item.
        released_samples: Finished samples of open batches that another node
            runs by now. They are still listed here; the result that is
            listed first stands.
    """

    def __init__(
        self,
        service: str,
        batch_cache: caches.BatchCache,
        servers: registry.ServerRegistry,
        client: serverclient.ServerClient,
        forward: forwarder.Forwarder,
        measures: metrics.Metrics,
        clock: clocks.Clock,
        catalogue_now: Callable[[], catalogue.Catalogue | None],
        view: views.View,
    ) -> None:
        guard = sendguard.SendGuard(view)
        self.view = view
        self.service = service
        self.batch_cache = batch_cache
        self.servers = servers
        self.generator = generation.Generator(client, clock, guard, self._fail)
        self.scorer = scoring.Scorer(
            forward,
            clock,
            catalogue_now,
            guard,
            self._finish,
            self._fail,
        )
        self.result_writer = resultwriter.ResultWriter(
            service, batch_cache, clock, self._samples_to_list
        )
        self.measures = measures
        self.clock = clock
        self.catalogue_now = catalogue_now
        self.active_models: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.prompts: dict[str, set[str]] = {}
        self.partial_texts: dict[str, list[serverclient.StreamEvent]] = {}
        self.copied_results: dict[tuple[str, str], batches.Result] = {}
        self.released_samples: list[samples.Sample] = []
        self.woken = trio.Event()

    def open_samples(self) -> list[samples.Sample]:
        """Returns all samples of open batches."""
        return [
            sample
            for progress in self.progress.values()
            for sample in progress.samples.values()
        ]

    def has_open_batches(self, model: str) -> bool:
        """Tells whether this node runs a batch of a model now."""
        return any(
            progress.record.batch.model == model
            for progress in self.progress.values()
        )

    def unlisted_samples(self, model: str) -> list[samples.Sample]:
        """Returns a model's samples that would be lost with this node."""
        return [
            sample
            for sample in [*self.open_samples(), *self.released_samples]
            if sample.record.batch.model == model
            and (sample.events or sample.result)
            and not sample.record.has_result(sample.id)
        ]

    def _samples_to_list(self) -> list[samples.Sample]:
        self.released_samples = [
            sample
            for sample in self.released_samples
            if sample.record.is_open()
            and not sample.record.has_result(sample.id)
        ]
        return [*self.open_samples(), *self.released_samples]

    def apply_copy(self, copy: handover.ReplicationRequest) -> bool:
        """Takes over texts that another node has made.

        Returns:
            Whether all of them went on with what is known of them here.
        """
        fits = True
        present = {sample.id: sample for sample in self.open_samples()}
        for text in copy.texts:
            known = self.partial_texts.get(text.item, [])
            if not text.continues(known):
                fits = False
                continue
            if text.events and text.events[0].number == 1:
                known = []
            self.partial_texts[text.item] = known + list(text.events)
            if text.result is not None:
                self.copied_results[text.batch_id, text.item] = text.result
            sample = present.get(text.item)
            if sample is not None:
                self._adopt(sample)
        self._bound_copies()
        return fits

    def _adopt(self, sample: samples.Sample) -> None:
        """Goes on with a copied text or result, if it is ahead."""
        if sample.result is not None:
            return
        text = self.partial_texts.get(sample.id, [])
        key = (sample.record.batch.id, sample.id)
        if key in self.copied_results:
            sample.result = self.copied_results.pop(key)
            sample.stage = samples.Stage.FINISHED
            sample.scope.cancel()
            self.result_writer.has_results.set()
        elif (
            sample.stage is not samples.Stage.SCORING
            and len(text) > len(sample.events) + ADOPTED_LEAD
        ):
            sample.run_scope.cancel()
            sample.events = list(text)

    def _bound_copies(self) -> None:
        for kept in (self.partial_texts, self.copied_results):
            while len(kept) > TEXTS_KEPT:
                del kept[next(iter(kept))]

    def is_active(self, model: str) -> bool:
        """Tells whether this node runs a model's batches."""
        return model in self.active_models

    def set_active(self, model: str, is_active: bool) -> None:
        """Takes up a model's batches, or lets them go."""
        if is_active != self.is_active(model):
            self.active_models ^= {model}
            self._follow_batches()
            self.wake()

    def wake(self) -> None:
        """Has the samples looked at again at once."""
        self.woken.set()

    async def run(self) -> None:
        """Runs batches while active, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.result_writer.run)
            while True:
                self._follow_batches()
                self.dispatch(nursery)
                await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        """Waits for the next look, which is sooner while samples are open."""
        with trio.move_on_after(TICK_S if self.progress else IDLE_TICK_S):
            await self.woken.wait()
        self.woken = trio.Event()

    def _follow_batches(self) -> None:
        """Takes up new batches and lets go of closed ones."""
        self._hear_of_changes()
        for batch_id in list(self.progress):
            progress = self.progress[batch_id]
            is_over = not progress.record.is_open()
            if is_over or not self.is_active(progress.record.batch.model):
                self._let_go(progress)
        for batch_id, record in list(self.batch_cache.records.items()):
            is_ours = self.is_active(record.batch.model)
            is_known = batch_id in self.progress
            if is_ours and not is_known and record.is_open():
                self._take_up(record)

    def _hear_of_changes(self) -> None:
        """Goes on with the book's objects of batches that were loaded anew.

        The book may let go of a batch that is run here until its interest in
        the batch's model is set; only the new object hears of changes.
        """
        for batch_id, progress in self.progress.items():
            held = self.batch_cache.records.get(batch_id)
            if held is None and self.batch_cache.has_end(batch_id):
                progress.record.mark_ended()
            if held is None or held is progress.record:
                continue
            progress.record = held
            for sample in progress.samples.values():
                sample.record = held
        for sample in self.released_samples:
            held = self.batch_cache.records.get(sample.record.batch.id)
            sample.record = held or sample.record

    def _let_go(self, progress: Progress) -> None:
        del self.progress[progress.record.batch.id]
        for sample in progress.samples.values():
            sample.scope.cancel()
            if sample.events and sample.result is None:
                self.partial_texts[sample.id] = list(sample.events)
            if sample.result is not None and progress.record.is_open():
                self.released_samples.append(sample)
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
            view_age_s=round(self.view.age_s(), 3),
            unfinished=[
                [s.id, s.stage.value, s.server, len(s.events)]
                for s in progress.samples.values()
                if not progress.record.has_result(s.id)
            ][:20],
        )

    def _age_s(self, record: records.Record) -> float:
        return self.clock.now().timestamp() - record.submitted_ms / 1000

    def _take_up(self, record: records.Record) -> None:
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
                sample.events = self.partial_texts.pop(item.id, [])
                progress.samples[item.id] = sample
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
            view_age_s=round(self.view.age_s(), 3),
        )

    def _find_route(
        self, configured: catalogue.Catalogue, record: records.Record
    ) -> catalogue.Route | None:
        """Returns a batch's route if its service is this one."""
        for item in record.batch.items[:1]:
            route = configured.find_route(record.batch.host, item.path)
            names = [share.service for share in route.shares] if route else []
            if self.service in names:
                return route
        return None

    def dispatch(self, nursery: trio.Nursery) -> None:
        """Sends waiting samples to engines with room."""
        now = self.clock.monotonic()
        now_ms = int(self.clock.now().timestamp() * 1000)
        self._give_up_old(now_ms)
        if not self.view.is_current():
            return
        waiting = [
            s for s in self.open_samples() if s.stage is samples.Stage.WAITING
        ]
        self._move_slow_runs(now, waiting)
        usable = [
            s
            for s in self.servers.list_servers(self.service)
            if s.is_usable(now)
        ]
        for choice in placement.place_by_slack(
            waiting, usable, self.prompts, now, now_ms, self.generator.token_s
        ):
            choice.sample.stage = samples.Stage.GENERATING
            choice.sample.server = choice.server.id
            # Made here, so that a cancellation holds before the task begins.
            choice.sample.scope = trio.CancelScope()
            choice.server.in_flight += 1
            self._note_prompt(choice)
            nursery.start_soon(self._run_guarded, choice)

    def _move_slow_runs(
        self, now: float, waiting: list[samples.Sample]
    ) -> None:
        """Ends runs that would be done sooner on another engine."""
        free = [
            s
            for s in self.servers.list_servers(self.service)
            if s.is_usable(now) and s.load(now) < s.entry.slots
        ]
        if not free:
            return
        taken = len(waiting)
        event_s = self.generator.event_s
        least_s = event_s * min(
            placement.completion_cost(s, now, False) for s in free
        )
        for sample in self.open_samples():
            if sample.stage is not samples.Stage.GENERATING:
                continue
            pace = moving.RunProgress(
                sample.run_events,
                len(sample.events),
                sample.seconds_per_event(now),
                sample.moves,
            )
            expected = sample.expected_tokens() / self.generator.event_tokens
            if not moving.should_move(pace, least_s, expected):
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
            best = min(placement.completion_cost(s, now, False) for s in others)
            if moving.should_move(pace, best * event_s, expected):
                sample.moves += 1
                taken += 1
                here.update_relative_latency(pace.event_s / max(1e-6, event_s))
                sample.run_scope.cancel()

    def _note_prompt(self, choice: placement.Assignment) -> None:
        if len(self.prompts) > TEXTS_KEPT:
            self.prompts.clear()
        group = choice.sample.item.group
        self.prompts.setdefault(group, set()).add(choice.server.id)

    def _give_up_old(self, now_ms: int) -> None:
        for sample in self.open_samples():
            age_s = (now_ms - sample.record.submitted_ms) / 1000
            is_waiting = sample.stage is samples.Stage.WAITING
            if is_waiting and age_s > sample.route.max_age_s:
                self._fail(sample, "too old")

    async def _run_guarded(self, choice: placement.Assignment) -> None:
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
            choice.sample.not_before = self.clock.monotonic() + ERROR_PAUSE_S

    async def _run_sample(self, choice: placement.Assignment) -> None:
        sample, server = choice.sample, choice.server
        is_whole = False
        with sample.scope:
            try:
                is_whole = await self.generator.run(sample, server)
            finally:
                server.in_flight -= 1
                self.wake()
            if is_whole:
                sample.stage = samples.Stage.SCORING
                await self.scorer.score(sample)
        if sample.stage is samples.Stage.GENERATING:
            sample.stage = samples.Stage.WAITING
            sample.waiting_since = self.clock.monotonic()

    def _finish(self, sample: samples.Sample, score: str) -> None:
        """Makes the result of a scored sample."""
        sample.finish(score)
        self.measures.record(
            sample.record.batch.organisation,
            sample.route.name,
            metrics.Measure.SAMPLE_MS,
            1000 * self._age_s(sample.record),
        )
        self.result_writer.has_results.set()

    def _fail(self, sample: samples.Sample, reason: str) -> None:
        """Makes the result of a sample that can't be done."""
        sample.fail()
        events.log(events.Event.SAMPLE_FAILED, item=sample.id, reason=reason)
        self.result_writer.has_results.set()
