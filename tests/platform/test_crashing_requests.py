"""Requests that crash each backend server that runs them.

Guards against a request that comes again at any node and ends one server after
the other, because no node knows of the servers that ended at other nodes.
"""

import random
import unittest

import parameterized
import trio

from kingcupscale.platform import names
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

    def __init__(self, site, servers=SERVERS):
        self.site = site
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

    def _start(self, zone):
        self.started += 1
        server = fakeservers.Server(
            self.site, f"c{self.started}", "plain", zone
        )
        run = server.run

        async def run_or_crash(request):
            if request.body != FATAL:
                return await run(request)
            self.tries.append(trio.current_time())
            await trio.sleep(0.01)
            self.site.network.crash(server.id)
            self.site.nursery.start_soon(self._restart, server)
            return await run(request)

        server.run = run_or_crash
        self.site.add_server(server)

    async def _restart(self, server):
        await trio.sleep(RESTART_S)
        self._start(server.zone)
        await trio.sleep(1.6)
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


async def start_node(site):
    node = harness.Node(site, "n9", "a")
    site.nursery.start_soon(node.run)
    await trio.sleep(CONTACT_S)
    return node


class CrashingRequestTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_crashing_request_reaches_few_servers(self):
        async with harness.launch(nodes=4) as site:
            crashes = Crashes(site)
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
            if all_ended:
                for node in site.nodes:
                    site.network.crash(node.name)
            started = await start_node(site)
            await crashes.send_fatal(8, [started])
            self.assertLessEqual(crashes.count_late_tries(), MAX_LATE_TRIES)
