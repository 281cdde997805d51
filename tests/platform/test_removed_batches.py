"""Batches that are removed although clients may still read or end them.

A batch that nobody has ended is open, also when all of its items have a result.
"""

import unittest

import trio

from kingcupscale import deployment
from kingcupscale import leadership
from kingcupscale.batches import record as records
from kingcupscale.batches import retention
from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness

RETENTION_S = deployment.Bounds().retention_s + leadership.RETENTION_MARGIN_S
# Retention runs at intervals, in two steps for a batch that is not cached.
SLACK_S = 3 * leadership.RETENTION_INTERVAL_S


class RemovedBatchTest(unittest.TestCase):
    async def _end(self, site, node):
        response = await site.call(node, "DELETE", f"{names.BATCHES_PATH}b1")
        return response.status

    @virtual.on_virtual_time
    async def test_complete_batch_without_an_end_is_not_removed(self):
        async with harness.launch(nodes=3) as site:
            self.assertEqual((await site.submit(site.nodes[0])).status, 202)
            site.write_configuration(harness.make_configuration(2, ["new"]))
            await trio.sleep(RETENTION_S + SLACK_S)
            site.write_configuration(harness.make_configuration(3))
            await trio.sleep(3)
            for node in site.nodes:
                status, page = await site.read(node)
                self.assertEqual(status, 200)
                self.assertEqual(len(page["results"]), 4)

    @virtual.on_virtual_time
    async def test_late_end_can_be_repeated(self):
        async with harness.launch(nodes=3) as site:
            await site.submit(site.nodes[0])
            await trio.sleep(RETENTION_S + SLACK_S)
            for node in site.nodes:
                self.assertEqual(await self._end(site, node), 200)
                await trio.sleep(2 * leadership.RETENTION_INTERVAL_S)

    @virtual.on_virtual_time
    async def test_ended_batch_is_removed_after_its_retention(self):
        async with harness.launch(nodes=3) as site:
            await site.submit(site.nodes[0])
            await site.read_all(site.nodes[1])
            self.assertEqual(await self._end(site, site.nodes[2]), 200)
            await trio.sleep(RETENTION_S - SLACK_S)
            self.assertEqual((await site.read(site.nodes[0]))[0], 200)
            await trio.sleep(retention.END_MARGIN_S + 2 * SLACK_S)
            kept = [
                key
                for key in site.store.items
                if records.batch_id_of(key) == "b1"
            ]
            self.assertEqual(kept, [])
            self.assertEqual((await site.read(site.nodes[0]))[0], 404)
