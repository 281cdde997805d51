"""Servers that announce their shutdown in responses before their entries do.

A node that sends them new requests until the entry changes has these requests
cut off by the shutdown.
"""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.fleet import serverclient
from kingcupscale.platform import names
from kingcupscale.storage import locks
from kingcupscale.web import message
from tests import virtual
from tests.platform import harness

HOLDER = locks.Holder("n1", 1, lambda: None)
PLAIN = ("p1", "p2")
ENGINES = ("e1", "e2")


async def _send(site, path, request_id):
    return await site.call(
        site.nodes[0],
        "POST",
        path,
        b"?",
        **{names.REQUEST_ID: request_id, names.DEADLINE_MS: "2000"},
    )


async def _call(site):
    for number in range(8):
        await _send(site, harness.CALL_PATH + "1", f"q{number}")


async def _call_once(site):
    for number in range(8):
        await _send(site, "/once/1", f"q{number}")


async def _run_batch(site):
    await site.submit(site.nodes[0])
    await site.read_all(site.nodes[0])


async def _set_target_version(site):
    site.set_target_version(2)
    await trio.sleep(3)


async def _fetch_status(site):
    node = site.nodes[0].runtime
    for name in (*PLAIN, *ENGINES):
        with contextlib.suppress(serverclient.ServerError):
            await node.dependencies.servers.fetch_engine_status(
                node.server_registry.servers[name]
            )


class LeavingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("call", PLAIN, _call, 200),
            ("call_that_fails", PLAIN, _call, 500),
            ("refused_call", PLAIN, _call, 503),
            ("once_only_call", PLAIN, _call_once, 200),
            ("failed_once_only_call", PLAIN, _call_once, 500),
            ("scoring_call", PLAIN, _run_batch, 200),
            ("sample", ENGINES, _run_batch, 200),
            ("failed_sample", ENGINES, _run_batch, 500),
            ("refused_sample", ENGINES, _run_batch, 503),
            ("report", ENGINES, _fetch_status, 200),
            ("order", ENGINES[::-1], _set_target_version, 200),
        ]
    )
    @virtual.on_virtual_time
    async def test_leaving_server_gets_no_new_requests(
        self, _, leaving, send, status
    ):
        async with harness.launch(nodes=1) as site:
            server = site.servers[leaving[1]]
            server.is_leaving = True
            server.is_full = status == 503
            server.statuses = [status]
            servers = site.nodes[0].runtime.server_registry.servers
            await send(site)
            self.assertTrue(servers[server.id].is_leaving)
            started, orders = len(server.started_runs), server.orders
            self.assertLessEqual(started, server.slots)
            site.set_target_version(3)
            for number in range(8):
                await _send(site, harness.CALL_PATH + "1", f"r{number}")
            await site.submit(site.nodes[0], "b9")
            await site.read_all(site.nodes[0], "b9", seconds=5)
            self.assertEqual(len(server.started_runs), started)
            self.assertEqual(server.orders, orders)

    @parameterized.parameterized.expand(
        [
            ("entry_comes_again", False, True),
            ("entry_goes_and_comes_again", True, True),
            ("restart", False, False),
            ("restart_later", True, False),
        ]
    )
    @virtual.on_virtual_time
    async def test_server_is_leaving_until_it_restarts(
        self, _, is_removed, is_leaving
    ):
        async with harness.launch(nodes=1) as site:
            server = site.servers["p2"]
            server.is_leaving = True
            await _call(site)
            server.is_leaving = False
            if is_removed:
                site.store.remove(names.SERVERS_PREFIX + server.id)
                await trio.sleep(1)
                servers = site.nodes[0].runtime.server_registry.servers
                self.assertNotIn(server.id, servers)
            if not is_leaving:
                server.start_ms += 1
            server.register()
            await trio.sleep(1)
            started = len(server.started_runs)
            await _call(site)
            self.assertEqual(len(server.started_runs) == started, is_leaving)

    @virtual.on_virtual_time
    async def test_notice_of_another_server_at_the_address_is_ignored(self):
        async with harness.launch(nodes=1) as site:
            server = site.servers["p2"]

            async def respond_as_another_server(request):
                headers = {names.SERVER_ID: "px", names.SERVER_LEAVING: "1"}
                return message.Response(421, headers)

            server.handle = respond_as_another_server
            await _call(site)
            known = site.nodes[0].runtime.server_registry.servers["p2"]
            self.assertFalse(known.is_leaving)
            self.assertFalse(known.is_usable(site.clock.monotonic()))

    @virtual.on_virtual_time
    async def test_late_copy_of_a_response_settles_no_order(self):
        async with harness.launch(nodes=1) as site:
            node = site.nodes[0].runtime
            server = site.servers["e1"]

            async def respond_with_a_copy(_):
                headers = {names.SIGNATURE: "x", names.REQUEST_ID: "earlier"}
                return message.Response(200, headers, b"{}")

            server.handle = respond_with_a_copy
            order = serverclient.VersionOrder(harness.MODEL, 2, True, HOLDER, 0)
            with self.assertRaises(serverclient.ServerError) as caught:
                await node.dependencies.servers.order(
                    node.server_registry.servers["e1"], order
                )
            self.assertTrue(caught.exception.may_have_run)

    @virtual.on_virtual_time
    async def test_each_node_stops_by_its_own_responses(self):
        """Each node sends the server at most one request.

        It learns from the response that the server is about to shut down.
        """
        async with harness.launch(nodes=6) as site:
            server = site.servers["p2"]
            server.is_leaving = True
            for node in site.nodes:
                for number in range(4):
                    await site.call(
                        node,
                        "POST",
                        harness.CALL_PATH + "1",
                        b"?",
                        **{
                            names.REQUEST_ID: f"{node.name}-{number}",
                            names.DEADLINE_MS: "2000",
                        },
                    )
            senders = [run.request.split("-")[0] for run in server.started_runs]
            self.assertEqual(len(senders), len(set(senders)))
