"""One item on its way to a result."""

import enum

import attrs
import trio

from kingcupscale.batches import batch
from kingcupscale.batches import book as books
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import serverclient

# An item whose length nobody knows is taken for one of this many tokens.
USUAL_TOKENS = 400


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
        scope: Ends its present run.
    """

    item: batch.Item
    record: books.Record
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

    def add(self, event: serverclient.StreamEvent) -> bool:
        """Adds the next event; False if it is not the next one."""
        if event.number != len(self.events) + 1:
            return False
        self.events.append(event)
        return True

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
