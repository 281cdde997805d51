"""Load reports of servers, from the header to the placement.

A report with a fourth figure was discarded as a whole, so a node knew nothing
of the load and the slowness of servers that send it. An invalid figure that is
trusted would draw all calls to one server or exclude it.
"""

import random
import unittest

import parameterized

from kingcupscale.batches import placement as sample_placement
from kingcupscale.fleet import registry
from kingcupscale.gateway import placement
from kingcupscale.platform import names
from kingcupscale.platform import servers
from kingcupscale.web import message


def decode(value):
    headers = {} if value is None else {names.SERVER_LOAD: value}
    return servers._decode_answer(message.Response(200, headers)).load


def make_server(server_id="e1", zone="a"):
    entry = registry.ServerEntry(
        server_id, "s", "e1:80", zone, registry.ServerState.READY, 6, 1
    )
    return registry.Server(entry)


class DecodeTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("three_figures", "3,1,6", (3, 1, 6, 1.0)),
            ("four_figures", "3,1,6,250", (3, 1, 6, 2.5)),
            ("spaces", " 3, 1 ,6 ,100", (3, 1, 6, 1.0)),
            ("slowness_zero", "3,1,6,0", (3, 1, 6, 1.0)),
            ("slowness_negative", "3,1,6,-250", (3, 1, 6, 1.0)),
            ("slowness_huge", "3,1,6,999999999", (3, 1, 6, 1.0)),
            ("slowness_not_a_number", "3,1,6,nan", (3, 1, 6, 1.0)),
            ("slowness_empty", "3,1,6,", (3, 1, 6, 1.0)),
        ]
    )
    def test_valid_load_is_used_whatever_the_slowness(self, _, value, expected):
        report = decode(value)
        self.assertEqual(report, registry.LoadReport(*expected))

    @parameterized.parameterized.expand(
        [
            ("missing", None),
            ("empty", ""),
            ("two_figures", "3,1"),
            ("five_figures", "3,1,6,100,1"),
            ("negative", "-3,1,6,100"),
            ("huge", "999999999999,1,6,100"),
            ("more_digits_than_int_parses", "9" * 5000 + ",1,6"),
            ("not_a_number", "x,1,6,100"),
            ("other_digits", "²,1,6"),
            ("no_slots", "0,0,0,100"),
        ]
    )
    def test_invalid_load_is_ignored(self, _, value):
        self.assertIsNone(decode(value))


class SlownessTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("new", 10.0, 2.5), ("valid", 10.59, 2.5), ("expired", 10.61, 1.0)]
    )
    def test_slowness_is_valid_for_a_limited_time(self, _, now, expected):
        server = make_server()
        self.assertEqual(server.slowness(0.0), 1.0)
        server.update_load(registry.LoadReport(0, 0, 6, 2.5), 10.0)
        self.assertEqual(server.slowness(now), expected)

    def test_newer_report_replaces_the_slowness(self):
        server = make_server()
        server.update_load(registry.LoadReport(0, 0, 6, 2.5), 10.0)
        server.update_load(registry.LoadReport(0, 0, 6), 10.1)
        self.assertEqual(server.slowness(10.2), 1.0)

    @parameterized.parameterized.expand(
        [("slow", 10.1, "other"), ("expired", 10.7, "own")]
    )
    def test_calls_avoid_a_slow_server_while_the_report_is_valid(
        self, _, now, expected
    ):
        own, other = make_server("own", "a"), make_server("other", "b")
        own.update_load(registry.LoadReport(0, 0, 6, 2.5), 10.0)
        rng = random.Random(1)
        chosen = placement.choose([own, other], "a", now, rng)
        self.assertEqual(chosen.id, expected)

    def test_samples_avoid_a_slow_engine_while_the_report_is_valid(self):
        slow, usual = make_server("slow"), make_server("usual")
        slow.update_load(registry.LoadReport(0, 0, 6, 2.5), 10.0)
        usual.update_load(registry.LoadReport(1, 0, 6), 10.0)

        def difference(now):
            return sample_placement.completion_cost(
                slow, now, False
            ) - sample_placement.completion_cost(usual, now, False)

        self.assertGreater(difference(10.1), 0)
        self.assertLess(difference(10.7), 0)
