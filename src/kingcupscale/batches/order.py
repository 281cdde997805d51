"""Order in which waiting samples get free slots.

A trainer waits for whole groups, and for some of its groups only. Samples of
the most urgent class come first, in a class those whose group can still be
whole in time, then those with the least slack. Of samples with about the same
slack, those come first whose group has the fewest items left, then the longest.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs

from kingcupscale.batches import batch
from kingcupscale.batches import moving
from kingcupscale.batches import record as records
from kingcupscale.batches import sample as samples

# Samples whose slack differs by less than this have about the same slack. With
# larger steps, more steps of trainers end late while slots are scarce.
SLACK_STEP_S = 0.5
# Share of the expected time that a sample takes at least. A length hint is
# right at the median only, so a group is late only if its longest sample would
# be late with this share.
MIN_DURATION_SHARE = 0.5
# Late samples are ordered like others after this share of their route's maximum
# age, after which they fail.
MAX_YIELD_SHARE = 0.5


@attrs.frozen
class Speed:
    """How fast samples are generated.

    Attributes:
        token_s: Seconds per token.
        event_tokens: Tokens per event.
    """

    token_s: float
    event_tokens: float


@attrs.define
class _Group:
    """The samples of a group that have no complete text."""

    left: int = 0
    longest_s: float = 0.0


def expected_s(sample: samples.Sample, speed: Speed) -> float:
    """Returns the expected seconds until a sample's text is complete."""
    tokens = float(sample.expected_tokens())
    if sample.events:
        tokens = speed.event_tokens * moving.remaining_events(
            len(sample.events), tokens / speed.event_tokens
        )
    return tokens * speed.token_s


def sort_waiting(
    waiting: list[samples.Sample],
    open_samples: Sequence[samples.Sample],
    speed: Speed,
    now_ms: int,
) -> list[samples.Sample]:
    """Returns waiting samples, the most urgent first.

    Args:
        waiting: The samples that wait for an engine.
        open_samples: All samples of the batches that run here.
        speed: How fast samples are generated.
        now_ms: Unix time in milliseconds.
    """
    groups = _unfinished_groups(open_samples, speed)
    unusable = {*groups, *_failed_groups(open_samples)}
    lacking = collections.Counter(batch_id for batch_id, _ in unusable)
    batches = {sample.record.batch.id: sample.record for sample in waiting}
    surplus = {
        batch_id: _has_enough_groups(record, lacking[batch_id])
        for batch_id, record in batches.items()
    }

    def key(sample: samples.Sample) -> tuple[int, bool, int, int, float]:
        group = groups[_group_of(sample)]
        age_s = (now_ms - sample.record.submitted_ms) / 1000
        left_s = sample.route.due_s - age_s
        yields = (
            surplus[sample.record.batch.id]
            or MIN_DURATION_SHARE * group.longest_s > left_s
        ) and age_s < MAX_YIELD_SHARE * sample.route.max_age_s
        sample_s = expected_s(sample, speed)
        return (
            sample.route.priority,
            yields,
            math.floor((left_s - sample_s) / SLACK_STEP_S),
            group.left,
            -sample_s,
        )

    return sorted(waiting, key=key)


def _group_of(sample: samples.Sample) -> tuple[str, str]:
    return sample.record.batch.id, sample.item.group


def _unfinished_groups(
    open_samples: Iterable[samples.Sample], speed: Speed
) -> dict[tuple[str, str], _Group]:
    """Returns the groups that have samples without a complete text."""
    groups: dict[tuple[str, str], _Group] = {}
    for sample in open_samples:
        if sample.stage in (samples.Stage.WAITING, samples.Stage.GENERATING):
            group = groups.setdefault(_group_of(sample), _Group())
            group.left += 1
            group.longest_s = max(group.longest_s, expected_s(sample, speed))
    return groups


def _failed_groups(
    open_samples: Iterable[samples.Sample],
) -> set[tuple[str, str]]:
    """Returns the groups that have an item without a text for good."""
    return {
        _group_of(sample)
        for sample in open_samples
        if sample.result is not None
        and sample.result.state is batch.ResultState.FAILED
    }


def _has_enough_groups(record: records.Record, lacking: int) -> bool:
    """Returns whether the trainer waits for no further group of a batch.

    Args:
        record: The batch.
        lacking: Number of its groups that are not whole.
    """
    wanted = record.batch.wanted_groups
    total = len({item.group for item in record.batch.items})
    return 0 < wanted <= total - lacking
