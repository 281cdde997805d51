"""Requests that wait for memory while or after their bodies are read."""

import unittest

import parameterized
import trio
import trio.testing

from kingcupscale import errors
from kingcupscale.web import bodyreader
from kingcupscale.web import clientguard
from kingcupscale.web import clientlimits
from kingcupscale.web import connectionlimits
from kingcupscale.web import memorybudget
from tests import test_client_limits as servers

MIB = 1 << 20
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


class HolderTest(unittest.TestCase):
    """One request on a budget that another one has used up."""

    def run_with_holder(self, test):
        """Runs a test in virtual time while the budget is swept."""

        async def main():
            guard = clientguard.ClientGuard(clientlimits.derive(budget_mb=2))
            holder = bodyreader.Holder(guard.budget, "10.0.0.1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(guard.run)
                with trio.fail_after(servers.TEST_TIMEOUT_S):
                    await test(holder, guard.budget)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def use_up(self, budget):
        other = budget.open("10.0.0.2")
        other.is_reading = False
        budget.add(other, budget.limits.memory_bytes + 1)

    def test_refusal_at_the_end_of_a_body_does_not_end_later_ones(self):
        async def test(holder, budget):
            async def receive():
                holder.claim.refusal = memorybudget.Refusal.TOO_SLOW
                holder.claim.on_refused()
                return {"type": "http.request", "body": b"a"}

            body = await holder.read_body(receive, MIB, 10.0)
            self.assertEqual(body, b"a")
            self.use_up(budget)
            # A request with a refusal is not refused again: it would wait for
            # good.
            with self.assertRaises(errors.ServiceError) as caught:
                await holder.reserve(MIB)
            code = errors.ResultCode.MEMORY_SCARCE
            self.assertIs(caught.exception.code, code)

        self.run_with_holder(test)

    @parameterized.parameterized.expand([(0,), (-1,)])
    def test_request_that_needs_no_more_does_not_wait(self, size):
        async def test(holder, budget):
            budget.add(holder.claim, 1)
            self.use_up(budget)
            started_at = trio.current_time()
            await holder.reserve(size)
            self.assertEqual(trio.current_time(), started_at)

        self.run_with_holder(test)

    def test_small_body_is_decoded_when_the_memory_is_used_up(self):
        async def test(holder, budget):
            self.use_up(budget)
            holder.check_decoding(b'{"a": [1, 2], "b": {}}')
            large = b"[" + b"{}," * memorybudget.SMALL_BYTES + b"{}]"
            with self.assertRaises(errors.ServiceError):
                holder.check_decoding(large)

        self.run_with_holder(test)

    def test_body_draws_no_more_than_the_largest_one_allowed(self):
        held = []

        async def test(holder, budget):
            sizes = [MIB // 16] * 15 + [MIB // 16 - 1, 1]

            async def receive():
                held.append(budget.held)
                size = sizes.pop(0)
                more = bool(sizes)
                body = bytes(size)
                return {"type": "http.request", "body": body, "more_body": more}

            await holder.read_body(receive, MIB, 10.0)

        self.run_with_holder(test)
        self.assertLessEqual(max(held), MIB + memorybudget.REQUEST_BYTES)
