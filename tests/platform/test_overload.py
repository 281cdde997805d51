"""Calls while all servers of a service exceed the target latency.

If attempts time out at a fixed multiple of the target latency, a service that
is slow for all calls gets every call again and again and completes none. The
node has to learn the longer latency from the attempts that timed out.
"""

import unittest

import parameterized
import trio

from tests import virtual
from tests.platform import harness

ITEMS = 48
# Two servers with four slots each, of which scoring leaves one free.
SLOTS = 6


class SlowServiceTest(unittest.TestCase):
    """All servers of a service are slow at the same time."""

    @parameterized.parameterized.expand([(0.25,), (0.4,), (0.7,), (1.2,)])
    @virtual.on_virtual_time
    async def test_scoring_continues_when_all_responses_are_late(
        self, latency_s
    ):
        async with harness.launch() as site:
            for name in ("p1", "p2"):
                site.servers[name].event_s = latency_s
            started_at = trio.current_time()
            await site.submit(site.nodes[0], items=ITEMS)
            results = await site.read_all(site.nodes[0], seconds=120)
            took_s = trio.current_time() - started_at
            scored = [r for r in site.runs if "-s" in r.request]
            self.assertEqual(len(results), ITEMS)
            self.assertLess(took_s, 2 * ITEMS / SLOTS * latency_s + 10)
            # Two rounds of timeouts suffice to learn the latency.
            self.assertLessEqual(len(scored), ITEMS + 2 * SLOTS)
