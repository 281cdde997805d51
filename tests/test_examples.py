"""Runs the examples in the docstrings of the scaling and staleness rules."""

import doctest
import unittest

import parameterized

from kingcupscale.capacity import scaling
from kingcupscale.rollouts import staleness


class ExamplesTest(unittest.TestCase):
    @parameterized.parameterized.expand([(scaling,), (staleness,)])
    def test_documented_example_runs(self, module):
        results = doctest.testmod(module)
        self.assertGreater(results.attempted, 0)
        self.assertEqual(results.failed, 0)
