"""Requests and responses of the rollout API for trainers."""

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
        group: Number of the group, unique in the step.
        prompt: The prompt of all samples of the group.
    """

    group: codec.NaturalInt
    prompt: str


@attrs.frozen
class StepSpecification:
    """Contents of a step; identical whenever the step is opened.

    Attributes:
        step: Number of the step, unique to the trainer.
        version: The trainer's weight version at the start of the step.
        groups: The groups.
        samples: Number of samples in each group.
        max_tokens: Maximum number of tokens in a sample.
        seed: Seed of the sampling.
    """

    step: codec.NaturalInt
    version: codec.NaturalInt
    groups: list[GroupSpecification]
    samples: codec.PositiveInt
    max_tokens: codec.PositiveInt
    seed: int = 0


@attrs.frozen
class OpenRequest:
    """Opens a step, or resumes it on another node.

    Attributes:
        specification: The step.
        received: Numbers of the groups that the trainer has received.
    """

    specification: StepSpecification
    received: group_ranges.Ranges = attrs.field(factory=list)


@attrs.frozen
class FetchRequest:
    """Fetches complete groups.

    Attributes:
        step: Number of the step.
        version: The trainer's current weight version.
        received: Numbers of the groups that the trainer has received.
        limit: Maximum number of groups to return.
        wait_s: Maximum wait for the first group, in seconds.
    """

    step: codec.NaturalInt
    version: codec.NaturalInt
    received: group_ranges.Ranges
    limit: codec.PositiveInt = codec.PositiveInt(32)
    wait_s: float = 10.0


@attrs.frozen
class CancelRequest:
    """Cancels a step and its requests to engines."""

    step: codec.NaturalInt


@attrs.frozen
class PublishRequest:
    """Publishes a version that is complete in the weight store."""

    version: codec.PositiveInt


@attrs.frozen
class Segment:
    """Tokens of a sample that one weight version generated.

    Attributes:
        version: The weight version.
        start: Index of the first token, from 0.
        end: Index after the last token.
        engine: Name of the engine.
    """

    version: int
    start: int
    end: int
    engine: str


@attrs.frozen
class Sample:
    """One complete sample.

    Attributes:
        index: Number of the sample, unique in the group.
        seed: The seed it was generated with.
        tokens: The generated tokens.
        segments: The weight version and engine of each range of tokens.
        score: Score from the scoring service, or None without one.
    """

    index: int
    seed: int
    tokens: list[str]
    segments: list[Segment]
    score: float | None = None

    def oldest_version(self) -> int:
        """Returns the oldest weight version that generated any token."""
        return min(segment.version for segment in self.segments)


@attrs.frozen
class Group:
    """One complete group."""

    group: int
    samples: list[Sample]


@attrs.frozen
class StepResponse:
    """Progress of a step.

    Attributes:
        step: Number of the step.
        remaining: Number of groups that the trainer has not received.
    """

    step: int
    remaining: int


@attrs.frozen
class FetchResponse:
    """Complete groups within the staleness bound.

    Attributes:
        groups: Groups that the trainer has not received.
        remaining: Number of groups left to fetch after these.
    """

    groups: list[Group]
    remaining: int
