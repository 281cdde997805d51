"""Placement of duties on the powerful nodes of a fleet of unequal VMs.

Guards against a service's leader or a model's samples ending on a VM that is
too weak for them although more powerful VMs are idle, and against one powerful
VM getting all duties.
"""

import random
import unittest

import parameterized
import trio

from kingcupscale import candidates
from kingcupscale import settling
from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import nodeentry
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from tests import virtual
from tests.platform import harness

MODELS = (harness.MODEL, "beta", "gamma", "delta", "epsilon", "zeta")
DUTIES = ("engines", *(f"engines/{model}" for model in MODELS))
STRONG, WEAK = 2.15, 0.516
# Time within which all nodes start.
START_SPREAD_S = 0.3
# Time after which the duties no longer move.
PLACED_S = 4.5


def make_candidates(capacities, holders=(), values=()):
    """Returns candidates that know nodes with these capacities.

    Args:
        capacities: Cores by node; None for an entry without capacity.
        holders: Nodes by duty.
        values: Raw entries by node, instead of capacities.
    """
    mirror = mirrors.StoreMirror(None, None, "n0", None, None)
    found = candidates.Candidates(mirror, "n0")
    entries = {
        name: nodeentry.encode(f"{name}:3", cores, 0.0)
        for name, cores in capacities.items()
    }
    for name, value in (entries | dict(values)).items():
        mirror.apply(stores.Entry(locks.NODES_PREFIX + name, value, 1, 1))
    for duty, node in dict(holders).items():
        value = f"{node} 7".encode()
        mirror.apply(stores.Entry(locks.DUTIES_PREFIX + duty, value, 1, 1))
    return found


def make_fleet(strong, weak):
    """Returns the capacities of a fleet of two sizes, by node."""
    return {f"s{i}": STRONG for i in range(strong)} | {
        f"w{i}": WEAK for i in range(weak)
    }


class RankingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("strong_before_weak", {"a": 1.0, "b": 0.7}, {}, {"a"}),
            ("similar_are_equal", {"a": 1.0, "b": 0.8}, {}, {"a", "b"}),
            ("unknown_is_one", {"a": None, "b": 0.7}, {}, {"a"}),
            ("busy_last", {"a": 1.0, "b": 0.9}, {"o": "a"}, {"b"}),
            ("busy_strong", {"a": 2.0, "b": 0.6}, {"o": "a"}, {"a"}),
            ("too_busy", {"a": 1.0, "b": 0.7}, {"o": "a"}, {"b"}),
            (
                "idle_strong_before_busy_strong",
                {"a": 2.0, "b": 2.0, "c": 0.6},
                {"o": "a"},
                {"b"},
            ),
        ]
    )
    def test_best_candidates(self, _, capacities, holders, expected):
        found = make_candidates(capacities, holders)
        best = {found.idle_ranking(f"duty {n}")[0] for n in range(50)}
        self.assertEqual(best, expected)

    @parameterized.parameterized.expand(
        [
            ("no_json", b"\xff{"),
            ("empty", b""),
            ("list", b"[1]"),
            ("text", b'{"peers":"x:1","cores":"many"}'),
            ("negative", b'{"peers":"x:1","cores":-4}'),
            ("zero", b'{"peers":"x:1","cores":0}'),
            ("boolean", b'{"peers":"x:1","cores":true}'),
            ("excessive", b'{"peers":"x:1","cores":1e300}'),
            ("older_release", b'{"peers":"x:1"}'),
        ]
    )
    def test_invalid_entry_counts_as_one_core(self, _, value):
        """Guards against one entry that stops the node or outranks all."""
        found = make_candidates({"a": 2.0, "b": 0.5}, values={"x": value})
        self.assertEqual(found.capacities()["x"], 1.0)
        self.assertEqual(found.ranking("duty")[0], "a")
        self.assertEqual(len(found.idle_ranking("duty")), 3)

    def test_duties_are_counted_by_tier(self):
        held = {"a": "s0", "b": "w0", "c": "gone", "d": "s1"}
        found = make_candidates(make_fleet(2, 3), held)
        self.assertEqual(found.count_duties_by_tier(), (2, 2))

    def test_single_strong_node_does_not_get_all_duties(self):
        names = {"s": 1.0} | {f"w{i}": 0.7 for i in range(54)}
        holders = {}
        for duty in DUTIES:
            holders[duty] = make_candidates(names, holders).idle_ranking(duty)[
                0
            ]
        self.assertEqual(len(set(holders.values())), len(DUTIES))
        self.assertIn("s", holders.values())


class SettlingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("alone", [("own", 0.1)], 0.1 + settling.QUIET_S),
            (
                "others_at_once",
                [("own", 0.1), ("b", 0.2), ("c", 0.4)],
                0.4 + settling.QUIET_S,
            ),
            (
                "joining_for_long",
                [("own", 0.1), ("b", 0.5), ("c", 0.9), ("d", 1.3)],
                0.1 + settling.MAX_WAIT_S,
            ),
            ("slow_store", [("own", 0.6), ("b", 0.9)], 1.5),
            ("not_registered", [("b", 0.2)], settling.MAX_UNREGISTERED_S),
        ]
    )
    @virtual.on_virtual_time
    async def test_wait_ends_when_no_more_nodes_appear(self, _, seen, expected):
        wait = settling.Settling(virtualtime.VirtualClock(), "own", True)

        async def note():
            for name, at in seen:
                await trio.sleep_until(began_at + at)
                wait.note_node(name)

        began_at = trio.current_time()
        wait.begin()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(note)
            await wait.wait()
            waited_s = trio.current_time() - began_at
        self.assertAlmostEqual(
            waited_s, expected, delta=settling.CHECK_INTERVAL_S
        )


def holders(site):
    """Returns the holder of each duty according to the store."""
    values = [site.store.value(locks.DUTIES_PREFIX + duty) for duty in DUTIES]
    return [(value or b"").decode().partition(" ")[0] for value in values]


async def start_at_once(site, rng, capacities):
    """Starts nodes with these capacities within a moment.

    The order is random, or the weak nodes are first if there is no ``rng``.
    """
    names = sorted(capacities, reverse=True)
    if rng is not None:
        rng.shuffle(names)
    site.nodes = [
        harness.Node(site, name, "ab"[number % 2], capacities[name])
        for number, name in enumerate(names)
    ]
    for node in site.nodes:
        site.nursery.start_soon(node.run)
        await trio.sleep(START_SPREAD_S / len(names))


def open_site(nursery):
    """Returns a site without nodes."""
    site = harness.Site(nursery, nodes=0)
    site.write_configuration(harness.make_configuration(models=MODELS))
    return site


class StartTest(unittest.TestCase):
    """Starts all nodes at once, in random order, so the first may be weak."""

    @parameterized.parameterized.expand(
        [
            ("random_order", random.Random(1), make_fleet(12, 43), 0.004),
            ("weak_first", None, make_fleet(12, 43), 0.004),
            ("weak_first_slow_store", None, make_fleet(12, 43), 0.15),
            (
                "equal",
                random.Random(3),
                {f"s{i}": 1.0 for i in range(55)},
                0.004,
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_each_duty_gets_a_strong_node_of_its_own(
        self, _, rng, fleet, latency_s
    ):
        async with trio.open_nursery() as nursery:
            site = open_site(nursery)
            site.store.latency_s = latency_s
            await start_at_once(site, rng, fleet)
            await trio.sleep(PLACED_S)
            placed = holders(site)
            self.assertEqual(len(set(placed)), len(DUTIES), placed)
            self.assertEqual({name[:1] for name in placed}, {"s"}, placed)
            await trio.sleep(2)
            self.assertEqual(holders(site), placed)
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [
            ("few_strong", make_fleet(3, 20), 1 + len(DUTIES)),
            # A fourth duty would leave less per duty than an idle node has.
            ("one_strong", make_fleet(1, 20), 3),
            ("small_fleet", make_fleet(1, 2), 1 + len(DUTIES)),
        ]
    )
    @virtual.on_virtual_time
    async def test_strong_nodes_hold_several_duties_if_they_are_few(
        self, _, fleet, expected
    ):
        async with trio.open_nursery() as nursery:
            site = open_site(nursery)
            await start_at_once(site, random.Random(7), fleet)
            await trio.sleep(PLACED_S)
            # Includes the duty to report usage.
            held = site.nodes[0].runtime.candidates.holders()
            placed = [name[:1] for name in held.values()]
            self.assertEqual(placed.count("s"), expected, held)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_duties_of_a_dead_strong_node_go_to_strong_nodes(self):
        async with trio.open_nursery() as nursery:
            site = open_site(nursery)
            rng = random.Random(4)
            await start_at_once(site, rng, make_fleet(12, 20))
            await trio.sleep(PLACED_S)
            for duty in (DUTIES[0], DUTIES[1]):
                dead = holders(site)[DUTIES.index(duty)]
                site.network.crash(dead)
                await trio.sleep(PLACED_S)
                placed = holders(site)
                self.assertNotIn(dead, placed)
                self.assertEqual({name[:1] for name in placed}, {"s"}, placed)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_holder_keeps_its_duty_when_a_stronger_node_joins(self):
        async with trio.open_nursery() as nursery:
            site = open_site(nursery)
            weak = {f"w{i}": WEAK for i in range(12)}
            await start_at_once(site, random.Random(5), weak)
            await trio.sleep(PLACED_S)
            placed = holders(site)
            self.assertEqual(len(set(placed)), len(DUTIES))
            strong = harness.Node(site, "s0", "a", STRONG)
            nursery.start_soon(strong.run)
            await trio.sleep(PLACED_S)
            self.assertEqual(holders(site), placed)
            nursery.cancel_scope.cancel()
