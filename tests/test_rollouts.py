"""Rollout steps and weight versions.

Guards against stale, incomplete or repeated groups, and against samples with
wrong weight versions, when nodes, engines or responses fail.
"""

import unittest

import hypothesis
from hypothesis import strategies
import parameterized
import trio

from kingcupscale.fakes import callers
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import faults
from kingcupscale.fakes import judge
from kingcupscale.fakes import virtualtime
from kingcupscale.rollouts import messages
from kingcupscale.rollouts import ranges as group_ranges
from kingcupscale.rollouts import staleness
from kingcupscale.rollouts import trainer as trainers
from tests import virtual

ONE_ORGANISATION = clusters.ClusterSettings(organisations=1)


async def run_step(cluster, trainer, number, groups=3, max_tokens=60):
    specification = callers.make_step(
        "trainer-1", number, trainer.version, groups, 2, max_tokens
    )
    await callers.run_step(trainer, "trainer-1", specification, cluster.record)


class RangesTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(strategies.sets(strategies.integers(0, 60)))
    def test_ranges_contain_exactly_the_numbers(self, numbers):
        ranges = group_ranges.to_ranges(numbers)
        self.assertEqual(group_ranges.from_ranges(ranges, range(70)), numbers)
        gaps = [b[0] - a[1] for a, b in zip(ranges, ranges[1:], strict=False)]
        self.assertTrue(all(gap > 1 for gap in gaps))


class StalenessRuleTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 20),
        strategies.integers(0, 50),
        strategies.integers(0, 50),
    )
    def test_allows_exactly_the_versions_within_the_bound(
        self, bound, at, trainer
    ):
        rule = staleness.StalenessRule(bound)
        self.assertEqual(rule.allows(at, trainer), trainer - at <= bound)

    def test_no_bound_allows_everything(self):
        self.assertTrue(staleness.StalenessRule(None).allows(0, 10**6))


class StepTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (faults.Fault.ANSWER_LOST, "POST /v1/rollouts/fetch"),
            (faults.Fault.ANSWER_LOST, "POST /v1/rollouts/steps"),
            (faults.Fault.REQUEST_LATE, "POST /v1/rollouts/fetch"),
            (faults.Fault.TARGET_CRASHED, "POST /v1/rollouts/fetch"),
            (faults.Fault.ERROR_BEFORE, "POST /v1/rollouts/weights"),
        ]
    )
    def test_trainer_gets_each_group_once(self, fault, operation):
        async def main():
            plan = faults.FaultPlan({("outside", operation, 0): fault})
            async with clusters.running(ONE_ORGANISATION, plan) as cluster:
                trainer = cluster.trainer(0)
                await run_step(cluster, trainer, 0)
                await trainer.publish(1)
                await run_step(cluster, trainer, 1)
                self.assertEqual(len(cluster.record.deliveries), 6)
                self.assertEqual(cluster.broken(), [])

        virtualtime.run(main)

    @virtual.on_virtual_time
    async def test_sample_generated_across_a_swap_has_both_versions(self):
        size = clusters.ClusterSettings(organisations=1)
        size.engine_speed.stream_tokens_per_s = 8
        async with clusters.running(size) as cluster:
            trainer = cluster.trainer(0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run_step, cluster, trainer, 0, 6, 400)
                await trio.sleep(5)
                for engine in cluster.world.engines.values():
                    engine.active["trainer-1"] = 1
            versions = {
                len({segment.version for segment in sample.segments})
                for delivery in cluster.record.deliveries
                for sample in delivery.group.samples
            }
            self.assertIn(2, versions)
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_stale_samples_are_generated_again(self):
        async with clusters.running(ONE_ORGANISATION) as cluster:
            trainer = cluster.trainer(0)
            specification = callers.make_step("trainer-1", 0, 0, 3, 2, 60)
            body = messages.OpenRequest(specification)
            await trainer._post(messages.STEPS_PATH, body)
            await trio.sleep(5)
            for engine in cluster.world.engines.values():
                engine.active["trainer-1"] = 3
            trainer.version = 3
            await callers.run_step(
                trainer, "trainer-1", specification, cluster.record
            )
            self.assertEqual(len(cluster.record.deliveries), 3)
            self.assertEqual(judge.stale_samples(cluster.record), 0)
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_cancelled_step_leaves_nothing_running(self):
        size = clusters.ClusterSettings(organisations=1)
        size.engine_speed.stream_tokens_per_s = 4
        async with clusters.running(size) as cluster:
            trainer = cluster.trainer(0)
            specification = callers.make_step("trainer-1", 0, 0, 6, 2, 400)
            body = messages.OpenRequest(specification)
            await trainer._post(messages.STEPS_PATH, body)
            await trio.sleep(3)
            await trainer._post(messages.CANCEL_PATH, messages.CancelRequest(0))
            await trio.sleep(1)
            running = [e.running for e in cluster.world.engines.values()]
            self.assertEqual(running, [0, 0])

    @virtual.on_virtual_time
    async def test_scores_are_part_of_a_group(self):
        size = clusters.ClusterSettings(organisations=1, scorer="shop-app")
        async with clusters.running(size) as cluster:
            await run_step(cluster, cluster.trainer(0), 0)
            scores = [
                sample.score
                for delivery in cluster.record.deliveries
                for sample in delivery.group.samples
            ]
            self.assertEqual(len(scores), 6)
            self.assertTrue(all(0 <= score <= 1 for score in scores))

    @virtual.on_virtual_time
    async def test_conflicting_specification_is_refused(self):
        async with clusters.running(ONE_ORGANISATION) as cluster:
            trainer = cluster.trainer(0)
            for seed, refused in ((0, False), (1, True)):
                specification = callers.make_step("trainer-1", 0, 0, 3, 2, 60)
                body = messages.OpenRequest(
                    messages.StepSpecification(
                        specification.step,
                        specification.version,
                        specification.groups,
                        specification.samples,
                        specification.max_tokens,
                        seed,
                    )
                )
                if refused:
                    with self.assertRaises(trainers.TrainerError):
                        await trainer._post(messages.STEPS_PATH, body)
                else:
                    await trainer._post(messages.STEPS_PATH, body)


class WeightsTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_all_engines_switch_within_five_seconds(self):
        size = clusters.ClusterSettings(engines=8, organisations=1)
        async with clusters.running(size) as cluster:
            await trio.sleep(10)
            await cluster.trainer(0).publish(1)
            await trio.sleep(30)
            switched = [
                order.at
                for engine in cluster.world.engines.values()
                for order in engine.orders
                if order.order.kind.value == "activate"
            ]
            self.assertEqual(len(switched), 8)
            self.assertLess(max(switched) - min(switched), 5)

    @virtual.on_virtual_time
    async def test_failed_swap_never_reports_a_wrong_version(self):
        async with clusters.running(ONE_ORGANISATION) as cluster:
            await trio.sleep(10)
            cluster.world.engines["plume-1"].fail_swaps = True
            trainer = cluster.trainer(0)
            for version in (1, 2, 3):
                await trainer.publish(version)
                await trio.sleep(12)
            await run_step(cluster, trainer, 0)
            engines = {
                segment.engine
                for delivery in cluster.record.deliveries
                for sample in delivery.group.samples
                for segment in sample.segments
            }
            self.assertEqual(engines, {"plume-2"})
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_older_version_cannot_be_published(self):
        async with clusters.running(ONE_ORGANISATION) as cluster:
            trainer = cluster.trainer(0)
            await trainer.publish(2)
            await trainer.publish(2)
            with self.assertRaises(trainers.TrainerError):
                await trainer.publish(1)

    @virtual.on_virtual_time
    async def test_incomplete_version_is_published_once_complete(self):
        async with clusters.running(ONE_ORGANISATION) as cluster:
            cluster.world.weights.newest = 0
            trainer = cluster.trainer(0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trainer.publish, 1)
                await trio.sleep(10)
                self.assertEqual(trainer.version, 0)
                cluster.world.weights.newest = 1
            self.assertEqual(trainer.version, 1)
