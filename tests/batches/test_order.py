"""Order of waiting samples.

The load pattern: several trainers submit steps of groups to few engines. Slots
that go to groups which nobody waits for, or to one item each of many groups,
leave the trainers without whole groups.
"""

import random
import unittest

import attrs
import parameterized

from kingcupscale.batches import batch
from kingcupscale.batches import order
from kingcupscale.batches import record
from kingcupscale.batches import sample
from tests.batches import test_decisions

SPEED = order.Speed(token_s=0.001, event_tokens=30.0)
UNFINISHED = (sample.Stage.WAITING, sample.Stage.GENERATING)


def make_step(name, groups, wanted=0, priority=0, submitted_ms=0):
    """Returns the samples of a batch.

    Args:
        name: Id of the batch.
        groups: Expected tokens of the items by group; 0 for an item whose text
            is complete.
        wanted: Number of groups that the trainer waits for.
        priority: Priority of its route.
        submitted_ms: Time of its submission.
    """
    items = [
        batch.Item(f"{name}{group}{i}", "/", {}, b"", 0, group, None, tokens)
        for group, lengths in groups.items()
        for i, tokens in enumerate(lengths)
    ]
    made = batch.Batch(name, "o", "r", "h", 0, "m", 1, wanted, items)
    kept = record.Record(made, submitted_ms)
    route = attrs.evolve(
        test_decisions.ROUTE, priority=priority, max_age_s=40.0
    )
    result = [sample.Sample(item, kept, route) for item in items]
    for each in result:
        if not each.item.length_hint:
            each.stage = sample.Stage.SCORING
    return result


def sort(steps, now_ms=0):
    """Returns the ids of the waiting samples in order."""
    everything = [each for step in steps for each in step]
    waiting = [s for s in everything if s.stage is sample.Stage.WAITING]
    ordered = order.sort_waiting(waiting, everything, SPEED, now_ms)
    return [each.id for each in ordered]


class OrderTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "class_first",
                [{"name": "a", "priority": 2}, {"name": "b", "priority": 1}],
                [{"g": [0, 100]}, {"g": [100, 100]}],
                ["bg0", "bg1", "ag1"],
            ),
            (
                "least_missing_then_longest",
                [{"name": "a"}],
                [{"g": [310, 390, 350], "h": [0, 320, 330]}],
                ["ah2", "ah1", "ag1", "ag2", "ag0"],
            ),
            (
                "least_slack_first",
                [{"name": "a"}, {"name": "b", "submitted_ms": 2000}],
                [{"g": [100, 900]}, {"g": [0, 900]}],
                ["ag1", "ag0", "bg1"],
            ),
            (
                "groups_that_nobody_waits_for_yield",
                [{"name": "a", "wanted": 1}, {"name": "b"}],
                [{"g": [0, 0], "h": [100]}, {"g": [200, 100]}],
                ["bg0", "bg1", "ah0"],
            ),
            (
                # 7.5 s after submission 1 s is left; 3 s are expected.
                "late_group_yields",
                [{"name": "a"}, {"name": "b", "submitted_ms": 6000}],
                [{"g": [3000, 0]}, {"g": [100, 3000]}],
                ["bg1", "bg0", "ag0"],
            ),
            (
                # A hint of 1.5 s may be twice too long.
                "group_that_may_be_in_time_does_not_yield",
                [{"name": "a"}, {"name": "b", "submitted_ms": 6000}],
                [{"g": [1500, 0]}, {"g": [100, 3000]}],
                ["ag0", "bg1", "bg0"],
            ),
        ]
    )
    def test_order(self, _, options, groups, expected):
        steps = [
            make_step(groups=each, **option)
            for option, each in zip(options, groups, strict=True)
        ]
        self.assertEqual(sort(steps, now_ms=6500), expected)

    def test_group_with_a_failed_item_is_not_one_that_the_trainer_gets(self):
        step = make_step("a", {"f": [0, 0], "g": [0, 0], "h": [100]}, wanted=2)
        other = make_step("b", {"g": [200, 0]})
        self.assertEqual(sort([step, other]), ["bg0", "ah0"])
        step[0].fail()
        step[-1].item = attrs.evolve(step[-1].item, length_hint=300)
        self.assertEqual(sort([step, other]), ["ah0", "bg0"])

    def test_late_item_is_never_abandoned(self):
        late = make_step("a", {"g": [100]})
        other = make_step("b", {"g": [100, 100]}, submitted_ms=20_000)
        found = [sort([late, other], now_ms=ms)[0] for ms in (19_900, 20_100)]
        self.assertEqual(found, ["bg0", "ag0"])

    def test_text_beyond_its_hint_counts_as_long(self):
        step = make_step("a", {"g": [300, 900]})
        step[0].events = [
            sample.serverclient.StreamEvent(n, "t", 1) for n in range(1, 201)
        ]
        self.assertEqual(sort([step]), ["ag0", "ag1"])

    @parameterized.parameterized.expand([(36,), (40,)])
    def test_replay_of_overlapping_steps(self, slots):
        def sort_by_groups(waiting, everything, *_):
            groups = order._unfinished_groups(everything, SPEED)
            return sorted(
                waiting,
                key=lambda s: (
                    groups[order._group_of(s)].left,
                    -s.expected_tokens(),
                ),
            )

        in_time = {
            sort: sum(replay(sort, slots, seed) for seed in range(4))
            for sort in (order.sort_waiting, sort_by_groups)
        }
        self.assertGreater(in_time[order.sort_waiting], in_time[sort_by_groups])


def replay(sort_waiting, slots, seed):
    """Returns how many of 10 steps, one every 1.3 s, end in time."""
    rng = random.Random(seed)
    steps = [
        make_step(
            f"b{number}",
            {
                f"g{group}": [
                    max(200, min(5000, int(700 * rng.lognormvariate(0, 0.75))))
                    for _ in range(8)
                ]
                for group in range(8)
            },
            wanted=7,
            submitted_ms=1300 * number,
        )
        for number in range(10)
    ]
    runs = []
    in_time = 0
    for tick in range(600):
        now_ms = 100 * tick
        for run in [run for run in runs if run[0] <= now_ms]:
            runs.remove(run)
            run[1].stage = sample.Stage.FINISHED
        for step in list(steps):
            unfinished = {s.item.group for s in step if s.stage in UNFINISHED}
            if 8 - len(unfinished) >= 7:
                steps.remove(step)
                in_time += now_ms - step[0].record.submitted_ms <= 7500
                runs = [run for run in runs if run[1] not in step]
        everything = [
            each
            for step in steps
            if step[0].record.submitted_ms <= now_ms
            for each in step
        ]
        waiting = [s for s in everything if s.stage is sample.Stage.WAITING]
        if not waiting or len(runs) >= slots:
            continue
        ordered = sort_waiting(waiting, everything, SPEED, now_ms)
        for each in ordered[: slots - len(runs)]:
            each.stage = sample.Stage.GENERATING
            # A length hint is right at the median only.
            took_ms = each.item.length_hint * rng.lognormvariate(0, 0.6)
            runs.append((now_ms + took_ms, each))
    return in_time
