"""Decisions about placement, moves, weight loads, fleet size and retry delays.

Each is tested with the load pattern that it is made for.
"""

import random
import unittest

import parameterized

from kingcupscale.batches import batch
from kingcupscale.batches import moving
from kingcupscale.batches import placement
from kingcupscale.batches import record
from kingcupscale.batches import sample
from kingcupscale.batches import weights
from kingcupscale.capacity import autoscaler
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


def make_server(
    name, zone="a", slots=8, versions=None, latency=1.0, in_flight=0
):
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
        relative_latency=latency,
        in_flight=in_flight,
    )


def make_sample(name, tokens=800, model="m", minimum=1, submitted_ms=0):
    item = batch.Item(name, "/train/x", {}, b"", 0, name, None, tokens)
    made = batch.Batch(
        f"b-{name}", "org", "train", "host", 0, model, minimum, 1, [item]
    )
    return sample.Sample(item, record.Record(made, submitted_ms), ROUTE)


def replay(choose, lengths, latencies, slots=4, token_s=0.001):
    """Returns when the last of a step's samples finishes, in seconds."""
    servers = [
        make_server(f"e{i}", slots=slots, latency=value)
        for i, value in enumerate(latencies)
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


def choose_by_slack(waiting, servers, now, token_s):
    each = placement.place_by_slack(waiting, servers, {}, now, 0, token_s)
    return next(each, None)


def choose_first(waiting, servers, now, token_s):
    return placement.place_first(waiting, servers, now)


class PlacementTest(unittest.TestCase):
    def test_step_with_few_long_samples_ends_sooner_than_in_arrival_order(self):
        rng = random.Random(7)
        better = worse = 0
        for _ in range(40):
            lengths = [rng.randint(100, 900) for _ in range(18)]
            lengths += [rng.randint(3000, 5000) for _ in range(2)]
            rng.shuffle(lengths)
            latencies = [1.0, 1.0, 1.3]
            by_slack = replay(choose_by_slack, lengths, latencies)
            first = replay(choose_first, lengths, latencies)
            better += by_slack < first
            worse += by_slack > first * 1.02
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
    def test_engine_can_run(
        self, _, versions, minimum, no_samples_until, expected
    ):
        server = make_server("e", versions=versions)
        server.no_samples_until["m"] = no_samples_until
        waiting = make_sample("s", minimum=minimum)
        self.assertEqual(placement.can_run(waiting, server, 5.0), expected)

    def test_full_engines_get_nothing(self):
        servers = [make_server("e", slots=2, in_flight=2)]
        self.assertIsNone(
            choose_by_slack([make_sample("s")], servers, 0.0, 0.001)
        )

    def test_single_version_text_restarts_under_another_version(self):
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
    def test_should_move(self, _, run, other, expected, is_moved):
        self.assertEqual(moving.should_move(run, other, expected), is_moved)


class WeightsTest(unittest.TestCase):
    def _simulate(self, choose, steps=12, engines=6, models=3):
        """Returns the number of loads, and of steps without a usable engine."""
        names = [f"m{i}" for i in range(models)]
        servers = [
            make_server(f"e{i}", versions=dict.fromkeys(names, 1))
            for i in range(engines)
        ]
        targets = dict.fromkeys(names, 1)
        assigned = {}
        loads = unserved = 0
        for step in range(2, steps):
            for model in names:
                targets[model] = step
                assigned = weights.assign(servers, targets, assigned)
                usable = [s for s in servers if s.versions[model] >= step - 1]
                unserved += not usable
                for _ in range(3):
                    due = choose(servers, targets, assigned)
                    loads += len(due)
                    for load in due:
                        load.server.versions[load.model] = load.version
        return loads, unserved

    def test_engines_alternate_and_load_less_than_in_the_baseline(self):
        loads, unserved = self._simulate(
            lambda servers, targets, assigned: weights.choose_loads(
                servers, targets, assigned, 1, set()
            )
        )
        all_loads, _ = self._simulate(
            lambda servers, targets, assigned: weights.choose_all(
                servers, targets, set()
            )
        )
        self.assertEqual(unserved, 0)
        self.assertLess(loads, all_loads / 2)

    def test_few_engines_load_at_a_time_and_least_served_model_first(self):
        servers = [
            make_server(f"e{i}", versions={"a": 1, "b": 1}) for i in range(4)
        ]
        servers[3].versions["a"] = 5
        assigned = {m: {s.id for s in servers} for m in "ab"}
        due = weights.choose_loads(
            servers, {"a": 5, "b": 5}, assigned, 1, {"e3"}
        )
        self.assertEqual([load.model for load in due], ["b"])

    def test_new_leader_assigns_engines_by_their_weights(self):
        servers = [make_server(f"e{i}", versions={"m": 1}) for i in range(6)]
        for server in servers[3:]:
            server.versions["m"] = 7
        found = weights.assign(servers, {"m": 7, "n": 1, "o": 1}, {})
        self.assertEqual(found["m"], {"e3", "e4", "e5"})

    def test_lost_engine_changes_few_assignments(self):
        servers = [make_server(f"e{i}") for i in range(6)]
        targets = {"m": 1, "n": 1}
        before = weights.assign(servers, targets, {})
        after = weights.assign(servers[:-1], targets, before)
        for model in targets:
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
            autoscaler.wanted_by_zone(self.SCALING, total, closed), expected
        )

    def test_peak_demand_is_kept_for_a_while(self):
        demand = autoscaler.Demand()
        demand.record(0.0, 40)
        demand.record(30.0, 0)
        self.assertEqual(demand.required_servers(8), 4)
        demand.record(100.0, 0)
        self.assertEqual(demand.required_servers(8), 0)


class CallPlacementTest(unittest.TestCase):
    def _spread(self, choose):
        """Returns the longest queue if all callers are in one zone."""
        rng = random.Random(3)
        servers = [make_server(f"e{z}", z, 6) for z in "abc"]
        for _ in range(15):
            server = choose(servers, "a", 0.0, rng)
            server.in_flight += 1
        return max(server.in_flight for server in servers)

    def test_uneven_callers_are_spread_better_than_at_random(self):
        chosen = self._spread(call_placement.choose)
        at_random = self._spread(call_placement.choose_random)
        self.assertLess(chosen, at_random)

    def test_own_zone_is_preferred_if_it_costs_nothing(self):
        rng = random.Random(3)
        servers = [make_server(f"e{z}", z, 6) for z in "abc"]
        chosen = call_placement.choose(servers, "b", 0.0, rng)
        self.assertEqual(chosen.id, "eb")


class BackoffTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(0.0, 2.0), (0.1, 2.0), (30.0, 2.0), (30.0, 60.0), (0.5, 0.1)]
    )
    def test_retry_delays_differ_and_stay_within_the_time_left(
        self, wait_s, left_s
    ):
        rng = random.Random(1)
        delays = {backoff.retry_after_s(wait_s, left_s, rng) for _ in range(20)}
        self.assertTrue(all(0 < s <= max(0.05, left_s / 3) for s in delays))
        # Callers that were refused together must not return together.
        self.assertGreater(len(delays), 5)
