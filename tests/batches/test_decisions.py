"""Placement, moves, loads and sizes, each under the load it answers."""

import random
import unittest

import parameterized

from kingcupscale.batches import batch
from kingcupscale.batches import moving
from kingcupscale.batches import placement
from kingcupscale.batches import record
from kingcupscale.batches import sample
from kingcupscale.batches import weights
from kingcupscale.capacity import fleetsize
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.gateway import backoff
from kingcupscale.gateway import placement as call_placement

ROUTE = catalogue.Route(
    "train",
    "host",
    "/train/",
    catalogue.RouteKind.BATCH,
    (catalogue.Share("engines", 1.0),),
    due_s=7.5,
)


def make_server(name, zone="a", slots=8, versions=None, pace=1.0, busy=0):
    entry = registry.ServerEntry(
        name,
        "engines",
        f"{name}:80",
        zone,
        registry.ServerState.READY,
        slots,
        start_ms=1,
    )
    return registry.Server(
        entry,
        versions=versions or {"m": 1},
        relative_latency=pace,
        in_flight=busy,
    )


def make_sample(name, tokens=800, model="m", minimum=1, submitted_ms=0):
    item = batch.Item(name, "/train/x", {}, b"", 0, name, None, tokens)
    made = batch.Batch(
        f"b-{name}", "org", "train", "host", 0, model, minimum, 1, [item]
    )
    return sample.Sample(item, record.Record(made, submitted_ms), ROUTE)


def replay(choose, lengths, paces, slots=4, token_s=0.001):
    """Returns when the last of a step's samples ends, in seconds."""
    servers = [
        make_server(f"e{i}", slots=slots, pace=p) for i, p in enumerate(paces)
    ]
    waiting = [make_sample(f"s{i}", n) for i, n in enumerate(lengths)]
    ends = []
    now = 0.0
    while waiting or ends:
        choice = choose(waiting, servers, now, token_s) if waiting else None
        if choice is not None:
            waiting.remove(choice.sample)
            server = choice.server
            share = 1 + placement.SLOWDOWN_PER_REQUEST * server.in_flight
            took_s = (
                choice.sample.item.length_hint
                * token_s
                * server.relative_latency
            )
            server.in_flight += 1
            ends.append((now + took_s * share, server))
            continue
        ends.sort(key=lambda end: end[0])
        now, server = ends.pop(0)
        server.in_flight -= 1
    return now


def choose_well(waiting, servers, now, token_s):
    each = placement.place_by_slack(waiting, servers, {}, now, 0, token_s)
    return next(each, None)


def choose_first(waiting, servers, now, token_s):
    return placement.place_first(waiting, servers, now)


class PlacementTest(unittest.TestCase):
    def test_step_with_few_long_samples_ends_sooner_than_by_arrival(self):
        rng = random.Random(7)
        better = worse = 0
        for _ in range(40):
            lengths = [rng.randint(100, 900) for _ in range(18)]
            lengths += [rng.randint(3000, 5000) for _ in range(2)]
            rng.shuffle(lengths)
            paces = [1.0, 1.0, 1.3]
            well = replay(choose_well, lengths, paces)
            first = replay(choose_first, lengths, paces)
            better += well < first
            worse += well > first * 1.02
        self.assertGreaterEqual(better, 30)
        self.assertLessEqual(worse, 2)

    @parameterized.parameterized.expand(
        [
            ("too_old", {"m": 2}, 3, 0.0, False),
            ("old_enough", {"m": 3}, 3, 0.0, True),
            ("loading", {"m": 3}, 3, 9.0, False),
            ("other_model", {"x": 9}, 3, 0.0, False),
        ]
    )
    def test_engine_can_run(self, _, versions, minimum, closed, expected):
        server = make_server("e", versions=versions)
        server.no_samples_until["m"] = closed
        waiting = make_sample("s", minimum=minimum)
        self.assertEqual(placement.can_run(waiting, server, 5.0), expected)

    def test_full_engines_get_nothing(self):
        servers = [make_server("e", slots=2, busy=2)]
        self.assertIsNone(choose_well([make_sample("s")], servers, 0.0, 0.001))

    def test_single_version_text_begins_anew_under_another_version(self):
        single = make_sample("s", minimum=2)
        single.route = catalogue.Route(
            "t",
            "h",
            "/",
            catalogue.RouteKind.BATCH,
            (catalogue.Share("e", 1.0),),
            single_version=True,
        )
        for version, kept in ((3, 1), (4, 0)):
            single.events = [sample.serverclient.StreamEvent(1, "t1", 3)]
            single.discard_unusable_text(version)
            self.assertEqual(len(single.events), kept)


class MovingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "slow_and_long",
                moving.RunProgress(6, 30, 0.1, 0),
                0.025,
                100,
                True,
            ),
            (
                "slow_at_its_end",
                moving.RunProgress(18, 20, 0.03, 0),
                0.02,
                24,
                False,
            ),
            (
                "as_fast",
                moving.RunProgress(6, 30, 0.03, 0),
                0.025,
                100,
                False,
            ),
            (
                "too_early",
                moving.RunProgress(2, 2, 0.5, 0),
                0.025,
                100,
                False,
            ),
            (
                "moved_often",
                moving.RunProgress(6, 30, 0.2, 4),
                0.025,
                100,
                False,
            ),
            (
                "other_unknown",
                moving.RunProgress(4, 4, 0.025, 0),
                0.0,
                300,
                False,
            ),
            (
                "past_its_hint",
                moving.RunProgress(6, 90, 0.1, 0),
                0.025,
                20,
                True,
            ),
        ]
    )
    def test_should_move(self, _, pace, other, expected, verdict):
        self.assertEqual(moving.should_move(pace, other, expected), verdict)


class WeightsTest(unittest.TestCase):
    def _play(self, choose, steps=12, engines=6, models=3):
        """Returns loads, and steps that had no engine at their start."""
        names = [f"m{i}" for i in range(models)]
        servers = [
            make_server(f"e{i}", versions=dict.fromkeys(names, 1))
            for i in range(engines)
        ]
        named = dict.fromkeys(names, 1)
        assigned = {}
        loads = unserved = 0
        for step in range(2, steps):
            for model in names:
                named[model] = step
                assigned = weights.assign(servers, named, assigned)
                usable = [s for s in servers if s.versions[model] >= step - 1]
                unserved += not usable
                for _ in range(3):
                    due = choose(servers, named, assigned)
                    loads += len(due)
                    for load in due:
                        load.server.versions[load.model] = load.version
        return loads, unserved

    def test_engines_alternate_and_load_less_than_all(self):
        loads, unserved = self._play(
            lambda servers, named, assigned: weights.choose_loads(
                servers, named, assigned, 1, set()
            )
        )
        all_loads, _ = self._play(
            lambda servers, named, assigned: weights.choose_all(
                servers, named, set()
            )
        )
        self.assertEqual(unserved, 0)
        self.assertLess(loads, all_loads / 2)

    def test_few_load_at_a_time_and_the_neediest_model_first(self):
        servers = [
            make_server(f"e{i}", versions={"a": 1, "b": 1}) for i in range(4)
        ]
        servers[3].versions["a"] = 5
        assigned = {m: {s.id for s in servers} for m in "ab"}
        due = weights.choose_loads(
            servers, {"a": 5, "b": 5}, assigned, 1, {"e3"}
        )
        self.assertEqual([load.model for load in due], ["b"])

    def test_new_leader_finds_the_engines_of_a_model_by_their_weights(self):
        servers = [make_server(f"e{i}", versions={"m": 1}) for i in range(6)]
        for server in servers[3:]:
            server.versions["m"] = 7
        found = weights.assign(servers, {"m": 7, "n": 1, "o": 1}, {})
        self.assertEqual(found["m"], {"e3", "e4", "e5"})

    def test_lost_engine_moves_only_what_it_held(self):
        servers = [make_server(f"e{i}") for i in range(6)]
        named = {"m": 1, "n": 1}
        before = weights.assign(servers, named, {})
        after = weights.assign(servers[:-1], named, before)
        for model in named:
            kept = before[model] - {"e5"}
            self.assertLessEqual(len(kept - after[model]), 1)
            self.assertNotIn("e5", after[model])


class SizeTest(unittest.TestCase):
    SCALING = catalogue.Scaling(1, 3, 4.0, 0.2, {"a": 0.85, "b": 1.2, "c": 1.0})

    @parameterized.parameterized.expand(
        [
            ("least", 0, set(), {"a": 1, "b": 1, "c": 1}),
            ("cheapest_first", 5, set(), {"a": 2, "b": 1, "c": 2}),
            ("closed_zone", 6, {"c"}, {"a": 3, "b": 2, "c": 1}),
            ("bounded", 50, set(), {"a": 3, "b": 3, "c": 3}),
        ]
    )
    def test_wanted_by_zone(self, _, total, closed, expected):
        self.assertEqual(
            fleetsize.wanted_by_zone(self.SCALING, total, closed), expected
        )

    def test_peak_is_remembered_and_then_forgotten(self):
        demand = fleetsize.Demand()
        demand.note(0.0, 40)
        demand.note(30.0, 0)
        self.assertEqual(demand.servers(8), 4)
        demand.note(100.0, 0)
        self.assertEqual(demand.servers(8), 0)


class CallPlacementTest(unittest.TestCase):
    def _spread(self, choose):
        """Returns the longest queue when callers come unevenly by zone."""
        rng = random.Random(3)
        servers = [make_server(f"e{z}", z, 6) for z in "abc"]
        for _ in range(15):
            server = choose(servers, "a", 0.0, rng)
            server.in_flight += 1
        return max(server.in_flight for server in servers)

    def test_uneven_callers_are_spread_better_than_by_chance(self):
        well = self._spread(call_placement.choose)
        chance = self._spread(call_placement.choose_random)
        self.assertLess(well, chance)

    def test_own_zone_is_kept_while_it_costs_nothing(self):
        rng = random.Random(3)
        servers = [make_server(f"e{z}", z, 6) for z in "abc"]
        chosen = call_placement.choose(servers, "b", 0.0, rng)
        self.assertEqual(chosen.id, "eb")


class RefusalTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(0.0, 2.0), (0.1, 2.0), (30.0, 2.0), (0.5, 0.1)]
    )
    def test_callers_return_apart_and_in_time(self, wait_s, left_s):
        rng = random.Random(1)
        told = {backoff.retry_after_s(wait_s, left_s, rng) for _ in range(20)}
        self.assertTrue(all(0 < s <= max(0.05, left_s / 3) for s in told))
        if wait_s < left_s / 4:
            self.assertGreater(len(told), 5)
