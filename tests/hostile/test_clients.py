"""A node's process lives within its memory before uncontrolled clients."""

import unittest

import parameterized
import trio

from tests.hostile import clients
from tests.hostile import nodeprocess

# For how long the clients run before the ordinary call.
LOAD_S = 6.0
# Ends a test that hangs.
TEST_LIMIT_S = 240.0
# Name, listener, client and number of clients.
CASES = [
    ("announced_too_large", "callers", clients.announce_too_much, 60),
    ("endless_body", "callers", clients.send_too_much, 60),
    ("unfinished_body", "callers", clients.withhold_end, 60),
    ("unfinished_large_chunks", "callers", clients.withhold_large_chunk, 60),
    ("unfinished_small_chunks", "callers", clients.withhold_small_chunk, 600),
    ("many_values", "callers", clients.send_many_values, 4),
    ("unfinished_head", "callers", clients.withhold_end_of_head, 600),
    ("idle", "callers", clients.send_nothing, 600),
    ("unread_responses", "callers", clients.read_nothing, 60),
    ("peers_endless_body", "peers", clients.send_too_much, 60),
    ("peers_unfinished_body", "peers", clients.withhold_large_chunk, 60),
    ("peers_idle", "peers", clients.send_nothing, 600),
    ("metrics_unfinished_body", "metrics", clients.withhold_large_chunk, 60),
    ("metrics_unread_responses", "metrics", clients.read_nothing, 60),
]


class HostileClientTest(unittest.TestCase):
    """Guards against clients that end a process or keep it from callers.

    The clients stay connected during the ordinary call at the end.
    """

    @parameterized.parameterized.expand(CASES)
    def test_process_stays_within_bounds(self, _, listener, client, number):
        node = run_load(listener, client, number)
        self.assertLess(node.rise_bytes(), nodeprocess.MAX_RISE_BYTES)
        self.assertLess(node.peak_fds, nodeprocess.MAX_FDS)


def run_load(listener, client, number):
    """Returns a node's peaks after clients and an ordinary call."""

    async def main():
        with trio.fail_after(TEST_LIMIT_S):
            async with nodeprocess.launch() as node:
                await _load(node, listener, client, number)
                return node

    return trio.run(main)


async def _load(node, listener, client, number):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(node.sample_forever)
        for _ in range(number):
            nursery.start_soon(clients.run, client, getattr(node, listener))
        await trio.sleep(LOAD_S)
        await node.call_until_answered()
        node.sample()
        nursery.cancel_scope.cancel()
