"""Configurations and keys on several nodes, under faults."""

import random
import unittest

import parameterized
import trio

from kingcupscale import deployment
from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness


class ConfigurationTest(unittest.TestCase):
    async def _quote(self, site, node, key=harness.KEY):
        return await site.call(
            node,
            "POST",
            harness.CALL_PATH + "1",
            b"?",
            **{
                names.REQUEST_ID: "q1",
                names.DEADLINE_MS: "2000",
                names.KEY: key,
            },
        )

    @virtual.on_virtual_time
    async def test_withdrawn_key_stops_on_a_node_the_store_turns_away(self):
        async with harness.launch(nodes=3) as site:
            for node in site.nodes:
                response = await self._quote(site, node)
                self.assertEqual(response.status, 200)
            for cut in (site.holder(), site.other(site.holder())):
                site.network.cut(cut.name, "store")
            site.write_configuration(harness.make_configuration(2, ["new"]))
            await trio.sleep(4)
            for node in site.nodes:
                self.assertEqual((await self._quote(site, node)).status, 401)
                response = await self._quote(site, node, "new")
                self.assertEqual(response.status, 200)

    @virtual.on_virtual_time
    async def test_node_that_hears_nobody_stops_admitting(self):
        async with harness.launch(nodes=3) as site:
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

    @virtual.on_virtual_time
    async def test_outage_for_all_nodes_stops_nobody(self):
        async with harness.launch(nodes=3) as site:
            site.store.is_down = True
            await trio.sleep(30)
            for node in site.nodes:
                self.assertEqual((await self._quote(site, node)).status, 200)

    @virtual.on_virtual_time
    async def test_mirrors_stay_current_when_several_nodes_hold_duties(self):
        async with harness.launch(nodes=10) as site:
            oldest = 0.0
            for _ in range(200):
                await trio.sleep(0.1)
                ages = [n.runtime.mirror.age_s() for n in site.nodes]
                oldest = max(oldest, *ages)
            self.assertLess(oldest, 2.0)

    @parameterized.parameterized.expand([(seed,) for seed in range(16)])
    @virtual.on_virtual_time
    async def test_nodes_the_store_turns_away_follow_the_one_it_serves(
        self, seed
    ):
        async with harness.launch(nodes=3) as site:
            for node in site.nodes:
                node.runtime.peers.rng = random.Random(f"{node.name}{seed}")
            await trio.sleep(0.13 * seed)
            served = site.other(site.holder())
            for node in site.nodes:
                if node is not served:
                    site.network.cut(node.name, "store")
            oldest = 0.0
            for _ in range(200):
                await trio.sleep(0.05)
                ages = [n.runtime.mirror.essential_age_s() for n in site.nodes]
                oldest = max(oldest, *ages)
            self.assertLess(oldest, deployment.Bounds().contact_s)

    @virtual.on_virtual_time
    async def test_older_or_unreadable_configuration_changes_nothing(self):
        async with harness.launch() as site:
            site.write_configuration(harness.make_configuration(5, ["k5"]))
            await trio.sleep(1)
            site.write_configuration(harness.make_configuration(4, ["k4"]))
            site.store.put(names.CONFIGURATION_KEY, b'{"version":')
            await trio.sleep(1)
            for node in site.nodes:
                response = await self._quote(site, node, "k5")
                self.assertEqual(response.status, 200)

    @virtual.on_virtual_time
    async def test_models_without_slots_end_no_node(self):
        async with harness.launch(nodes=1, is_started=False) as site:
            configuration = harness.make_configuration()
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

    @virtual.on_virtual_time
    async def test_forgotten_history_is_read_anew(self):
        async with harness.launch() as site:
            for node in site.nodes:
                site.network.cut(node.name, "store")
            await trio.sleep(2)
            site.write_configuration(harness.make_configuration(2, ["k2"]))
            site.store.remove(names.SERVERS_PREFIX + "p1")
            site.store.compact()
            site.network.heal()
            await trio.sleep(5)
            for node in site.nodes:
                self.assertEqual(
                    (await self._quote(site, node, "k2")).status, 200
                )
                self.assertNotIn("p1", node.runtime.server_registry.servers)


class Late:
    """Asks another in its place, and passes answers on late."""

    def __init__(self, other, late_s):
        self.other = other
        self.late_s = late_s

    def __getattr__(self, name):
        async def ask(*args):
            answer = await getattr(self.other, name)(*args)
            await trio.sleep(self.late_s)
            return answer

        return ask


class OldViewTest(unittest.TestCase):
    """Nobody is refused by a configuration that others may have replaced."""

    STRANGE = ("/strange/1", harness.KEY)
    ADDED = ("/added/1", harness.KEY)
    WRONG = (harness.CALL_PATH + "1", "wrong")
    GRANTED = (harness.CALL_PATH + "1", "granted")
    KNOWN = (harness.CALL_PATH + "1", harness.KEY)
    OPEN = (harness.SCORE_PATH + "1", "")
    OWN_BATCH = (names.BATCHES_PATH + "b1", harness.KEY)
    OTHERS_BATCH = (names.BATCHES_PATH + "b1", "key-of-two")
    OWN_BATCH_GRANTED = (names.BATCHES_PATH + "b1", "granted")
    NO_BATCH = (names.BATCHES_PATH + "b0", harness.KEY)

    async def _ask(self, site, node, asked):
        path, key = asked
        return await site.call(
            node,
            "GET" if path.startswith(names.BATCHES_PATH) else "POST",
            path,
            **{
                names.REQUEST_ID: "q1",
                names.DEADLINE_MS: "2000",
                names.KEY: key,
            },
        )

    def _change(self, site):
        route = {
            "name": "added",
            "host": harness.HOST,
            "pathPrefix": "/added/",
            "kind": "idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 190,
            "service": "plain",
        }
        site.write_configuration(
            harness.make_configuration(2, [harness.KEY, "granted"], [route])
        )

    def _delay(self, node, late_s):
        runtime = node.runtime
        runtime.mirror.store = Late(runtime.mirror.store, late_s)
        runtime.peers.client = Late(runtime.peers.client, late_s)

    @parameterized.parameterized.expand(
        [
            ("young_strange", 0, False, STRANGE, 404),
            ("young_added", 0, False, ADDED, 200),
            ("young_wrong", 0, False, WRONG, 401),
            ("young_granted", 0, False, GRANTED, 200),
            ("young_others_batch", 0, False, OTHERS_BATCH, 404),
            ("young_no_batch", 0, False, NO_BATCH, 404),
            ("little_late_strange", 0.3, False, STRANGE, 404),
            ("little_late_added", 0.3, False, ADDED, 200),
            ("late_strange", 4, False, STRANGE, 503),
            ("late_added", 4, False, ADDED, 503),
            ("late_wrong", 4, False, WRONG, 503),
            ("late_granted", 4, False, GRANTED, 503),
            ("late_known", 4, False, KNOWN, 200),
            ("late_open", 4, False, OPEN, 200),
            ("late_own_batch", 4, False, OWN_BATCH, 200),
            ("late_own_batch_granted", 4, False, OWN_BATCH_GRANTED, 503),
            ("late_others_batch", 4, False, OTHERS_BATCH, 503),
            ("late_no_batch", 4, False, NO_BATCH, 404),
            ("outage_strange", 0, True, STRANGE, 503),
            ("outage_wrong", 0, True, WRONG, 503),
            ("outage_known", 0, True, KNOWN, 200),
            ("outage_open", 0, True, OPEN, 200),
            ("outage_own_batch", 0, True, OWN_BATCH, 200),
            ("outage_others_batch", 0, True, OTHERS_BATCH, 503),
        ]
    )
    @virtual.on_virtual_time
    async def test_request(self, _, late_s, is_outage, asked, expected):
        async with harness.launch(nodes=3) as site:
            node = site.other(site.holder())
            await site.submit(node)
            await trio.sleep(1)
            if late_s:
                self._delay(node, late_s)
            await trio.sleep(2 * late_s)
            if is_outage:
                site.store.is_down = True
            else:
                self._change(site)
            await trio.sleep(2.5)
            response = await self._ask(site, node, asked)
            self.assertEqual(response.status, expected, response.body)
            if expected == 503:
                self.assertGreater(float(response.headers["retry-after"]), 0)
                self.assertIn(b'"not_run"', response.body)

    @parameterized.parameterized.expand([(STRANGE,), (WRONG,), (KNOWN,)])
    @virtual.on_virtual_time
    async def test_node_without_a_configuration_refuses_for_now(self, asked):
        async with harness.launch(nodes=1, is_started=False) as site:
            site.store.is_down = True
            await site.start()
            response = await self._ask(site, site.nodes[0], asked)
            self.assertEqual(response.status, 503)

    @virtual.on_virtual_time
    async def test_node_that_catches_up_knows_again(self):
        async with harness.launch(nodes=3) as site:
            site.store.is_down = True
            await trio.sleep(10)
            site.store.is_down = False
            self._change(site)
            await trio.sleep(2)
            for node in site.nodes:
                for asked, expected in (
                    (self.STRANGE, 404),
                    (self.WRONG, 401),
                    (self.ADDED, 200),
                    (self.GRANTED, 200),
                ):
                    response = await self._ask(site, node, asked)
                    self.assertEqual(response.status, expected)

    @parameterized.parameterized.expand([(1,), (3,), (10,)])
    @virtual.on_virtual_time
    async def test_calm_nodes_are_never_in_doubt(self, count):
        async with harness.launch(nodes=count) as site:
            for _ in range(200):
                await trio.sleep(0.1)
                for node in site.nodes:
                    self.assertIsNone(node.runtime.readiness.staleness_error())


class LimitsTest(unittest.TestCase):
    """What callers may send is the operator's to say, also while nodes run."""

    @parameterized.parameterized.expand(
        [
            ("usual", {}, 32 * 1024 * 1024, 32 * 1024, 3.0, 15.0),
            (
                "wider",
                {"maxBodyBytes": 1 << 26, "idleTimeoutMs": 40_000},
                1 << 26,
                32 * 1024,
                3.0,
                40.0,
            ),
            (
                "narrower",
                {"maxHeaderBytes": 4096, "headerTimeoutMs": 700},
                32 * 1024 * 1024,
                4096,
                0.7,
                15.0,
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_listeners_follow(self, _, written, body, head, head_s, idle):
        async with harness.launch(nodes=2) as site:
            configuration = harness.make_configuration(version=5)
            configuration["limits"] = written
            site.write_configuration(configuration)
            await trio.sleep(1)
            for node in site.nodes:
                allowed = node.runtime.current_limits()
                self.assertEqual(allowed.body_bytes, body)
                self.assertEqual(allowed.header_bytes, head)
                self.assertEqual(allowed.header_timeout_s, head_s)
                self.assertEqual(allowed.idle_s, idle)
