"""What trainers send and get."""

import attrs

from kingcupscale import codec
from kingcupscale.rollouts import ranges as group_ranges

STEPS_PATH = "/v1/rollouts/steps"
FETCH_PATH = "/v1/rollouts/fetch"
CANCEL_PATH = "/v1/rollouts/cancel"
WEIGHTS_PATH = "/v1/rollouts/weights"


@attrs.frozen
class GroupSpecification:
    """One group to sample.

    Attributes:
        group: Its number in the step.
        prompt: Text that all its samples continue.
    """

    group: codec.NaturalInt
    prompt: str


@attrs.frozen
class StepSpecification:
    """What a step consists of; the same at every opening.

    Attributes:
        step: Number of the step, unique to the trainer.
        version: The trainer's weight version when it began the step.
        groups: The groups.
        samples: Samples in each group.
        max_tokens: Longest sample.
        seed: Chooses the samples.
    """

    step: codec.NaturalInt
    version: codec.NaturalInt
    groups: list[GroupSpecification]
    samples: codec.PositiveInt
    max_tokens: codec.PositiveInt
    seed: int = 0


@attrs.frozen
class OpenRequest:
    """Opens a step, or goes on with it on another node.

    Attributes:
        specification: The step.
        received: Groups the trainer has already.
    """

    specification: StepSpecification
    received: group_ranges.Ranges = attrs.field(factory=list)


@attrs.frozen
class FetchRequest:
    """Asks for complete groups.

    Attributes:
        step: Number of the step.
        version: The trainer's weight version now.
        received: Groups the trainer has already.
        limit: Most groups to return.
        wait_s: Longest wait for a first one, in seconds.
    """

    step: codec.NaturalInt
    version: codec.NaturalInt
    received: group_ranges.Ranges
    limit: codec.PositiveInt = codec.PositiveInt(32)
    wait_s: float = 10.0


@attrs.frozen
class CancelRequest:
    """Ends a step and its work on the engines."""

    step: codec.NaturalInt


@attrs.frozen
class PublishRequest:
    """Announces weights that lie whole in the weight store."""

    version: codec.PositiveInt


@attrs.frozen
class Segment:
    """Tokens of a sample that one weight version generated.

    Attributes:
        version: The weight version.
        start: First token, counted from 0.
        end: One past the last token.
        engine: Name of the engine.
    """

    version: int
    start: int
    end: int
    engine: str


@attrs.frozen
class Sample:
    """One whole sample.

    Attributes:
        index: Its number in the group.
        seed: The seed it was generated with.
        tokens: Its tokens.
        segments: Which weight versions generated which tokens.
        score: What the scoring service gave, if one is configured.
    """

    index: int
    seed: int
    tokens: list[str]
    segments: list[Segment]
    score: float | None = None

    def oldest_version(self) -> int:
        """Returns the oldest weight version in the sample."""
        return min(segment.version for segment in self.segments)


@attrs.frozen
class Group:
    """One complete group."""

    group: int
    samples: list[Sample]


@attrs.frozen
class StepAnswer:
    """How a step stands.

    Attributes:
        step: Number of the step.
        remaining: Groups the trainer does not have yet.
    """

    step: int
    remaining: int


@attrs.frozen
class FetchAnswer:
    """Complete groups, none older than the bound.

    Attributes:
        groups: Groups the trainer does not have yet.
        remaining: Groups it will still lack with these.
    """

    groups: list[Group]
    remaining: int
