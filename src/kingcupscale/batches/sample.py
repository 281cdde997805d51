"""Progress of one item of a batch, from the queue to its result."""

import collections
import enum

import attrs
import trio

from kingcupscale.batches import batch
from kingcupscale.batches import moving
from kingcupscale.batches import record as records
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import serverclient

# Expected number of tokens of an item without a length hint.
DEFAULT_EXPECTED_TOKENS = 400
# Number of latest events over which the speed of a run is measured.
SPEED_WINDOW_EVENTS = 6


class Stage(enum.Enum):
    """Stage of an item's processing."""

    WAITING = "waiting"
    GENERATING = "generating"
    SCORING = "scoring"
    FINISHED = "finished"


@attrs.define(eq=False)
class Sample:
    """Progress of an item, as far as this node knows it.

    Attributes:
        item: The item.
        record: Record of its batch.
        route: The batch's route.
        stage: Stage of its processing.
        events: Events of its text so far.
        failures: Number of runs that the engine itself reported as failed.
        score_failures: Number of scoring calls that the server itself reported
            as failed.
        not_before: Monotonic time before which it is not sent again.
        result: Its result; None until it is finished.
        server: Id of the engine of its latest run.
        waiting_since: Monotonic time since which it has been waiting.
        scope: Cancels all work on it.
        run_scope: Cancels only its current run.
        moves: How often it has moved to another engine.
        event_times: Monotonic times of the latest events of its current run.
        run_events: Number of events of its current run.
        slow_since: Monotonic time since which its current run has been slow;
            None if it is not.
        idle_timeouts: Number of runs that ended because the engine sent no
            event for too long.
        zones: Zones of the engines that it may be sent to; None for all.
    """

    item: batch.Item
    record: records.Record
    route: catalogue.Route
    stage: Stage = Stage.WAITING
    events: list[serverclient.StreamEvent] = attrs.field(factory=list)
    failures: int = 0
    score_failures: int = 0
    not_before: float = 0.0
    result: batch.Result | None = None
    server: str = ""
    waiting_since: float = 0.0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    run_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    moves: int = 0
    event_times: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=SPEED_WINDOW_EVENTS)
    )
    run_events: int = 0
    slow_since: float | None = None
    idle_timeouts: int = 0
    zones: frozenset[str] | None = None

    @property
    def id(self) -> str:
        """The item's id."""
        return self.item.id

    def versions(self) -> set[int]:
        """Returns the weight versions that generated its text so far."""
        return {event.version for event in self.events}

    def expected_tokens(self) -> int:
        """Returns the expected number of tokens of its text."""
        return self.item.length_hint or DEFAULT_EXPECTED_TOKENS

    def resume_after(self) -> int | None:
        """Returns the number of its last event; None without events."""
        return self.events[-1].number if self.events else None

    def discard_unusable_text(self, version: int) -> None:
        """Discards the text if a version may not continue it.

        This is so if part of the text is older than the batch's minimum
        version, or if the route allows a single version only and the text
        has another one.

        Args:
            version: Weight version of the next run.
        """
        versions = self.versions()
        is_old = any(v < self.record.batch.minimum_version for v in versions)
        is_mixed = self.route.single_version and versions - {version}
        if is_old or is_mixed:
            self.events.clear()

    def begin_run(self) -> None:
        """Resets what belongs to the previous run."""
        self.event_times.clear()
        self.slow_since = None
        self.run_events = 0
        self.run_scope = trio.CancelScope()

    def append(self, event: serverclient.StreamEvent, now: float) -> bool:
        """Appends an event.

        Args:
            event: The event.
            now: Monotonic time.

        Returns:
            Whether it was appended; False if its number is not the next one.
        """
        if event.number != len(self.events) + 1:
            return False
        self.events.append(event)
        self.event_times.append(now)
        self.run_events += 1
        return True

    def exceeds_token_limit(self) -> bool:
        """Tells whether its text has more events than it may have tokens."""
        return 0 < self.item.tokens < len(self.events)

    def seconds_per_event(
        self, now: float, latest_events: int = SPEED_WINDOW_EVENTS
    ) -> float:
        """Returns the recent seconds per event of its run; 0 if unknown.

        Args:
            now: Monotonic time; the time since the last event counts too.
            latest_events: Number of events that are considered, at most
                ``SPEED_WINDOW_EVENTS``.
        """
        gaps = min(latest_events, len(self.event_times)) - 1
        if gaps < 1:
            return 0.0
        first, last = self.event_times[-1 - gaps], self.event_times[-1]
        return max((last - first) / gaps, (now - first) / (gaps + 1))

    def slow_s(self, now: float, typical_event_s: float) -> float:
        """Returns for how long its run has been slow without interruption.

        Must be called regularly, because it only compares the latest events.

        Args:
            now: Monotonic time.
            typical_event_s: Usual seconds per event; 0 if unknown.
        """
        event_s = self.seconds_per_event(now, moving.LATEST_EVENTS)
        if not moving.is_slow(event_s, typical_event_s):
            self.slow_since = None
            return 0.0
        if self.slow_since is None:
            self.slow_since = now
        return now - self.slow_since

    def finish(self, score: str) -> None:
        """Sets the result of a scored text."""
        self.result = batch.Result(
            self.id,
            batch.ResultState.DONE,
            "\n".join(event.data for event in self.events),
            sorted(self.versions()),
            score,
        )
        self.stage = Stage.FINISHED

    def fail(self) -> None:
        """Sets the result of an item that can't be completed."""
        self.result = batch.Result(self.id, batch.ResultState.FAILED)
        self.stage = Stage.FINISHED
