"""Runs the batches of some models on one service's engines.

The coordinator keeps the samples of these batches, places them on engines,
has finished texts scored, and has results written to the store.
"""

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
from kingcupscale.batches import mover
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
from kingcupscale.peering import replication
from kingcupscale.storage import view as views

# Longest pause of the run loop while batches run on this node, and while none
# does. New batches wake the loop; the pause limits the delay of changes that
# do not.
TICK_S = 0.05
IDLE_TICK_S = 0.5
# Pause before a sample runs again after an unexpected internal error.
ERROR_PAUSE_S = 0.8
# A copied text replaces a sample's text only if it is longer by more than this
# many events.
MIN_COPY_LEAD_EVENTS = 8
# Upper limit of the partial texts and of the copied results that are kept for
# items that this node may run later, and of the groups whose engines are kept.
# Texts of ended batches are kept too: another batch may have the same items.
MAX_KEPT_ITEMS = 2000


@attrs.define
class Progress:
    """A batch that runs on this node.

    Attributes:
        record: Its record.
        samples: Its samples by item.
        is_started: Whether a sample has got a slot since this node runs it.
    """

    record: records.Record
    samples: dict[str, samples.Sample]
    is_started: bool = False


class Coordinator:
    """Runs the open batches of some models whose routes go to one service.

    Args:
        service: Name of the service.
        batch_cache: The batches that this node knows.
        servers: Registry of the backend servers.
        client: Client for requests to engines.
        call_forwarder: Forwards scoring calls.
        node_metrics: Counters and histograms.
        clock: Clock for times and pauses.
        current_catalogue: Returns the configuration in force.
        view: Tells whether this node's view of the store is recent enough to
            include the ends of batches.

    Attributes:
        active_models: Models whose batches this node runs.
        progress: The batches that run on this node, by id.
        prompt_holders: Ids of the engines whose prefix cache holds a group's
            prompt, by group.
        partial_texts: Events of texts that a run can resume, by item: from
            other nodes' copies, and of batches that this node has released.
        copied_results: Results from other nodes' copies, by batch and item.
        released_samples: Finished samples of open batches that another node
            runs by now. This node still writes their results; the result
            that is written first counts.
        mover: Moves runs from slow engines to others.
    """

    def __init__(
        self,
        service: str,
        batch_cache: caches.BatchCache,
        servers: registry.ServerRegistry,
        client: serverclient.ServerClient,
        call_forwarder: forwarder.Forwarder,
        node_metrics: metrics.Metrics,
        clock: clocks.Clock,
        current_catalogue: Callable[[], catalogue.Catalogue | None],
        view: views.View,
    ) -> None:
        guard = sendguard.SendGuard(view)
        self.view = view
        self.service = service
        self.batch_cache = batch_cache
        self.servers = servers
        self.eligibility = call_forwarder.eligibility
        self.generator = generation.Generator(
            client, clock, guard, self._fail, self.eligibility
        )
        self.scorer = scoring.Scorer(
            call_forwarder,
            clock,
            current_catalogue,
            guard,
            self._finish,
            self._fail,
        )
        self.result_writer = resultwriter.ResultWriter(
            service, batch_cache, clock, self._samples_to_write
        )
        self.metrics = node_metrics
        self.clock = clock
        self.current_catalogue = current_catalogue
        self.active_models: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.prompt_holders: dict[str, set[str]] = {}
        self.partial_texts: dict[str, list[serverclient.StreamEvent]] = {}
        self.copied_results: dict[tuple[str, str], batches.Result] = {}
        self.released_samples: list[samples.Sample] = []
        self.wake_event = trio.Event()
        self.mover = mover.Mover(servers, self.generator)

    def open_samples(self) -> list[samples.Sample]:
        """Returns the samples of all batches that this node runs."""
        return [
            sample
            for progress in self.progress.values()
            for sample in progress.samples.values()
        ]

    def has_open_batches(self, model: str) -> bool:
        """Tells whether this node runs a batch of a model."""
        return any(
            progress.record.batch.model == model
            for progress in self.progress.values()
        )

    def unsaved_samples(self, model: str) -> list[samples.Sample]:
        """Returns a model's samples whose progress is not in the store.

        They have a text or a result on this node, but no result in the store,
        so their progress is lost with this node unless another one has a copy.
        """
        return [
            sample
            for sample in [*self.open_samples(), *self.released_samples]
            if sample.record.batch.model == model
            and (sample.events or sample.result)
            and not sample.record.has_result(sample.id)
        ]

    def _samples_to_write(self) -> list[samples.Sample]:
        """Returns the samples whose results may still have to be written.

        Forgets released samples that no longer need it.
        """
        self.released_samples = [
            sample
            for sample in self.released_samples
            if sample.record.is_open()
            and not sample.record.has_result(sample.id)
        ]
        return [*self.open_samples(), *self.released_samples]

    def apply_copy(self, copy: replication.ReplicationRequest) -> bool:
        """Applies a copy of another node's texts and results.

        Returns:
            Whether each of the texts continues the text that is known here.
        """
        all_continue = True
        open_samples = {sample.id: sample for sample in self.open_samples()}
        for text in copy.texts:
            known = self.partial_texts.get(text.item, [])
            if not text.continues(known):
                all_continue = False
                continue
            if text.events and text.events[0].number == 1:
                known = []
            self.partial_texts[text.item] = known + list(text.events)
            if text.result is not None:
                self.copied_results[text.batch_id, text.item] = text.result
            sample = open_samples.get(text.item)
            if sample is not None:
                self._apply_copied_progress(sample)
        self._evict_oldest()
        return all_continue

    def _apply_copied_progress(self, sample: samples.Sample) -> None:
        """Applies a copied result or a longer copied text to a sample."""
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
            and len(text) > len(sample.events) + MIN_COPY_LEAD_EVENTS
        ):
            sample.run_scope.cancel()
            sample.events = list(text)

    def _evict_oldest(self) -> None:
        """Removes the oldest texts and copied results above the limit."""
        for kept in (self.partial_texts, self.copied_results):
            while len(kept) > MAX_KEPT_ITEMS:
                del kept[next(iter(kept))]

    def is_active(self, model: str) -> bool:
        """Tells whether this node runs a model's batches."""
        return model in self.active_models

    def set_active(self, model: str, is_active: bool) -> None:
        """Starts or stops running a model's batches."""
        if is_active != self.is_active(model):
            self.active_models ^= {model}
            self._sync_batches()
            self.wake()

    def wake(self) -> None:
        """Makes the run loop continue at once."""
        self.wake_event.set()

    async def run(self) -> None:
        """Runs the batches of the active models until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.result_writer.run)
            while True:
                self._sync_batches()
                self.dispatch(nursery)
                await self._wait_for_work()

    async def _wait_for_work(self) -> None:
        """Waits until woken or until the pause of the run loop is over."""
        with trio.move_on_after(TICK_S if self.progress else IDLE_TICK_S):
            await self.wake_event.wait()
        self.wake_event = trio.Event()

    def _sync_batches(self) -> None:
        """Starts new batches and releases ended and inactive ones."""
        self._update_records()
        for batch_id in list(self.progress):
            progress = self.progress[batch_id]
            is_ended = not progress.record.is_open()
            if is_ended or not self.is_active(progress.record.batch.model):
                self._release_batch(progress)
        for batch_id, record in list(self.batch_cache.records.items()):
            is_active = self.is_active(record.batch.model)
            is_running = batch_id in self.progress
            if is_active and not is_running and record.is_open():
                self._start_batch(record)

    def _update_records(self) -> None:
        """Replaces the records of batches that the cache has loaded again.

        The cache may evict a batch that runs here, until the cache's interest
        includes the batch's model. If it loads the batch again, it updates only
        the new record. A batch that ended while evicted is marked as ended.
        """
        for batch_id, progress in self.progress.items():
            cached = self.batch_cache.records.get(batch_id)
            if cached is None and self.batch_cache.has_end(batch_id):
                progress.record.mark_ended()
            if cached is None or cached is progress.record:
                continue
            progress.record = cached
            for sample in progress.samples.values():
                sample.record = cached
        for sample in self.released_samples:
            cached = self.batch_cache.records.get(sample.record.batch.id)
            sample.record = cached or sample.record

    def _release_batch(self, progress: Progress) -> None:
        """Stops running a batch; keeps its texts, and results if it is open."""
        del self.progress[progress.record.batch.id]
        for sample in progress.samples.values():
            sample.scope.cancel()
            if sample.events and sample.result is None:
                self.partial_texts[sample.id] = list(sample.events)
            if sample.result is not None and progress.record.is_open():
                self.released_samples.append(sample)
        self._evict_oldest()
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

    def _start_batch(self, record: records.Record) -> None:
        """Starts running a batch, resuming the texts that are known here."""
        configured = self.current_catalogue()
        if configured is None:
            return
        route = self._find_route(configured, record)
        if route is None:
            return
        now = self.clock.monotonic()
        stored = {result.item for result in record.results}
        progress = Progress(record, {})
        for item in record.batch.items:
            if item.id not in stored:
                sample = samples.Sample(item, record, route)
                sample.waiting_since = now
                sample.events = self.partial_texts.pop(item.id, [])
                progress.samples[item.id] = sample
                self._apply_copied_progress(sample)
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
        """Returns a batch's route; None if it doesn't lead to this service."""
        for item in record.batch.items[:1]:
            route = configured.find_route(record.batch.host, item.path)
            names = [share.service for share in route.shares] if route else []
            if self.service in names:
                return route
        return None

    def dispatch(self, nursery: trio.Nursery) -> None:
        """Starts runs of waiting samples on engines with free slots."""
        now = self.clock.monotonic()
        now_ms = int(self.clock.now().timestamp() * 1000)
        self._fail_expired(now_ms)
        if not self.view.is_current():
            return
        waiting = [
            s for s in self.open_samples() if s.stage is samples.Stage.WAITING
        ]
        self.eligibility.hold_samples(self.service, self.active_models)
        for sample in waiting:
            sample.zones = self.eligibility.allowed_zones(
                sample.route, sample.record.batch.organisation
            )
        usable = [
            s
            for s in self.servers.list_servers(self.service)
            if s.is_usable(now)
        ]
        self.mover.move_slow_runs(
            self.open_samples(), usable, len(waiting), now
        )
        for assignment in placement.place_in_order(
            waiting,
            self.open_samples,
            usable,
            self.prompt_holders,
            now,
            now_ms,
            self.generator.speed(),
        ):
            assignment.sample.stage = samples.Stage.GENERATING
            assignment.sample.server = assignment.server.id
            # Created before the task starts, so that a cancellation in
            # between takes effect.
            assignment.sample.scope = trio.CancelScope()
            assignment.server.in_flight += 1
            self.eligibility.reserve(
                assignment.server, assignment.sample.record.batch.model
            )
            self._record_prompt(assignment)
            self._record_start(assignment.sample)
            nursery.start_soon(self._run_task, assignment)

    def count_waiting_steps(self) -> int:
        """Returns how many batches wait for their first slot."""
        return sum(not each.is_started for each in self.progress.values())

    def _record_start(self, sample: samples.Sample) -> None:
        """Logs the start of a batch's first sample on this node."""
        progress = self.progress[sample.record.batch.id]
        if progress.is_started:
            return
        progress.is_started = True
        events.log(
            events.Event.BATCH_STARTED,
            batch=sample.record.batch.id,
            step=sample.record.batch.step,
            model=sample.record.batch.model,
            server=sample.server,
            waited_s=round(self.clock.monotonic() - sample.waiting_since, 3),
            age_s=round(self._age_s(sample.record), 3),
        )

    def _record_prompt(self, assignment: placement.Assignment) -> None:
        """Records that an engine's prefix cache will hold a group's prompt."""
        if len(self.prompt_holders) > MAX_KEPT_ITEMS:
            self.prompt_holders.clear()
        group = assignment.sample.item.group
        self.prompt_holders.setdefault(group, set()).add(assignment.server.id)

    def _fail_expired(self, now_ms: int) -> None:
        """Fails waiting samples that exceed their route's maximum age."""
        for sample in self.open_samples():
            age_s = (now_ms - sample.record.submitted_ms) / 1000
            is_waiting = sample.stage is samples.Stage.WAITING
            if is_waiting and age_s > sample.route.max_age_s:
                self._fail(sample, "exceeded the route's maximum age")

    async def _run_task(self, assignment: placement.Assignment) -> None:
        """Runs a sample; an unexpected error ends only this run."""
        try:
            await self._run_sample(assignment)
        except Exception as e:
            events.log(
                events.Event.REQUEST_FAILED,
                kind=type(e).__name__,
                item=assignment.sample.id,
                trace=traceback.format_tb(e.__traceback__),
            )
            assignment.sample.stage = samples.Stage.WAITING
            assignment.sample.not_before = (
                self.clock.monotonic() + ERROR_PAUSE_S
            )

    async def _run_sample(self, assignment: placement.Assignment) -> None:
        """Runs a sample once, and has its text scored if it is complete."""
        sample, server = assignment.sample, assignment.server
        is_complete = False
        with sample.scope:
            try:
                is_complete = await self.generator.run(sample, server)
            finally:
                server.in_flight -= 1
                self.wake()
            if is_complete:
                sample.stage = samples.Stage.SCORING
                await self.scorer.score(sample)
        if sample.stage is samples.Stage.GENERATING:
            sample.stage = samples.Stage.WAITING
            sample.waiting_since = self.clock.monotonic()

    def _finish(self, sample: samples.Sample, score: str) -> None:
        """Sets the result of a scored sample and has it written."""
        sample.finish(score)
        self.metrics.record(
            sample.record.batch.organisation,
            sample.route.name,
            metrics.Measure.SAMPLE_MS,
            1000 * self._age_s(sample.record),
        )
        self.result_writer.has_results.set()

    def _fail(self, sample: samples.Sample, reason: str) -> None:
        """Fails a sample that can't be completed and has that written."""
        sample.fail()
        events.log(events.Event.SAMPLE_FAILED, item=sample.id, reason=reason)
        self.result_writer.has_results.set()
