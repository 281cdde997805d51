"""Batches on a simulated platform, with faults of nodes, servers and store.

Guards against results that are lost, written twice or generated again after a
node, a backend server or the store has failed.
"""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness


class BatchTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_batch_is_run_scored_and_read_from_any_node(self):
        async with harness.launch() as site:
            one, two = site.nodes
            self.assertEqual((await site.submit(one)).status, 202)
            for node in (two, one):
                results = await site.read_all(node)
                self.assertEqual(len(results), 4)
                for result in results:
                    self.assertEqual(result["state"], "done")
                    self.assertEqual(result["text"], harness.text_of(10))
                    self.assertEqual(result["versions"], [1])
                    number = result["id"].rpartition("i")[2]
                    self.assertEqual(result["score"], f"signed-b1-s{number}")
            self.assertEqual(site.violations, [])

    @virtual.on_virtual_time
    async def test_repeated_submission_is_stored_once(self):
        async with harness.launch() as site:
            for node in (*site.nodes, *site.nodes):
                self.assertEqual((await site.submit(node)).status, 202)
            await site.read_all(site.nodes[0])
            await trio.sleep(1)
            runs = [run.request for run in site.runs if "-i" in run.request]
            self.assertEqual(len(runs), 4)

    @virtual.on_virtual_time
    async def test_ended_batch_sends_nothing_more_and_stays_readable(self):
        async with harness.launch() as site:
            for server in site.servers.values():
                server.length = 200
            node = site.nodes[0]
            await site.submit(node, items=12)
            await trio.sleep(0.5)
            path = names.BATCHES_PATH + "b1"
            for _ in range(2):
                response = await site.call(node, "DELETE", path)
                self.assertEqual(response.status, 200)
            await trio.sleep(0.5)
            ended_at = trio.current_time()
            await trio.sleep(5)
            self.assertFalse([r for r in site.runs if r.at > ended_at])
            running = [s.running for s in site.servers.values()]
            self.assertEqual(running, [set()] * len(running))
            status, page = await site.read(site.nodes[1])
            self.assertEqual((status, page["total"]), (200, 12))

    @virtual.on_virtual_time
    async def test_failover_assigns_no_position_twice(self):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            reader = site.other(leader)
            for server in site.servers.values():
                server.length = 60
            await site.submit(reader, items=16)
            await trio.sleep(2)
            _, before = await site.read(reader)
            site.network.crash(leader.name)
            results = await site.read_all(reader)
            self.assertEqual(len({r["id"] for r in results}), 16)
            self.assertEqual(len(results), 16)
            earlier = before["results"]
            self.assertEqual(results[: len(earlier)], earlier)

    @parameterized.parameterized.expand([("killed",), ("stopped",), ("cut",)])
    @virtual.on_virtual_time
    async def test_texts_are_resumed_after_a_takeover(self, how):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            reader = site.other(leader)
            for server in site.servers.values():
                server.length = 200
            await site.submit(reader, items=6)
            await trio.sleep(2)
            if how == "killed":
                site.network.crash(leader.name)
            elif how == "stopped":
                leader.runtime.drain_requested.set()
            else:
                site.network.cut(leader.name, "store")
            left_at = trio.current_time()
            results = await site.read_all(reader)
            self.assertEqual(
                [r["text"] for r in results], [harness.text_of(200)] * 6
            )
            later = [
                r for r in site.runs if r.at > left_at and "-i" in r.request
            ]
            self.assertEqual([r for r in later if not r.resumed_after], [])

    @virtual.on_virtual_time
    async def test_node_without_store_access_serves_batches(self):
        async with harness.launch(nodes=3) as site:
            node = site.other(site.holder())
            site.network.cut(node.name, "store")
            await trio.sleep(3)
            self.assertEqual((await site.submit(node)).status, 202)
            self.assertEqual(len(await site.read_all(node)), 4)
            path = names.BATCHES_PATH + "b1"
            response = await site.call(node, "DELETE", path)
            self.assertEqual(response.status, 200)
            status, _ = await site.read(node, "b9")
            self.assertEqual(status, 404)

    @virtual.on_virtual_time
    async def test_standby_runs_batches_while_the_store_is_down(self):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            reader = site.other(leader)
            for server in site.servers.values():
                server.length = 100
            await site.submit(reader)
            await trio.sleep(0.5)
            site.store.is_down = True
            site.network.crash(leader.name)
            crashed_at = trio.current_time()
            await trio.sleep(6)
            site.store.is_down = False
            returned_at = trio.current_time()
            results = await site.read_all(reader)
            self.assertEqual(len(results), 4)
            self.assertLess(trio.current_time() - returned_at, 2.0)
            again = [r for r in site.runs if r.at > returned_at]
            self.assertEqual([r for r in again if "-i" in r.request], [])
            meanwhile = [
                r for r in site.runs if crashed_at < r.at < returned_at
            ]
            self.assertTrue(meanwhile)

    @virtual.on_virtual_time
    async def test_two_leaders_write_each_result_once(self):
        async with harness.launch(nodes=3) as site:
            leader = site.holder()
            for node in site.nodes:
                if node is not leader:
                    site.network.cut(leader.name, node.name)
            reader = site.other(leader)
            await trio.sleep(2)
            await site.submit(reader, items=16)
            results = await site.read_all(reader)
            self.assertEqual(len({r["id"] for r in results}), 16)
            self.assertEqual(len(results), 16)
            # Reads at other nodes may lag by up to 1 s.
            await trio.sleep(1)
            _, page = await site.read(leader)
            self.assertEqual(page["results"], results)

    @virtual.on_virtual_time
    async def test_stalled_stream_is_resumed_on_another_server(self):
        async with harness.launch() as site:
            site.servers["e1"].stall_after = 4
            await site.submit(site.nodes[0], items=6)
            results = await site.read_all(site.nodes[0])
            self.assertEqual(
                {r["text"] for r in results}, {harness.text_of(10)}
            )
            resumed = [r for r in site.runs if r.resumed_after]
            self.assertTrue(resumed)
            self.assertEqual({r.server for r in resumed}, {"e2"})

    @virtual.on_virtual_time
    async def test_text_with_a_gap_is_resumed_before_the_gap(self):
        async with harness.launch() as site:
            whole = site.servers["e1"].stream

            async def skip(run):
                number = run.resumed_after or 0
                async with contextlib.aclosing(whole(run)) as pieces:
                    async for piece in pieces:
                        number += 1
                        if number != 3:
                            yield piece

            site.servers["e1"].stream = skip
            await site.submit(site.nodes[0], items=6)
            results = await site.read_all(site.nodes[0])
            self.assertEqual(
                [r["text"] for r in results], [harness.text_of(10)] * 6
            )

    @virtual.on_virtual_time
    async def test_signature_of_a_failed_response_is_not_a_score(self):
        async with harness.launch() as site:
            for name in ("p1", "p2"):
                site.servers[name].statuses = [500] * 50
            await site.submit(site.nodes[0], items=1)
            (result,) = await site.read_all(site.nodes[0])
            self.assertEqual(result["state"], "errored")

    @parameterized.parameterized.expand(
        [("time_limit", 504), ("bad_gateway", 502), ("conflict", 409)]
    )
    @virtual.on_virtual_time
    async def test_scoring_call_that_may_succeed_later_is_repeated(
        self, _, status
    ):
        async with harness.launch() as site:
            for name in ("p1", "p2"):
                site.servers[name].statuses = [status] * 20
            await site.submit(site.nodes[0])
            results = await site.read_all(site.nodes[1])
            self.assertEqual({r["state"] for r in results}, {"done"})
            self.assertTrue(all(r["score"] for r in results))

    @virtual.on_virtual_time
    async def test_samples_move_from_a_slow_engine_to_a_faster_one(self):
        async with harness.launch() as site:
            for server in site.servers.values():
                server.length = 60
            await site.submit(site.nodes[0], "warm", items=4)
            await site.read_all(site.nodes[0], "warm")
            began_at = trio.current_time()
            site.servers["e1"].event_s = 0.2
            await site.submit(site.nodes[0], "slow", items=4)
            await site.read_all(site.nodes[0], "slow")
            self.assertLess(trio.current_time() - began_at, 5.0)

    @parameterized.parameterized.expand(
        [
            ("never_done", 422, 1, 1),
            ("fails_each_time", 500, 3, 3),
        ]
    )
    @virtual.on_virtual_time
    async def test_item_that_always_fails_is_errored(
        self, _, status, max_runs, min_runs
    ):
        async with harness.launch() as site:
            for name in ("e1", "e2"):
                site.servers[name].statuses = [status] * 50
            await site.submit(site.nodes[0], items=1)
            (result,) = await site.read_all(site.nodes[0])
            self.assertEqual(result["state"], "errored")
            runs = [r for r in site.runs if "-i" in r.request]
            self.assertLessEqual(len(runs), max_runs)
            self.assertGreaterEqual(len(runs), min_runs)

    @virtual.on_virtual_time
    async def test_batch_survives_the_loss_of_all_nodes(self):
        async with harness.launch() as site:
            await site.submit(site.nodes[0], items=8)
            for node in site.nodes:
                site.network.crash(node.name)
            site.nodes = [harness.Node(site, n, "a") for n in ("n8", "n9")]
            await site.start()
            results = await site.read_all(site.nodes[1])
            self.assertEqual(len(results), 8)
            response = await site.call(
                site.nodes[0], "GET", names.ITEMS_PATH + "b1?id=b1-i3"
            )
            self.assertEqual(response.body, b"body 3")
