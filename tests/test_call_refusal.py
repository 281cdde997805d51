"""Refusal of calls that would wait in vain.

Load pattern: twice as many calls as the servers can run, from callers that wait
for a short time. Without refusals, half of the callers learn only after that
time that they have to go elsewhere.
"""

import unittest
from unittest import mock

import orjson
import parameterized
import trio

from kingcupscale.gateway import refusal
from kingcupscale.gateway import serverwait
from kingcupscale.platform import names
from tests import test_call_waiting as waiting
from tests import virtual
from tests.platform import harness

# Two servers with two slots, each of which runs ten calls a second.
CAPACITY_PER_S = 40
PATIENCE_S = 0.3


async def _send(site, number, responses):
    response = await site.call(
        site.nodes[0],
        "POST",
        harness.CALL_PATH + "1",
        b"?",
        **{names.REQUEST_ID: f"q{number}", names.DEADLINE_MS: "2000"},
    )
    responses.append(response)


class RateTest(unittest.TestCase):
    def _measure(self, slots, interval_s):
        rate = refusal.SlotRate()
        rate.update(True, 0.0)
        for number in range(slots):
            rate.record_slot((number + 1) * interval_s)
        return rate

    @parameterized.parameterized.expand(
        [("short", 12, 0.025), ("long", 200, 0.025), ("slow", 10, 0.5)]
    )
    def test_rate_is_right_from_the_start(self, _, slots, interval_s):
        rate = self._measure(slots, interval_s).per_second(slots * interval_s)
        self.assertAlmostEqual(rate * interval_s, 1.0, delta=0.35)

    @parameterized.parameterized.expand(
        [("few_slots", 2, 0.2), ("short_time", 10, 0.01)]
    )
    def test_no_rate_before_it_is_measured(self, _, slots, interval_s):
        """Guards against refusals at the start of a burst."""
        rate = self._measure(slots, interval_s)
        self.assertIsNone(rate.per_second(slots * interval_s))
        self.assertIsNone(refusal.expected_wait_s(9, rate, slots * interval_s))

    def test_no_rate_and_no_refusal_while_nothing_waits(self):
        rate = self._measure(100, 0.025)
        self.assertIsNotNone(refusal.expected_wait_s(9, rate, 2.5))
        rate.update(False, 2.5)
        rate.record_slot(2.6)
        self.assertIsNone(refusal.expected_wait_s(9, rate, 2.6))


class Overload(waiting.Fleet):
    """Counts what becomes of calls and when their callers know."""

    def __init__(self):
        super().__init__()
        self.served = 0
        self.refused = 0
        self.in_vain = 0

    async def try_send(self, call):
        inbound, state = call
        until = trio.current_time() + PATIENCE_S
        try:
            server = await self.waits.acquire(inbound, state, until)
        except serverwait.WaitTooLongError:
            self.refused += 1
            return
        if server is None:
            self.in_vain += 1
            return
        await trio.sleep(waiting.WORK_S)
        self.waits.record_accepted(state)
        self.served += 1
        self.waits.release(state, server, waiting.WORK_S)

    async def run(self, per_s, seconds, **kind):
        async with trio.open_nursery() as nursery:
            for _ in range(int(per_s * seconds)):
                nursery.start_soon(self.try_send, waiting.make_call(**kind))
                await trio.sleep(1 / per_s)


class ReplayTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_overload_refuses_at_once_and_wastes_no_slot(self):
        fleet = Overload()
        await fleet.run(2 * CAPACITY_PER_S, 10)
        self.assertGreater(fleet.served, 0.95 * 10 * CAPACITY_PER_S)
        self.assertLess(fleet.in_vain, 0.1 * fleet.refused)
        without = Overload()
        with mock.patch.object(refusal, "MIN_MEASURED_S", 1e9):
            await without.run(2 * CAPACITY_PER_S, 10)
        self.assertEqual(without.refused, 0)
        self.assertGreater(without.in_vain, 0.8 * fleet.refused)

    @parameterized.parameterized.expand(
        [
            ("light", 0.4 * CAPACITY_PER_S, {}),
            ("busy", 0.95 * CAPACITY_PER_S, {}),
            ("background", 2 * CAPACITY_PER_S, {"background": 1}),
        ]
    )
    @virtual.on_virtual_time
    async def test_no_call_is_refused(self, _, per_s, kind):
        fleet = Overload()
        await fleet.run(per_s, 5, **kind)
        self.assertEqual(fleet.refused, 0)

    @virtual.on_virtual_time
    async def test_waiting_background_calls_refuse_no_others(self):
        fleet = Overload()
        async with trio.open_nursery() as nursery:
            for _ in range(500):
                call = waiting.make_call(background=1, priority=0)
                nursery.start_soon(fleet.send, "background", call)
            # Few calls, but now and then more at once than free slots.
            for _ in range(5):
                for _ in range(3):
                    nursery.start_soon(fleet.try_send, waiting.make_call())
                await trio.sleep(1.5)
        self.assertEqual((fleet.refused, fleet.in_vain), (0, 0))

    @virtual.on_virtual_time
    async def test_repeated_and_background_calls_are_not_refused(self):
        """A refusal says that a call has not been executed."""
        fleet = Overload()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run, 3 * CAPACITY_PER_S, 3)
            await trio.sleep(2)
            self.assertGreater(fleet.refused, 0)
            inbound, state = waiting.make_call()
            until = trio.current_time() + PATIENCE_S
            with self.assertRaises(serverwait.WaitTooLongError):
                await fleet.waits.acquire(inbound, state, until)
            background, other_state = waiting.make_call(background=1)
            state.attempts = 1
            for kept in ((inbound, state), (background, other_state)):
                server = await fleet.waits.acquire(*kept, until)
                if server is not None:
                    fleet.waits.release(kept[1], server, 0.0)

    @virtual.on_virtual_time
    async def test_first_in_line_waits_even_if_no_slot_came_free_lately(self):
        """Guards against refusals while long calls run."""
        fleet = Overload()
        fleet.servers.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "low", waiting.make_call(priority=6))
            for _ in range(refusal.MIN_SLOTS):
                await trio.sleep(0.1)
                fleet.waits.record_accepted(waiting.make_call()[1])
            await trio.sleep(5.0)
            nursery.start_soon(fleet.try_send, waiting.make_call())
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        self.assertEqual((fleet.refused, fleet.in_vain), (0, 1))


class PlatformTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_rejected_calls_do_not_count_as_slots(self):
        """Guards against refusals that come late because of probes."""
        async with harness.launch(nodes=1) as site:
            for name in ("p1", "p2"):
                site.servers[name].is_full = True
            forwarder = site.nodes[0].runtime.forwarder
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(_send, site, number, [])
                await trio.sleep(0.15)
                (queue,) = forwarder.waits.queues.values()
                self.assertGreater(len(queue.waiters), 10)
                self.assertEqual(queue.rate.total, 0)
                for name in ("p1", "p2"):
                    site.servers[name].is_full = False
                await trio.sleep(0.2)
                self.assertGreater(queue.rate.total, 0)

    @virtual.on_virtual_time
    async def test_refused_calls_get_a_code_and_different_times(self):
        responses = []

        async with harness.launch(nodes=1) as site:
            for name in ("p1", "p2"):
                site.servers[name].event_s = 0.2
            async with trio.open_nursery() as nursery:
                for number in range(400):
                    nursery.start_soon(_send, site, number, responses)
                    await trio.sleep(0.01)
            refused = [r for r in responses if r.status == 503]
            codes = [orjson.loads(r.body) for r in refused]
            early = [c for c in codes if "1215" in str(c)]
            self.assertGreater(len(early), 50)
            waits = {r.headers["retry-after"] for r in refused}
            self.assertGreater(len(waits), 20)
            # A refused call has not run anywhere.
            self.assertEqual(
                len({run.request for run in site.runs}),
                len(responses) - len(refused),
            )
            self.assertGreater(
                site.nodes[0].runtime.forwarder.refused["one", 1215], 50
            )
