"""Propagation of configurations and keys to several nodes, under faults."""

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
    async def test_nodes_without_store_access_refuse_a_withdrawn_key(self):
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
    async def test_isolated_node_stops_admitting(self):
        async with harness.launch(nodes=3) as site:
            isolated = site.nodes[2]
            site.network.cut_off(isolated.name)
            for server in site.servers:
                site.network.cuts.discard(frozenset((isolated.name, server)))
            await trio.sleep(10)
            self.assertEqual((await self._quote(site, isolated)).status, 503)
            self.assertFalse(isolated.runtime.is_ready())
            site.network.heal()
            await trio.sleep(2)
            self.assertEqual((await self._quote(site, isolated)).status, 200)

    @virtual.on_virtual_time
    async def test_store_outage_stops_no_node(self):
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
    async def test_nodes_without_store_access_follow_the_one_with_it(
        self, seed
    ):
        async with harness.launch(nodes=3) as site:
            for node in site.nodes:
                node.runtime.peers.rng = random.Random(f"{node.name}{seed}")
            await trio.sleep(0.13 * seed)
            connected = site.other(site.holder())
            for node in site.nodes:
                if node is not connected:
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
    async def test_models_without_slots_crash_no_node(self):
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
    async def test_compacted_history_is_reread(self):
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


class DelayedClient:
    """Forwards calls to another client and delays the responses."""

    def __init__(self, client, delay_s):
        self.client = client
        self.delay_s = delay_s

    def __getattr__(self, name):
        async def call(*args):
            response = await getattr(self.client, name)(*args)
            await trio.sleep(self.delay_s)
            return response

        return call


class StaleConfigurationTest(unittest.TestCase):
    """A node whose configuration may be stale refuses no request by it.

    A newer configuration may have added the route or granted the key that the
    node does not know. Such requests get 503 and may be retried elsewhere;
    requests that the stale configuration allows are served.
    """

    UNKNOWN_ROUTE = ("/strange/1", harness.KEY)
    NEW_ROUTE = ("/added/1", harness.KEY)
    WRONG_KEY = (harness.CALL_PATH + "1", "wrong")
    NEW_KEY = (harness.CALL_PATH + "1", "granted")
    KNOWN_KEY = (harness.CALL_PATH + "1", harness.KEY)
    OPEN_ROUTE = (harness.SCORE_PATH + "1", "")
    OWN_BATCH = (names.BATCHES_PATH + "b1", harness.KEY)
    OTHERS_BATCH = (names.BATCHES_PATH + "b1", "key-of-two")
    OWN_BATCH_NEW_KEY = (names.BATCHES_PATH + "b1", "granted")
    NO_BATCH = (names.BATCHES_PATH + "b0", harness.KEY)

    async def _send(self, site, node, target):
        path, key = target
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

    def _delay(self, node, delay_s):
        runtime = node.runtime
        runtime.mirror.store = DelayedClient(runtime.mirror.store, delay_s)
        runtime.peers.client = DelayedClient(runtime.peers.client, delay_s)

    @parameterized.parameterized.expand(
        [
            ("current_unknown_route", 0, False, UNKNOWN_ROUTE, 404),
            ("current_new_route", 0, False, NEW_ROUTE, 200),
            ("current_wrong_key", 0, False, WRONG_KEY, 401),
            ("current_new_key", 0, False, NEW_KEY, 200),
            ("current_others_batch", 0, False, OTHERS_BATCH, 404),
            ("current_no_batch", 0, False, NO_BATCH, 404),
            ("brief_delay_unknown_route", 0.3, False, UNKNOWN_ROUTE, 404),
            ("brief_delay_new_route", 0.3, False, NEW_ROUTE, 200),
            ("stale_unknown_route", 4, False, UNKNOWN_ROUTE, 503),
            ("stale_new_route", 4, False, NEW_ROUTE, 503),
            ("stale_wrong_key", 4, False, WRONG_KEY, 503),
            ("stale_new_key", 4, False, NEW_KEY, 503),
            ("stale_known_key", 4, False, KNOWN_KEY, 200),
            ("stale_open_route", 4, False, OPEN_ROUTE, 200),
            ("stale_own_batch", 4, False, OWN_BATCH, 200),
            ("stale_own_batch_new_key", 4, False, OWN_BATCH_NEW_KEY, 503),
            ("stale_others_batch", 4, False, OTHERS_BATCH, 503),
            ("stale_no_batch", 4, False, NO_BATCH, 404),
            ("outage_unknown_route", 0, True, UNKNOWN_ROUTE, 503),
            ("outage_wrong_key", 0, True, WRONG_KEY, 503),
            ("outage_known_key", 0, True, KNOWN_KEY, 200),
            ("outage_open_route", 0, True, OPEN_ROUTE, 200),
            ("outage_own_batch", 0, True, OWN_BATCH, 200),
            ("outage_others_batch", 0, True, OTHERS_BATCH, 503),
        ]
    )
    @virtual.on_virtual_time
    async def test_request(self, _, delay_s, is_outage, target, expected):
        async with harness.launch(nodes=3) as site:
            node = site.other(site.holder())
            await site.submit(node)
            await trio.sleep(1)
            if delay_s:
                self._delay(node, delay_s)
            await trio.sleep(2 * delay_s)
            if is_outage:
                site.store.is_down = True
            else:
                self._change(site)
            await trio.sleep(2.5)
            response = await self._send(site, node, target)
            self.assertEqual(response.status, expected, response.body)
            if expected == 503:
                self.assertGreater(float(response.headers["retry-after"]), 0)
                self.assertIn(b'"not_run"', response.body)

    @parameterized.parameterized.expand(
        [(UNKNOWN_ROUTE,), (WRONG_KEY,), (KNOWN_KEY,)]
    )
    @virtual.on_virtual_time
    async def test_node_without_a_configuration_is_not_ready(self, target):
        async with harness.launch(nodes=1, is_started=False) as site:
            site.store.is_down = True
            await site.start()
            response = await self._send(site, site.nodes[0], target)
            self.assertEqual(response.status, 503)

    @virtual.on_virtual_time
    async def test_node_refuses_again_after_catching_up(self):
        async with harness.launch(nodes=3) as site:
            site.store.is_down = True
            await trio.sleep(10)
            site.store.is_down = False
            self._change(site)
            await trio.sleep(2)
            for node in site.nodes:
                for target, expected in (
                    (self.UNKNOWN_ROUTE, 404),
                    (self.WRONG_KEY, 401),
                    (self.NEW_ROUTE, 200),
                    (self.NEW_KEY, 200),
                ):
                    response = await self._send(site, node, target)
                    self.assertEqual(response.status, expected)

    @parameterized.parameterized.expand([(1,), (3,), (10,)])
    @virtual.on_virtual_time
    async def test_undisturbed_nodes_are_never_stale(self, count):
        async with harness.launch(nodes=count) as site:
            for _ in range(200):
                await trio.sleep(0.1)
                for node in site.nodes:
                    self.assertIsNone(node.runtime.readiness.staleness_error())


class LimitsTest(unittest.TestCase):
    """Limits on callers' requests follow the configuration while nodes run."""

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
    async def test_listeners_apply_configured_limits(
        self, _, configured, body_bytes, header_bytes, header_s, idle_s
    ):
        async with harness.launch(nodes=2) as site:
            configuration = harness.make_configuration(version=5)
            configuration["limits"] = configured
            site.write_configuration(configuration)
            await trio.sleep(1)
            for node in site.nodes:
                allowed = node.runtime.current_limits()
                self.assertEqual(allowed.body_bytes, body_bytes)
                self.assertEqual(allowed.header_bytes, header_bytes)
                self.assertEqual(allowed.header_timeout_s, header_s)
                self.assertEqual(allowed.idle_s, idle_s)
