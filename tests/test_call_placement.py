"""Distribution of calls by nodes whose views of the load are old.

Nodes that follow the lowest reported load send their calls to the same servers
at the same time, and a node with few calls that picks any server opens a new
connection for each call.
"""

import collections
import random
import unittest
from unittest import mock

import parameterized

from bench import loadmodel
from bench import loadreplay
from kingcupscale.fleet import registry
from kingcupscale.gateway import placement

SERVICE = "s"


def make_server(server_id, zone="a", slots=6):
    entry = registry.ServerEntry(
        server_id,
        SERVICE,
        f"{server_id}:1",
        zone,
        registry.ServerState.READY,
        slots,
        1,
    )
    return registry.Server(entry)


def make_servers(count=18):
    return [make_server(f"e{n}", "abc"[n % 3]) for n in range(count)]


def make_placement(node="n", connections=(), regions=None):
    return placement.CallPlacement(
        node,
        "a",
        lambda server: server.entry.address in connections,
        random.Random(1),
        regions,
    )


def report(server, running, now, slowness=1.0):
    server.update_load(registry.LoadReport(running, 0, 6, slowness), now)


def record_latency(server, ratio, now):
    for _ in range(10):
        server.update_relative_latency(ratio)
    server.record_observation(now)


class ReplayTest(unittest.TestCase):
    """Fails if one of the mechanisms is removed."""

    NODES = 55
    SECONDS = 45.0

    def _run(self, strategy):
        found = [
            loadreplay.replay("usual", self.NODES, strategy, self.SECONDS, seed)
            for seed in (1, 2)
        ]
        return loadreplay.average(found)

    @classmethod
    def setUpClass(cls):
        cls.chosen = cls._run(cls(), "affinity")

    def test_load_is_more_even_and_connections_are_fewer(self):
        present, chosen = self._run("lowest cost"), self.chosen
        self.assertLess(chosen["spread"], 0.85 * present["spread"])
        self.assertLess(chosen["p99_ms"], 0.9 * present["p99_ms"])
        self.assertLess(chosen["connections"], 0.7 * present["connections"])

    @parameterized.parameterized.expand(
        [
            ("recent_calls", {"RECENT_WEIGHT": 0.0}, "spread"),
            ("part_of_the_report", {"REPORT_WEIGHT": 1.0}, "spread"),
            ("connections", {"CONNECTION_COST": 0.0}, "connections"),
        ]
    )
    def test_each_mechanism_contributes(self, _, constants, figure):
        with mock.patch.multiple(placement, **constants):
            without = self._run("affinity")
        self.assertGreater(without[figure], 1.08 * self.chosen[figure])

    @parameterized.parameterized.expand(
        [("missing",), ("frozen",), ("wrong",), ("server joins",)]
    )
    def test_invalid_reports_do_not_gather_the_calls(self, scenario):
        present, chosen = (
            loadreplay.replay(scenario, self.NODES, strategy, self.SECONDS, 1)
            for strategy in ("lowest cost", "affinity")
        )
        self.assertLess(chosen.spread, present.spread)
        self.assertLess(chosen.longest_queue, 4 * loadmodel.Load(55).slots)


class SubsetTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("size_2", 2), ("size_5", 5), ("size_9", 9)]
    )
    def test_joining_and_leaving_servers_move_little(self, _, size):
        mine, servers = make_placement(), make_servers()
        before = mine.subset(servers, size)
        joined = mine.subset([*servers, make_server("new")], size)
        self.assertLessEqual(len(before - joined), 1)
        for lost in servers:
            left = [server for server in servers if server is not lost]
            kept = mine.subset(left, size)
            self.assertLessEqual(len(before - {lost.id} - kept), 0)

    def test_nodes_prefer_different_servers(self):
        servers = make_servers()
        counts = collections.Counter(
            server_id
            for node in range(60)
            for server_id in make_placement(f"n{node}").subset(servers, 2)
        )
        # 120 choices of 6 servers in the zone.
        self.assertEqual(len(counts), 6)
        self.assertLess(max(counts.values()), 2 * 120 / 6)

    def test_own_zone_precedes_the_region_and_the_rest(self):
        servers = make_servers()
        mine = make_placement(regions={"a": "r1", "b": "r1", "c": "r2"})
        zones = [
            {s.entry.zone for s in servers if s.id in mine.subset(servers, n)}
            for n in (6, 12)
        ]
        self.assertEqual(zones, [{"a"}, {"a", "b"}])


class ChoiceTest(unittest.TestCase):
    def _count_servers(self, rate, latency_s=0.1, calls=400):
        """Returns how many servers a node uses at a call rate."""
        servers, open_connections = make_servers(), set()
        mine = make_placement(connections=open_connections)
        running, used, now = [], collections.Counter(), 0.0
        for _ in range(calls):
            now += 1 / rate
            while running and running[0][0] <= now:
                running.pop(0)[1].in_flight -= 1
            chosen = mine.choose(servers, now)
            mine.record_call(chosen, now)
            chosen.in_flight += 1
            open_connections.add(chosen.entry.address)
            running.append((now + latency_s, chosen))
            used[chosen.id] += 1
        return used

    def test_few_calls_use_few_servers_and_many_use_all_evenly(self):
        self.assertLessEqual(len(self._count_servers(0.3)), 2)
        # More calls than the servers of one zone run well.
        used = self._count_servers(20.0, latency_s=1.5)
        self.assertEqual(len(used), 18)
        in_zone = [used[s.id] for s in make_servers() if s.entry.zone == "a"]
        self.assertLess(max(in_zone), 1.5 * min(in_zone))

    @parameterized.parameterized.expand(
        [
            ("slow", lambda server: report(server, 0, 10.0, 2.5)),
            ("busy", lambda server: report(server, 18, 10.0)),
            ("failing", lambda server: setattr(server, "failures", 2)),
        ]
    )
    def test_connection_does_not_keep_a_node_at_a_bad_server(self, _, spoil):
        servers = make_servers()
        mine = make_placement(connections={"e0:1"})
        self.assertEqual(mine.choose(servers, 10.1).id, "e0")
        spoil(servers[0])
        self.assertNotEqual(mine.choose(servers, 10.1).id, "e0")

    @parameterized.parameterized.expand(
        [
            ("failure", lambda server: server.record_failure(0.0)),
            ("slow_spell", lambda server: record_latency(server, 8.0, 0.0)),
        ]
    )
    def test_server_gets_calls_again_without_being_tried(self, _, spoil):
        """Guards against a server that is avoided for good at low load."""
        servers = make_servers(6)
        addresses = {server.entry.address for server in servers}
        mine = make_placement(connections=addresses)
        first = {s.id for s in servers if s.entry.zone == "a"}
        spoil(servers[0])
        self.assertEqual(first, {"e0", "e3"})
        chosen = {}
        for start, end in ((0.5, 1.5), (6.0, 16.0)):
            used = collections.Counter()
            now = start
            while now < end:
                usable = [s for s in servers if s.is_usable(now)]
                server = mine.choose(usable, now)
                mine.record_call(server, now)
                used[server.id] += 1
                now += 0.1
            chosen[start] = used
        self.assertEqual(chosen[0.5]["e0"], 0)
        self.assertGreater(chosen[6.0]["e0"], 0.3 * chosen[6.0].total())

    def test_observations_keep_their_weight_while_calls_fail(self):
        server = make_server("e0")
        self.assertEqual(server.observation_weight(100.0), 1.0)
        for _ in range(4):
            server.record_failure(server.ejected_until)
        self.assertEqual(server.observation_weight(server.ejected_until), 1.0)
        half_s = registry.OBSERVATION_DECAY_S / 2
        later = server.ejected_until + half_s
        self.assertAlmostEqual(server.observation_weight(later), 0.5)

    def test_server_without_report_counts_as_busy_as_the_others(self):
        servers = make_servers(6)
        for server in servers[1:]:
            report(server, 4, 10.0)
        mean = placement._mean_other_utilisation(servers, 10.0)
        unknown = placement.estimate_load(servers[0], mean, 10.0)
        self.assertGreater(unknown, 3.0)
        self.assertLess(unknown, 4.0)

    def test_frozen_report_loses_its_weight(self):
        servers = [make_server("e0"), make_server("e1")]
        report(servers[0], 6, 10.0)
        mine = make_placement()
        early, late = (mine.costs(servers, now) for now in (10.0, 11.1))
        self.assertGreater(early["e0"], early["e1"])
        self.assertEqual(late["e0"], late["e1"])

    def test_no_candidate_and_no_slots_are_handled(self):
        mine = make_placement()
        self.assertIsNone(mine.choose([], 1.0))
        only = make_server("e0", "c", slots=0)
        self.assertIs(mine.choose([only], 1.0), only)
