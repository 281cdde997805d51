"""Short soak tests of real node processes under seeded faults.

They rerun the seeds that have failed before; ``seeds.py`` names the causes.
"""

import unittest

import parameterized
import trio

from tests.soak import seeds
from tests.soak import session


class SoakTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(seed.number, seed.seconds) for seed in seeds.FAILED]
    )
    def test_promises_hold(self, seed, seconds):
        outcome = trio.run(session.run, seed, seconds)
        self.assertEqual(outcome.problems, [], outcome.faults)
        self.assertGreater(outcome.served, 0)
        self.assertGreater(outcome.batches, 0)
