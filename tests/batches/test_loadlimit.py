"""The limit on concurrent loads, learned from how long loads take.

The load pattern: loads take 0.9 s, longer if more than a number of engines load
that no setting tells, and their ends are seen up to 0.4 s late.
"""

import random
import types
import unittest

import parameterized
import trio

from kingcupscale.batches import loader as loaders
from kingcupscale.batches import loadlimit
from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import serverclient
from tests import virtual
from tests.batches import test_decisions

STEP_S = 0.05
# Engines, engines that can load without slowing each other down, exponent of
# the slowdown, and the range of the noise in the durations in seconds.
KNOWN_DEPLOYMENTS = [
    ("two_of_four", 4, 2, 2, (0.0, 0.4)),
    ("seven_of_eighteen", 18, 7, 1, (0.0, 0.4)),
    ("eight_of_nineteen", 19, 8, 2, (0.0, 0.4)),
    ("few_of_many", 36, 7, 1, (0.0, 0.4)),
    ("few_of_many_and_steep", 36, 7, 2, (0.0, 0.4)),
    ("noise_in_both_directions", 18, 7, 2, (-0.3, 0.3)),
]


def replay(engines, bearable, power, noise, seconds=90.0, load_s=0.9):
    """Returns the limit over time while as many as allowed always load."""
    rng = random.Random(5)
    limit = loadlimit.LoadLimit()
    limits = []
    loads = []
    for tick in range(int(seconds / STEP_S)):
        now = tick * STEP_S
        active = [load for load in loads if load.left_s > 0]
        slowdown = max(1.0, len(active) / bearable) ** power
        for load in active:
            load.left_s -= STEP_S / slowdown
            load.seen_at = now + rng.uniform(*noise)
        for load in [x for x in loads if x.left_s <= 0 and x.seen_at <= now]:
            loads.remove(load)
            limit.record(load.ordered_at, now, load.peak, True)
        while len(loads) < min(engines, limit.current(engines)):
            loads.append(
                types.SimpleNamespace(
                    left_s=load_s, ordered_at=now, peak=0, seen_at=0.0
                )
            )
        for load in loads:
            load.peak = max(load.peak, len(loads))
        limits.append(limit.limit)
    return limits


class LoadLimitTest(unittest.TestCase):
    @parameterized.parameterized.expand(KNOWN_DEPLOYMENTS)
    def test_limit_stays_near_what_engines_bear(
        self, _, engines, bearable, power, noise
    ):
        limits = replay(engines, bearable, power, noise)[600:]
        # Without an increase, a limit that noise lowered would stay low;
        # without a decrease, all engines would load at once.
        self.assertGreaterEqual(min(limits), 0.7 * bearable)
        self.assertLessEqual(sum(limits) / len(limits), 1.75 * bearable)

    def test_limit_of_a_fleet_that_grew_rises_and_a_new_leaders_falls(self):
        limit = loadlimit.LoadLimit()
        # Until a load has been measured, the limit follows the engines.
        self.assertEqual([limit.current(n) for n in (7, 36)], [2, 15])
        limit.record(0.0, 1.2, 1, False)
        self.assertEqual([limit.current(n) for n in (7, 36)], [15, 15])
        self.assertGreaterEqual(replay(7, 7, 2, (0.0, 0.4), 30.0)[-1], 5)
        limits = replay(36, 7, 2, (0.0, 0.4), 8.0)
        self.assertEqual(limits[0], 15)
        self.assertLessEqual(limits[-1], 10)

    def test_limit_of_an_autoscaled_fleet_doubles_until_loads_are_slow(self):
        # With one more load each round, a fleet that grew from 7 to 36 engines
        # loaded two at a time for 30 s, while steps waited for their weights.
        limit = loadlimit.LoadLimit()
        limit.current(7)
        limit.record(0.0, 1.2, 1, False)
        limit.current(36)
        for second in range(3):
            for _ in range(limit.limit):
                limit.record(2 * second, 2 * second + 1.2, limit.limit, True)
        self.assertEqual(limit.limit, 15)
        for second in range(20, 28):
            for _ in range(limit.limit):
                limit.record(2 * second, 2 * second + 3.0, limit.limit, True)
        self.assertLess(limit.limit, 8)

    def test_limit_is_seldom_exceeded_where_loads_were_slow(self):
        limits = replay(4, 2, 2, (0.0, 0.4))[600:]
        self.assertLess(sum(limits) / len(limits), 2.15)

    @parameterized.parameterized.expand([(True, 3), (False, 2)])
    def test_limit_grows_only_if_it_delays_loads(self, is_limited, expected):
        limit = loadlimit.LoadLimit(2)
        for now in range(8):
            limit.record(now, now + 1.0, 2, is_limited)
        self.assertEqual(limit.limit, expected)

    def test_few_very_long_loads_lower_the_limit(self):
        limit = loadlimit.LoadLimit(10)
        for _ in range(4):
            limit.record(0.0, 3.0, 10, True)
        self.assertEqual(limit.limit, 7)

    def test_longer_loads_everywhere_do_not_pin_the_limit(self):
        limits = replay(18, 7, 2, (0.0, 0.4), 100.0, 3.0)
        self.assertGreaterEqual(limits[-1], 5)


class FakeEngines:
    """Engines that load in 0.9 s, of which some never answer.

    Attributes:
        ordered: Ids of the engines that got an order.
        status_delay_s: Seconds until a status request of a silent engine ends.
    """

    def __init__(self, silent):
        self.silent = silent
        self.ordered = []
        self.loaded_at = {}
        self.status_delay_s = 0.8

    async def order(self, server, order):
        self.ordered.append(server.id)
        self.loaded_at[server.id] = trio.current_time() + 0.9
        return serverclient.OrderOutcome.ACCEPTED

    async def fetch_engine_status(self, server):
        if server.id in self.silent and server.id in self.ordered:
            await trio.sleep(self.status_delay_s)
            raise serverclient.ServerError("no response", False)
        is_loaded = trio.current_time() >= self.loaded_at.get(server.id, 1e9)
        versions = {"m": 9} if is_loaded else {"m": 1}
        return serverclient.EngineStatus(versions, not is_loaded, 0)


def make_loader(engines, client):
    """Returns a loader of a service whose engines lag behind."""
    servers = [
        test_decisions.make_server(f"e{i}", versions={"m": 1})
        for i in range(engines)
    ]
    configured = catalogue.Catalogue(
        1, (), {"engines": catalogue.Service("engines", models=("m",))}, {}
    )
    return loaders.Loader(
        types.SimpleNamespace(
            name="engines",
            holder=lambda: None,
            is_held=lambda: True,
            fencing_token=1,
        ),
        types.SimpleNamespace(list_servers=lambda _: servers),
        client,
        {"m": 9},
        virtualtime.VirtualClock(),
        lambda: configured,
        lambda state: None,
    )


class LoaderTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("all_answer", set(), 5.4),
            ("one_does_not", {"e0"}, 7.4),
            ("two_do_not", {"e0", "e1"}, 7.4),
        ]
    )
    @virtual.on_virtual_time
    async def test_silent_engines_do_not_block_other_loads(
        self, _, silent, seconds
    ):
        client = FakeEngines(silent)
        loader = make_loader(8, client)
        # Three were slow, so the limit stays at two during the test.
        loader.limit.limit, loader.limit.slow_limit = 2, 3
        loader.limit.is_measured = True
        async with trio.open_nursery() as nursery:
            for _ in range(int(seconds / 0.2)):
                await loader.step(nursery)
                self.assertLessEqual(len(loader.loading) - len(silent), 2)
                await trio.sleep(0.2)
            nursery.cancel_scope.cancel()
        # A silent engine keeps its order for 8 s.
        self.assertEqual(len(set(client.ordered)), 8)

    @parameterized.parameterized.expand([(True, 1), (False, 0)])
    @virtual.on_virtual_time
    async def test_load_of_another_leaders_order_counts(self, loads, expected):
        client = FakeEngines(set())

        async def reject(server, order):
            return serverclient.OrderOutcome.BUSY

        async def report(server):
            return serverclient.EngineStatus({"m": 1}, loads, 0)

        client.order, client.fetch_engine_status = reject, report
        loader = make_loader(1, client)
        async with trio.open_nursery() as nursery:
            await loader.step(nursery)
        count = loader.count_in_progress(loader.clock.monotonic())
        self.assertEqual(count, expected)
