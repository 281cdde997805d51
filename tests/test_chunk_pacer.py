"""Pace of bodies that consist of very small chunks.

The load pattern: many connections send bodies in chunks of a few bytes. Without
a pace, decoding them keeps the process from all other requests for minutes.
"""

import unittest

import parameterized
import trio

from kingcupscale.web import bodyreader
from kingcupscale.web import chunkpacer
from kingcupscale.web import clientlimits
from kingcupscale.web import memorybudget
from tests import virtual


class ChunkPacerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("few", chunkpacer.FREE_CHUNKS, 1, False),
            ("many_small", 2 * chunkpacer.FREE_CHUNKS, 1, True),
            ("many_large", 2 * chunkpacer.FREE_CHUNKS, 1024, False),
            ("between_steps", 2 * chunkpacer.FREE_CHUNKS + 1, 1, False),
        ]
    )
    def test_only_many_small_chunks_are_paced(self, _, chunks, each, expected):
        found = chunkpacer.is_due(chunks, chunks * each)
        self.assertEqual(found, expected)

    @virtual.on_virtual_time
    async def test_requests_share_the_pace(self):
        limits = clientlimits.derive(memory_mb=200.0, max_fds=1000)
        budget = memorybudget.Budget(limits, trio.current_time)
        requests = 4
        chunks = 3 * chunkpacer.FREE_CHUNKS
        bodies = []

        async def send():
            left = chunks

            async def receive():
                nonlocal left
                left -= 1
                return {
                    "type": "http.request",
                    "body": b"x",
                    "more_body": left > 0,
                }

            holder = bodyreader.Holder(budget, "a")
            bodies.append(await holder.read_body(receive, 1 << 20, 60.0))
            holder.release()

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(requests):
                nursery.start_soon(send)
        paced = requests * (chunks - chunkpacer.FREE_CHUNKS)
        least_s = 0.9 * paced / chunkpacer.CHUNKS_PER_S
        self.assertGreater(trio.current_time() - started_at, least_s)
        self.assertEqual(bodies, requests * [b"x" * chunks])
