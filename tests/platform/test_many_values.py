"""Batches whose items need many values in the store.

The store refuses a transaction with too many entries. A batch that it has
accepted must nevertheless be ended and removed.
"""

import base64
import unittest

import orjson
import parameterized
import trio

from kingcupscale.batches import retention
from kingcupscale.platform import names
from kingcupscale.storage import store as stores
from tests import virtual
from tests.batches import fleets
from tests.platform import harness

# Two such bodies do not fit into one value.
BODY = base64.b64encode(b"p" * 290_000).decode()
CANCEL_S = 3.0


def make_body(items):
    """Returns a batch whose items take one stored value each."""
    batch = orjson.loads(harness.make_batch("b1", items, scored=False))
    for item in batch["items"]:
        item["body"] = BODY
    return orjson.dumps(batch)


def make_small_items(items):
    """Returns a batch of many items whose bodies are small."""
    batch = orjson.loads(harness.make_batch("b1", 1, scored=False))
    (item,) = batch["items"]
    batch["items"] = [
        item | {"id": f"item-{number}", "body": "AAAA"}
        for number in range(items)
    ]
    return orjson.dumps(batch)


class ManyValuesTest(unittest.TestCase):
    async def _submit(self, site, items):
        return await self._submit_body(site, make_body(items))

    async def _submit_body(self, site, body):
        return await site.call(
            site.nodes[0],
            "POST",
            harness.BATCH_PATH + "b1",
            body,
            **{names.REQUEST_ID: "b1", names.DEADLINE_MS: "12000"},
        )

    @parameterized.parameterized.expand([(2,), (30,), (31,)])
    @virtual.on_virtual_time
    async def test_batch_of_many_values_can_be_ended(self, items):
        async with harness.launch(nodes=3) as site:
            for server in site.servers.values():
                server.slots = 1
                server.event_s = 0.2
            self.assertEqual((await self._submit(site, items)).status, 202)
            await trio.sleep(1)
            for node in site.nodes:
                response = await site.call(
                    node, "DELETE", names.BATCHES_PATH + "b1"
                )
                self.assertEqual(response.status, 200)
            ended_at = trio.current_time()
            await trio.sleep(3 * CANCEL_S)
            late = [r for r in site.runs if r.at > ended_at + CANCEL_S]
            self.assertEqual(late, [])

    @virtual.on_virtual_time
    async def test_batch_of_too_many_values_is_refused_at_once(self):
        async with harness.launch(nodes=1) as site:
            before = trio.current_time()
            response = await self._submit(site, 32)
            self.assertEqual(response.status, 413)
            self.assertLess(trio.current_time() - before, 0.1)
            await trio.sleep(10)
            self.assertEqual(site.runs, [])
            self.assertEqual([k for k in site.store.items if "b1" in k], [])

    @virtual.on_virtual_time
    async def test_batch_of_many_small_items_can_be_ended(self):
        # Without their bodies, all items together exceed one value.
        async with harness.launch(nodes=1) as site:
            response = await self._submit_body(site, make_small_items(15_000))
            self.assertEqual(response.status, 202)
            # Only then does the node know of the values that it may rewrite.
            await trio.sleep(1)
            response = await site.call(
                site.nodes[0], "DELETE", names.BATCHES_PATH + "b1"
            )
            self.assertEqual(response.status, 200)

    @virtual.on_virtual_time
    async def test_item_larger_than_a_value_is_refused_at_once(self):
        async with harness.launch(nodes=1) as site:
            batch = orjson.loads(make_body(1))
            batch["items"][0]["body"] = base64.b64encode(
                b"p" * 900_000
            ).decode()
            before = trio.current_time()
            response = await self._submit_body(site, orjson.dumps(batch))
            self.assertEqual(response.status, 413)
            self.assertLess(trio.current_time() - before, 0.1)
            self.assertEqual([k for k in site.store.items if "b1" in k], [])

    @virtual.on_virtual_time
    async def test_interrupted_removal_is_completed(self):
        async with fleets.running_pair(items=0) as pair:
            await pair.accept(31, b"p" * 30_000)
            await trio.sleep(1)
            for _ in range(31):
                await pair.append_result()
            batch_cache = pair.leader.batch_cache
            await batch_cache.end(batch_cache.records["b"], 5.0)
            await trio.sleep(1)
            old = retention.Retention(batch_cache, pair.leader.clock)
            await old.remove_older_than(0.0)
            await trio.sleep(retention.END_MARGIN_S + 1)
            commit = pair.store.commit
            calls = []

            async def fail_at_second(transaction):
                calls.append(transaction)
                if len(calls) == 2:
                    raise stores.StoreError("status 503", False)
                return await commit(transaction)

            pair.store.commit = fail_at_second
            with self.assertRaises(stores.StoreError):
                await old.remove_older_than(0.0)
            await trio.sleep(2)
            for _ in range(5):
                await old.remove_older_than(0.0)
                await trio.sleep(1)
            self.assertEqual(pair.store.entries, {})
