"""An outage of the key-value service for an hour.

Callers and trainers send requests meanwhile, and one node after another
crashes and restarts. Guards against nodes that stop admitting requests or
cannot start without the service.
"""

import unittest

import trio

from kingcupscale.fakes import callers
from kingcupscale.fakes import cluster as clusters
from tests import virtual

OUTAGE_S = 3600
ROUND_S = 120


class OutageTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_store_outage_of_an_hour_violates_no_invariant(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.world.store.down = True
            names = cluster.node_names()
            trainer = cluster.trainer(0)
            clients = [cluster.caller(0), cluster.caller(1)]
            for number in range(OUTAGE_S // ROUND_S):
                specification = callers.make_step(
                    "trainer-1", number, 0, 2, 2, 60
                )
                await callers.run_step(
                    trainer, "trainer-1", specification, cluster.record
                )
                for caller in clients:
                    answer = await caller.complete()
                    self.assertEqual(answer.status, 200)
                    answer = await caller.quote()
                    self.assertEqual(answer.status, 200)
                # A starting node must reach a majority of the other nodes.
                await trio.sleep(ROUND_S / 2)
                cluster.network.crash(names[number % len(names)])
                await trio.sleep(ROUND_S / 2)
                for name in names:
                    status = await cluster.operator(name).status()
                    self.assertTrue(status.admitting)
            cluster.world.store.down = False
            await trio.sleep(60)
            await cluster.operator("node-1").withdraw("customer-1-key", "end")
            self.assertIn("customer-1-key", cluster.record.withdrawn)
            self.assertEqual(len(cluster.record.deliveries), 60)
            self.assertEqual(cluster.broken(), [])
            self.assertGreater(len(cluster.world.intake.windows()), 0)
