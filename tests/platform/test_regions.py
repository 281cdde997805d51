"""Allowed regions: no request may reach a server outside of them.

Calls, samples and the scoring calls of samples are covered, also when the
servers of the allowed regions fail or are evacuated.
"""

import itertools
import unittest
from unittest import mock

import orjson
import parameterized
import trio

from kingcupscale import errors
from kingcupscale.fleet import residency
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import forwarder
from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness
from tests.platform import test_evacuation
from tests.platform import test_files

REGIONS = {"a": "eu", "b": "us"}
# Lists of the route and of the organisation, and the zones that they allow.
CASES = [
    ("none", None, None, "ab"),
    ("empty", [], [], "ab"),
    ("route", ["eu"], None, "a"),
    ("organisation", None, ["us"], "b"),
    ("both", ["eu", "us"], ["us"], "b"),
    ("disjoint", ["eu"], ["us"], ""),
    ("unknown", ["mars"], None, ""),
    ("partly_unknown", ["mars", "eu"], None, "a"),
]


def make_configuration(route_regions, organisation_regions, version=2):
    configuration = harness.make_configuration(version)
    for route in configuration["routes"]:
        if route["name"] != "score" and route_regions is not None:
            route["allowedRegions"] = route_regions
    if organisation_regions is not None:
        configuration["tenants"][0]["allowedRegions"] = organisation_regions
    return configuration


async def configure(site, configuration):
    for node in site.nodes:
        node.runtime.eligibility.residency.zone_regions = REGIONS
    site.write_configuration(configuration)
    await trio.sleep(3)


async def call(
    site, node, request_id, path=harness.CALL_PATH, deadline_ms="2000"
):
    return await site.call(
        node,
        "POST",
        path + "1",
        b"?",
        **{names.REQUEST_ID: request_id, names.DEADLINE_MS: deadline_ms},
    )


class RegionTest(unittest.TestCase):
    def _assert_refused(self, response):
        self.assertEqual(response.status, 503)
        code = orjson.loads(response.body)["error"]["code"]
        self.assertEqual(code, errors.ResultCode.REGION_EXCLUDED.number)

    @parameterized.parameterized.expand(
        [
            (f"{name}_{path.strip('/')}", path, *case)
            for (name, *case), path in itertools.product(
                CASES, (harness.CALL_PATH, "/once/")
            )
        ]
    )
    @virtual.on_virtual_time
    async def test_calls(self, _, path, route, organisation, zones):
        async with harness.launch(nodes=2) as site:
            await configure(site, make_configuration(route, organisation))
            arrivals = test_evacuation.record_arrivals(site)
            with test_evacuation.recorded_blocks() as blocked:
                for number, node in itertools.product(range(5), site.nodes):
                    request_id = f"{node.name}{number}"
                    response = await call(site, node, request_id, path)
                    if zones:
                        self.assertEqual(response.status, 200)
                    else:
                        self._assert_refused(response)
            self.assertEqual(blocked, [])
            self.assertEqual({zone for zone, _, _ in arrivals}, set(zones))

    @parameterized.parameterized.expand(CASES)
    @virtual.on_virtual_time
    async def test_samples_and_scoring_calls(
        self, _, route, organisation, zones
    ):
        async with harness.launch(nodes=2) as site:
            await configure(site, make_configuration(route, organisation))
            response = await site.submit(site.nodes[0], items=12)
            if not zones:
                self._assert_refused(response)
                return
            with test_evacuation.recorded_blocks() as blocked:
                await site.read_all(site.nodes[0])
            self.assertEqual(blocked, [])
            engines = {r.server for r in site.runs if r.server[0] == "e"}
            scorers = {r.server for r in site.runs if r.server[0] == "p"}
            self.assertEqual(engines, {f"e{'ab'.index(z) + 1}" for z in zones})
            if organisation:
                self.assertEqual(scorers, {f"p{engines.pop()[1]}"})
            self.assertTrue(scorers)

    @parameterized.parameterized.expand(["failing", "full", "evacuated"])
    @virtual.on_virtual_time
    async def test_other_regions_are_no_fallback(self, trouble):
        async with harness.launch(nodes=2) as site:
            await configure(site, make_configuration(["eu"], None))
            site.servers["p1"].statuses = [500] * 100
            site.servers["p1"].is_full = trouble == "full"
            if trouble == "evacuated":
                site.store.put(test_evacuation.KEY, b"{}")
                await trio.sleep(test_evacuation.LIMIT_S)
            arrivals = test_evacuation.record_arrivals(site)
            for node in site.nodes:
                response = await call(site, node, node.name)
                self.assertGreaterEqual(response.status, 500)
            self.assertNotIn("b", {zone for zone, _, _ in arrivals})

    @virtual.on_virtual_time
    async def test_change_applies_to_samples_that_wait(self):
        async with harness.launch(nodes=2) as site:
            await configure(site, make_configuration(None, None))
            site.servers["e1"].is_full = True
            site.servers["e2"].is_full = True
            await site.submit(site.nodes[0])
            await configure(site, make_configuration(["eu"], None, version=3))
            arrivals = test_evacuation.record_arrivals(site)
            site.servers["e1"].is_full = False
            await site.read_all(site.nodes[0])
            sent = {z for z, p, _ in arrivals if p.startswith("/train")}
            self.assertEqual(sent, {"a"})

    @virtual.on_virtual_time
    async def test_change_applies_to_a_call_that_waits(self):
        """Guards against zones that are fixed when a call is admitted."""
        async with harness.launch(nodes=1) as site:
            configuration = make_configuration(None, None)
            for route in configuration["routes"]:
                route |= {"targetLatencyMs": 20_000, "timeoutMs": 20_000}
            await configure(site, configuration)
            for server in site.servers.values():
                server.is_full = True
            arrivals = test_evacuation.record_arrivals(site)
            statuses = []

            async def send():
                response = await site.call(
                    site.nodes[0],
                    "POST",
                    harness.CALL_PATH + "1",
                    b"?",
                    **{names.REQUEST_ID: "q", names.DEADLINE_MS: "20000"},
                )
                statuses.append(response.status)

            site.nursery.start_soon(send)
            await trio.sleep(0.5)
            configuration = make_configuration(["eu"], None, version=3)
            await configure(site, configuration)
            arrivals.clear()
            site.servers["p2"].is_full = False
            await trio.sleep(1)
            self.assertEqual(statuses, [])
            site.servers["p1"].is_full = False
            await trio.sleep(2)
            self.assertEqual(statuses, [200])
            self.assertEqual({zone for zone, _, _ in arrivals}, {"a"})

    @virtual.on_virtual_time
    async def test_change_while_a_connection_is_opened(self):
        """Guards against zones that are fixed when a server is chosen."""
        async with harness.launch(nodes=1) as site:
            configuration = make_configuration(None, None)
            for route in configuration["routes"]:
                route |= {"targetLatencyMs": 20_000, "timeoutMs": 20_000}
            await configure(site, configuration)
            send_call, chosen = forwarder.Forwarder._send_call, []

            async def narrow(self, inbound, state, server, call):
                chosen.append(server.entry.zone)
                if len(chosen) == 1:
                    other = "us" if server.entry.zone == "a" else "eu"
                    await configure(site, make_configuration([other], None, 3))
                return await send_call(self, inbound, state, server, call)

            arrivals = test_evacuation.record_arrivals(site)
            with mock.patch.object(forwarder.Forwarder, "_send_call", narrow):
                response = await call(
                    site, site.nodes[0], "q", deadline_ms="8000"
                )
            self.assertEqual(response.status, 200)
            self.assertEqual(len(set(chosen)), 2)
            sent = [zone for zone, path, _ in arrivals if "/quote" in path]
            self.assertNotIn(chosen[0], sent)

    @virtual.on_virtual_time
    async def test_change_applies_at_the_first_byte(self):
        """Guards against zones that are fixed before the connection opens."""
        async with harness.launch(nodes=1) as site:
            runtime = site.nodes[0].runtime
            server = runtime.server_registry.servers["p1"]
            zones = None
            check = runtime.eligibility.guard(server, zones=lambda: zones)
            check()
            zones = frozenset({"b"})
            with self.assertRaises(serverclient.IneligibleError):
                check()

    @parameterized.parameterized.expand([("a", True), ("b", False)])
    @virtual.on_virtual_time
    async def test_region_is_checked_at_the_first_byte(self, zone, is_sent):
        async with harness.launch(nodes=1) as site:
            runtime = site.nodes[0].runtime
            server = runtime.server_registry.servers[
                "p1" if zone == "a" else "p2"
            ]
            check = runtime.eligibility.guard(server, zones=frozenset({"a"}))
            if is_sent:
                check()
                return
            with self.assertRaises(serverclient.IneligibleError):
                check()

    @parameterized.parameterized.expand([("text", "eu"), ("numbers", [1])])
    @virtual.on_virtual_time
    async def test_configuration_with_an_unreadable_list_is_ignored(
        self, _, regions
    ):
        async with harness.launch(nodes=1) as site:
            await configure(site, make_configuration(["eu"], None))
            await configure(site, make_configuration(regions, None, version=3))
            runtime = site.nodes[0].runtime
            self.assertEqual(runtime.current_catalogue().version, 2)


class SettingsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("none", {}, {}),
            ("own", {"region": "eu"}, {"a": "eu"}),
            ("all", {"zones.a": "eu", "zones.b": "us"}, REGIONS),
            ("other", {"region": "eu", "zones.b": "us"}, REGIONS),
            ("invalid", {"zones.": "eu", "zones.b": ""}, {}),
        ]
    )
    def test_regions_of_zones(self, _, fields, expected):
        loaded = test_files.SettingsFileTest._load(self, **fields)
        self.assertEqual(loaded.zone_regions, expected)

    def test_limits(self):
        loaded = test_files.SettingsFileTest._load(
            self,
            **{"bounds.evacuateMs": "700", "bounds.coldOverage": "2"},
        )
        bounds = loaded.bounds
        self.assertEqual(
            (bounds.evacuate_s, bounds.cold_overage, bounds.cold_slack),
            (0.7, 2.0, 5.0),
        )


class ResidencyTest(unittest.TestCase):
    def test_zone_without_a_region_is_in_no_allowed_region(self):
        zones = residency.Residency(REGIONS).allowed_zones(frozenset({"eu"}))
        self.assertFalse(residency.allows(zones, "c"))
        self.assertTrue(residency.allows(None, "c"))
