"""Polling intervals of nodes that follow another node.

Guards against polls of a large fleet that overload the followed node, and
against intervals that delay a new configuration too long.
"""

import unittest

import parameterized
import trio

from kingcupscale.peering import polling
from kingcupscale.peering import relay
from tests import virtual
from tests.platform import harness


class PollingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("few", 4, 2.0, 0.35),
            ("some", 29, 3.0, 29 / 60),
            ("many", 66, 4.0, 1.0),
            ("design_size", 380, 18.0, 4.5),
            ("short_bound", 380, 0.5, 0.35),
        ]
    )
    def test_interval_grows_with_the_fleet_up_to_a_limit(
        self, _, nodes, apply_s, expected
    ):
        found = polling.idle_poll_interval_s(nodes, apply_s)
        self.assertAlmostEqual(found, expected)

    @virtual.on_virtual_time
    async def test_followed_node_receives_a_limited_number_of_polls(self):
        """Servers update their entries all the time."""
        async with harness.launch(nodes=60) as site:
            leader = site.holder().runtime
            polls = 0
            follow = leader.relay.__call__

            async def count(request):
                nonlocal polls
                polls += request.path == relay.PATH
                return await follow(request)

            leader.relay = count
            for _ in range(100):
                for server in site.servers.values():
                    server.register()
                await trio.sleep(0.1)
            self.assertLess(polls / 10, 130)
            configuration = harness.make_configuration(version=9)
            site.write_configuration(configuration)
            await trio.sleep(1.2)
            for node in site.nodes:
                known = node.runtime.current_catalogue()
                self.assertEqual(known.version, 9)
