"""Distribution of duties over the nodes of large and small fleets."""

import unittest

import parameterized
import trio

from kingcupscale import leadership
from kingcupscale.storage import locks
from tests import virtual
from tests.platform import fakeservers
from tests.platform import harness

MODELS = (harness.MODEL, "beta")
DUTIES = ("engines", *(f"engines/{model}" for model in MODELS))
FEW = leadership.MIN_NODES_TO_DISTRIBUTE - 1
MANY = leadership.MIN_NODES_TO_DISTRIBUTE + 1
# Time after the last node's start within which the duties are distributed.
DISTRIBUTION_S = 4.0


def holders(site):
    """Returns the holder of each duty according to the store."""
    values = [site.store.value(locks.DUTIES_PREFIX + d) for d in DUTIES]
    return [(value or b"").decode().partition(" ")[0] for value in values]


async def open_site(nursery, nodes):
    """Returns a site with several models, whose nodes are not started."""
    site = harness.Site(nursery, nodes=nodes)
    site.write_configuration(harness.make_configuration(models=MODELS))
    site.add_server(fakeservers.Server(site, "e3", "engines", "a", MODELS[1]))
    return site


async def start_in_turn(site, pause_s):
    for node in site.nodes:
        site.nursery.start_soon(node.run)
        await trio.sleep(pause_s)


async def submit_forever(site, accepted):
    """Submits batches of all models to any node that accepts them."""
    while True:
        for model in MODELS:
            batch_id = f"b{len(accepted)}"
            for node in site.nodes:
                response = await site.submit(node, batch_id, model=model)
                if response.status == 202:
                    accepted.append(batch_id)
                    break
        await trio.sleep(0.5)


class StartTest(unittest.TestCase):
    """Guards against few nodes keeping all duties when a fleet starts in turn.

    The nodes that start first see a small fleet and take all duties.
    """

    @parameterized.parameterized.expand(
        [
            (
                f"{nodes}_nodes_{pause_s}_s_interval_{order}",
                nodes,
                pause_s,
                step,
            )
            for nodes in (MANY, 16)
            for pause_s in (0.0, 0.02, 0.1, 0.5)
            for order, step in (("forwards", 1), ("backwards", -1))
        ]
    )
    @virtual.on_virtual_time
    async def test_large_fleet_distributes_its_duties(
        self, _, nodes, pause_s, step
    ):
        async with trio.open_nursery() as nursery:
            site = await open_site(nursery, nodes)
            site.nodes = site.nodes[::step]
            accepted = []
            async with trio.open_nursery() as senders:
                senders.start_soon(submit_forever, site, accepted)
                await start_in_turn(site, pause_s)
                await trio.sleep(DISTRIBUTION_S)
                senders.cancel_scope.cancel()
            distributed = holders(site)
            self.assertEqual(
                len({*distributed} - {""}), len(DUTIES), distributed
            )
            self.assertGreaterEqual(len(accepted), 2 * DISTRIBUTION_S)
            for batch_id in accepted:
                results = await site.read_all(site.nodes[-1], batch_id)
                self.assertEqual(len(results), 4)
            await trio.sleep(10)
            self.assertEqual(holders(site), distributed)
            self.assertEqual(site.violations, [])
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [("one", 1, 0.1), ("few", FEW, 0.1), ("few_at_once", FEW, 0.0)]
    )
    @virtual.on_virtual_time
    async def test_small_fleet_keeps_its_duties_together(
        self, _, nodes, pause_s
    ):
        async with trio.open_nursery() as nursery:
            site = await open_site(nursery, nodes)
            nursery.start_soon(start_in_turn, site, pause_s)
            await trio.sleep(1.2)
            together = holders(site)
            self.assertNotIn("", together)
            self.assertEqual(len({*together}), 1, together)
            await trio.sleep(10)
            self.assertEqual(holders(site), together)
            nursery.cancel_scope.cancel()


class RestartTest(unittest.TestCase):
    """Guards against few nodes keeping all duties when a fleet restarts.

    All nodes crash and return within seconds, when the entries of the crashed
    nodes may still exist.
    """

    @parameterized.parameterized.expand(
        [
            ("some_after_1_s", MANY, 1.0, 0.0),
            ("some_in_turn_after_2_s", MANY, 2.0, 0.1),
            ("many_in_turn_after_1_s", 16, 1.0, 0.1),
            ("many_after_2_s", 16, 2.0, 0.0),
            ("many_in_turn_after_10_s", 16, 10.0, 0.1),
        ]
    )
    @virtual.on_virtual_time
    async def test_large_fleet_distributes_its_duties(
        self, _, nodes, downtime_s, pause_s
    ):
        async with trio.open_nursery() as nursery:
            site = await open_site(nursery, nodes)
            await site.start()
            await trio.sleep(DISTRIBUTION_S)
            await self._restart(site, downtime_s)
            await start_in_turn(site, pause_s)
            await trio.sleep(DISTRIBUTION_S)
            distributed = holders(site)
            self.assertEqual(
                len({*distributed} - {""}), len(DUTIES), distributed
            )
            for number, model in enumerate(MODELS):
                await site.submit(site.nodes[0], f"b{number}", model=model)
                results = await site.read_all(site.nodes[1], f"b{number}")
                self.assertEqual(len(results), 4)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_small_fleet_runs_batches_at_once(self):
        async with trio.open_nursery() as nursery:
            site = await open_site(nursery, FEW)
            await site.start()
            await self._restart(site, 5.0)
            began_at = trio.current_time()
            await start_in_turn(site, 0.1)
            await site.submit(site.nodes[0])
            await site.read_all(site.nodes[0])
            self.assertLess(trio.current_time() - began_at, 2.5)
            nursery.cancel_scope.cancel()

    async def _restart(self, site, downtime_s):
        for node in site.nodes:
            site.network.crash(node.name)
        await trio.sleep(downtime_s)
        site.nodes = [
            harness.Node(site, node.name, node.runtime.settings.zone)
            for node in site.nodes
        ]


class TakeoverTest(unittest.TestCase):
    """Guards against a node keeping several duties after holders crash."""

    @parameterized.parameterized.expand(
        [
            ("service", DUTIES[:1]),
            ("model", DUTIES[1:2]),
            ("service_and_model", DUTIES[:2]),
            ("all", DUTIES),
        ]
    )
    @virtual.on_virtual_time
    async def test_duties_are_distributed_afterwards(self, _, lost):
        async with trio.open_nursery() as nursery:
            site = await open_site(nursery, 16)
            await site.start()
            await trio.sleep(DISTRIBUTION_S)
            crashed = {site.holder(duty).name for duty in lost}
            for name in crashed:
                site.network.crash(name)
            site.nodes = [n for n in site.nodes if n.name not in crashed]
            await trio.sleep(2 * DISTRIBUTION_S)
            distributed = holders(site)
            self.assertEqual(len({*distributed} - {"", *crashed}), len(DUTIES))
            for number, model in enumerate(MODELS):
                await site.submit(site.nodes[0], f"b{number}", model=model)
                results = await site.read_all(site.nodes[1], f"b{number}")
                self.assertEqual(len(results), 4)
            nursery.cancel_scope.cancel()


class TransferTest(unittest.TestCase):
    """Guards against samples that start over when a growing fleet moves them.

    A single node runs them until other nodes start and take duties from it.
    """

    @virtual.on_virtual_time
    async def test_samples_resume_where_they_were(self):
        async with trio.open_nursery() as nursery:
            site = await open_site(nursery, MANY)
            for server in site.servers.values():
                server.length = 400
            first, *others = site.nodes
            nursery.start_soon(first.run)
            await trio.sleep(1)
            for number, model in enumerate(MODELS):
                await site.submit(first, f"b{number}", model=model)
            await trio.sleep(2)
            grown_at = trio.current_time()
            for node in others:
                nursery.start_soon(node.run)
            await trio.sleep(DISTRIBUTION_S)
            distributed = holders(site)
            self.assertEqual(len({*distributed}), len(DUTIES), distributed)
            moved = [run for run in site.runs if run.at > grown_at]
            self.assertLessEqual(len(moved), 8)
            for run in moved:
                self.assertGreater(run.resumed_after, 80)
            for number in range(len(MODELS)):
                results = await site.read_all(first, f"b{number}")
                self.assertEqual(len(results), 4)
            nursery.cancel_scope.cancel()
