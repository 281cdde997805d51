"""Explanations agree with the decisions and change nothing."""

import collections
import random
import unittest

import attrs
import eliot
import orjson
import parameterized
import trio

from kingcupscale import errors
from kingcupscale.fleet import exclusions
from kingcupscale.fleet import registry
from kingcupscale.operating import explainhandler
from kingcupscale.operating import explainquery
from kingcupscale.platform import names
from kingcupscale.web import message
from tests import virtual
from tests.platform import harness
from tests.platform import test_cold
from tests.platform import test_regions

QUERY = {
    "host": harness.HOST,
    "path": harness.CALL_PATH + "1",
    "organisation": harness.ORGANISATION,
}
BATCH = {"batch": "b1"}
Reason = exclusions.Reason


async def ask(node, fields):
    """Returns the status and the body of an explanation."""
    handler = explainhandler.ExplainHandler(node.runtime)
    query = explainquery.encode_query(fields)
    response = await handler(message.Request("GET", "/explain", query))
    return response.status, orjson.loads(response.body)


async def ask_servers(node, fields):
    """Returns the servers of an explanation, the first choice first."""
    status, body = await ask(node, fields)
    assert status == 200, body
    service = body["service"] if "batch" in fields else body["services"][0]
    return service["servers"]


def snapshot(root):
    """Returns the state of all objects of the project that can be reached."""
    seen, found, left = set(), [], [root]
    while left:
        value = left.pop()
        if id(value) in seen:
            continue
        if isinstance(value, random.Random):
            found.append(hash(value.getstate()))
        elif isinstance(value, dict):
            found.append(sorted(map(repr, value)))
            left += [*value, *value.values()]
        elif isinstance(value, list | tuple | collections.deque):
            found.append(len(value))
            left += value
        elif isinstance(value, set | frozenset):
            found.append(sorted(map(repr, value)))
        elif isinstance(value, str | bytes | int | float | None):
            found.append(value)
            continue
        elif type(value).__module__.startswith(("kingcupscale", "tests")):
            left += getattr(value, "__dict__", {}).values()
            slots = getattr(type(value), "__slots__", ())
            left += [getattr(value, n) for n in slots if n != "__weakref__"]
        seen.add(id(value))
    return found


def drain(site, runtime, server):
    server.entry = attrs.evolve(
        server.entry, state=registry.ServerState.DRAINING
    )


def remove(site, runtime, server):
    server.is_removed = True


def leave(site, runtime, server):
    server.mark_leaving()


def eject(site, runtime, server):
    server.record_failure(runtime.clock.monotonic())


def evacuate(site, runtime, server):
    runtime.server_registry.evacuations.begin(server.entry.zone)


def forbid(site, runtime, server):
    others = set("ab") - {server.entry.zone}
    runtime.eligibility.residency.zone_regions = dict.fromkeys(others, "eu")
    configured = runtime.cluster_state.catalogue
    runtime.cluster_state.catalogue = attrs.evolve(
        configured,
        routes=tuple(
            attrs.evolve(route, allowed_regions=frozenset({"eu"}))
            for route in configured.routes
        ),
    )


def fill_cold(site, runtime, server):
    configured = runtime.cluster_state.catalogue
    runtime.cluster_state.catalogue = attrs.evolve(
        configured,
        services={
            name: attrs.evolve(service, cold_start_s=6.0, cold_per_s=1.0)
            for name, service in configured.services.items()
        },
    )
    server.cold.started_at = runtime.clock.monotonic()
    for _ in range(10):
        runtime.eligibility.reserve(server)
        server.cold.window(harness.MODEL).send(runtime.clock.monotonic())


def load_weights(site, runtime, server):
    now = runtime.clock.monotonic()
    server.no_samples_until[harness.MODEL] = now + 1
    server.loading_until = now + 1


def pause(site, runtime, server):
    server.no_samples_until[harness.MODEL] = runtime.clock.monotonic() + 0.1


def age_weights(site, runtime, server):
    server.versions[harness.MODEL] = 0


def reject(site, runtime, server):
    server.record_full(runtime.clock.monotonic())
    server.in_flight += 9


def fill(site, runtime, server):
    server.in_flight += server.entry.slots


GENERAL = [
    (Reason.REMOVED, remove),
    (Reason.DRAINING, drain),
    (Reason.LEAVING, leave),
    (Reason.EJECTED, eject),
    (Reason.EVACUATED, evacuate),
    (Reason.REGION, forbid),
    (Reason.COLD, fill_cold),
]
CALLS = [(Reason.FULL, reject)]
SAMPLES = [
    (Reason.LOADING, load_weights),
    (Reason.PAUSED, pause),
    (Reason.VERSION, age_weights),
    (Reason.FULL, fill),
]


class CallTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("near", {}),
            ("loaded", {"p1": {"in_flight": 3}}),
            ("slow", {"p1": {"relative_latency": 3.0}}),
            ("failed", {"p1": {"failures": 2}}),
            ("both", {"p1": {"failures": 2}, "p2": {"in_flight": 4}}),
        ]
    )
    @virtual.on_virtual_time
    async def test_first_candidate_gets_the_next_call(self, _, states):
        """Guards against figures that differ from those of the decision."""
        async with harness.launch(nodes=2) as site:
            node = site.nodes[1]
            for server_id, values in states.items():
                server = node.runtime.server_registry.servers[server_id]
                for name, value in values.items():
                    setattr(server, name, value)
            servers = await ask_servers(node, QUERY)
            self.assertEqual([s["rank"] for s in servers], [1, 2])
            await test_regions.call(site, node, "r1")
            self.assertEqual(site.runs[-1].server, servers[0]["id"])

    @parameterized.parameterized.expand(
        [(reason.value, reason, change) for reason, change in GENERAL + CALLS]
    )
    @virtual.on_virtual_time
    async def test_excluded_server(self, _, reason, change):
        """Guards against a reason that is missing, or that does not hold."""
        async with harness.launch(nodes=2) as site:
            node = site.nodes[1]
            await trio.sleep(3)
            server = node.runtime.server_registry.servers["p1"]
            self.assertEqual(
                [s["excluded"] for s in await ask_servers(node, QUERY)],
                [[], []],
            )
            change(site, node.runtime, server)
            first, last = await ask_servers(node, QUERY)
            self.assertEqual((first["id"], first["rank"]), ("p2", 1))
            self.assertEqual((last["id"], last["rank"]), ("p1", None))
            self.assertEqual(
                [e["reason"] for e in last["excluded"]], [reason.value]
            )
            now = node.runtime.clock.monotonic()
            usable = server.is_usable(now) and server.accepts_calls(now)
            zones = {"b"} if reason is Reason.REGION else None
            decided = node.runtime.eligibility.filter([server], zones)
            self.assertFalse(usable and decided)
            await test_regions.call(site, node, "r1")
            self.assertEqual(site.runs[-1].server, "p2")

    @virtual.on_virtual_time
    async def test_no_candidate_tells_wait_and_rejection(self):
        """Guards against another rejection than the one that callers get."""
        async with harness.launch(nodes=1) as site:
            node = site.nodes[0]
            servers = node.runtime.server_registry.servers
            for name in ("p1", "p2"):
                servers[name].mark_leaving()
            _, body = await ask(node, QUERY)
            service = body["services"][0]
            self.assertIsNone(service["expected_wait_s"])
            rejection = service["rejection"]
            response = await test_regions.call(site, node, "r1")
            error = orjson.loads(response.body)["error"]
            self.assertEqual(error["code"], rejection["code"])
            self.assertEqual(response.status, rejection["status"])
            least, most = rejection["retry_after_s"]
            self.assertLessEqual(least, error["retry_after_s"])
            self.assertLessEqual(error["retry_after_s"], most)

    @virtual.on_virtual_time
    async def test_ejected_servers_tell_when_one_is_back(self):
        """Guards against an unknown wait although its end is known."""
        async with harness.launch(nodes=1) as site:
            node = site.nodes[0]
            now = node.runtime.clock.monotonic()
            servers = node.runtime.server_registry.servers
            servers["p1"].ejected_until = now + 2
            servers["p2"].ejected_until = now + 1
            _, body = await ask(node, QUERY)
            self.assertEqual(body["services"][0]["expected_wait_s"], 1.0)

    @virtual.on_virtual_time
    async def test_cold_server_tells_when_it_has_room(self):
        """Guards against a wait until the end of the whole cold period."""
        async with harness.launch(nodes=1) as site:
            node = site.nodes[0]
            await trio.sleep(3)
            for name in ("p1", "p2"):
                server = node.runtime.server_registry.servers[name]
                fill_cold(site, node.runtime, server)
            _, body = await ask(node, QUERY)
            wait_s = body["services"][0]["expected_wait_s"]
            await trio.sleep(wait_s - 0.01)
            _, body = await ask(node, QUERY)
            self.assertGreater(body["services"][0]["expected_wait_s"], 0)
            await trio.sleep(0.02)
            _, body = await ask(node, QUERY)
            self.assertEqual(body["services"][0]["expected_wait_s"], 0)
            usable = node.runtime.server_registry.list_servers("plain")
            self.assertTrue(node.runtime.eligibility.filter(usable))

    @parameterized.parameterized.expand(
        [
            ("no route", {"path": "/x/"}, errors.ResultCode.ROUTE_UNKNOWN),
            (
                "no organisation",
                {"organisation": ""},
                errors.ResultCode.KEY_REFUSED,
            ),
            (
                "method of a batch",
                {"path": harness.BATCH_PATH, "method": "GET"},
                errors.ResultCode.METHOD_NOT_ALLOWED,
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_rejected_request(self, _, fields, code):
        """Guards against a request shown as admitted that is rejected."""
        async with harness.launch(nodes=1) as site:
            _, body = await ask(site.nodes[0], QUERY | fields)
            self.assertEqual(body["rejection"]["code"], code.number)
            self.assertTrue(body["rejection"]["is_certain"])

    @virtual.on_virtual_time
    async def test_region_without_server(self):
        """Guards against candidates in a region that is not allowed."""
        async with harness.launch(nodes=1) as site:
            await test_regions.configure(
                site, test_regions.make_configuration(["eu"], ["us"])
            )
            _, body = await ask(site.nodes[0], QUERY)
            code = errors.ResultCode.REGION_EXCLUDED.number
            self.assertEqual(body["rejection"]["code"], code)
            self.assertEqual(body["zones"], [])

    @parameterized.parameterized.expand(
        [
            ("nothing", ""),
            ("no path", "host=h"),
            ("no slash", "host=h&path=x"),
            ("unknown parameter", "host=h&path=/&key=secret-key"),
            ("a key", f"host=h&path=/&organisation={harness.KEY}"),
            ("priority", "host=h&path=/&priority=high"),
            ("digit", "host=h&path=/&priority=%C2%B2"),
            ("twice", "host=h&path=/&host=i"),
            ("empty", "host=&path=/"),
            ("no pair", "host"),
            ("not UTF-8", "host=%ff&path=/"),
            ("many", "&".join(["host=h"] * 100)),
            ("item alone", "item=i"),
            ("both", "batch=b&host=h"),
            (
                "service",
                f"host={harness.HOST}&path={harness.CALL_PATH}&service=x",
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_invalid_question(self, _, query):
        """Guards against a crash, and against a key in the answer."""
        async with harness.launch(nodes=1) as site:
            handler = explainhandler.ExplainHandler(site.nodes[0].runtime)
            response = await handler(message.Request("GET", "/explain", query))
            error = orjson.loads(response.body)["error"]
            self.assertEqual(response.status, 422)
            self.assertEqual(error["code"], 1218)
            for secret in (harness.KEY, "secret-key"):
                self.assertNotIn(secret, str(response.body))

    @virtual.on_virtual_time
    async def test_node_without_configuration(self):
        """Guards against a failure before the first read of the store."""
        async with harness.launch(nodes=1, is_started=False) as site:
            fields = {name: QUERY[name] for name in ("host", "path")}
            status, body = await ask(site.nodes[0], fields)
            self.assertEqual(status, 200)
            self.assertEqual(
                body["rejection"]["code"], errors.ResultCode.NOT_READY.number
            )
            self.assertIsNone(body["view"]["age_s"])


class BatchTest(unittest.TestCase):
    async def _submit(self, site):
        """Submits a batch that no engine may run; returns its runner."""
        node = site.holder(f"engines/{harness.MODEL}")
        await site.submit(node, minimum=2)
        await trio.sleep(0.5)
        return node

    @parameterized.parameterized.expand(
        [(r.value, r, change) for r, change in [*GENERAL, *SAMPLES]]
    )
    @virtual.on_virtual_time
    async def test_excluded_engine(self, _, reason, change):
        """Guards against a reason that is missing, or that does not hold."""
        async with harness.launch(nodes=2) as site:
            node = await self._submit(site)
            await trio.sleep(3)
            engines = node.runtime.server_registry.servers
            for name in ("e1", "e2"):
                engines[name].versions[harness.MODEL] = 2
                engines[name].no_samples_until.clear()
                engines[name].loading_until = 0.0
            found = await ask_servers(node, BATCH)
            self.assertEqual([s["excluded"] for s in found], [[], []])
            change(site, node.runtime, engines["e1"])
            first, last = await ask_servers(node, BATCH)
            self.assertEqual((first["id"], first["rank"]), ("e2", 1))
            self.assertEqual((last["id"], last["rank"]), ("e1", None))
            self.assertEqual(
                [e["reason"] for e in last["excluded"]], [reason.value]
            )
            site.runs.clear()
            await trio.sleep(0.06)
            self.assertNotIn("e1", {run.server for run in site.runs})

    @parameterized.parameterized.expand([("e1", "e2"), ("e2", "e1")])
    @virtual.on_virtual_time
    async def test_first_engine_gets_the_next_sample(self, best, other):
        """Guards against an order that differs from the decision's."""
        async with harness.launch(nodes=2) as site:
            node = await self._submit(site)
            engines = node.runtime.server_registry.servers
            for name in ("e1", "e2"):
                engines[name].no_samples_until.clear()
                engines[name].versions[harness.MODEL] = 2
            engines[other].relative_latency = 2.0
            status, body = await ask(node, BATCH)
            self.assertEqual(status, 200)
            servers = body["service"]["servers"]
            self.assertEqual([s["id"] for s in servers], [best, other])
            self.assertEqual([s["rank"] for s in servers], [1, 2])
            duty = node.runtime.services["engines"].coordinator
            async with trio.open_nursery() as nursery:
                duty.dispatch(nursery)
                sample = duty.progress["b1"].samples[body["item"]["id"]]
                self.assertEqual(sample.server, best)
                nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_batch_and_item(self):
        """Guards against a wrong holder, item or count."""
        async with harness.launch(nodes=2) as site:
            node = await self._submit(site)
            _, body = await ask(node, BATCH | {"item": "b1-i3"})
            self.assertEqual(body["holder"], node.name)
            self.assertTrue(body["runs_here"])
            self.assertEqual(body["stages"], {"waiting": 4})
            self.assertEqual(body["item"]["id"], "b1-i3")
            self.assertEqual(body["minimum_version"], 2)
            _, body = await ask(site.other(node), BATCH)
            self.assertEqual(body["holder"], node.name)
            self.assertFalse(body["runs_here"])

    @parameterized.parameterized.expand(
        [
            ({"batch": "b2"}, errors.ResultCode.BATCH_UNKNOWN),
            (BATCH | {"item": "x"}, errors.ResultCode.ITEM_UNKNOWN),
        ]
    )
    @virtual.on_virtual_time
    async def test_unknown(self, fields, code):
        """Guards against an unnumbered error."""
        async with harness.launch(nodes=2) as site:
            node = await self._submit(site)
            status, body = await ask(node, fields)
            self.assertEqual(status, code.status)
            self.assertEqual(body["error"]["code"], code.number)


class UnchangedTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_explaining_changes_nothing(self):
        """Guards against reservations, counters, caches and log lines."""
        lines = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        async with harness.launch(nodes=2) as site:
            configuration = test_cold.make_configuration()
            for route in configuration["routes"]:
                route["allowedRegions"] = ["eu", "mars"]
            await test_regions.configure(site, configuration)
            node = site.holder(f"engines/{harness.MODEL}")
            await site.submit(node, minimum=2)
            for number in range(3):
                await test_regions.call(site, node, f"r{number}")
            await trio.sleep(5)
            test_cold.restart(site, "p1")
            test_cold.restart(site, "e1")
            await trio.sleep(1.5)
            runtime = node.runtime
            assert runtime.eligibility.peek_cold_until(
                runtime.server_registry.servers["p1"]
            )
            # Caches that a decision would fill, and changes that it would log.
            runtime.view.was_current = False
            runtime.eligibility.zones.clear()
            runtime.eligibility.budgets.clear()
            runtime.eligibility.residency.reported.clear()
            runtime.cold_senders.shares.clear()
            for server in runtime.server_registry.servers.values():
                server.cold.was_cold = not server.cold.was_cold
                server.cold.windows.clear()
            before, count = snapshot(runtime), len(lines)
            for fields in (
                QUERY,
                QUERY | {"path": harness.BATCH_PATH},
                BATCH,
                BATCH | {"item": "b1-i1"},
                {"batch": "b2"},
                QUERY | {"organisation": "nobody"},
            ):
                await ask(node, fields)
            self.assertGreater(len(before), 1000)
            self.assertEqual(snapshot(runtime), before)
            self.assertEqual(lines[count:], [])


class HeaderTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_only_get(self):
        """Guards against a change by another method."""
        async with harness.launch(nodes=1) as site:
            handler = explainhandler.ExplainHandler(site.nodes[0].runtime)
            fields = {names.KEY: harness.KEY}
            response = await handler(
                message.Request("POST", "/explain", "", fields)
            )
            self.assertEqual(response.status, 405)
