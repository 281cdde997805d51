"""Usage windows, planned stops and VMs that are taken away."""

import unittest

import orjson
import parameterized
import trio

from kingcupscale.platform import names
from kingcupscale.storage import locks
from tests import virtual
from tests.platform import harness


class UsageTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_windows_are_reported_once_with_all_counts(self):
        async with harness.launch(nodes=3) as site:
            sent = 0
            for number in range(40):
                node = site.nodes[number % 3]
                response = await site.call(
                    node,
                    "POST",
                    harness.CALL_PATH + "1",
                    **{names.REQUEST_ID: f"q{number}"},
                )
                sent += response.status == 200
                await trio.sleep(0.4)
                if number == 20:
                    holder = site.holder("usage")
                    site.network.cut(holder.name, "store")
                if number == 30:
                    site.network.heal()
            await trio.sleep(15)
            total = 0
            for reports in site.cloud.reports.values():
                figures = [counts for _, _, counts in reports]
                self.assertEqual(figures, figures[:1] * len(figures))
                total += sum(figures[0].values())
            self.assertGreaterEqual(total, 0.9 * sent)
            self.assertLessEqual(total, sent)
            by_fence = {}
            for reports in site.cloud.reports.values():
                for holder, fence, _ in reports:
                    self.assertEqual(by_fence.setdefault(fence, holder), holder)


class StopTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_planned_stop_hands_over_and_cuts_nothing(self):
        async with harness.launch() as site:
            leader = site.holder()
            other = site.other(leader)
            await site.submit(leader, items=8)
            leader.runtime.drain_requested.set()
            await trio.sleep(0.1)
            self.assertFalse(leader.runtime.is_ready())
            response = await site.call(
                leader,
                "POST",
                harness.CALL_PATH + "1",
                **{names.REQUEST_ID: "q1"},
            )
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["connection"], "close")
            self.assertEqual(len(await site.read_all(other)), 8)
            await trio.sleep(5)
            self.assertTrue(leader.runtime.stopped.is_set())

    @virtual.on_virtual_time
    async def test_planned_stop_hands_over_the_last_of_all_texts(self):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            for server in site.servers.values():
                server.length = 200
            await site.submit(site.other(leader), items=6)
            await trio.sleep(2.15)
            made = {
                run.request: (run.resumed_after or 0) + run.events
                for run in site.runs
                if "-i" in run.request
            }
            leader.runtime.drain_requested.set()
            stopped_at = trio.current_time()
            await site.read_all(site.other(leader))
            again = [
                run
                for run in site.runs
                if run.at > stopped_at and run.request in made
            ]
            self.assertEqual({run.request for run in again}, made.keys())
            for run in again:
                self.assertGreaterEqual(
                    run.resumed_after or 0, made[run.request] - 1
                )


class RollingStopTest(unittest.TestCase):
    """Load pattern: all nodes are stopped and started in turn."""

    @parameterized.parameterized.expand(
        [
            ("few_nodes", 3, 0.004),
            ("many_nodes", 12, 0.004),
            ("many_nodes_and_a_slow_store", 12, 0.25),
        ]
    )
    @virtual.on_virtual_time
    async def test_samples_go_on_at_once_elsewhere(self, _, nodes, lag_s):
        async with harness.launch(nodes=nodes) as site:
            holder = site.holder(f"engines/{harness.MODEL}")
            for server in site.servers.values():
                server.length = 400
            await site.submit(site.other(holder), items=6)
            await trio.sleep(2)
            site.store.latency_s = lag_s
            holder.runtime.drain_requested.set()
            stopped_at = trio.current_time()
            await trio.sleep(4)
            later = [run.at for run in site.runs if run.at > stopped_at]
            self.assertLess(min(later) - stopped_at, 0.2)
            # Nobody takes them up and lets them go again.
            self.assertLessEqual(len(later), 6)


class LostHolderTest(unittest.TestCase):
    """Load pattern: the node that runs samples is killed."""

    @parameterized.parameterized.expand([("few_nodes", 3), ("many_nodes", 12)])
    @virtual.on_virtual_time
    async def test_samples_go_on_soon_elsewhere(self, _, nodes):
        async with harness.launch(nodes=nodes) as site:
            holder = site.holder(f"engines/{harness.MODEL}")
            for server in site.servers.values():
                server.length = 600
            await site.submit(site.other(holder), items=6)
            await trio.sleep(3)
            site.network.crash(holder.name)
            lost_at = trio.current_time()
            await trio.sleep(5)
            later = [run.at for run in site.runs if run.at > lost_at]
            self.assertLess(min(later) - lost_at, 1.7)
            for run in site.runs:
                if run.at > lost_at:
                    self.assertGreater(run.resumed_after, 100)

    @virtual.on_virtual_time
    async def test_holder_that_lives_keeps_its_samples(self):
        """Copies that do not arrive are no reason to run them twice."""
        async with harness.launch(nodes=12) as site:
            holder = site.holder(f"engines/{harness.MODEL}")
            for server in site.servers.values():
                server.length = 600
            await site.submit(site.other(holder), items=6)
            await trio.sleep(3)
            begun = len(site.runs)
            holder.runtime.models[
                f"engines/{harness.MODEL}"
            ].replicator.send = _send_nothing
            await trio.sleep(4)
            self.assertEqual(len(site.runs), begun)

    @virtual.on_virtual_time
    async def test_holder_that_was_slow_for_a_moment_is_left_alone(self):
        """A question that was not answered counts until the next copy."""
        async with harness.launch(nodes=12) as site:
            duty = f"engines/{harness.MODEL}"
            holder = site.holder(duty)
            for server in site.servers.values():
                server.length = 600
            await site.submit(site.other(holder), items=6)
            await trio.sleep(3)
            ranking = holder.runtime.models[duty].replicator.find_target()
            (next_one,) = (n for n in site.nodes if n.name == ranking[0])
            peers = next_one.runtime.peers
            # As after a question that came to nothing.
            peers.unresponsive_since[holder.name] = trio.current_time() - 2
            await trio.sleep(2)
            self.assertFalse(peers.is_unresponsive(holder.name))
            active = [
                node.name
                for node in site.nodes
                if node.runtime.services["engines"].coordinator.active_models
            ]
            self.assertEqual(active, [holder.name])


async def _send_nothing():
    """Stands for copies that are lost."""


class PresenceTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_entry_that_was_removed_is_written_again(self):
        async with harness.launch() as site:
            key = locks.NODES_PREFIX + "n1"
            # As if an earlier entry came late, under a lease that then ended.
            site.store.remove(key)
            await trio.sleep(5)
            self.assertIsNotNone(site.store.value(key))
            renewals = site.store.calls["kv-keep"]
            await trio.sleep(20)
            self.assertIsNotNone(site.store.value(key))
            self.assertGreater(site.store.calls["kv-keep"], renewals)

    @virtual.on_virtual_time
    async def test_nodes_without_duty_seldom_renew_their_lease(self):
        async with harness.launch(nodes=12) as site:
            await trio.sleep(5)
            renewals = site.store.calls["kv-keep"]
            await trio.sleep(40)
            renewals = site.store.calls["kv-keep"] - renewals
            # One a second would already be a node's usual heartbeat.
            self.assertLess(renewals / 40 / 12, 1.0)


class SuccessionTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_copies_pass_over_a_successor_that_is_gone(self):
        async with harness.launch(nodes=3) as site:
            holder = site.holder()
            runtime = holder.runtime
            name, _ = runtime.peers.first_reachable(
                runtime.candidates.ranking("engines")
            )
            site.network.crash(name)
            (third,) = (n for n in site.nodes if n.name != name and n != holder)
            for server in site.servers.values():
                server.length = 400
            await site.submit(third, items=6)
            await trio.sleep(2)
            coordinator = third.runtime.services["engines"].coordinator
            self.assertEqual(len(coordinator.partial_texts), 6)


class RetirementTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_vm_with_a_disk_is_answered_to_be_empty(self):
        async with harness.launch() as site:
            site.store.put(
                names.RETIREMENTS_PREFIX + "disk-1", b'{"durationS":8}'
            )
            await trio.sleep(3)
            value = site.store.value(names.RETIREMENT_STATES_PREFIX + "disk-1")
            self.assertEqual(orjson.loads(value), {"state": "done"})
