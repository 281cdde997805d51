"""One item on its way to a result."""

import collections
import enum

import attrs
import trio

from kingcupscale.batches import batch
from kingcupscale.batches import record as records
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import serverclient

# An item whose length nobody knows is taken for one of this many tokens.
USUAL_TOKENS = 400
# Events over which the pace of a run is measured.
PACE_EVENTS = 6


class Stage(enum.Enum):
    """How far an item is."""

    WAITING = "waiting"
    GENERATING = "generating"
    SCORING = "scoring"
    FINISHED = "finished"


@attrs.define(eq=False)
class Sample:
    """What one node knows of an item's progress.

    Attributes:
        item: The item.
        record: Its batch.
        route: The batch's route.
        stage: How far it is.
        events: Events of its text so far.
        failures: Runs that ended with the server's own failure.
        score_failures: Scoring calls that ended so.
        not_before: Monotonic time before which it is not sent again.
        result: Its result, once there is one.
        server: Where it runs.
        waiting_since: Monotonic time since which it waits.
        scope: Ends all work on it.
        run_scope: Ends its present run only.
        moves: How often it has left an engine for another one.
        event_times: Monotonic times of the latest events of its run.
        run_events: Events that its present run has made.
        silences: Runs that ended because an engine sent nothing for long.
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
        factory=lambda: collections.deque(maxlen=PACE_EVENTS)
    )
    run_events: int = 0
    silences: int = 0

    @property
    def id(self) -> str:
        """The item's identity."""
        return self.item.id

    def versions(self) -> set[int]:
        """Returns the weight versions that made its text so far."""
        return {event.version for event in self.events}

    def expected_tokens(self) -> int:
        """Returns how many tokens it may take."""
        return self.item.length_hint or USUAL_TOKENS

    def resume_after(self) -> int | None:
        """Returns the number of the last event of its text, if any."""
        return self.events[-1].number if self.events else None

    def keep_usable_text(self, version: int) -> None:
        """Drops text that may not be followed by events of a version.

        Args:
            version: Weight version under which it would go on.
        """
        versions = self.versions()
        is_old = any(v < self.record.batch.minimum_version for v in versions)
        is_mixed = self.route.single_version and versions - {version}
        if is_old or is_mixed:
            self.events.clear()

    def begin_run(self) -> None:
        """Forgets the pace of the run before."""
        self.event_times.clear()
        self.run_events = 0
        self.run_scope = trio.CancelScope()

    def add(self, event: serverclient.StreamEvent, now: float) -> bool:
        """Adds the next event; False if it is not the next one."""
        if event.number != len(self.events) + 1:
            return False
        self.events.append(event)
        self.event_times.append(now)
        self.run_events += 1
        return True

    def is_overlong(self) -> bool:
        """Tells whether its text has more events than it may have tokens."""
        return 0 < self.item.tokens < len(self.events)

    def event_s(self, now: float) -> float:
        """Returns seconds that an event takes of late; 0 if unknown.

        Args:
            now: Monotonic time; a pause that goes on counts as well.
        """
        gaps = len(self.event_times) - 1
        if gaps < 1:
            return 0.0
        first, last = self.event_times[0], self.event_times[-1]
        return max((last - first) / gaps, (now - first) / (gaps + 1))

    def finish(self, score: str) -> None:
        """Makes the result of a scored text."""
        self.result = batch.Result(
            self.id,
            batch.ResultState.DONE,
            "\n".join(event.data for event in self.events),
            sorted(self.versions()),
            score,
        )
        self.stage = Stage.FINISHED

    def fail(self) -> None:
        """Makes the result of an item that can't be done."""
        self.result = batch.Result(self.id, batch.ResultState.FAILED)
        self.stage = Stage.FINISHED
