"""Weight versions on the engines, and the samples that run under them."""

import unittest

import trio

from kingcupscale.batches import batch
from kingcupscale.operating import exposition
from kingcupscale.peering import replication
from kingcupscale.web import clientguard
from kingcupscale.web import message
from tests import virtual
from tests.platform import harness


class VersionTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_result_of_an_ended_batch_is_not_used_for_another(self):
        async with harness.launch() as site:
            site.set_target_version(2)
            await trio.sleep(4)
            old = batch.Result(
                "b1-i0", batch.ResultState.DONE, "old", [1], "old score"
            )
            text = replication.TextUpdate("b1-i0", [], old, "b0")
            for node in site.nodes:
                service = node.runtime.services["engines"]
                service.coordinator.apply_copy(
                    replication.ReplicationRequest("engines", [text])
                )
            await site.submit(site.nodes[0], "b1", minimum=2)
            for result in await site.read_all(site.nodes[0], "b1"):
                self.assertEqual(result["versions"], [2])
                self.assertEqual(result["text"], harness.text_of(10))

    @virtual.on_virtual_time
    async def test_unknown_version_is_fetched_from_the_engine(self):
        async with harness.launch() as site:
            for server in site.servers.values():
                if server.versions:
                    server.versions[harness.MODEL] = 2
            await site.submit(site.nodes[0])
            results = await site.read_all(site.nodes[1])
            versions = [result["versions"] for result in results]
            self.assertEqual(versions, 4 * [[2]])

    @virtual.on_virtual_time
    async def test_engines_load_alternate_versions_and_no_text_is_too_old(self):
        async with harness.launch() as site:
            node = site.nodes[0]
            for step in range(6):
                if step >= 2:
                    site.set_target_version(step)
                batch_id = f"b{step}"
                minimum = max(1, step - 1)
                await site.submit(node, batch_id, minimum=minimum, step=step)
                results = await site.read_all(node, batch_id)
                self.assertEqual(len(results), 4)
                for result in results:
                    self.assertGreaterEqual(min(result["versions"]), minimum)
                await trio.sleep(2)
            self.assertLessEqual(len(site.orders), 6)
            fences = [order["fence"] for _, order, _ in site.orders]
            self.assertEqual(fences, sorted(fences))
            self.assertEqual(
                {o["holder"] for _, o, _ in site.orders}, {site.holder().name}
            )

    @virtual.on_virtual_time
    async def test_metrics_show_loads_and_steps_that_wait_for_them(self):
        async with harness.launch() as site:
            leader = site.holder()
            handler = exposition.MetricsHandler(
                leader.runtime, None, clientguard.make_default()
            )
            site.set_target_version(2)
            await site.submit(leader, minimum=2)
            for seconds, loads, steps in ((0.4, 1, 1), (4.0, 0, 0)):
                await trio.sleep(seconds)
                response = await handler(message.Request("GET", "/metrics"))
                rows = response.body.decode().splitlines()
                for name, value in (
                    ("load_limit", 2),
                    ("loads_in_progress", loads),
                    ("steps_waiting", steps),
                ):
                    row = f'{name}{{service="engines"}} {value}'
                    self.assertIn(exposition.PREFIX + row, rows)

    @virtual.on_virtual_time
    async def test_isolated_holder_gives_no_order_after_its_lease(self):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            site.network.cut(leader.name, "store")
            await trio.sleep(4)
            site.set_target_version(2)
            await trio.sleep(3)
            holders = {o["holder"] for _, o, _ in site.orders}
            self.assertTrue(holders)
            self.assertNotIn(leader.name, holders)
