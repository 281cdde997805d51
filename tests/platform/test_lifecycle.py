"""Usage windows, planned stops, failed nodes and retired VMs."""

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
    async def test_planned_stop_hands_over_and_drops_nothing(self):
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
    async def test_planned_stop_hands_over_complete_texts(self):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            for server in site.servers.values():
                server.length = 200
            await site.submit(site.other(leader), items=6)
            await trio.sleep(2.15)
            generated = {
                run.request: (run.resumed_after or 0) + run.events
                for run in site.runs
                if "-i" in run.request
            }
            leader.runtime.drain_requested.set()
            stopped_at = trio.current_time()
            await site.read_all(site.other(leader))
            resumed = [
                run
                for run in site.runs
                if run.at > stopped_at and run.request in generated
            ]
            self.assertEqual({run.request for run in resumed}, generated.keys())
            for run in resumed:
                self.assertGreaterEqual(
                    run.resumed_after or 0, generated[run.request] - 1
                )


class SlowStopTest(unittest.TestCase):
    """Guards against a stop that lasts until SIGKILL ends it.

    A handover takes 1.5 s for each model whose next nodes do not answer, and a
    call to the store up to 0.8 s.
    """

    @parameterized.parameterized.expand(
        [
            ("six_models", 9.0, 0.004),
            ("two_models_and_a_slow_store", 3.0, 0.7),
            ("slow_store", 0.0, 0.7),
        ]
    )
    @virtual.on_virtual_time
    async def test_stop_ends_within_the_grace(self, _, handover_s, latency_s):
        async with harness.launch(nodes=2) as site:
            node = site.holder()

            async def hand_over():
                await trio.sleep(handover_s)

            for duty in node.runtime.models.values():
                duty.hand_over = hand_over
            lease = node.runtime.session.lease
            site.store.latency_s = latency_s
            node.runtime.drain_requested.set()
            await trio.sleep(node.runtime.settings.bounds.grace_s)
            self.assertTrue(node.runtime.stopped.is_set())
            self.assertNotIn(lease, site.store.leases)


class RollingStopTest(unittest.TestCase):
    """Guards against a long pause of samples when their node is stopped.

    In a rolling restart, where all nodes stop and start in turn, samples would
    pause if the next node waited for the end of the stopped node's lease.
    """

    @parameterized.parameterized.expand(
        [
            ("few_nodes", 3, 0.004),
            ("many_nodes", 12, 0.004),
            ("many_nodes_and_a_slow_store", 12, 0.25),
        ]
    )
    @virtual.on_virtual_time
    async def test_samples_resume_at_once_elsewhere(self, _, nodes, latency_s):
        async with harness.launch(nodes=nodes) as site:
            holder = site.holder(f"engines/{harness.MODEL}")
            for server in site.servers.values():
                server.length = 400
            await site.submit(site.other(holder), items=6)
            await trio.sleep(2)
            site.store.latency_s = latency_s
            holder.runtime.drain_requested.set()
            stopped_at = trio.current_time()
            await trio.sleep(4)
            later = [run.at for run in site.runs if run.at > stopped_at]
            self.assertLess(min(later) - stopped_at, 0.2)
            # No node starts the samples and then abandons them.
            self.assertLessEqual(len(later), 6)


class LostHolderTest(unittest.TestCase):
    """Guards against samples that pause or run twice after a node's failure.

    After a crash another node must continue them before the lease ends. A node
    that is alive must keep them, even if its copies are lost or it was slow.
    """

    @parameterized.parameterized.expand([("few_nodes", 3), ("many_nodes", 12)])
    @virtual.on_virtual_time
    async def test_samples_resume_soon_elsewhere(self, _, nodes):
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
    async def test_live_holder_keeps_its_samples(self):
        """Missing copies alone must not make another node run the samples."""
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
    async def test_briefly_slow_holder_keeps_its_samples(self):
        """A failed probe counts only until the next copy arrives."""
        async with harness.launch(nodes=12) as site:
            duty = f"engines/{harness.MODEL}"
            holder = site.holder(duty)
            for server in site.servers.values():
                server.length = 600
            await site.submit(site.other(holder), items=6)
            await trio.sleep(3)
            ranking = holder.runtime.models[duty].replicator.find_target()
            (successor,) = (n for n in site.nodes if n.name == ranking[0])
            peers = successor.runtime.peers
            # As after a probe that failed two seconds ago.
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
    """Replaces the method that sends copies, so that none arrive."""


class RegistrationTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_removed_entry_is_written_again(self):
        async with harness.launch() as site:
            key = locks.NODES_PREFIX + "n1"
            # As if a delayed write of an earlier entry had replaced it, and the
            # earlier entry's lease had then ended.
            site.store.remove(key)
            await trio.sleep(5)
            self.assertIsNotNone(site.store.value(key))
            renewals = site.store.calls["kv-keep"]
            await trio.sleep(20)
            self.assertIsNotNone(site.store.value(key))
            self.assertGreater(site.store.calls["kv-keep"], renewals)

    @virtual.on_virtual_time
    async def test_nodes_without_duty_rarely_renew_their_lease(self):
        async with harness.launch(nodes=12) as site:
            await trio.sleep(5)
            renewals = site.store.calls["kv-keep"]
            await trio.sleep(40)
            renewals = site.store.calls["kv-keep"] - renewals
            # One renewal a second per node would equal its usual heartbeat.
            self.assertLess(renewals / 40 / 12, 1.0)


class SuccessionTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_copies_skip_a_crashed_successor(self):
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
    async def test_vm_with_a_disk_is_confirmed_retired(self):
        async with harness.launch() as site:
            site.store.put(
                names.RETIREMENTS_PREFIX + "disk-1", b'{"durationS":8}'
            )
            await trio.sleep(3)
            value = site.store.value(names.RETIREMENT_STATES_PREFIX + "disk-1")
            self.assertEqual(orjson.loads(value), {"state": "done"})
