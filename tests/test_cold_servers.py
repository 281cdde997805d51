"""Replays of many nodes that choose at once over cold servers.

Every node sends to a new server at once, because it has no load. Each test
guards against more requests in a second than the server's limit, by the time
at which they arrive.
"""

import contextlib
import itertools
import random
import unittest

import parameterized

from bench import coldreplay
from kingcupscale.batches import rejections
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import coldshares
from kingcupscale.fleet import eligibility
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.fleet import warmup

COLD_S = coldreplay.COLD_S
LIMIT = coldreplay.LIMIT
PER_S = coldreplay.PER_S


class ReplayTest(unittest.TestCase):
    def _assert_limited(self, replay, servers, start, seconds=COLD_S):
        for server in servers:
            times = replay.times(server, start, start + seconds)
            self.assertLessEqual(coldreplay.worst_second(times), LIMIT, server)

    @parameterized.parameterized.expand([(1,), (2,), (3,)])
    def test_new_server_gets_no_more_than_its_limit(self, seed):
        replay = coldreplay.start(seed)
        replay.start_server("new", "c")
        replay.run_until(130)
        self._assert_limited(replay, ["new"], 106)
        used = replay.times("new", 107, 115)
        self.assertGreater(len(used), 0.5 * PER_S * 8)
        self.assertEqual(replay.unserved, 0)
        # A blocked request costs a connection.
        self.assertLess(replay.blocked, 0.1 * len(used))
        self.assertGreater(len(replay.times("new", 117, 120)), 3 * LIMIT)

    def test_load_exceeds_the_limit_without_shares(self):
        replay = coldreplay.start(1, make_senders=None)
        replay.start_server("new", "c")
        replay.run_until(116)
        times = replay.times("new", 106, 116)
        self.assertGreater(coldreplay.worst_second(times), 2 * LIMIT)

    @parameterized.parameterized.expand([(1,), (2,)])
    def test_evacuated_zone_whose_neighbours_are_cold(self, seed):
        replay = coldreplay.start(seed)
        for number in range(4):
            replay.start_server(f"a{number}", "a", is_cold=False)
        replay.run_until(110)
        replay.evacuate("a")
        for number in range(3):
            replay.start_server(f"b{number}", "b")
        replay.run_until(125)
        in_zone = [a.at for a in replay.arrivals if a.zone == "a"]
        self.assertLess(max(in_zone), 110.5)
        self._assert_limited(replay, ["b0", "b1", "b2"], 110)
        replay.reopen("a")
        replay.run_until(140)
        self._assert_limited(replay, ["a0", "a1", "a2", "a3"], 125)
        self.assertGreater(len(replay.times("a0", 126, 135)), 10)
        self.assertEqual(replay.unserved, 0)

    @parameterized.parameterized.expand([(1, 1), (2, 10), (3, 15), (4, 30)])
    def test_partitioned_nodes_keep_their_shares(self, seed, cut_nodes):
        replay = coldreplay.start(seed)
        replay.start_server("new", "c")
        replay.run_until(107)
        cut = replay.nodes[:cut_nodes]
        for node in cut:
            node.is_cut = True
        for node in cut:
            replay.remove_entry(node.name)
        for number in range(5):
            replay.add_node(f"late{number}")
        replay.run_until(125)
        self._assert_limited(replay, ["new"], 106)

    def test_churn_of_nodes_keeps_the_sum(self):
        replay = coldreplay.start(5)
        replay.start_server("new", "c")
        for number in range(40):
            replay.run_until(106 + number * 0.2)
            replay.remove_entry(replay.nodes[number % coldreplay.NODES].name)
            replay.add_node(f"late{number}")
        replay.run_until(120)
        self._assert_limited(replay, ["new"], 106)

    def test_nodes_that_join_together_keep_the_sum(self):
        # The views of a loaded fleet are up to 4 s old.
        replay = coldreplay.start(6, nodes=1, lag_s=(0.05, 3.9))
        replay.start_server("new", "c")
        for number in range(150):
            replay.run_until(106 + number * 0.03)
            replay.add_node(f"late{number}")
        replay.run_until(120)
        self._assert_limited(replay, ["new"], 106)


class ModelTest(unittest.TestCase):
    def test_samples_of_a_handover_keep_the_limit(self):
        replay = coldreplay.Replay(1, nodes=4)
        replay.configured = coldreplay.make_catalogue(
            (catalogue.RouteKind.BATCH,)
        )
        replay.queue.clear()
        replay.start_server("old", "c", is_cold=False)
        replay.run_until(106)
        replay.start_server("new", "c")
        replay.run_until(107)
        times = []
        for step in range(800):
            replay.clock.seconds = 107 + step / 100
            for node, model in itertools.product(
                replay.nodes[:2], coldreplay.MODELS
            ):
                node.eligibility.hold_samples(coldreplay.SERVICE, [model])
                server = node.servers.servers["new"]
                held_until = server.samples_held_until.get(model, 0)
                if held_until > replay.clock.seconds:
                    continue
                node.eligibility.reserve(server, model)
                node.eligibility.guard(server, sender=model)()
                times.append(replay.clock.seconds)
        self.assertLessEqual(coldreplay.worst_second(times), LIMIT)
        self.assertGreater(len(times), PER_S * 8)


class WindowTest(unittest.TestCase):
    def test_edges_of_fixed_seconds_let_no_more_pass(self):
        window, now, sent = warmup.SendWindow(), 0.9, []
        for step in range(400):
            now = 0.9 + step / 100
            if window.has_room(3, now):
                window.send(now)
                sent.append(now)
        self.assertEqual(coldreplay.worst_second(sent), 3)

    @parameterized.parameterized.expand(
        [
            ("unused_reservation_ends", warmup.RESERVATION_S, 0, True),
            ("reservation_holds_a_place", 0.1, 0, False),
            ("sent_requests_count", warmup.WINDOW_S - 0.01, 1, False),
            ("and_leave_the_window", warmup.WINDOW_S, 1, True),
        ]
    )
    def test_room(self, _, after_s, sent, has_room):
        window = warmup.SendWindow()
        window.reserve(0.0)
        for _ in range(sent):
            window.send(0.0)
        self.assertEqual(window.has_room(1, after_s), has_room)

    def test_answer_of_another_server_is_not_counted(self):
        window = warmup.SendWindow()
        window.send(0.0)
        window.refund()
        self.assertTrue(window.has_room(1, 0.1))

    def test_refund_of_an_older_request_keeps_the_newer_one(self):
        # The newer one would else be missing from the rest of its window.
        window = warmup.SendWindow()
        window.send(0.0)
        window.send(1.0)
        window.refund()
        self.assertFalse(window.has_room(1, 1.0 + warmup.WINDOW_S - 0.1))

    def test_reservations_of_a_warm_server_do_not_accumulate(self):
        # Room is asked for only while the server is cold.
        window = warmup.SendWindow()
        for number in range(100):
            window.reserve(float(number))
        self.assertEqual(len(window.reserved_at), 1)


class ShareTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        itertools.product((1, 2, 3, 31, 380), (0, 1, 4, 9))
    )
    def test_shares_add_up_to_the_budget(self, senders, budget):
        names = [f"n{number}" for number in range(senders)]
        total = sum(coldshares.share("s", names, n, budget) for n in names)
        self.assertEqual(total, budget)

    @parameterized.parameterized.expand([("join", True), ("leave", False)])
    def test_shares_add_up_in_views_of_different_age(self, _, joins):
        clock, rng, budget = coldreplay.SteppedClock(), random.Random(1), 4
        views = {f"n{n}": coldshares.Senders(clock, f"n{n}") for n in range(60)}
        lags = {name: rng.uniform(0.0, 3.9) for name in views}
        changes = []
        for number, name in enumerate(views):
            changed_at = 110 + 0.1 * number
            for other, view in views.items():
                if joins:
                    at = max(changed_at + lags[other], 110)
                    changes.append((at, view, name, True))
                else:
                    view.note(name, True)
                    changes.append(
                        (changed_at + lags[other], view, name, False)
                    )
        changes.sort(key=lambda change: change[0])
        for at, view, name, is_present in changes:
            clock.seconds = at
            view.note(name, is_present)
            if rng.random() < 0.1:
                total = sum(v.share("s", budget) for v in views.values())
                self.assertLessEqual(total, budget)

    def test_new_node_waits_for_its_share(self):
        clock = coldreplay.SteppedClock()
        senders = coldshares.Senders(clock, "n")
        senders.note("n", True)
        self.assertEqual(senders.share("s", 4), 0)
        clock.seconds += coldshares.SETTLE_S
        self.assertEqual(senders.share("s", 4), 4)


class ColdStateTest(unittest.TestCase):
    """What makes a server cold, and for how long."""

    def setUp(self):
        self.clock = coldreplay.SteppedClock()
        self.servers = registry.ServerRegistry(
            self.clock, lambda: 0.0, lambda: False
        )
        self.servers.register(coldreplay.make_entry("old", "a"))
        self.configured = coldreplay.make_catalogue()
        self.eligibility = eligibility.Eligibility(
            self.servers,
            coldshares.Senders(self.clock, "n"),
            lambda: self.configured,
        )

    def _cold_for_s(self, name):
        """Returns after how many seconds a server is no longer cold."""
        server = self.servers.servers[name]
        for tenth in range(800):
            if not self.eligibility.is_cold(server):
                return tenth / 10
            self.clock.seconds += 0.1
        return float("inf")

    def _reconnect(self, server):
        server.cold.note_unreachable()
        server.cold.note_response()

    @parameterized.parameterized.expand(
        [
            ("known_before", lambda t, s: None, 0.0),
            ("respond", lambda t, s: s.cold.note_response(), 0.0),
            ("reconnected", lambda t, s: t._reconnect(s), COLD_S),
            ("unreachable", lambda t, s: s.cold.note_unreachable(), COLD_S),
            (
                "header",
                lambda t, s: s.cold.report(warmup.Source.RESPONSE, 4.0),
                4.0,
            ),
            (
                "entry",
                lambda t, s: s.cold.report(warmup.Source.ENTRY, 4.0),
                4.0,
            ),
            (
                "stale_entry_does_not_end_it",
                lambda t, s: (
                    s.cold.report(warmup.Source.RESPONSE, 4.0),
                    s.cold.report(warmup.Source.ENTRY, 0.0),
                ),
                4.0,
            ),
            (
                "reopened_zone",
                lambda t, s: (
                    t.servers.evacuations.begin("a"),
                    t.servers.evacuations.end("a"),
                ),
                COLD_S,
            ),
            (
                "restarted",
                lambda t, s: t.servers.register(
                    coldreplay.make_entry("old", "a", 5.0)
                ),
                COLD_S,
            ),
        ]
    )
    def test_server_is_cold(self, _, act, seconds):
        act(self, self.servers.servers["old"])
        self.assertAlmostEqual(self._cold_for_s("old"), seconds, delta=0.11)

    @parameterized.parameterized.expand(
        [
            ("reconnected", lambda t, s: t._reconnect(s)),
            # Its ejection may end before any response arrives.
            ("unreachable", lambda t, s: s.cold.note_unreachable()),
        ]
    )
    def test_requests_placed_while_warm_are_checked_at_their_first_byte(
        self, _, act
    ):
        server = self.servers.servers["old"]
        self.eligibility.senders.note("n", True)
        self.clock.seconds += coldshares.SETTLE_S
        checks = []
        for _ in range(50):
            self.eligibility.reserve(server)
            checks.append(self.eligibility.guard(server))
        act(self, server)
        sent = 0
        for check in checks:
            with contextlib.suppress(serverclient.IneligibleError):
                check()
                sent += 1
        self.assertEqual(sent, LIMIT // coldshares.CONCURRENT_LISTS)

    @parameterized.parameterized.expand(
        [
            ("just_now", 0.0, COLD_S),
            ("clock_ahead", 50.0, COLD_S),
            ("long_before", -60.0, 0.0),
        ]
    )
    def test_start_of_a_new_server(self, _, offset_s, seconds):
        started_at = self.clock.seconds + offset_s + 0.01
        self.servers.register(coldreplay.make_entry("new", "a", started_at))
        self.assertAlmostEqual(self._cold_for_s("new"), seconds, delta=0.11)

    @parameterized.parameterized.expand(
        [(source.value, source) for source in warmup.Source]
    )
    def test_report_after_an_unrenewed_one_begins_a_new_period(self, _, source):
        # An idle node sees no report between two cold periods.
        cold = self.servers.servers["old"].cold
        cold.report(source, COLD_S)
        self.clock.seconds += 300
        cold.report(source, COLD_S)
        self.assertAlmostEqual(self._cold_for_s("old"), COLD_S, delta=0.11)

    @parameterized.parameterized.expand(
        [
            ("nan", float("nan"), 0.0),
            ("below", -1.0, 0.0),
            ("day", 86400, COLD_S),
        ]
    )
    def test_invalid_report_is_ignored_or_capped(self, _, report, seconds):
        server = self.servers.servers["old"]
        for _ in range(20):
            server.cold.report(warmup.Source.ENTRY, report)
            self.clock.seconds += 1
        self.clock.seconds -= 20
        self.assertAlmostEqual(self._cold_for_s("old"), seconds, delta=0.11)

    @parameterized.parameterized.expand(
        [
            ("entry_reappears", True, COLD_S, 0.0),
            # It is still cold by its start.
            ("entry_reappears_early", True, 4.0, COLD_S - 4),
            ("first_read", False, 0.0, 0.0),
            ("new_start", True, 0.0, COLD_S),
        ]
    )
    def test_clock_set_back_makes_no_known_server_cold(
        self, name, is_read, after_s, seconds
    ):
        self.servers.register(coldreplay.make_entry("new", "a", 500.0))
        self.clock.seconds += after_s
        if name.startswith("entry_reappears"):
            self.servers._drop(self.servers.servers["new"])
        if name == "first_read":
            del self.servers.servers["new"]
        self.servers.evacuations.is_read = lambda: is_read
        start = 501.0 if name == "new_start" else 500.0
        self.servers.register(coldreplay.make_entry("new", "a", start))
        self.assertAlmostEqual(self._cold_for_s("new"), seconds, delta=0.11)

    def _send(self, server, count):
        """Returns how many of some requests pass the check."""
        sent = 0
        for _ in range(count):
            with contextlib.suppress(serverclient.IneligibleError):
                self.eligibility.guard(server)()
                sent += 1
        return sent

    @parameterized.parameterized.expand(
        [("restart", False, 5.0), ("lapse_and_restart", True, 500.0)]
    )
    def test_restart_keeps_the_requests_of_the_last_second(
        self, _, is_dropped, start
    ):
        # Requests to the old and the new server arrive at one address.
        old = self.servers.servers["old"]
        self.eligibility.senders.note("n", True)
        self.clock.seconds += coldshares.SETTLE_S
        self.assertEqual(self._send(old, 3), 3)
        if is_dropped:
            self.servers._drop(old)
        self.servers.register(coldreplay.make_entry("old", "a", start))
        self.assertEqual(self._send(old, 5), 0)
        new = self.servers.servers["old"]
        share = LIMIT // coldshares.CONCURRENT_LISTS
        self.assertEqual(self._send(new, 5), share - 3)

    def test_reappearing_entry_keeps_a_failed_connection(self):
        server = self.servers.servers["old"]
        server.cold.note_unreachable()
        self.servers._drop(server)
        self.servers.register(server.entry)
        self.assertTrue(self.servers.servers["old"].cold.is_unreachable)
        self.assertAlmostEqual(self._cold_for_s("old"), COLD_S, delta=0.11)

    def test_kept_states_of_removed_servers_are_bounded(self):
        for number in range(registry.MAX_LEAVING_STARTS + 5):
            entry = coldreplay.make_entry(f"s{number}", "a")
            self.servers.register(entry)
            self.servers._drop(self.servers.servers[entry.id])
        self.assertEqual(
            len(self.servers.past_colds), registry.MAX_LEAVING_STARTS
        )

    def test_hold_of_a_cold_engine_does_not_reset_its_backoff(self):
        server = self.servers.servers["old"]
        server.cold.note_unreachable()
        pauses = rejections.Rejections()
        for _ in range(3):
            now = self.clock.seconds
            pauses.record(server, "m", now, now)
            self.clock.seconds = server.no_samples_until["m"] + 0.01
            self.eligibility.hold_samples(coldreplay.SERVICE, ["m"])
            self.assertGreater(
                server.samples_held_until["m"], self.clock.seconds
            )
        self.assertAlmostEqual(server.no_samples_until["m"] - now, 0.4)

    def test_service_without_a_limit_has_no_cold_servers(self):
        self.configured = coldreplay.make_catalogue(per_s=0.0)
        self._reconnect(self.servers.servers["old"])
        self.assertEqual(self._cold_for_s("old"), 0.0)
