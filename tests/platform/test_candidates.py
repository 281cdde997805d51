"""Which duty a node with several transfers to a node without one."""

import unittest

import parameterized

from kingcupscale import candidates

DUTIES = ["s", "s/a", "s/b"]
NODES = ["n1", "n2", "n3", "n4"]


class SurplusTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("all_on_one_node", {"s": "n1", "s/a": "n1", "s/b": "n1"}, "s/b"),
            ("last_but_one_held", {"s": "n1", "s/a": "n1", "s/b": "n2"}, "s/a"),
            ("one_each", {"s": "n1", "s/a": "n2", "s/b": "n3"}, ""),
            ("two_on_another_node", {"s": "n1", "s/a": "n2", "s/b": "n2"}, ""),
            ("one_without_holder", {"s": "n1", "s/a": "n1"}, ""),
            (
                "with_a_duty_that_is_not_distributed",
                {"s": "n2", "s/a": "n1", "s/b": "n3", "u": "n1"},
                "s/a",
            ),
            (
                "no_idle_node",
                {"s": "n1", "s/a": "n1", "s/b": "n2", "t": "n3", "u": "n4"},
                "",
            ),
            ("no_holders", {}, ""),
        ]
    )
    def test_find_surplus_duty(self, _, holders, expected):
        found = candidates.find_surplus_duty(DUTIES, holders, "n1", NODES)
        self.assertEqual(found, expected)

    def test_no_duties_have_no_surplus(self):
        found = candidates.find_surplus_duty([], {"u": "n1"}, "n1", NODES)
        self.assertEqual(found, "")
