"""Tests of usage counters, and of reports when nodes or the store fail.

They guard against usage that is lost or reported twice after a node crashes,
the reporting node is paused, or the store fails. Counts that arrive late must
be carried forward to a later window.
"""

import unittest

import hypothesis
from hypothesis import strategies
import trio

from kingcupscale.fakes import cluster as clusters
from kingcupscale.usage import counter
from tests import virtual

ROWS = strategies.lists(
    strategies.builds(
        counter.Row,
        strategies.sampled_from(["a/1", "b/1", "b/2"]),
        strategies.sampled_from(["x", "y"]),
        strategies.just("customer"),
        strategies.lists(strategies.integers(0, 9), min_size=3, max_size=3),
    ),
    max_size=6,
)


def merged(*deltas):
    counters = counter.Counters("me/1")
    for rows in deltas:
        counters.merge(counter.CounterDelta(rows))
    return counters.totals_by_key


class CountersTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(ROWS, ROWS, ROWS)
    def test_merge_is_commutative_associative_and_idempotent(self, a, b, c):
        self.assertEqual(merged(a, b), merged(b, a))
        self.assertEqual(merged(a, b, c), merged(c, a, b))
        self.assertEqual(merged(a, a, b), merged(a, b))

    def test_delta_holds_only_rows_the_receiver_lacks(self):
        counters = counter.Counters("me/1")
        counters.add("x", "customer", 1, 2, 3)
        delta = counters.delta({})
        self.assertEqual(len(delta.rows), 1)
        self.assertEqual(
            counters.delta({("me/1", "x", "customer"): (1, 2, 3)}).rows, []
        )


def reported(cluster):
    return sum(
        figure.generated_tokens
        for figure in cluster.world.intake.totals().values()
    )


def generated(cluster):
    return sum(
        sum(e.generated.values()) for e in cluster.world.engines.values()
    )


class ReportingTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_counts_of_a_crashed_node_are_reported(self):
        settings = clusters.ClusterSettings(trainers=0)
        async with clusters.running(settings) as cluster:
            for number in range(6):
                await cluster.caller(number % 2).complete()
            await trio.sleep(2)
            cluster.network.crash("node-2")
            await trio.sleep(30)
            self.assertEqual(reported(cluster), generated(cluster))
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_crashed_reporter_is_replaced_without_conflict(self):
        settings = clusters.ClusterSettings(trainers=0)
        async with clusters.running(settings) as cluster:
            for _ in range(3):
                await cluster.caller(0).complete()
                await trio.sleep(12)
                for name, running in cluster.nodes.items():
                    held = [h.name for h in running.node.leases if h.is_held()]
                    if "usage/0" in held:
                        cluster.network.crash(name)
                        break
            await trio.sleep(40)
            self.assertEqual(reported(cluster), generated(cluster))
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_outage_delays_reports_and_loses_nothing(self):
        settings = clusters.ClusterSettings(trainers=0)
        async with clusters.running(settings) as cluster:
            await cluster.caller(0).complete()
            cluster.world.store.down = True
            for _ in range(10):
                await cluster.caller(1).complete()
                await trio.sleep(60)
            before = cluster.world.intake.windows()
            cluster.world.store.down = False
            await trio.sleep(40)
            self.assertGreater(len(cluster.world.intake.windows()), len(before))
            self.assertEqual(reported(cluster), generated(cluster))
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_paused_reporter_adds_no_window_when_it_resumes(self):
        settings = clusters.ClusterSettings(trainers=0)
        async with clusters.running(settings) as cluster:
            await cluster.caller(0).complete()
            await trio.sleep(12)
            for name, running in cluster.nodes.items():
                held = [h.name for h in running.node.leases if h.is_held()]
                if "usage/0" in held:
                    cluster.network.pause(name, 60)
            for _ in range(8):
                await trio.sleep(12)
            self.assertEqual(reported(cluster), generated(cluster))
            self.assertEqual(cluster.broken(), [])
