"""The largest body allowed is served on the smallest VM."""

import unittest

import parameterized
import trio

from tests.hostile import nodeprocess

TEST_LIMIT_S = 120.0
BODY_BYTES = 32 << 20
# A VM of 200 MB, less what the process holds at the start and a reserve.
MAX_RISE_BYTES = 120 << 20
NUMBER = 3


class LargestBodyTest(unittest.TestCase):
    """Guards against default limits that refuse an allowed request."""

    @parameterized.parameterized.expand(
        [("smallest_vm", {"limits.memoryMb": 200}), ("unknown_vm", {})]
    )
    def test_largest_body_is_served(self, _, settings):
        async def main():
            with trio.fail_after(TEST_LIMIT_S):
                async with nodeprocess.launch(settings, BODY_BYTES) as node:
                    for _ in range(NUMBER):
                        await node.call_until_answered(bytes(BODY_BYTES))
                    node.sample()
                    return node

        node = trio.run(main)
        self.assertLess(node.rise_bytes(), MAX_RISE_BYTES)
