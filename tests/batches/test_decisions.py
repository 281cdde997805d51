"""Decisions about placement, fleet size and retry delays.

Each is tested with the load pattern that it is made for.
"""

import random
import unittest

import parameterized

from kingcupscale.batches import batch
from kingcupscale.batches import order
from kingcupscale.batches import placement
from kingcupscale.batches import record
from kingcupscale.batches import sample
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


def choose_in_order(waiting, servers, now, token_s):
    each = placement.place_in_order(
        waiting,
        lambda: waiting,
        servers,
        {},
        now,
        0,
        order.Speed(token_s, 30.0),
    )
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
            in_order = replay(choose_in_order, lengths, latencies)
            first = replay(choose_first, lengths, latencies)
            better += in_order < first
            worse += in_order > first * 1.02
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

    @parameterized.parameterized.expand(
        [("held", {"m": 5.05}, False), ("other_model", {"x": 9.0}, True)]
    )
    def test_engine_that_is_cold_can_run(self, _, held_until, expected):
        server = make_server("e", versions={"m": 1})
        server.samples_held_until.update(held_until)
        waiting = make_sample("s", minimum=1)
        self.assertEqual(placement.can_run(waiting, server, 5.0), expected)

    def test_full_engines_get_nothing(self):
        servers = [make_server("e", slots=2, in_flight=2)]
        self.assertIsNone(
            choose_in_order([make_sample("s")], servers, 0.0, 0.001)
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
