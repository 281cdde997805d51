"""Whole nodes before the platform's stand-in, under faults."""

import unittest

import orjson
import parameterized
import trio

from kingcupscale.batches import batch
from kingcupscale.peering import handover
from kingcupscale.platform import names
from tests import virtual
from tests.platform import standin


class BatchTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_batch_is_run_scored_and_read_from_any_node(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            one, two = site.nodes
            self.assertEqual((await site.submit(one)).status, 202)
            for node in (two, one):
                results = await site.read_all(node)
                self.assertEqual(len(results), 4)
                for result in results:
                    self.assertEqual(result["state"], "done")
                    self.assertEqual(result["text"], standin.text_of(10))
                    self.assertEqual(result["versions"], [1])
                    number = result["id"].rpartition("i")[2]
                    self.assertEqual(result["score"], f"signed-b1-s{number}")
            self.assertEqual(site.broken, [])
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_repeated_batch_is_kept_once(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            for node in (*site.nodes, *site.nodes):
                self.assertEqual((await site.submit(node)).status, 202)
            await site.read_all(site.nodes[0])
            await trio.sleep(1)
            runs = [run.request for run in site.runs if "-i" in run.request]
            self.assertEqual(len(runs), 4)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_ended_batch_sends_nothing_more_and_stays_readable(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
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
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_leader_lost_is_followed_without_double_positions(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
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
            listed = before["results"]
            self.assertEqual(results[: len(listed)], listed)
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand([("killed",), ("stopped",), ("cut",)])
    @virtual.on_virtual_time
    async def test_texts_go_on_after_a_takeover(self, how):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
            leader = site.holder()
            reader = site.other(leader)
            for server in site.servers.values():
                server.length = 200
            await site.submit(reader, items=6)
            await trio.sleep(2)
            if how == "killed":
                site.network.crash(leader.name)
            elif how == "stopped":
                leader.runtime.drain_asked.set()
            else:
                site.network.cut(leader.name, "store")
            left_at = trio.current_time()
            results = await site.read_all(reader)
            self.assertEqual(
                [r["text"] for r in results], [standin.text_of(200)] * 6
            )
            later = [
                r for r in site.runs if r.at > left_at and "-i" in r.request
            ]
            self.assertEqual([r for r in later if not r.resumed_after], [])
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_node_that_the_store_turns_away_serves_batches(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
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
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_stand_in_runs_batches_while_the_store_is_down(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
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
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_two_who_think_they_lead_list_each_item_once(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
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
            # Other nodes may be this far behind a position that was read.
            await trio.sleep(1)
            _, page = await site.read(leader)
            self.assertEqual(page["results"], results)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_silent_stream_goes_on_elsewhere_after_its_last_event(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.servers["e1"].drop_after = 4
            await site.submit(site.nodes[0], items=6)
            results = await site.read_all(site.nodes[0])
            self.assertEqual(
                {r["text"] for r in results}, {standin.text_of(10)}
            )
            resumed = [r for r in site.runs if r.resumed_after]
            self.assertTrue(resumed)
            self.assertEqual({r.server for r in resumed}, {"e2"})
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_slow_engine_is_left_for_a_faster_one(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            for server in site.servers.values():
                server.length = 60
            await site.submit(site.nodes[0], "warm", items=4)
            await site.read_all(site.nodes[0], "warm")
            began_at = trio.current_time()
            site.servers["e1"].event_s = 0.2
            await site.submit(site.nodes[0], "slow", items=4)
            await site.read_all(site.nodes[0], "slow")
            self.assertLess(trio.current_time() - began_at, 5.0)
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [
            ("never_done", 422, 1, 1),
            ("fails_each_time", 500, 3, 3),
        ]
    )
    @virtual.on_virtual_time
    async def test_item_that_cannot_be_done(self, _, status, most, least):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            for name in ("e1", "e2"):
                site.servers[name].statuses = [status] * 50
            await site.submit(site.nodes[0], items=1)
            (result,) = await site.read_all(site.nodes[0])
            self.assertEqual(result["state"], "errored")
            runs = [r for r in site.runs if "-i" in r.request]
            self.assertLessEqual(len(runs), most)
            self.assertGreaterEqual(len(runs), least)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_batch_survives_the_loss_of_all_nodes(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            await site.submit(site.nodes[0], items=8)
            for node in site.nodes:
                site.network.crash(node.name)
            site.nodes = [standin.Node(site, n, "a") for n in ("n8", "n9")]
            await site.start()
            results = await site.read_all(site.nodes[1])
            self.assertEqual(len(results), 8)
            response = await site.call(
                site.nodes[0], "GET", names.ITEMS_PATH + "b1?id=b1-i3"
            )
            self.assertEqual(response.body, b"body 3")
            nursery.cancel_scope.cancel()


ITEM = {"id": "a", "path": "/x", "body": ""}


class SubmissionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("truncated", b'{"items":[', 422),
            ("not_a_map", b"[]", 422),
            ("no_items", b'{"items":[]}', 422),
            ("items_of_wrong_type", b'{"items":5}', 422),
            ("item_without_id", b'{"items":[{"path":"/x","body":""}]}', 422),
            (
                "bad_base64",
                b'{"items":[{"id":"a","path":"/x","body":"%%%"}]}',
                422,
            ),
            (
                "same_id_twice",
                orjson.dumps(
                    {
                        "items": [
                            {"id": "a", "path": "/x", "body": ""},
                            {"id": "a", "path": "/x", "body": ""},
                        ]
                    }
                ),
                422,
            ),
            (
                "headers_of_wrong_type",
                b'{"items":[{"id":"a","path":"/x","body":"",'
                b'"headers":{"a":1}}]}',
                422,
            ),
            (
                "header_value_with_a_line_end",
                orjson.dumps(
                    {"items": [{**ITEM, "headers": {"a": "b\r\nc: d"}}]}
                ),
                422,
            ),
            (
                "header_name_with_a_space",
                orjson.dumps({"items": [{**ITEM, "headers": {"a b": "c"}}]}),
                422,
            ),
            (
                "path_with_a_space",
                orjson.dumps({"items": [{**ITEM, "path": "/x HTTP/1.1"}]}),
                422,
            ),
            (
                "path_without_a_slash",
                orjson.dumps({"items": [{**ITEM, "path": "x"}]}),
                422,
            ),
            (
                "id_with_a_line_end",
                orjson.dumps({"items": [{**ITEM, "id": "a\nb"}]}),
                422,
            ),
            (
                "scorer_host_with_a_line_end",
                orjson.dumps(
                    {
                        "items": [
                            {
                                **ITEM,
                                "scorer": {
                                    "id": "s",
                                    "host": "h\nx: y",
                                    "path": "/s",
                                    "body": "",
                                },
                            }
                        ]
                    }
                ),
                422,
            ),
            (
                "scorer_without_path",
                b'{"items":[{"id":"a","path":"/x","body":"",'
                b'"scorer":{"id":"s","host":"h","body":""}}]}',
                422,
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_bad_batch_changes_nothing(self, _, body, status):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            revision = site.store.revision
            response = await site.call(
                site.nodes[0],
                "POST",
                standin.BATCH_PATH + "b1",
                body,
                **{names.REQUEST_ID: "b1"},
            )
            self.assertEqual(response.status, status)
            error = orjson.loads(response.body)["error"]
            self.assertIsInstance(error["code"], int)
            keys = [k for k in site.store.items if "batches" in k]
            self.assertEqual(keys, [])
            del revision
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [
            (
                "unknown_field",
                b'{"items":[{"id":"a","path":"/train/x",'
                b'"body":"","new":1}],"later":2}',
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_unknown_fields_are_left_out(self, _, body):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            response = await site.call(
                site.nodes[0],
                "POST",
                standin.BATCH_PATH + "b1",
                body,
                **{names.REQUEST_ID: "b1"},
            )
            self.assertEqual(response.status, 202)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_batch_waits_for_the_store_and_is_then_kept(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.store.is_down = True

            async def come_back():
                await trio.sleep(3)
                site.store.is_down = False

            nursery.start_soon(come_back)
            response = await site.submit(site.nodes[0])
            self.assertEqual(response.status, 202)
            self.assertEqual(len(await site.read_all(site.nodes[1])), 4)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_refusal_without_the_store_is_true_and_names_a_time(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.store.is_down = True
            response = await site.submit(site.nodes[0])
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            site.store.is_down = False
            await trio.sleep(10)
            self.assertEqual(site.runs, [])
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_batch_that_may_be_kept_is_not_said_to_be_refused(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.store.loses_answers = True
            response = await site.submit(site.nodes[0])
            self.assertIn(response.status, (500, 502, 504))
            site.store.loses_answers = False
            self.assertEqual(len(await site.read_all(site.nodes[0])), 4)
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [
            ("other_organisation", {names.KEY: "key-of-two"}, "b1", 404),
            ("unknown_key", {names.KEY: "nobody"}, "b1", 401),
            ("unknown_batch", {}, "b9", 404),
        ]
    )
    @virtual.on_virtual_time
    async def test_batch_is_shown_to_its_organisation_only(
        self, _, headers, batch_id, status
    ):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            await site.submit(site.nodes[0])
            for method in ("GET", "DELETE"):
                path = names.BATCHES_PATH + batch_id
                response = await site.call(
                    site.nodes[1], method, path, **headers
                )
                self.assertEqual(response.status, status)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_unknown_batch_without_the_store_is_no_404(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.store.is_down = True
            status, _ = await site.read(site.nodes[0], "b9")
            self.assertEqual(status, 503)
            nursery.cancel_scope.cancel()


class VersionTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_result_of_an_ended_batch_is_not_listed_in_another(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.name_version(2)
            await trio.sleep(4)
            old = batch.Result(
                "b1-i0", batch.ResultState.DONE, "old", [1], "old score"
            )
            text = handover.Text("b1-i0", [], old, "b0")
            for node in site.nodes:
                duty = node.runtime.services["engines"]
                duty.coordinator.take_copy(handover.Copy("engines", [text]))
            await site.submit(site.nodes[0], "b1", minimum=2)
            for result in await site.read_all(site.nodes[0], "b1"):
                self.assertEqual(result["versions"], [2])
                self.assertEqual(result["text"], standin.text_of(10))
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_version_that_a_node_was_not_told_is_asked_for(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            for server in site.servers.values():
                if server.versions:
                    server.versions[standin.MODEL] = 2
            await site.submit(site.nodes[0])
            results = await site.read_all(site.nodes[1])
            versions = [result["versions"] for result in results]
            self.assertEqual(versions, 4 * [[2]])
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_engines_alternate_and_no_text_is_too_old(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            node = site.nodes[0]
            for step in range(6):
                if step >= 2:
                    site.name_version(step)
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
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_paused_holder_gives_no_order_after_its_lease(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
            leader = site.holder()
            site.network.cut(leader.name, "store")
            await trio.sleep(4)
            site.name_version(2)
            await trio.sleep(3)
            holders = {o["holder"] for _, o, _ in site.orders}
            self.assertTrue(holders)
            self.assertNotIn(leader.name, holders)
            nursery.cancel_scope.cancel()


class ConfigurationTest(unittest.TestCase):
    async def _quote(self, site, node, key=standin.KEY):
        return await site.call(
            node,
            "POST",
            standin.CALL_PATH + "1",
            b"?",
            **{
                names.REQUEST_ID: "q1",
                names.DEADLINE_MS: "2000",
                names.KEY: key,
            },
        )

    @virtual.on_virtual_time
    async def test_withdrawn_key_stops_on_a_node_the_store_turns_away(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
            for node in site.nodes:
                response = await self._quote(site, node)
                self.assertEqual(response.status, 200)
            for cut in (site.holder(), site.other(site.holder())):
                site.network.cut(cut.name, "store")
            site.write_configuration(standin.make_configuration(2, ["new"]))
            await trio.sleep(4)
            for node in site.nodes:
                self.assertEqual((await self._quote(site, node)).status, 401)
                response = await self._quote(site, node, "new")
                self.assertEqual(response.status, 200)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_node_that_hears_nobody_stops_admitting(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
            alone = site.nodes[2]
            site.network.cut_off(alone.name)
            for server in site.servers:
                site.network.cuts.discard(frozenset((alone.name, server)))
            await trio.sleep(10)
            self.assertEqual((await self._quote(site, alone)).status, 503)
            self.assertFalse(alone.runtime.is_ready())
            site.network.heal()
            await trio.sleep(2)
            self.assertEqual((await self._quote(site, alone)).status, 200)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_outage_for_all_nodes_stops_nobody(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
            site.store.is_down = True
            await trio.sleep(30)
            for node in site.nodes:
                self.assertEqual((await self._quote(site, node)).status, 200)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_mirrors_stay_current_when_several_nodes_hold_duties(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=10)
            await site.start()
            oldest = 0.0
            for _ in range(200):
                await trio.sleep(0.1)
                ages = [n.runtime.feed.age_s() for n in site.nodes]
                oldest = max(oldest, *ages)
            self.assertLess(oldest, 2.0)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_older_or_unreadable_configuration_changes_nothing(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.write_configuration(standin.make_configuration(5, ["k5"]))
            await trio.sleep(1)
            site.write_configuration(standin.make_configuration(4, ["k4"]))
            site.store.put(names.CONFIGURATION_KEY, b'{"version":')
            await trio.sleep(1)
            for node in site.nodes:
                response = await self._quote(site, node, "k5")
                self.assertEqual(response.status, 200)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_models_without_slots_end_no_node(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            configuration = standin.make_configuration()
            configuration["services"].append(
                {
                    "name": "idle",
                    "healthPath": "/h",
                    "maxConnections": 1,
                    "engine": {"slots": 0, "models": [{"name": "beta"}]},
                }
            )
            site.write_configuration(configuration)
            await site.start()
            (node,) = site.nodes
            self.assertEqual((await site.submit(node)).status, 202)
            self.assertEqual(len(await site.read_all(node)), 4)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_forgotten_history_is_read_anew(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            for node in site.nodes:
                site.network.cut(node.name, "store")
            await trio.sleep(2)
            site.write_configuration(standin.make_configuration(2, ["k2"]))
            site.store.remove(names.SERVERS_PREFIX + "p1")
            site.store.forget_history()
            site.network.heal()
            await trio.sleep(5)
            for node in site.nodes:
                self.assertEqual(
                    (await self._quote(site, node, "k2")).status, 200
                )
                self.assertNotIn("p1", node.runtime.roster.servers)
            nursery.cancel_scope.cancel()


class CallTest(unittest.TestCase):
    async def _send(self, site, path, request_id="q1"):
        return await site.call(
            site.nodes[0],
            "POST",
            path,
            b"?",
            **{names.REQUEST_ID: request_id, names.DEADLINE_MS: "2000"},
        )

    @parameterized.parameterized.expand(
        [
            ("idempotent", standin.CALL_PATH, ["p1"], 200),
            ("once_only", "/once/", ["p1", "p2"], 502),
        ]
    )
    @virtual.on_virtual_time
    async def test_lost_answer(self, _, path, losing, status):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            for name in ("p1", "p2"):
                server = site.servers[name]
                answer = server.run

                async def lose(request, answer=answer, name=name):
                    response = await answer(request)
                    if name in losing:
                        del response.headers[names.SIGNATURE]
                    return response

                server.run = lose
            response = await self._send(site, path + "1")
            self.assertEqual(response.status, status)
            if path == "/once/":
                self.assertEqual(len(site.runs), 1)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_full_servers_are_a_true_refusal(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            for name in ("p1", "p2"):
                site.servers[name].is_full = True
            began_at = trio.current_time()
            for path in (standin.CALL_PATH, "/once/"):
                response = await self._send(site, path + "1")
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertLess(trio.current_time() - began_at, 1.0)
            self.assertEqual(site.runs, [])
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_draining_server_gets_nothing_new(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            # The one in the node's own zone, which it prefers.
            site.servers["p2"].state = "draining"
            site.servers["p2"].enter()
            await trio.sleep(1)
            for number in range(8):
                await self._send(site, standin.CALL_PATH + "1", f"q{number}")
            self.assertEqual({run.server for run in site.runs}, {"p1"})
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [
            ("other_bytes", b"\xff\x00"),
            ("no_map", b"[]"),
            ("missing_field", b'{"service":"plain"}'),
            (
                "unknown_state",
                b'{"service":"plain","address":"x:1","zone":"a",'
                b'"slots":1,"state":"odd"}',
            ),
            (
                "address_of_other_type",
                b'{"service":"plain","address":7,"zone":"a",'
                b'"slots":1,"state":"ready"}',
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_malformed_entry_names_no_server(self, _, value):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            site.store.put(names.SERVERS_PREFIX + "odd", value)
            await trio.sleep(1)
            self.assertNotIn("odd", site.nodes[0].runtime.roster.servers)
            response = await self._send(site, standin.CALL_PATH + "1")
            self.assertEqual(response.status, 200)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_entry_lapsed_with_the_store_away_keeps_its_server(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=1)
            await site.start()
            site.store.is_down = True
            await trio.sleep(4)
            for name in ("p1", "p2"):
                site.store.remove(names.SERVERS_PREFIX + name)
            site.store.is_down = False
            await trio.sleep(1)
            response = await self._send(site, standin.CALL_PATH + "1")
            self.assertEqual(response.status, 200)
            site.servers["p1"].enter()
            await trio.sleep(3)
            servers = site.nodes[0].runtime.roster.servers
            self.assertIn("p1", servers)
            self.assertNotIn("p2", servers)
            nursery.cancel_scope.cancel()


class UsageTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_windows_are_reported_once_with_all_counts(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery, nodes=3)
            await site.start()
            sent = 0
            for number in range(40):
                node = site.nodes[number % 3]
                response = await site.call(
                    node,
                    "POST",
                    standin.CALL_PATH + "1",
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
            nursery.cancel_scope.cancel()


class StopTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_planned_stop_hands_over_and_cuts_nothing(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            leader = site.holder()
            other = site.other(leader)
            await site.submit(leader, items=8)
            leader.runtime.drain_asked.set()
            await trio.sleep(0.1)
            self.assertFalse(leader.runtime.is_ready())
            response = await site.call(
                leader,
                "POST",
                standin.CALL_PATH + "1",
                **{names.REQUEST_ID: "q1"},
            )
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["connection"], "close")
            self.assertEqual(len(await site.read_all(other)), 8)
            await trio.sleep(5)
            self.assertTrue(leader.runtime.stopped.is_set())
            nursery.cancel_scope.cancel()


class RetirementTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_vm_with_a_disk_is_answered_to_be_empty(self):
        async with trio.open_nursery() as nursery:
            site = standin.Site(nursery)
            await site.start()
            site.store.put(
                names.RETIREMENTS_PREFIX + "disk-1", b'{"durationS":8}'
            )
            await trio.sleep(3)
            value = site.store.value(names.RETIREMENT_STATES_PREFIX + "disk-1")
            self.assertEqual(orjson.loads(value), {"state": "done"})
            nursery.cancel_scope.cancel()
