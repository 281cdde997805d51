"""Single calls on the simulated platform."""

import unittest
from unittest import mock

import parameterized
import trio

from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness


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
            (f"{kind}_{name}", path, affected, status, field)
            for kind, path, affected, status in (
                ("idempotent", harness.CALL_PATH, ["p1"], 200),
                ("once_only", "/once/", ["p1", "p2"], 502),
            )
            for name, field in (
                ("signature", names.SIGNATURE),
                ("id", names.REQUEST_ID),
            )
        ]
    )
    @virtual.on_virtual_time
    async def test_response_without_signature_or_id(
        self, _, path, affected, status, field
    ):
        async with harness.launch(nodes=1) as site:
            for name in ("p1", "p2"):
                server = site.servers[name]
                original_run = server.run

                async def strip_header(
                    request, original_run=original_run, name=name
                ):
                    response = await original_run(request)
                    if name in affected:
                        del response.headers[field]
                    return response

                server.run = strip_header
            response = await self._send(site, path + "1")
            self.assertEqual(response.status, status)
            if path == "/once/":
                self.assertEqual(len(site.runs), 1)

    @virtual.on_virtual_time
    async def test_servers_get_the_organisation_but_no_key(self):
        async with harness.launch(nodes=1) as site:
            seen = []
            for name in ("p1", "p2"):
                server = site.servers[name]
                original_run = server.run

                async def record_headers(request, original_run=original_run):
                    seen.append(request.headers)
                    return await original_run(request)

                server.run = record_headers
            response = await site.call(
                site.nodes[0],
                "POST",
                harness.CALL_PATH + "1",
                **{names.REQUEST_ID: "q1", names.ORGANISATION: "two"},
            )
            self.assertEqual(response.status, 200)
            (headers,) = seen
            self.assertEqual(headers[names.ORGANISATION], harness.ORGANISATION)
            self.assertNotIn(harness.KEY, headers.values())
            self.assertEqual(site.violations, [])

    @virtual.on_virtual_time
    async def test_full_servers_lead_to_a_rejection(self):
        async with harness.launch(nodes=1) as site:
            for name in ("p1", "p2"):
                site.servers[name].is_full = True
            started_at = trio.current_time()
            for path in (harness.CALL_PATH, "/once/"):
                response = await self._send(site, path + "1")
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertLess(trio.current_time() - started_at, 1.0)
            self.assertEqual(site.runs, [])

    @virtual.on_virtual_time
    async def test_calls_stay_at_an_open_connection_until_it_is_full(self):
        """Guards against a new connection for each of a node's few calls."""
        async with harness.launch(nodes=1) as site:
            client = site.nodes[0].runtime.dependencies.servers.http_client
            # The server in the other zone.
            client.has_idle_connection = lambda address: address == "p1:80"
            for number in range(5):
                await self._send(site, harness.CALL_PATH + "1", f"q{number}")
                await trio.sleep(2)
            self.assertEqual({run.server for run in site.runs}, {"p1"})
            site.servers["p1"].is_full = True
            response = await self._send(site, harness.CALL_PATH + "1", "q9")
            self.assertEqual(response.status, 200)
            self.assertEqual(site.runs[-1].server, "p2")

    @virtual.on_virtual_time
    async def test_server_granted_after_the_deadline_is_given_back(self):
        """Guards against an internal error and a slot that stays in use."""
        async with harness.launch(nodes=1) as site:
            forwarder = site.nodes[0].runtime.forwarder
            acquire = forwarder.waits.acquire

            async def acquire_late(inbound, state, until):
                server = await acquire(inbound, state, until)
                await trio.sleep(state.deadline + 0.01 - trio.current_time())
                return server

            with mock.patch.object(forwarder.waits, "acquire", acquire_late):
                response = await self._send(site, harness.CALL_PATH + "1")
            self.assertEqual(response.status, 503)
            self.assertEqual(site.runs, [])
            servers = forwarder.servers.servers.values()
            self.assertEqual([s.in_flight for s in servers if s.in_flight], [])

    @virtual.on_virtual_time
    async def test_reported_slowness_does_not_count_as_latency_too(self):
        """Guards against avoiding a slow server more than it is slow."""
        async with harness.launch(nodes=1) as site:
            site.servers["p1"].event_s *= 2.5
            site.servers["p1"].slowness_percent = 250
            for _ in range(30):
                async with trio.open_nursery() as nursery:
                    for number in range(6):
                        path = harness.CALL_PATH + "1"
                        nursery.start_soon(self._send, site, path, f"q{number}")
            self.assertEqual({run.server for run in site.runs}, {"p1", "p2"})
            registered = site.nodes[0].runtime.forwarder.servers.servers
            slow, usual = (
                registered[name].relative_latency for name in ("p1", "p2")
            )
            self.assertLess(slow, 1.3 * usual)

    @virtual.on_virtual_time
    async def test_draining_server_gets_nothing_new(self):
        async with harness.launch(nodes=1) as site:
            # The server in the node's own zone, which it prefers.
            site.servers["p2"].state = "draining"
            site.servers["p2"].register()
            await trio.sleep(1)
            for number in range(8):
                await self._send(site, harness.CALL_PATH + "1", f"q{number}")
            self.assertEqual({run.server for run in site.runs}, {"p1"})

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
    async def test_malformed_entry_registers_no_server(self, _, value):
        async with harness.launch(nodes=1) as site:
            site.store.put(names.SERVERS_PREFIX + "odd", value)
            await trio.sleep(1)
            self.assertNotIn(
                "odd", site.nodes[0].runtime.server_registry.servers
            )
            response = await self._send(site, harness.CALL_PATH + "1")
            self.assertEqual(response.status, 200)

    @virtual.on_virtual_time
    async def test_entry_that_expires_in_a_store_outage_keeps_its_server(self):
        async with harness.launch(nodes=1) as site:
            site.store.is_down = True
            await trio.sleep(4)
            for name in ("p1", "p2"):
                site.store.remove(names.SERVERS_PREFIX + name)
            site.store.is_down = False
            await trio.sleep(1)
            response = await self._send(site, harness.CALL_PATH + "1")
            self.assertEqual(response.status, 200)
            site.servers["p1"].register()
            await trio.sleep(3)
            servers = site.nodes[0].runtime.server_registry.servers
            self.assertIn("p1", servers)
            self.assertNotIn("p2", servers)
