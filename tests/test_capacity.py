"""Tests of the scaling rule and of ordering and replacing servers."""

import unittest

import hypothesis
from hypothesis import strategies
import parameterized
import trio

from kingcupscale.capacity import scaling
from kingcupscale.configuration import document
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import faults
from kingcupscale.fakes import virtualtime
from tests import virtual

SCALED = clusters.ClusterSettings(
    trainers=0,
    zones=1,
    scaling={"service_class": "rollout", "minimum": 2, "maximum": 3},
)


def make_rule(minimum=0, maximum=4, cost=None):
    return scaling.ScalingRule(
        document.Scaling("rollout", minimum, maximum),
        document.ServiceClass(1, 2.0, cost_per_hour=cost),
        cost_per_hour=0.5,
    )


class ScalingRuleTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("steady", [(0.5, 0.0)] * 100, 2),
            ("busy for a while", [(0.9, 0.0)] * 7, 3),
            ("busy for a moment", [(0.9, 0.0), (0.5, 0.0)] * 50, 2),
            ("late though not busy", [(0.5, 9.0)] * 7, 3),
            ("idle for long", [(0.1, 0.0)] * 62, 1),
            ("idle for a moment", [(0.1, 0.0)] * 30, 2),
        ]
    )
    def test_reacts_to_sustained_load_only(self, _, loads, expected):
        rule = make_rule()
        wanted = 2
        for second, (utilisation, wait_s) in enumerate(loads):
            load = scaling.ServiceLoad(utilisation, wait_s, wanted)
            wanted = rule.decide(load, float(second))
        self.assertEqual(wanted, expected)

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 2), strategies.floats(0, 100)
            ),
            max_size=200,
        ),
        strategies.integers(0, 3),
        strategies.integers(0, 5),
        strategies.floats(0.1, 5.0),
    )
    def test_stays_within_number_and_cost(self, loads, low, high, cost):
        rule = make_rule(low, high, cost)
        wanted = 0
        for second, (utilisation, wait_s) in enumerate(loads):
            before = wanted
            load = scaling.ServiceLoad(utilisation, wait_s, wanted)
            wanted = rule.decide(load, float(second))
            self.assertLessEqual(wanted, high)
            self.assertLessEqual(wanted * 0.5, cost)
            if wanted >= low:
                self.assertLessEqual(wanted - before, max(1, low))


class ZoneScalerTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_minimum_is_ordered_and_configured(self):
        async with clusters.running(SCALED) as cluster:
            await trio.sleep(30)
            self.assertEqual(len(cluster.world.capacity.servers), 2)
            for running in cluster.nodes.values():
                self.assertEqual(len(running.node.replica.document.ordered), 2)
            self.assertEqual(cluster.broken(), [])

    @parameterized.parameterized.expand(
        [
            (fault,)
            for fault in faults.Fault
            if fault
            not in (faults.Fault.ANSWER_CROSSED, faults.Fault.ANSWER_CUT)
        ]
    )
    def test_each_order_starts_one_server(self, fault):
        async def main():
            operation = "POST /capacity/orders"
            plan = faults.FaultPlan(
                {
                    (f"node-{number}", operation, 0): fault
                    for number in (1, 2, 3)
                }
            )
            async with clusters.running(SCALED, plan) as cluster:
                await trio.sleep(150)
                self.assertEqual(len(cluster.world.capacity.servers), 2)
                self.assertEqual(cluster.broken(), [])

        virtualtime.run(main)

    @virtual.on_virtual_time
    async def test_reclaimed_server_is_removed_and_replaced(self):
        async with clusters.running(SCALED) as cluster:
            await trio.sleep(30)
            name = sorted(cluster.world.capacity.servers)[0]
            cluster.world.capacity.announce_reclaim(name)
            cluster.record.leaving[name] = trio.current_time()
            await trio.sleep(10)
            cluster.world.capacity.reclaim(name)
            cluster.network.crash(name)
            await trio.sleep(30)
            self.assertEqual(len(cluster.world.capacity.servers), 2)
            for running in cluster.nodes.values():
                ordered = running.node.replica.document.ordered
                self.assertNotIn(name, ordered)
            self.assertEqual(cluster.broken(), [])
