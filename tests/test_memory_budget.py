"""Which requests hold memory, wait for it or are refused, without a network.

The cases replay the load of clients that stop just short of the end of their
bodies and stay open, beside ordinary callers.
"""

import functools
import unittest

import parameterized

from kingcupscale.web import clientlimits
from kingcupscale.web import jsoncost
from kingcupscale.web import memorybudget

MIB = 1 << 20
STEP_BYTES = 64 * 1024
SWEEP_S = 0.25
BALANCER = "10.0.0.1"


class Load:
    """Requests that draw on a budget as their bodies arrive, in steps."""

    def __init__(self, budget_mb=16, **limits):
        self.now = 0.0
        self.limits = clientlimits.derive(
            budget_mb=budget_mb, connections=100, **limits
        )
        self.budget = memorybudget.Budget(self.limits, lambda: self.now)
        self.peak = 0

    def open(self, address=BALANCER):
        return self.budget.open(address)

    def receive(self, claim, size):
        """Draws for the next bytes; returns whether they can be read."""
        if claim.wanted or claim.refusal:
            return False
        is_granted = self.budget.draw(claim, size)
        if is_granted:
            claim.received += size
        self.peak = max(self.peak, self.budget.held)
        return is_granted

    def upload(self, claim, size):
        """Draws a whole body at once in steps; returns the bytes read."""
        done = 0
        while done < size and self.receive(claim, STEP_BYTES):
            done += STEP_BYTES
        return done

    def pass_time(self, seconds):
        """Lets time pass; refused requests release what they hold."""
        for _ in range(round(seconds / SWEEP_S)):
            self.now += SWEEP_S
            self.budget.sweep()
            for claim in list(self.budget.claims):
                if claim.refusal:
                    self.budget.release(claim)


class UnfinishedBodiesTest(unittest.TestCase):
    def fill(self, load, number=60, size=4 * MIB - STEP_BYTES):
        claims = [load.open(f"10.0.0.{n % 4}") for n in range(number)]
        for _ in range(size // STEP_BYTES):
            for claim in claims:
                load.receive(claim, STEP_BYTES)
        return claims

    def test_unfinished_bodies_stay_within_the_budget(self):
        load = Load()
        self.fill(load)
        self.assertLessEqual(load.peak, load.limits.memory_bytes)

    def test_small_requests_are_served_while_large_ones_fill_the_memory(self):
        load = Load()
        self.fill(load)
        for _ in range(20):
            self.assertTrue(load.receive(load.open(), STEP_BYTES))

    def test_stalled_bodies_release_their_memory_when_others_wait(self):
        load = Load()
        stalled = self.fill(load, number=3, size=4 * MIB)
        waiting = load.open()
        self.assertLess(load.upload(waiting, 4 * MIB), 4 * MIB)
        load.pass_time(1.5)
        reasons = {claim.refusal for claim in stalled}
        self.assertIn(memorybudget.Refusal.TOO_SLOW, reasons)
        self.assertIsNone(waiting.refusal)
        self.assertEqual(waiting.wanted, 0)

    def test_stalled_bodies_are_kept_while_nobody_waits(self):
        load = Load()
        stalled = self.fill(load, number=2, size=4 * MIB)
        load.pass_time(11.0)
        self.assertEqual([claim.refusal for claim in stalled], [None, None])

    def test_of_bodies_that_block_each_other_the_older_ones_proceed(self):
        load = Load()
        claims = self.fill(load)
        served = []
        for _ in range(40):
            load.pass_time(SWEEP_S)
            for claim in set(claims) & load.budget.claims:
                load.upload(claim, 4 * STEP_BYTES)
                if claim.held >= 4 * MIB:
                    served.append(claim.number)
                    load.budget.release(claim)
        self.assertEqual(sorted(served)[:2], [1, 2])

    def test_oldest_request_proceeds_while_new_ones_keep_arriving(self):
        load = Load()
        oldest, second = load.open(), load.open("10.0.0.2")
        load.upload(oldest, 4 * MIB)
        load.upload(second, 6 * MIB)
        oldest.is_reading = second.is_reading = False
        load.receive(oldest, 7 * MIB)
        load.receive(second, 7 * MIB)
        for _ in range(12):
            for claim in (load.open("10.0.0.3"), load.open("10.0.0.3")):
                load.upload(claim, 4 * MIB)
            load.pass_time(SWEEP_S)
        self.assertIsNone(oldest.refusal)
        self.assertEqual(oldest.held, 11 * MIB)

    def test_many_small_unfinished_bodies_make_room(self):
        load = Load()
        self.fill(load, number=400, size=STEP_BYTES)
        late = load.open()
        self.assertFalse(load.receive(late, STEP_BYTES))
        load.pass_time(1.5)
        self.assertIsNone(late.refusal)
        self.assertEqual(late.held, STEP_BYTES)


class LateSweepTest(unittest.TestCase):
    """Time in which the process itself stalls is not counted as a client's."""

    def setUp(self):
        self.load = Load()
        self.reading = self.load.open("10.0.0.2")
        self.load.upload(self.reading, 12 * MIB)
        self.waiting = self.load.open()
        self.load.pass_time(SWEEP_S)
        self.load.receive(self.waiting, 4 * MIB)

    def refusals(self):
        return self.reading.refusal, self.waiting.refusal

    def test_stall_of_the_process_refuses_nobody(self):
        self.load.now += 3.0
        self.load.budget.sweep()
        self.assertEqual(self.refusals(), (None, None))
        self.load.pass_time(2 * SWEEP_S)
        self.assertEqual(self.refusals(), (None, None))

    def test_slow_body_is_refused_after_a_stall(self):
        self.load.now += 3.0
        self.load.budget.sweep()
        self.load.pass_time(1.0)
        reason = memorybudget.Refusal.TOO_SLOW
        self.assertEqual(self.refusals(), (reason, None))

    def test_wait_of_a_request_excludes_a_stall(self):
        self.reading.is_reading = False
        self.load.pass_time(2 * SWEEP_S)
        self.load.now += 3.0
        self.load.budget.sweep()
        self.load.pass_time(SWEEP_S)
        self.assertEqual(self.refusals(), (None, None))
        self.load.pass_time(SWEEP_S)
        reason = memorybudget.Refusal.NO_MEMORY
        self.assertEqual(self.refusals(), (None, reason))


class OrderTest(unittest.TestCase):
    """Who gets memory first when some is released."""

    def setUp(self):
        self.load = Load()
        self.first = self.load.open("10.0.0.2")
        self.load.upload(self.first, 12 * MIB)

    def test_small_request_is_served_before_an_older_large_one(self):
        filler = self.load.open("10.0.0.3")
        self.load.budget.add(filler, 4 * MIB)
        large = self.load.open()
        self.load.receive(large, 4 * MIB)
        small = self.load.open()
        self.load.receive(small, STEP_BYTES)
        order = []
        large.on_granted = lambda: order.append("large")
        small.on_granted = lambda: order.append("small")
        self.load.budget.release(filler)
        self.load.budget.release(self.first)
        self.assertEqual(order, ["small", "large"])

    def test_newer_large_request_does_not_overtake_an_older_one(self):
        self.load.budget.shrink(self.first, MIB)
        older = self.load.open()
        self.assertFalse(self.load.receive(older, 4 * MIB))
        newer = self.load.open()
        self.assertFalse(self.load.receive(newer, MIB // 2))
        self.load.budget.release(self.first)
        self.assertEqual((older.held, newer.held), (4 * MIB, MIB // 2))

    def test_small_requests_released_at_once_are_served_in_order(self):
        filler = self.load.open("10.0.0.3")
        self.load.budget.add(filler, 4 * MIB)
        older, newer = self.load.open(), self.load.open()
        order = []
        for claim, name in ((newer, "newer"), (older, "older")):
            self.load.receive(claim, STEP_BYTES)
            claim.on_granted = functools.partial(order.append, name)
        self.load.budget.release(filler)
        self.assertEqual(order, ["older", "newer"])


class OrdinaryLoadTest(unittest.TestCase):
    """What clients within the limits may do must not be refused."""

    @parameterized.parameterized.expand(
        [(memory_mb,) for memory_mb in (200, 512, 820, 0)]
    )
    def test_largest_body_is_read_beside_small_requests(self, memory_mb):
        load = Load(budget_mb=0, memory_mb=memory_mb)
        for _ in range(50):
            self.assertTrue(load.receive(load.open(), STEP_BYTES))
        body = load.open()
        size = 32 * MIB + memorybudget.REQUEST_BYTES
        self.assertGreaterEqual(load.upload(body, size), size)

    def test_single_body_beyond_the_part_for_large_ones_is_read(self):
        load = Load(budget_mb=16)
        self.assertEqual(load.upload(load.open(), 20 * MIB), 20 * MIB)

    def test_body_at_an_ordinary_speed_is_never_slow(self):
        load = Load()
        steady = load.open()
        blocker = load.open("10.0.0.2")
        load.upload(blocker, 11 * MIB)
        blocker.is_reading = False
        waiting = load.open("10.0.0.3")
        load.upload(waiting, 4 * MIB)
        for _ in range(20):
            load.receive(steady, STEP_BYTES)
            steady.wanted = 0
            steady.received += STEP_BYTES
            load.pass_time(SWEEP_S)
            self.assertIsNone(steady.refusal)

    def test_one_address_leaves_memory_to_others(self):
        load = Load(address_share=0.5)
        first = [load.open() for _ in range(4)]
        for claim in first:
            load.upload(claim, 4 * MIB)
        other = load.open("10.0.0.2")
        self.assertEqual(load.upload(other, 3 * MIB), 3 * MIB)

    def test_everything_is_released_at_the_end(self):
        load = Load()
        claims = [load.open(str(number)) for number in range(9)]
        for claim in claims:
            load.upload(claim, 2 * MIB)
        for claim in claims:
            load.budget.release(claim)
            load.budget.release(claim)
        self.assertEqual(load.budget.held, 0)
        self.assertEqual(load.budget.held_by_address, {})
        self.assertEqual(load.budget.waiting, set())


class JsonCostTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("objects", b"[" + b"{}," * 100_000 + b"{}]", 7_000_000, True),
            ("arrays", b"[" + b"[]," * 100_000 + b"[]]", 7_000_000, True),
            ("text", b'{"body":"' + b"QUJD" * 100_000 + b'"}', 500_000, False),
        ]
    )
    def test_estimate_tells_values_from_text(self, _, body, bound, is_over):
        self.assertEqual(jsoncost.estimate_bytes(body) > bound, is_over)
