"""Cold servers on the simulated platform, by what the servers receive."""

import unittest

import httpcore
import orjson
import parameterized
import trio

from bench import coldreplay
from kingcupscale.fleet import registry
from kingcupscale.fleet import warmup
from kingcupscale.platform import names
from kingcupscale.platform import servers
from kingcupscale.web import httpclient
from tests import virtual
from tests.platform import harness
from tests.platform import test_evacuation

COLD_S = 6.0
PER_S = 1.0
# PER_S times the default overage of 1.5, plus the default slack of 5.
LIMIT = 6.5


def make_configuration():
    configuration = harness.make_configuration(2)
    for service in configuration["services"]:
        service |= {"coldStartS": COLD_S, "coldPerS": PER_S}
    return configuration


def restart(site, server_id):
    server = site.servers[server_id]
    server.start_ms = int(site.clock.now().timestamp() * 1000)
    server.register()


def report_cold(site, server_id):
    """Has the responses of a server say that it is cold for a while."""
    server = site.servers[server_id]
    until = trio.current_time() + COLD_S
    handle = server.handle

    async def add_header(request):
        response = await handle(request)
        left_s = max(0.0, until - trio.current_time())
        response.headers[names.COLD_MS] = str(int(1000 * left_s))
        return response

    server.handle = add_header


def evacuate(site, server_id):
    del server_id
    site.store.put(test_evacuation.KEY, b"{}")
    site.store.remove(test_evacuation.KEY)


def cut(site, server_id):
    """Cuts a server off until the nodes have tried to reach it."""
    for node in site.nodes:
        site.network.cut(node.name, server_id)

    async def heal_later():
        await trio.sleep(1.7)
        site.network.heal()
        await trio.sleep(0.2)
        # Without this, the nodes would not try the server again so soon. It is
        # short enough for the calls that the cold server has no room for.
        site.servers["p2"].is_full = True
        await trio.sleep(0.1)
        site.servers["p2"].is_full = False

    site.nursery.start_soon(heal_later)


class ColdTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(restart,), (report_cold,), (evacuate,), (cut,)]
    )
    @virtual.on_virtual_time
    async def test_calls_keep_the_limit_of_a_cold_server(self, make_cold):
        async with harness.launch(nodes=3) as site:
            site.write_configuration(make_configuration())
            await trio.sleep(5)
            statuses, arrivals = [], test_evacuation.record_arrivals(site)
            make_cold(site, "p1")
            await trio.sleep(1.2)
            began_at = trio.current_time()
            site.nursery.start_soon(
                test_evacuation.keep_calling, site, statuses
            )
            await trio.sleep(COLD_S + 4)
            times = [
                at - began_at
                for zone, path, at in arrivals
                if zone == "a" and path.startswith(harness.CALL_PATH)
            ]
            # The first response reports the cold time, so one more may pass.
            cold = [at for at in times if at < COLD_S - 1.5]
            self.assertLessEqual(coldreplay.worst_second(cold), LIMIT)
            self.assertGreater(len(cold), 3)
            warm = [at for at in times if at > COLD_S]
            self.assertGreater(coldreplay.worst_second(warm), LIMIT)
            self.assertEqual(set(statuses), {200})

    @virtual.on_virtual_time
    async def test_waiting_calls_that_get_a_cold_server_together(self):
        """Guards against calls that are blocked at their first byte.

        All waiting calls get servers in one pass, before the first is sent.
        """
        async with harness.launch(nodes=1) as site:
            configuration = make_configuration()
            for route in configuration["routes"]:
                route |= {"targetLatencyMs": 20_000, "timeoutMs": 20_000}
            site.write_configuration(configuration)
            await trio.sleep(5)
            site.servers["p1"].slots = 40
            runtime = site.nodes[0].runtime
            p1, p2 = (runtime.server_registry.servers[p] for p in ("p1", "p2"))
            p2.is_leaving = True
            p1.ejected_until = trio.current_time() + 2
            statuses = []

            async def send(number):
                response = await site.call(
                    site.nodes[0],
                    "POST",
                    harness.CALL_PATH + "1",
                    b"?",
                    **{
                        names.REQUEST_ID: str(number),
                        names.DEADLINE_MS: "20000",
                    },
                )
                statuses.append(response.status)

            for number in range(20):
                site.nursery.start_soon(send, number)
            await trio.sleep(1)
            p1.cold.report(warmup.Source.RESPONSE, COLD_S)
            with test_evacuation.recorded_blocks() as blocked:
                await trio.sleep(COLD_S + 5)
            self.assertEqual(blocked, [])
            self.assertEqual(statuses, [200] * 20)

    @virtual.on_virtual_time
    async def test_samples_keep_the_limit_of_a_cold_engine(self):
        async with harness.launch(nodes=2) as site:
            site.write_configuration(make_configuration())
            site.servers["e1"].slots = 40
            site.servers["e2"].is_full = True
            await trio.sleep(5)
            restart(site, "e1")
            await trio.sleep(1.2)
            with test_evacuation.recorded_blocks() as blocked:
                await site.submit(site.nodes[0], items=40)
                results = await site.read_all(site.nodes[0], seconds=40)
            self.assertEqual(blocked, [])
            self.assertEqual(len(results), 40)
            starts = [run.at for run in site.runs if run.server == "e1"]
            cold = [at for at in starts if at < 6.5 + COLD_S]
            self.assertLessEqual(coldreplay.worst_second(cold), LIMIT)
            self.assertGreater(len(cold), 3)

    @parameterized.parameterized.expand(
        [
            ("refused", httpcore.ConnectError(), True),
            ("timeout", httpcore.ConnectTimeout(), True),
            ("own_pool", httpcore.PoolTimeout(), False),
        ]
    )
    def test_failed_connection(self, _, cause, is_unreachable):
        clock = coldreplay.SteppedClock()
        server = registry.Server(
            coldreplay.make_entry("s", "a"), cold=warmup.ColdState("s", clock)
        )
        error = httpclient.RequestError("failed", may_have_been_sent=False)
        error.__cause__ = cause
        servers._note_failure(server, error)
        self.assertEqual(server.cold.is_unreachable, is_unreachable)

    @virtual.on_virtual_time
    async def test_invalid_configured_values_are_ignored(self):
        async with harness.launch(nodes=1) as site:
            configuration = make_configuration()
            for service in configuration["services"]:
                service |= {"coldStartS": "long", "coldPerS": -1}
            site.store.put(names.CONFIGURATION_KEY, orjson.dumps(configuration))
            await trio.sleep(3)
            runtime = site.nodes[0].runtime
            self.assertEqual(runtime.current_catalogue().version, 2)
            plain = runtime.current_catalogue().services["plain"]
            self.assertEqual((plain.cold_start_s, plain.cold_per_s), (0, 0))
