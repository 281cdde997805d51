"""Requests that wait for memory while or after their bodies are read."""

import unittest

import trio

from kingcupscale.web import connectionlimits
from tests import test_client_limits as servers

PARTIAL = servers.HEAD + b"content-length: 10\r\n\r\nabc"


class WaitingBodyTest(unittest.TestCase):
    """A body that waits for memory is not stalled by its client.

    Its connection must stay open until it is served or refused.
    """

    @servers.with_server(wait_s=1.5)
    async def test_connection_stays_open_until_the_refusal(
        self, address, guard
    ):
        blocker = guard.budget.open("10.0.0.1")
        blocker.is_reading = False
        guard.budget.add(blocker, guard.limits.memory_bytes)
        waiting = [
            await servers.connect(address, PARTIAL)
            for _ in range(guard.limits.address_connections)
        ]
        await servers.wait_until(
            lambda: len(guard.budget.waiting) == len(waiting)
        )
        await trio.sleep(connectionlimits.STALLED_S + 0.1)
        async with await servers.connect(address) as refused:
            self.assertEqual(await servers.read_to_end(refused), b"")
        for stream in waiting:
            async with stream:
                data = await servers.read_to_end(stream)
            self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data[:40])

    @servers.with_server(connections=16, address_share=0.1)
    async def test_body_that_stalls_after_a_wait_is_closed(
        self, address, guard
    ):
        blocker = guard.budget.open("10.0.0.1")
        blocker.is_reading = False
        guard.budget.add(blocker, guard.limits.memory_bytes)
        async with await servers.connect(address, PARTIAL) as stalled:
            await servers.wait_until(lambda: guard.budget.waiting)
            await trio.sleep(0.6)
            guard.budget.release(blocker)
            await trio.sleep(connectionlimits.STALLED_S - 0.4)
            # Its client has had less than the time allowed.
            async with await servers.connect(address) as early:
                self.assertEqual(await servers.read_to_end(early), b"")
            await trio.sleep(0.6)
            async with await servers.connect(address, servers.EMPTY) as late:
                data = await late.receive_some()
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:40])
            self.assertEqual(await servers.read_to_end(stalled), b"")
