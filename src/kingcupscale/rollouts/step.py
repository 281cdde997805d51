"""One rollout step on the node that runs it.

Owns the generation, scoring and delivery of the step's groups and enforces
the staleness bound on their samples.
"""

import contextlib

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale import metrics as metric
from kingcupscale.rollouts import messages
from kingcupscale.rollouts import ranges
from kingcupscale.rollouts import scoring
from kingcupscale.rollouts import staleness
from kingcupscale.serving import generation

CHUNK_TOKENS = 32
RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
MAX_CONCURRENT_SAMPLES = 128
IDLE_TIMEOUT_S = 60.0
MAX_FETCH_WAIT_S = 30.0


class _StaleError(Exception):
    """A sample exceeds the staleness bound."""


@attrs.frozen
class StepContext:
    """The dependencies of a step.

    Attributes:
        trainer: Name of the trainer.
        template: A job without prompt, seed and length.
        rule: The staleness bound.
        generator: Generates the samples.
        scorer: Scores samples, or None.
        metrics: Staleness histograms.
        clock: Source of the time.
    """

    trainer: str
    template: generation.Job
    rule: staleness.StalenessRule
    generator: generation.Generator
    scorer: scoring.Scorer | None
    metrics: metric.Metrics
    clock: clocks.Clock


class Step:
    """Generates the groups of one step and delivers them.

    Only the trainer knows which groups it received: a group is kept until a
    later fetch lists it as received.

    Args:
        specification: Contents of the step.
        context: Dependencies of the step.

    Attributes:
        version: The newest known weight version of the trainer.
        ready: Complete groups that are not yet received, by number.
        received: Numbers of the groups that the trainer has received.
        fetched_at: Monotonic time of the last fetch.
    """

    def __init__(
        self, specification: messages.StepSpecification, context: StepContext
    ) -> None:
        self.specification = specification
        self.context = context
        self.version = specification.version
        self.ready: dict[int, messages.Group] = {}
        self.received: set[int] = set()
        self.groups = {group.group: group for group in specification.groups}
        self.limiter = trio.CapacityLimiter(MAX_CONCURRENT_SAMPLES)
        self.changed = trio.Event()
        self.cancel_scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None
        self.fetched_at = context.clock.monotonic()

    def mark_received(self, received: ranges.Ranges) -> None:
        """Drops the groups that the trainer has received."""
        self.received |= ranges.from_ranges(received, self.groups)
        for group in self.received & self.ready.keys():
            del self.ready[group]
        if len(self.received) == len(self.groups):
            self.cancel_scope.cancel()

    def remaining(self) -> int:
        """Returns the number of groups that the trainer has not received."""
        return len(self.groups) - len(self.received)

    async def run(self) -> None:
        """Generates all groups.

        Ends when the trainer has received them, has not fetched for
        ``IDLE_TIMEOUT_S`` or has cancelled the step.
        """
        with self.cancel_scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for number in self.groups.keys() - self.received:
                    nursery.start_soon(self._make_group, number, {})
                await self._wait_for_idle()
                nursery.cancel_scope.cancel()

    async def _wait_for_idle(self) -> None:
        clock = self.context.clock
        while clock.monotonic() < self.fetched_at + IDLE_TIMEOUT_S:
            await clock.sleep(1.0)

    async def _make_group(
        self, number: int, samples: dict[int, messages.Sample]
    ) -> None:
        """Generates the missing samples of a group."""
        async with trio.open_nursery() as nursery:
            for index in range(self.specification.samples):
                if index not in samples:
                    nursery.start_soon(
                        self._make_sample, number, index, samples
                    )
        ordered = [samples[index] for index in sorted(samples)]
        self.ready[number] = messages.Group(number, ordered)
        self.changed.set()
        self.changed = trio.Event()

    async def _make_sample(
        self, number: int, index: int, samples: dict[int, messages.Sample]
    ) -> None:
        failures = 0
        async with self.limiter:
            while index not in samples:
                try:
                    samples[index] = await self._generate(number, index)
                except _StaleError:
                    self._log_restart(number, index)
                    await self.context.clock.sleep(RETRY_DELAY_S)
                except errors.ServiceError:
                    failures += 1
                    pause_s = min(
                        MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**failures
                    )
                    await self.context.clock.sleep(pause_s)

    async def _generate(self, number: int, index: int) -> messages.Sample:
        job = attrs.evolve(
            self.context.template,
            prompt=self.groups[number].prompt,
            seed=self._seed(number, index),
            max_tokens=self.specification.max_tokens,
            chunk_tokens=CHUNK_TOKENS,
        )
        tokens: list[str] = []
        segments: list[messages.Segment] = []
        token_chunks = self.context.generator.generate(job)
        async with contextlib.aclosing(token_chunks):
            async for token_chunk in token_chunks:
                start = len(tokens)
                tokens += token_chunk.tokens
                _add_segment(segments, token_chunk, start, len(tokens))
                if not self._is_fresh(segments):
                    raise _StaleError
        sample = messages.Sample(index, job.seed, tokens, segments)
        if self.context.scorer is None:
            return sample
        score = await self.context.scorer.score(job.prompt, sample)
        return attrs.evolve(sample, score=score)

    def _seed(self, number: int, index: int) -> int:
        text = f"{self.specification.seed}/{number}/{index}"
        return hashing.hash64(text) >> 1

    def _is_fresh(self, segments: list[messages.Segment]) -> bool:
        oldest = min(segment.version for segment in segments)
        return self.context.rule.allows(oldest, self.version)

    def _log_restart(self, number: int, index: int) -> None:
        events.log(
            events.Event.SAMPLE_RESTARTED,
            trainer=self.context.trainer,
            step=self.specification.step,
            group=number,
            sample=index,
        )

    async def fetch(
        self, request: messages.FetchRequest
    ) -> messages.FetchResponse:
        """Returns complete groups, waiting up to ``wait_s`` for the first one.

        Raises:
            ServiceError: ``STEP_CANCELLED`` if the step was cancelled and no
                group can be returned.
        """
        self.fetched_at = self.context.clock.monotonic()
        self.version = max(self.version, request.version)
        self.mark_received(request.received)
        with trio.move_on_after(min(request.wait_s, MAX_FETCH_WAIT_S)):
            while self.remaining() and not self._fresh_groups(1):
                await self._wait_for_change()
        groups = self._fresh_groups(request.limit)
        self._record_staleness(groups)
        self.fetched_at = self.context.clock.monotonic()
        return messages.FetchResponse(groups, self.remaining() - len(groups))

    async def _wait_for_change(self) -> None:
        if self.cancel_scope.cancel_called:
            raise errors.ServiceError(errors.ResultCode.STEP_CANCELLED)
        await self.changed.wait()

    def _fresh_groups(self, limit: int) -> list[messages.Group]:
        """Returns complete groups within the staleness bound.

        The stale samples of other groups are generated again.
        """
        for group in list(self.ready.values()):
            fresh = {s.index: s for s in group.samples if self._can_deliver(s)}
            if len(fresh) < len(group.samples) and self.nursery is not None:
                del self.ready[group.group]
                self.nursery.start_soon(self._make_group, group.group, fresh)
        return [self.ready[number] for number in sorted(self.ready)[:limit]]

    def _can_deliver(self, sample: messages.Sample) -> bool:
        return self.context.rule.allows(sample.oldest_version(), self.version)

    def _record_staleness(self, groups: list[messages.Group]) -> None:
        for group in groups:
            for sample in group.samples:
                self.context.metrics.record(
                    self.context.template.label,
                    self.context.template.class_name,
                    metric.Measure.STALENESS_VERSIONS,
                    self.version - sample.oldest_version(),
                )

    def cancel(self) -> None:
        """Cancels the step and its requests to engines."""
        self.cancel_scope.cancel()
        self.changed.set()


def _add_segment(
    segments: list[messages.Segment],
    token_chunk: generation.TokenChunk,
    start: int,
    end: int,
) -> None:
    """Adds a chunk, extending the last segment if version and engine match."""
    last = segments[-1] if segments else None
    is_same = (
        last is not None
        and last.version == token_chunk.version
        and last.engine == token_chunk.server
    )
    if is_same and last is not None:
        segments[-1] = attrs.evolve(last, end=end)
    else:
        segments.append(
            messages.Segment(
                token_chunk.version, start, end, token_chunk.server
            )
        )
