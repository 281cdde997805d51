"""Calls that wait for a free server.

Load pattern: more calls than room, one organisation that sends most of them,
and classes of different priority. A queue without order lets the one that sends
most calls have most slots, and urgent calls wait behind the others.
"""

import random
import unittest

import attrs
import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.gateway import callstate
from kingcupscale.gateway import inboundrequest
from kingcupscale.gateway import serverwait
from kingcupscale.gateway import waitqueue
from tests import virtual

WORK_S = 0.1
SERVICE = "s"
LONG_S = 100.0


def make_server(server_id="e1", slots=2):
    entry = registry.ServerEntry(
        server_id,
        SERVICE,
        f"{server_id}:1",
        "a",
        registry.ServerState.READY,
        slots,
        1,
    )
    return registry.Server(entry)


def make_call(organisation="one", priority=5, own_priority=None, background=0):
    route = catalogue.Route(
        f"r{priority}",
        "h",
        "/",
        catalogue.RouteKind.IDEMPOTENT,
        (catalogue.Share(SERVICE, 1.0),),
        priority=priority,
    )
    inbound = inboundrequest.InboundRequest(
        "q", "GET", "h", "/", "", {}, b"", "", LONG_S, 0.0
    )
    if background:
        inbound = attrs.evolve(inbound, is_background=True)
    owner = catalogue.Organisation(organisation, frozenset(), own_priority)
    state = callstate.CallState(
        route,
        owner,
        SERVICE,
        LONG_S,
        LONG_S,
        is_background=inbound.is_background,
    )
    return inbound, state


class OrderTest(unittest.TestCase):
    def _grant_all(self, waiters, slots, work=()):
        """Returns the organisations in the order in which they get slots."""
        queue, server = waitqueue.WaitQueue(), make_server(slots=slots)
        for organisation, seconds in work:
            queue.charge(organisation, seconds, 0.0)
        for organisation, priority in waiters:
            queue.add(waitqueue.Waiter(priority, organisation, organisation))
        granted = []
        for waiter in queue.grant(
            lambda _: server if len(granted) < slots else None, WORK_S, 0.0
        ):
            granted.append(waiter.organisation)
        return granted

    @parameterized.parameterized.expand(
        [
            ("arrival", [("a", 5), ("a", 5)], (), 2, ["a", "a"]),
            ("class", [("a", 5), ("b", 0), ("c", 3)], (), 2, ["b", "c"]),
            (
                "greedy_organisation",
                [("a", 5)] * 6 + [("b", 5)] * 2,
                (),
                4,
                ["a", "b", "a", "b"],
            ),
            ("work_done", [("a", 5), ("b", 5)], [("a", 3.0)], 1, ["b"]),
            (
                "class_before_fairness",
                [("a", 0), ("b", 5)],
                [("a", 3.0)],
                1,
                ["a"],
            ),
        ]
    )
    def test_order(self, _, waiters, work, slots, expected):
        self.assertEqual(self._grant_all(waiters, slots, work), expected)

    def test_call_without_server_does_not_hold_up_others(self):
        queue, server = waitqueue.WaitQueue(), make_server()
        for organisation in "ab":
            queue.add(waitqueue.Waiter(0, organisation, organisation))
        granted = list(
            queue.grant(lambda w: server if w.group == "b" else None, 1.0, 0.0)
        )
        self.assertEqual([w.organisation for w in granted], ["b"])

    def test_callers_precede_background_calls_of_their_class(self):
        """Guards against scoring that delays the calls of an open route."""
        queue, server = waitqueue.WaitQueue(), make_server()
        queue.charge("", 3.0, 0.0)
        for number, (name, priority) in enumerate(
            [("background", 5), ("background", 5), ("caller", 5), ("low", 6)]
        ):
            is_background = name == "background"
            waiter = waitqueue.Waiter(priority, "", number, is_background)
            queue.add(waiter)
        granted = list(queue.grant(lambda _: server, 1.0, 0.0))
        self.assertEqual([w.group for w in granted], [2, 0, 1, 3])

    @parameterized.parameterized.expand([("callers", 0), ("background", 1)])
    @virtual.on_virtual_time
    async def test_background_work_is_charged_to_no_organisation(
        self, _, background
    ):
        fleet = Fleet()
        call = make_call(organisation="", background=background)
        await fleet.send("all", call)
        self.assertEqual("" in fleet.waits.queues[SERVICE].work, not background)

    def test_past_work_is_forgotten_and_bounded(self):
        queue = waitqueue.WaitQueue()
        queue.charge("a", 10.0, 0.0)
        self.assertLess(queue.work["a"].at(60.0), 0.1)
        for number in range(2 * waitqueue.MAX_ORGANISATIONS):
            queue.charge(f"o{number}", 1.0, 0.0)
        self.assertEqual(len(queue.work), waitqueue.MAX_ORGANISATIONS)


class LimitTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("at_once", 0.0, 3, False),
            ("after_an_end", 0.0, 2, True),
            ("probe", 0.06, 3, True),
            ("second_probe_too_early", 0.06, 4, False),
            ("expired", 1.0, 9, True),
        ]
    )
    def test_rejection_limits_the_calls(self, _, age_s, in_flight, expected):
        """Guards against repeating calls at a full server."""
        server = make_server(slots=9)
        self.assertTrue(server.accepts_calls(0.0))
        server.in_flight = 4
        server.record_full(10.0)
        server.in_flight = in_flight
        self.assertEqual(server.accepts_calls(10.0 + age_s), expected)
        accepts_at = server.accepts_calls_at()
        self.assertTrue(server.accepts_calls(accepts_at + 1e-6))
        self.assertEqual(accepts_at <= 10.0 + age_s, expected)


class Fleet:
    """Servers without a network, and the calls that they run."""

    def __init__(self, servers=2, slots=2):
        self.servers = [make_server(f"e{n}", slots) for n in range(servers)]
        self.waits = serverwait.ServerWaits(
            self._choose, virtualtime.VirtualClock(), {SERVICE: WORK_S}
        )
        self.waited = {}
        self.rng = random.Random(1)

    def _choose(self, inbound, state, now):
        reserve = int(inbound.is_background)
        free = [
            s for s in self.servers if s.in_flight < s.entry.slots - reserve
        ]
        return min(free, key=lambda s: s.in_flight, default=None)

    async def send(self, name, call, until=LONG_S):
        started_at = trio.current_time()
        inbound, state = call
        server = await self.waits.acquire(inbound, state, started_at + until)
        waited = self.waited.setdefault(name, [])
        if server is None:
            waited.append(None)
            return
        waited.append(trio.current_time() - started_at)
        try:
            await trio.sleep(WORK_S)
            self.waits.record_accepted(state)
        finally:
            self.waits.release(state, server, WORK_S)

    def in_flight(self):
        return sum(server.in_flight for server in self.servers)


class ReplayTest(unittest.TestCase):
    """4 slots, each of which runs ten calls a second."""

    @virtual.on_virtual_time
    async def test_greedy_organisation_delays_only_itself(self):
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            for _ in range(200):
                nursery.start_soon(fleet.send, "greedy", make_call("greedy"))
            await trio.sleep(0.05)
            for _ in range(10):
                nursery.start_soon(fleet.send, "modest", make_call("modest"))
                await trio.sleep(WORK_S)
        self.assertEqual(len(fleet.waited["greedy"]), 200)
        self.assertLess(max(fleet.waited["modest"]), 2 * WORK_S)
        self.assertGreater(max(fleet.waited["greedy"]), 4.0)

    @parameterized.parameterized.expand(
        [
            ("by_route", {"priority": 0}, {"priority": 5}),
            ("by_organisation", {"own_priority": 0}, {"priority": 1}),
        ]
    )
    @virtual.on_virtual_time
    async def test_urgent_call_does_not_wait_behind_others(
        self, _, urgent, others
    ):
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(fleet.send, "low", make_call(**others))
            await trio.sleep(0.05)
            for _ in range(4):
                nursery.start_soon(fleet.send, "high", make_call(**urgent))
        self.assertLessEqual(max(fleet.waited["high"]), WORK_S)

    @virtual.on_virtual_time
    async def test_freed_slot_is_used_at_once(self):
        """Guards against slots that stay free until the next check."""
        fleet = Fleet(servers=1, slots=1)
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(fleet.send, "all", make_call())
        expected = [WORK_S * n for n in range(5)]
        for waited, wanted in zip(fleet.waited["all"], expected, strict=True):
            self.assertAlmostEqual(waited, wanted, places=6)

    @parameterized.parameterized.expand([("registered", 1), ("unnoticed", 0)])
    @virtual.on_virtual_time
    async def test_new_server_ends_the_wait(self, _, is_registered):
        fleet = Fleet(servers=0)
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(fleet.send, "all", make_call())
            await trio.sleep(1.01)
            fleet.servers.append(make_server())
            if is_registered:
                fleet.waits.dispatch(SERVICE)
        limit_s = 0.0 if is_registered else serverwait.RECHECK_S
        self.assertLessEqual(max(fleet.waited["all"]), 1.0101 + limit_s)

    @virtual.on_virtual_time
    async def test_background_calls_leave_a_slot_of_each_server(self):
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                call = make_call(background=1, priority=0)
                nursery.start_soon(fleet.send, "background", call)
            await trio.sleep(0.05)
            self.assertEqual(fleet.in_flight(), 2)
            nursery.start_soon(fleet.send, "caller", make_call())
        self.assertEqual(fleet.waited["caller"], [0.0])
        self.assertEqual(len(fleet.waited["background"]), 20)

    @virtual.on_virtual_time
    async def test_disconnected_callers_leave_the_queue_at_once(self):
        """Guards against slots for callers that are gone, and lost slots."""
        fleet = Fleet(servers=1, slots=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "first", make_call())
            await trio.sleep(0.01)
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as leaving:
                    for _ in range(50):
                        leaving.start_soon(fleet.send, "gone", make_call())
                    await trio.sleep(0.02)
                    self.assertEqual(fleet.waits.waiting()["one", 5], 50)
                    scope.cancel()
            self.assertEqual(fleet.waits.waiting().total(), 0)
            nursery.start_soon(fleet.send, "next", make_call())
        self.assertAlmostEqual(fleet.waited["next"][0], 0.07, places=6)
        self.assertNotIn("gone", fleet.waited)
        self.assertEqual(fleet.in_flight(), 0)

    @parameterized.parameterized.expand([("before", True), ("after", False)])
    @virtual.on_virtual_time
    async def test_caller_that_leaves_as_it_gets_a_slot_frees_it(
        self, _, leaves_first
    ):
        fleet = Fleet(servers=1, slots=1)
        inbound, state = make_call()
        held = await fleet.waits.acquire(inbound, state, LONG_S)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, "gone", make_call())
                await trio.sleep(0.01)
                if leaves_first:
                    scope.cancel()
                fleet.waits.release(state, held, WORK_S)
                self.assertEqual(fleet.in_flight(), 1)
                scope.cancel()
        self.assertEqual(fleet.in_flight(), 0)

    @virtual.on_virtual_time
    async def test_check_goes_on_after_the_checking_call_has_left(self):
        fleet = Fleet(servers=0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "first", make_call(), 0.5)
            await trio.sleep(0.01)
            nursery.start_soon(fleet.send, "second", make_call())
            await trio.sleep(1.0)
            fleet.servers.append(make_server())
        self.assertEqual(fleet.waited["first"], [None])
        self.assertLessEqual(
            fleet.waited["second"][0], 1.0001 + serverwait.RECHECK_S
        )

    @parameterized.parameterized.expand(
        [(str(seed), seed) for seed in range(6)]
    )
    def test_check_goes_on_after_two_calls_have_left_at_once(self, _, seed):
        """Guards against waking only a call that ends without checking.

        The seed decides in which order the two calls end.
        """
        fleet = Fleet(servers=0)

        async def send_all():
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(fleet.send, "first", make_call(), 0.03)
                await trio.sleep(0.01)
                nursery.start_soon(fleet.send, "second", make_call())
                await trio.sleep(1.0)
                fleet.servers.append(make_server())

        virtualtime.run(send_all, seed=seed)
        self.assertEqual(fleet.waited["first"], [None, None])
        self.assertLessEqual(
            fleet.waited["second"][0], 1.0001 + serverwait.RECHECK_S
        )

    @virtual.on_virtual_time
    async def test_call_whose_time_has_passed_gets_no_server(self):
        """Guards against a server that the call has no time to use."""
        fleet = Fleet(servers=0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.send, "late", make_call(), 0.03)
            await trio.sleep(0.01)
            fleet.servers.append(make_server())
        self.assertEqual(fleet.waited["late"], [None])
        self.assertEqual(fleet.in_flight(), 0)

    @virtual.on_virtual_time
    async def test_wait_ends_in_time(self):
        fleet = Fleet(servers=0)
        await fleet.send("late", make_call(), until=0.5)
        self.assertEqual(fleet.waited["late"], [None])
        self.assertAlmostEqual(trio.current_time(), 0.5, delta=0.06)
        self.assertEqual(fleet.waits.waiting().total(), 0)
