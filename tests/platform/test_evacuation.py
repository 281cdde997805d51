"""Evacuated zones: no request may start there after the time limit.

Requests are recorded by the servers that get them, so the tests cover each way
to a server: calls, samples, scoring calls, load orders and status polls.
"""

import contextlib
import datetime
import unittest
from unittest import mock

import parameterized
import trio

from kingcupscale import deployment
from kingcupscale.capacity import autoscaler
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import eligibility
from kingcupscale.fleet import evacuation
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness

ZONE = "a"
KEY = names.EVACUATIONS_PREFIX + ZONE
LIMIT_S = deployment.Bounds().evacuate_s


def record_arrivals(site):
    """Returns a list to which each request to a server is appended.

    The items are (zone, path, time of arrival).
    """
    arrivals = []
    for server in site.servers.values():

        async def handle(request, server=server, handle=server.handle):
            arrivals.append((server.zone, request.path, trio.current_time()))
            return await handle(request)

        server.handle = handle
    return arrivals


@contextlib.contextmanager
def recorded_blocks():
    """Yields the list of requests blocked at their first byte.

    Such a request has already cost a connection, so servers that are known to
    be excluded must not be chosen.
    """
    blocked = []
    check = eligibility.Eligibility._check

    def record(*args):
        try:
            check(*args)
        except serverclient.IneligibleError as e:
            blocked.append(str(e))
            raise

    with mock.patch.object(eligibility.Eligibility, "_check", record):
        yield blocked


async def keep_calling(site, statuses):
    """Sends calls through all nodes and records their statuses."""
    for number in range(10_000):
        for node in site.nodes:
            response = await site.call(
                node,
                "POST",
                harness.CALL_PATH + "1",
                b"?",
                **{
                    names.REQUEST_ID: f"{node.name}-{number}",
                    names.DEADLINE_MS: "2000",
                },
            )
            statuses.append(response.status)
        await trio.sleep(0.05)


async def change_unseen(site, change):
    """Changes the store while it is out of reach, and discards the history."""
    site.store.is_down = True
    await trio.sleep(1)
    change()
    site.store.compact()
    site.store.is_down = False


async def run_step(site, number):
    """Names a version, and runs a batch that needs it."""
    site.set_target_version(number + 2)
    node = site.nodes[number % len(site.nodes)]
    batch_id = f"b{number}"
    await site.submit(node, batch_id, minimum=number + 2)
    return await site.read_all(node, batch_id)


class EvacuationTest(unittest.TestCase):
    def _assert_none_in_zone(self, arrivals, since):
        late = [a for a in arrivals if a[0] == ZONE and a[2] >= since]
        self.assertEqual(late, [])

    @parameterized.parameterized.expand(
        [
            ("value", b"{}", "none"),
            ("unreadable_value", b"\xff", "none"),
            ("store_silent", b"{}", "silent"),
            ("history_lost", b"{}", "compacted"),
            ("node_cut_from_the_store", b"{}", "cut"),
        ]
    )
    @virtual.on_virtual_time
    async def test_nothing_is_sent_to_an_evacuated_zone(self, _, value, fault):
        async with harness.launch(nodes=3) as site:
            arrivals, statuses = record_arrivals(site), []
            site.nursery.start_soon(keep_calling, site, statuses)
            await run_step(site, 0)
            if fault == "cut":
                # This node learns of it from the others.
                site.network.cut(site.other(site.holder()).name, "store")
            if fault == "compacted":
                await change_unseen(site, lambda: site.store.put(KEY, value))
            else:
                site.store.put(KEY, value)
            began_at = trio.current_time()
            await trio.sleep(LIMIT_S)
            if fault == "silent":
                site.store.is_down = True
                await trio.sleep(8)
                site.store.is_down = False
            with recorded_blocks() as blocked:
                for number in (1, 2):
                    self.assertEqual(len(await run_step(site, number)), 4)
            self.assertEqual(blocked, [])
            self._assert_none_in_zone(arrivals, began_at + LIMIT_S)
            self.assertEqual(set(statuses), {200})
            self.assertIn(ZONE, {zone for zone, _, _ in arrivals})

    @virtual.on_virtual_time
    async def test_zone_is_used_again_after_the_end(self):
        async with harness.launch(nodes=3) as site:
            site.store.put(KEY, b"{}")
            await trio.sleep(LIMIT_S)
            for version in (2, 3):
                site.set_target_version(version)
                await trio.sleep(3)
            self.assertEqual(site.servers["e1"].versions[harness.MODEL], 1)
            arrivals = record_arrivals(site)
            await change_unseen(site, lambda: site.store.remove(KEY))
            site.nursery.start_soon(keep_calling, site, [])
            await trio.sleep(4)
            paths = {path for zone, path, _ in arrivals if zone == ZONE}
            self.assertLessEqual({"/order", harness.CALL_PATH + "1"}, paths)
            self.assertEqual(site.servers["e1"].versions[harness.MODEL], 3)

    @virtual.on_virtual_time
    async def test_restarted_nodes_know_the_evacuation_before_any_request(self):
        async with harness.launch(nodes=2, is_started=False) as site:
            site.store.put(KEY, b"{}")
            arrivals, statuses = record_arrivals(site), []
            site.nursery.start_soon(keep_calling, site, statuses)
            await site.start()
            await run_step(site, 0)
            self._assert_none_in_zone(arrivals, 0.0)
            self.assertIn(200, statuses)

    @virtual.on_virtual_time
    async def test_running_stream_finishes_in_the_evacuated_zone(self):
        async with harness.launch(nodes=2) as site:
            site.servers["e2"].is_full = True
            site.servers["e1"].event_s = 0.3
            await site.submit(site.nodes[0])
            await trio.sleep(0.5)
            site.store.put(KEY, b"{}")
            await site.read_all(site.nodes[0])
            runs = [r for r in site.runs if r.server == "e1"]
            self.assertEqual([r.is_complete for r in runs], 4 * [True])

    @parameterized.parameterized.expand(
        [(harness.CALL_PATH,), ("/once/",)],
    )
    @virtual.on_virtual_time
    async def test_call_blocked_at_its_first_byte_goes_elsewhere(self, path):
        async with harness.launch(nodes=2) as site:
            in_zone = next(
                n for n in site.nodes if n.runtime.settings.zone == ZONE
            )
            arrivals = record_arrivals(site)
            responses = []

            async def call():
                responses.append(
                    await site.call(
                        in_zone,
                        "POST",
                        path + "1",
                        b"?",
                        **{names.REQUEST_ID: "q", names.DEADLINE_MS: "2000"},
                    )
                )

            site.nursery.start_soon(call)
            # The server is chosen, and its connection is being opened.
            await trio.sleep(0.001)
            in_zone.runtime.server_registry.evacuations.begin(ZONE)
            await trio.sleep(1)
            self.assertEqual([r.status for r in responses], [200])
            self.assertEqual([zone for zone, _, _ in arrivals], ["b"])

    @virtual.on_virtual_time
    async def test_all_zones_evacuated_refuses_calls_as_not_executed(self):
        async with harness.launch(nodes=1) as site:
            for zone in "ab":
                site.store.put(names.EVACUATIONS_PREFIX + zone, b"{}")
            await trio.sleep(LIMIT_S)
            statuses = []
            with trio.move_on_after(3):
                await keep_calling(site, statuses)
            self.assertEqual(set(statuses), {503})
            self.assertEqual(site.runs, [])

    @parameterized.parameterized.expand(
        [("",), ("z" * 300,), ("unknown",), ("a/b",), ("\u00e9",)]
    )
    @virtual.on_virtual_time
    async def test_evacuation_of_no_zone_excludes_nothing(self, zone):
        async with harness.launch(nodes=2) as site:
            site.store.put(names.EVACUATIONS_PREFIX + zone, b"[")
            await trio.sleep(LIMIT_S)
            arrivals, statuses = record_arrivals(site), []
            with trio.move_on_after(1):
                await keep_calling(site, statuses)
            self.assertEqual(set(statuses), {200})
            self.assertEqual({found for found, _, _ in arrivals}, {"a", "b"})


class RecordingProvider:
    """Accepts all orders and records them."""

    def __init__(self):
        self.orders = []

    async def order(self, order, holder):
        self.orders.append((order.zone, order.number))
        return autoscaler.OrderState.ACCEPTED


class HeldLock:
    name = "engines"
    fencing_token = 1

    def is_held(self):
        return True

    def holder(self):
        return None


class SteppedClock:
    def __init__(self):
        self.seconds = 0.0

    def now(self):
        return datetime.datetime.fromtimestamp(self.seconds, datetime.UTC)

    def monotonic(self):
        return self.seconds


class AutoscalerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("none", [], {"a", "b"}), ("a", ["a"], {"b"}), ("all", "ab", set())]
    )
    def test_no_server_is_ordered_in_an_evacuated_zone(
        self, _, evacuated, ordered
    ):
        clock = SteppedClock()
        servers = registry.ServerRegistry(clock, lambda: 0.0, lambda: False)
        for zone in evacuated:
            servers.evacuations.begin(zone)
        scaling = catalogue.Scaling(1, 4, 1.0, None, {"a": 1.0, "b": 2.0})
        service = catalogue.Service("engines", slots=4, scaling=scaling)
        configured = catalogue.Catalogue(1, (), {"engines": service}, {})
        provider = RecordingProvider()
        scaler = autoscaler.Autoscaler(
            HeldLock(),
            servers,
            provider,
            clock,
            lambda: configured,
            lambda: 20,
        )

        async def run():
            await scaler.run_once()
            await scaler.run_once()

        trio.run(run)
        self.assertEqual({zone for zone, _ in provider.orders}, ordered)
        if evacuated == ["a"]:
            # The zone that is left replaces the servers that cannot be
            # ordered, up to its maximum.
            self.assertIn(("b", 3), provider.orders)


class FirstReadTest(unittest.TestCase):
    def test_no_server_is_usable_before_the_first_read(self):
        is_read = False
        clock = SteppedClock()
        servers = registry.ServerRegistry(
            clock,
            lambda: 0.0,
            lambda: False,
            evacuation.Evacuations(clock, lambda: is_read),
        )
        servers.register(
            registry.ServerEntry(
                "s", "plain", "s:1", "a", registry.ServerState.READY, 1, 1
            )
        )
        self.assertFalse(servers.servers["s"].is_usable(0.0))
        is_read = True
        self.assertTrue(servers.servers["s"].is_usable(0.0))
