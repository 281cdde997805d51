"""Calls when all servers of a service answer later than is wanted."""

import unittest

import parameterized
import trio

from tests import virtual
from tests.platform import harness

ITEMS = 48
# Two servers with four slots each, of which scoring leaves one free.
PLACES = 6


class SlowServiceTest(unittest.TestCase):
    """Load pattern: a node or a service is slow for all calls at a time."""

    @parameterized.parameterized.expand([(0.25,), (0.4,), (0.7,), (1.2,)])
    @virtual.on_virtual_time
    async def test_scoring_goes_on_when_all_answers_are_late(self, answer_s):
        async with harness.launch() as site:
            for name in ("p1", "p2"):
                site.servers[name].event_s = answer_s
            began_at = trio.current_time()
            await site.submit(site.nodes[0], items=ITEMS)
            results = await site.read_all(site.nodes[0], seconds=120)
            took_s = trio.current_time() - began_at
            scored = [r for r in site.runs if "-s" in r.request]
            self.assertEqual(len(results), ITEMS)
            self.assertLess(took_s, 2 * ITEMS / PLACES * answer_s + 10)
            # Two rounds of calls that are given up teach how long to wait.
            self.assertLessEqual(len(scored), ITEMS + 2 * PLACES)
