"""Fleets under random schedules of faults, with readers at every node."""

import random
import unittest

import parameterized
import trio

from kingcupscale import leadership
from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness

FAULT_INTERVAL_S = 1.2
# A result that was read at one node is readable at all others after this.
PROPAGATION_S = 1.0


class Schedule:
    """Batches, readers and faults that are drawn from one seed.

    Attributes:
        totals: Number of items of each batch that has not been ended.
        seen: Results that were read, by batch. Their positions never change.
        read_at: When each of these results was first read, by batch.
        problems: Results and errors that readers must not get.
        disturbed_until: Time until which a node may answer late, by node.
        replaced: Number of nodes that were replaced.
    """

    def __init__(self, site, seed):
        self.site = site
        self.rng = random.Random(seed)
        self.seen = {}
        self.read_at = {}
        self.totals = {}
        self.problems = []
        self.disturbed_until = {}
        self.replaced = 0

    async def submit_batches(self, count):
        for number in range(count):
            batch_id = f"b{number}"
            items = self.rng.choice([2, 6, 12])
            while True:
                node = self.rng.choice(self.site.nodes)
                response = await self.site.submit(node, batch_id, items=items)
                if response.status == 202:
                    break
                await trio.sleep(0.2)
            self.seen[batch_id] = []
            self.totals[batch_id] = items
            self.read_at[batch_id] = []
            await trio.sleep(self.rng.uniform(0.2, 1.0))

    async def end_forever(self):
        """Ends completely read batches, as trainers do."""
        while True:
            await trio.sleep(self.rng.uniform(0.1, 0.5))
            complete = [
                batch_id
                for batch_id, seen in self.seen.items()
                if len(seen) == self.totals.get(batch_id)
            ]
            for batch_id in complete:
                path = names.BATCHES_PATH + batch_id
                node = self.rng.choice(self.site.nodes)
                response = await self.site.call(node, "DELETE", path)
                if response.status == 200:
                    del self.totals[batch_id]

    async def read_forever(self):
        while True:
            await trio.sleep(self.rng.uniform(0.02, 0.2))
            if self.seen:
                batch_id = self.rng.choice(sorted(self.seen))
                await self.read_once(batch_id, self.rng.choice([0, 1, 1]))

    async def read_once(self, batch_id, from_end):
        node = self.rng.choice(self.site.nodes)
        after = len(self.seen[batch_id]) * from_end
        expected = self._count_expected_results(batch_id, after)
        status, page = await self.site.read(node, batch_id, after, 300)
        is_undisturbed = self._is_undisturbed(node)
        if status in (404, 410):
            self.problems.append((status, batch_id, node.name))
        if status != 200:
            return
        if is_undisturbed and after + len(page["results"]) < expected:
            self.problems.append(("missing", batch_id, node.name, expected))
        self._compare(batch_id, after, page["results"], node)

    def _count_expected_results(self, batch_id, after):
        now = trio.current_time()
        propagated = [
            t for t in self.read_at[batch_id] if now - t > PROPAGATION_S
        ]
        return len(propagated)

    def _is_undisturbed(self, node):
        return trio.current_time() > self.disturbed_until.get(node.name, 0.0)

    def _compare(self, batch_id, after, results, node):
        known = self.seen[batch_id]
        for position, result in enumerate(results, after):
            if position < len(known) and known[position] != result:
                self.problems.append(("changed", batch_id, node.name))
            if position == len(known):
                if result["id"] in {r["id"] for r in known}:
                    self.problems.append(("twice", batch_id, node.name))
                known.append(result)
                self.read_at[batch_id].append(trio.current_time())

    async def inject_faults(self, count):
        faults = (
            self.replace_node,
            self.replace_leader,
            self.cut_from_store,
            self.cut_pair,
            self.stop_store,
            self.compact_history,
        )
        for _ in range(count):
            await trio.sleep(FAULT_INTERVAL_S)
            await self.rng.choice(faults)()

    def _mark_disturbed(self, names, seconds):
        for name in names:
            self.disturbed_until[name] = trio.current_time() + seconds + 4.0

    def _replace(self, node):
        self.site.network.crash(node.name)
        self.site.nodes.remove(node)
        self.replaced += 1
        zone = node.runtime.settings.zone
        added = harness.Node(self.site, f"r{self.replaced}", zone)
        self.site.nodes.append(added)
        self.site.nursery.start_soon(added.run)
        self._mark_disturbed([n.name for n in self.site.nodes], 0.0)

    async def replace_node(self):
        self._replace(self.rng.choice(self.site.nodes))

    async def replace_leader(self):
        name = self.site.nodes[0].runtime.peers.holder("engines")
        leaders = [n for n in self.site.nodes if n.name == name]
        self._replace((leaders or self.site.nodes)[0])

    async def cut_from_store(self):
        node = self.rng.choice(self.site.nodes)
        self._mark_disturbed([node.name], 2.0)
        self.site.network.cut(node.name, "store")
        await trio.sleep(2.0)
        self.site.network.heal()

    async def cut_pair(self):
        one, two = self.rng.sample(self.site.nodes, 2)
        self._mark_disturbed([one.name, two.name], 2.0)
        self.site.network.cut(one.name, two.name)
        await trio.sleep(2.0)
        self.site.network.heal()

    async def stop_store(self):
        self._mark_disturbed([n.name for n in self.site.nodes], 2.0)
        self.site.store.is_down = True
        await trio.sleep(2.0)
        self.site.store.is_down = False

    async def compact_history(self):
        self.site.store.compact()


class ScheduleTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{kind}_{seed}", nodes, seed)
            for kind, nodes in (
                ("small", 3),
                ("large", leadership.MIN_NODES_TO_DISTRIBUTE + 1),
            )
            for seed in range(1, 9)
        ]
    )
    @virtual.on_virtual_time
    async def test_batches_complete_and_read_consistently(self, _, nodes, seed):
        async with trio.open_nursery() as nursery:
            site = harness.Site(nursery, nodes=nodes)
            await site.start()
            for server in site.servers.values():
                server.length = 20
            schedule = Schedule(site, seed)
            async with trio.open_nursery() as readers:
                for _ in range(4):
                    readers.start_soon(schedule.read_forever)
                readers.start_soon(schedule.end_forever)
                async with trio.open_nursery() as changes:
                    changes.start_soon(schedule.submit_batches, 10)
                    changes.start_soon(schedule.inject_faults, 6)
                await trio.sleep(4)
                readers.cancel_scope.cancel()
            for batch_id, seen in schedule.seen.items():
                for node in site.nodes:
                    results = await site.read_all(node, batch_id)
                    ids = {result["id"] for result in results}
                    self.assertEqual(len(results), len(ids))
                    self.assertEqual(results[: len(seen)], seen)
                    _, page = await site.read(node, batch_id)
                    self.assertEqual(len(results), page["total"])
            self.assertLess(len(schedule.totals), len(schedule.seen))
            self.assertEqual(schedule.problems, [])
            self.assertEqual(site.violations, [])
            nursery.cancel_scope.cancel()
