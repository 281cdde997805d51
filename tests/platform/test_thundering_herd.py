"""Many nodes that start at the same moment, as after a loss of power.

Each of them reads the store, whose link is limited. Calls must be answered
before the nodes have read all batches, and an ended batch must take little
space in the store.
"""

import base64
import unittest

import orjson
import parameterized
import trio

from kingcupscale.batches import record as records
from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness

NODES = 12
ITEMS = 16
BODY = base64.b64encode(20_000 * b"x").decode()
# A twelfth of the bandwidth of a store's link in a large deployment.
LINK_BYTES_PER_S = 12e6
# Callers usually allow 2 s and repeat a refused call within that time, so a
# node has to answer calls within READY_S of its start. It has to return results
# within READABLE_S.
READY_S = 0.7
READABLE_S = 2.5


async def _submit(site, batch_id):
    document = orjson.loads(harness.make_batch(batch_id, items=ITEMS))
    for item in document["items"]:
        item["body"] = BODY
    return await site.call(
        site.nodes[0],
        "POST",
        harness.BATCH_PATH + batch_id,
        orjson.dumps(document),
        **{names.REQUEST_ID: batch_id, names.DEADLINE_MS: "12000"},
    )


async def _end(site, batch_id):
    return await site.call(
        site.nodes[0], "DELETE", names.BATCHES_PATH + batch_id
    )


def _start(site, name):
    node = harness.Node(site, name, "a")
    site.nodes.append(node)
    site.nursery.start_soon(node.run)
    return node


class ThunderingHerdTest(unittest.TestCase):
    @parameterized.parameterized.expand([("one", 1), ("herd", NODES)])
    @virtual.on_virtual_time
    async def test_calls_are_answered_soon_after_a_start(self, _, count):
        async with harness.launch(nodes=1) as site:
            for number in range(20):
                await _submit(site, f"b{number}")
                await site.read_all(site.nodes[0], f"b{number}")
                if number < 18:
                    await _end(site, f"b{number}")
            await trio.sleep(1)
            site.store.link_bytes_per_s = LINK_BYTES_PER_S
            started_at = trio.current_time()
            nodes = [_start(site, f"m{n}") for n in range(count)]
            for node in nodes:
                await self._wait_for_answer(site, node, started_at + READY_S)
            for node in nodes:
                with trio.fail_at(started_at + READABLE_S):
                    for batch_id in ("b3", "b19"):
                        results = await site.read_all(node, batch_id)
                        self.assertEqual(len(results), ITEMS)

    async def _wait_for_answer(self, site, node, deadline):
        number = 0
        while trio.current_time() < deadline:
            number += 1
            response = await site.call(
                node,
                "POST",
                harness.CALL_PATH + "1",
                b"?",
                **{
                    names.REQUEST_ID: f"{node.name}-{number}",
                    names.DEADLINE_MS: "1000",
                },
            )
            if response.status == 200:
                return
            await trio.sleep(0.05)
        self.fail(f"{node.name} answered no call in time")


class EndedBatchSizeTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("one_value", 1 << 20), ("several_values", 100_000)]
    )
    @virtual.on_virtual_time
    async def test_ended_batch_is_small_and_still_readable(
        self, _, value_bytes
    ):
        async with harness.launch(nodes=1) as site:
            batch_cache = site.nodes[0].runtime.batch_cache
            batch_cache.part_bytes = value_bytes
            await _submit(site, "b1")
            before = await site.read_all(site.nodes[0], "b1")
            prefix = records.batch_key("b1", records.SPECIFICATION)
            values = [k for k in site.store.items if k.startswith(prefix)]
            response = await _end(site, "b1")
            self.assertEqual(response.status, 200)
            for key in values:
                self.assertLess(len(site.store.value(key)), 10_000)
            node = _start(site, "m1")
            await trio.sleep(2)
            status, page = await site.read(node, "b1")
            self.assertEqual((status, page["total"]), (200, ITEMS))
            self.assertEqual(page["results"], before)
            again = await _submit(site, "b1")
            self.assertEqual(again.status, 202)
            self.assertEqual((await _end(site, "b1")).status, 200)
