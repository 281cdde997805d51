"""Which engines load which weight version, and how many.

The load pattern: trainers of several models name a version every 3 to 5 s and
submit a step with it that accepts the version before, while only a few engines
can load at the same time.
"""

import unittest

import attrs
import parameterized

from bench import weightreplay
from kingcupscale.batches import demand
from kingcupscale.batches import loadlimit
from kingcupscale.batches import weights
from tests.batches import test_decisions

NEED = weights.Need(newest=5, engines=2, usable_engines=4)
# Fewer and shorter replays than those of the design note.
SCENARIOS = {
    name: attrs.evolve(scenario, seconds=60.0)
    for name, scenario in weightreplay.SCENARIOS.items()
}


def make_servers(versions, model="m"):
    """Returns engines with these versions of a model, and of others."""
    return [
        test_decisions.make_server(
            f"e{i}", versions=each if isinstance(each, dict) else {model: each}
        )
        for i, each in enumerate(versions)
    ]


def choose(servers, needs, loading=(), room=9, load_s=1.2, candidates=None):
    """Returns the ids of the engines that load, with the model."""
    chosen = weights.choose_loads(
        servers,
        servers if candidates is None else candidates,
        needs,
        1,
        {load.server.id: load for load in loading},
        room,
        load_s,
    )
    return [(load.server.id, load.model) for load in chosen]


class ChooseLoadsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            # Engines with the previous version serve the present step.
            ("outdated_first", [4, 3, 4, 2], ["e1", "e3"]),
            ("half_of_all_if_all_are_usable", [4, 4, 4, 4], ["e0", "e1"]),
            ("present_step_keeps_its_engines", [4, 4, 4], ["e0", "e1"]),
            ("no_more_than_needed", [5, 5, 4, 4, 3, 3], []),
            ("in_place_of_a_lost_engine", [5, 5, 4, 3, 3], ["e3"]),
            # A new leader has no memory: the engines' weights decide.
            ("recent_before_old", [4, 4, 1, 3, 3], ["e3", "e4"]),
            ("unknown_version_is_left", [0, 0, 4], ["e2"]),
        ]
    )
    def test_engines(self, _, versions, expected):
        found = choose(make_servers(versions), {"m": NEED})
        self.assertEqual([server for server, _ in found], expected)

    @parameterized.parameterized.expand(
        [
            ("fewest_usable_first", [3, 4, 3], [4, 4, 3], {}, "a"),
            (
                "relative_to_its_need",
                [4, 4, 3],
                [4, 4, 3],
                {"usable_engines": 8},
                "b",
            ),
            # Its load would end after the next version is published.
            (
                "late_yields",
                [5, 4, 3],
                [5, 3, 3],
                {"next_version_s": 0.5},
                "a",
            ),
        ]
    )
    def test_most_urgent_model(self, _, held_a, held_b, need_b, expected):
        servers = make_servers(
            [{"a": a, "b": b} for a, b in zip(held_a, held_b, strict=True)]
        )
        needs = {"a": NEED, "b": attrs.evolve(NEED, **need_b)}
        self.assertEqual(choose(servers, needs, room=1)[0][1], expected)

    def test_models_share_few_engines(self):
        servers = make_servers([{"a": 3, "b": 5}, {"a": 3, "b": 2}])
        needs = {"a": NEED, "b": attrs.evolve(NEED, engines=1)}
        self.assertEqual(choose(servers, needs, room=1), [("e1", "a")])

    def test_versions_are_spread_over_the_zones(self):
        # Samples may be restricted to a zone, and a zone may be lost.
        servers = [
            test_decisions.make_server(f"e{i}", zone, versions={"m": 3})
            for i, zone in enumerate("aaabbb")
        ]
        found = {server for server, _ in choose(servers, {"m": NEED})}
        self.assertEqual(found, {"e0", "e3", "e1", "e4"})

    def test_loads_in_progress_count_and_occupy_their_engine(self):
        servers = make_servers([3, 3, 3])
        loading = [weights.Load(servers[0], "m", 5)]
        need = attrs.evolve(NEED, usable_engines=2)
        found = choose(servers, {"m": need}, loading)
        self.assertEqual(found, [("e1", "m")])

    def test_engine_that_is_ejected_briefly_is_not_replaced(self):
        servers = make_servers([5, 5, 4, 4, 3])
        self.assertEqual(
            choose(servers, {"m": NEED}, candidates=servers[1:]), []
        )


class DemandTest(unittest.TestCase):
    def test_trainer_that_names_versions_fast_leaves_loads_to_others(self):
        found = demand.Demand()
        for second in range(0, 40, 4):
            targets = {"m": 1 + second // 4, "n": 1 + 5 * second}
            found.observe(targets, [], float(second))
        servers = [
            test_decisions.make_server(f"e{i}", slots=6) for i in range(36)
        ]
        needs = found.plan(servers, 7 / 1.2, 36.0)
        self.assertGreaterEqual(needs["m"].engines, 3)

    @parameterized.parameterized.expand(
        [
            # 64 items need 11 engines with 6 slots.
            ("all_loads_possible", 36, 1, 64, 100.0, (11, 22)),
            ("seven_at_a_time", 36, 4, 64, 7 / 1.2, (4, 8)),
            ("small_steps", 36, 1, 16, 100.0, (3, 6)),
            ("more_than_all_engines", 4, 4, 64, 2 / 1.2, (1, 2)),
            ("half_as_much_again_as_a_share", 5, 3, 64, 2 / 1.2, (2, 3)),
            ("one_model_on_all_engines", 4, 1, 64, 2 / 1.2, (2, 4)),
        ]
    )
    def test_engines(self, _, engines, models, items, loads_per_s, expected):
        names = [f"m{i}" for i in range(models)]
        found = demand.Demand()
        found.observe(dict.fromkeys(names, 1), [], 0.0)
        for each in found.models.values():
            each.items = items
        servers = [
            test_decisions.make_server(f"e{i}", slots=6) for i in range(engines)
        ]
        need = found.plan(servers, loads_per_s, 0.0)["m0"]
        self.assertEqual((need.engines, need.usable_engines), expected)

    def test_next_version_is_expected_after_the_average_interval(self):
        found = demand.Demand()
        for version, now in ((1, 0.0), (2, 3.0), (3, 7.0)):
            found.observe({"m": version}, [], now)
        server = test_decisions.make_server("e")
        paused = demand.ModelDemand(1, named_at=0.0, interval_s=4.0)
        paused.observe(2, 300.0)
        self.assertLess(paused.interval_s, 6.0)
        left_s = [
            found.plan([server], 1.0, now)["m"].next_version_s
            for now in (8.0, 12.0)
        ]
        self.assertEqual(left_s, [3.0, float("inf")])


class ReplayTest(unittest.TestCase):
    """The rule in use against the former one, on known deployments."""

    def _measure(self, name, make_rule=weightreplay.NeedRule):
        return weightreplay.measure(SCENARIOS[name], make_rule, (1, 2))

    @parameterized.parameterized.expand(
        [("36 engines, 7 bear",), ("40 engines, 8 bear, 3 models",)]
    )
    def test_large_deployment_waits_less(self, name):
        former = self._measure(name, weightreplay.FormerRule)
        found = self._measure(name)
        self.assertLess(found.first_s[0], former.first_s[0] / 3)
        self.assertLess(found.later_s[0], former.later_s[0] / 1.5)
        self.assertLess(found.load_s[0], former.load_s[0] / 2)

    @parameterized.parameterized.expand(
        [("36 engines, 7 bear",), ("18 engines, 7 bear, small steps",)]
    )
    def test_fewer_loads_than_with_the_former_rule_and_the_limit(self, name):
        former = self._measure(
            name, lambda: weightreplay.FormerRule(loadlimit.LoadLimit())
        )
        self.assertLess(self._measure(name).loads, 0.85 * former.loads)

    @parameterized.parameterized.expand(
        [
            ("4 engines, 2 bear",),
            ("4 engines, 2 bear, small steps",),
            ("5 engines, 2 bear, 3 models, small steps",),
            ("4 engines, 2 bear, 1 model",),
        ]
    )
    def test_small_deployment_is_not_worse(self, name):
        former = self._measure(name, weightreplay.FormerRule)
        found = self._measure(name)
        self.assertLessEqual(found.first_s[0], 1.05 * former.first_s[0] + 0.05)
        self.assertLessEqual(found.later_s[0], 1.05 * former.later_s[0])
        self.assertGreaterEqual(found.steps, 0.95 * former.steps)
