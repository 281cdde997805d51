"""Requests that crash each backend server that runs them.

Guards against a request that comes again at any node and ends one server after
the other, because no node knows of the servers that ended at other nodes.
"""

import contextlib
import random
import unittest

import parameterized
import trio

from kingcupscale import errors
from kingcupscale.crashes import sharing
from kingcupscale.platform import names
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests import virtual
from tests.platform import fakeservers
from tests.platform import harness

FATAL = b"fatal"
PATH = harness.CALL_PATH + "1"
SERVERS = 6
CRASHES = 3
# Nodes that have been in touch for this long know of the third crash.
CONTACT_S = 3.0
# Tries after that which the protocol allows.
MAX_LATE_TRIES = 3
# Time between two fatal requests, and until a crashed server runs again.
FATAL_INTERVAL_S = 0.9
RESTART_S = 2.0


class Crashes:
    """Plain servers that end under a fatal request, and start again.

    Attributes:
        tries: Times at which a server began to run a fatal request.
    """

    def __init__(self, site, servers=SERVERS, restart_s=RESTART_S):
        self.site = site
        self.restart_s = restart_s
        self.rng = random.Random(1)
        self.tries = []
        self.started = 0
        self.requests = 0
        for server_id in ("p1", "p2"):
            self._end(server_id)
        for number in range(servers):
            self._start("ab"[number % 2])

    def _end(self, server_id):
        self.site.network.crash(server_id)
        self.site.store.remove(names.SERVERS_PREFIX + server_id)

    def _start(self, zone, address=""):
        self.started += 1
        server = fakeservers.Server(
            self.site, f"c{self.started}", "plain", zone
        )
        server.address = address or server.address
        run = server.run

        async def run_or_crash(request):
            if request.body != FATAL:
                return await run(request)
            self.tries.append(trio.current_time())
            await trio.sleep(0.01)
            self.site.nursery.start_soon(self.end_and_restart, server)
            return await run(request)

        server.run = run_or_crash
        self.site.add_server(server)

    async def end_and_restart(self, server):
        """Ends a server; another one starts, and its entry is removed."""
        self.site.network.crash(server.id)
        await trio.sleep(self.restart_s)
        self._start(server.zone, server.address)
        # The entry of the server that ended lapses.
        await trio.sleep(max(0.0, 3.6 - self.restart_s))
        self._end(server.id)

    def count_late_tries(self):
        """Returns the tries that all nodes had time to avoid."""
        known_at = self.tries[CRASHES - 1] + CONTACT_S
        return sum(at > known_at for at in self.tries)

    async def send(self, node, body=FATAL, path=PATH, **headers):
        self.requests += 1
        return await self.site.call(
            node,
            "POST",
            path,
            body,
            **{
                names.REQUEST_ID: f"q{self.requests}",
                names.DEADLINE_MS: "2000",
                **headers,
            },
        )

    async def send_fatal(self, seconds, nodes=None):
        """Sends a fatal request to a random node at each interval."""
        for _ in range(int(seconds / FATAL_INTERVAL_S)):
            node = self.rng.choice(nodes or self.site.nodes)
            await self.send(node)
            await trio.sleep(FATAL_INTERVAL_S)

    async def send_until_known(self, nodes=None):
        """Sends fatal requests until all nodes had time to learn of them."""
        while len(self.tries) < CRASHES:
            await self.send_fatal(FATAL_INTERVAL_S, nodes)
        await trio.sleep(CONTACT_S)


def cut_off(site, node):
    """Disconnects a node from the store and from the other nodes."""
    for other in ("store", *(n.name for n in site.nodes if n is not node)):
        site.network.cut(node.name, other)


async def start_node(site, name):
    node = harness.Node(site, name, "a")
    site.nursery.start_soon(node.run)
    site.nodes.append(node)
    await trio.sleep(CONTACT_S)
    return node


async def crash_three(site, crashes):
    """Has three servers end under the fatal request; all nodes know of it."""
    await trio.sleep(1)
    await crashes.send_until_known()
    await trio.sleep(RESTART_S)


class OtherRequestTest(unittest.TestCase):
    """Guards against other requests that are blocked, and false refusals."""

    @parameterized.parameterized.expand(
        [
            ("other_body", b"harmless", PATH, {}),
            ("other_path", FATAL, "/score/1", {}),
            ("other_caller", FATAL, PATH, {names.KEY: "key-of-two"}),
        ]
    )
    @virtual.on_virtual_time
    async def test_similar_request_is_sent(self, _, body, path, headers):
        async with harness.launch(nodes=2) as site:
            crashes = Crashes(site)
            await crash_three(site, crashes)
            tries = len(crashes.tries)
            response = await crashes.send(site.nodes[0], body, path, **headers)
            if body == FATAL:
                self.assertGreater(len(crashes.tries), tries)
            else:
                self.assertEqual(response.status, 200)

    @virtual.on_virtual_time
    async def test_blocked_request_is_refused_at_once(self):
        async with harness.launch(nodes=2) as site:
            crashes = Crashes(site)
            await crash_three(site, crashes)
            for node in site.nodes:
                started_at = trio.current_time()
                tries = len(crashes.tries)
                response = await crashes.send(node)
                self.assertEqual(trio.current_time(), started_at)
                self.assertEqual(len(crashes.tries), tries)
                self.assertEqual(response.status, 503)
                self.assertIn(b'"code":1216', response.body)
                self.assertGreater(float(response.headers["retry-after"]), 0)

    @virtual.on_virtual_time
    async def test_request_that_was_sent_is_not_refused_as_not_run(self):
        async with harness.launch(nodes=2) as site:
            crashes = Crashes(site)
            await trio.sleep(1)
            while len(crashes.tries) < 8:
                tries = len(crashes.tries)
                response = await crashes.send(site.nodes[0])
                if len(crashes.tries) > tries:
                    self.assertEqual(response.status, 502)
                else:
                    break
                await trio.sleep(0.2)
            self.assertEqual(response.status, 503)

    @virtual.on_virtual_time
    async def test_request_cut_off_with_another_one_is_sent_again(self):
        # Both run at each server that ends.
        async with harness.launch(nodes=2) as site:
            crashes = Crashes(site)
            await trio.sleep(1)
            statuses = []

            async def send_harmless():
                response = await crashes.send(site.nodes[1], b"harmless")
                statuses.append(response.status)

            for _ in range(12):
                async with trio.open_nursery() as nursery:
                    for _ in range(4):
                        nursery.start_soon(send_harmless)
                    nursery.start_soon(crashes.send, site.nodes[0])
                await trio.sleep(0.5)
            self.assertEqual(set(statuses[-8:]), {200})

    @virtual.on_virtual_time
    async def test_reset_connections_are_no_crashes(self):
        async with harness.launch(nodes=1) as site:
            client = site.nodes[0].runtime.dependencies.servers.http_client
            original_open = client.open

            @contextlib.asynccontextmanager
            async def reset_first(address, request, timeout_s):
                async with original_open(address, request, timeout_s) as answer:
                    if request.path == PATH:
                        raise httpclient.RequestError("reset", True, True)
                    yield answer

            client.open = reset_first
            for _ in range(8):
                await site.call(
                    site.nodes[0], "POST", PATH, b"x", **{names.REQUEST_ID: "q"}
                )
                await trio.sleep(1)
            self.assertEqual(
                site.nodes[0].runtime.crash_guard.records.records, {}
            )

    @virtual.on_virtual_time
    async def test_items_are_scored_whatever_ends_under_their_calls(self):
        async with harness.launch(nodes=2) as site:
            crashes = Crashes(site)
            await trio.sleep(1)
            for server in list(site.servers.values()):
                if server.service != "plain" or not server.id.startswith("c"):
                    continue
                run = server.run

                async def run_and_end(request, server=server, run=run):
                    site.nursery.start_soon(crashes.end_and_restart, server)
                    await trio.sleep(0.01)
                    return await run(request)

                server.run = run_and_end
            await site.submit(site.nodes[0], items=2)
            results = await site.read_all(site.nodes[1])
            self.assertEqual([r["state"] for r in results], ["done"] * 2)

    @parameterized.parameterized.expand(
        [
            ("not_json", b"{"),
            (
                "wrong_types",
                b'{"fingerprint":1,"crashes":[[]],"cleared_ms":[]}',
            ),
            ("no_object", b"7"),
        ]
    )
    @virtual.on_virtual_time
    async def test_invalid_records_are_ignored(self, _, value):
        async with harness.launch(nodes=2) as site:
            site.store.put(sharing.PREFIX + "f", value)
            request = message.Request("POST", "/crashes", "", {}, value)
            with contextlib.suppress(errors.ServiceError):
                await site.nodes[0].runtime.handle_peer_request(request)
            await trio.sleep(1)
            crashes = Crashes(site)
            await trio.sleep(1)
            response = await crashes.send(site.nodes[0], b"harmless")
            self.assertEqual(response.status, 200)


class CrashingRequestTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("after_seconds", RESTART_S), ("at_once", 0.1)]
    )
    @virtual.on_virtual_time
    async def test_crashing_request_reaches_few_servers(self, _, restart_s):
        """The servers run again at the same address, under another id."""
        async with harness.launch(nodes=4) as site:
            crashes = Crashes(site, restart_s=restart_s)
            await trio.sleep(1)
            await crashes.send_fatal(36)
            self.assertLessEqual(crashes.count_late_tries(), MAX_LATE_TRIES)

    @virtual.on_virtual_time
    async def test_nodes_learn_of_crashes_while_the_store_is_silent(self):
        async with harness.launch(nodes=4) as site:
            # No server enters while the store is silent.
            crashes = Crashes(site, servers=24)
            await trio.sleep(1)
            site.store.is_down = True
            await crashes.send_until_known()
            await crashes.send_fatal(8)
            self.assertLessEqual(crashes.count_late_tries(), MAX_LATE_TRIES)

    @parameterized.parameterized.expand(
        [("store_answers", False), ("store_is_silent", True)]
    )
    @virtual.on_virtual_time
    async def test_node_that_was_cut_off_learns_of_crashes(self, _, is_silent):
        async with harness.launch(nodes=4) as site:
            crashes = Crashes(site)
            await trio.sleep(1)
            last = site.nodes[-1]
            cut_off(site, last)
            await crashes.send_until_known(site.nodes[:-1])
            await crashes.send_fatal(6, site.nodes[:-1])
            site.store.is_down = is_silent
            site.network.heal()
            await trio.sleep(CONTACT_S)
            await crashes.send_fatal(8, [last])
            self.assertLessEqual(crashes.count_late_tries(), MAX_LATE_TRIES)

    @parameterized.parameterized.expand(
        [("from_others", False), ("after_all_nodes_ended", True)]
    )
    @virtual.on_virtual_time
    async def test_node_that_starts_learns_of_crashes(self, _, all_ended):
        async with harness.launch(nodes=4) as site:
            crashes = Crashes(site)
            await trio.sleep(1)
            await crashes.send_until_known()
            await crashes.send_fatal(4)
            for name in ("n8", "n9"):
                for node in site.nodes if all_ended else ():
                    site.network.crash(node.name)
                started = await start_node(site, name)
                await crashes.send_fatal(5, [started])
            self.assertLessEqual(crashes.count_late_tries(), MAX_LATE_TRIES)
