"""Which duty a node with several gives to an idle one."""

import unittest

import parameterized

from kingcupscale import candidates

DUTIES = ["s", "s/a", "s/b"]
NODES = ["n1", "n2", "n3", "n4"]


class SurplusTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("all_at_one", {"s": "n1", "s/a": "n1", "s/b": "n1"}, "s/b"),
            ("last_but_one", {"s": "n1", "s/a": "n1", "s/b": "n2"}, "s/a"),
            ("one_each", {"s": "n1", "s/a": "n2", "s/b": "n3"}, ""),
            ("two_elsewhere", {"s": "n1", "s/a": "n2", "s/b": "n2"}, ""),
            ("one_is_free", {"s": "n1", "s/a": "n1"}, ""),
            (
                "beside_a_duty_that_stays",
                {"s": "n2", "s/a": "n1", "s/b": "n3", "u": "n1"},
                "s/a",
            ),
            (
                "nobody_is_idle",
                {"s": "n1", "s/a": "n1", "s/b": "n2", "t": "n3", "u": "n4"},
                "",
            ),
            ("nothing_is_held", {}, ""),
        ]
    )
    def test_first_to_go(self, _, holders, expected):
        found = candidates.find_surplus_duty(DUTIES, holders, "n1", NODES)
        self.assertEqual(found, expected)

    def test_no_duties_are_no_surplus(self):
        found = candidates.find_surplus_duty([], {"u": "n1"}, "n1", NODES)
        self.assertEqual(found, "")
