"""A fixed, seeded share of the fault matrix."""

import os
import unittest

import parameterized

from bench import matrix
from kingcupscale.fakes import sessions

SEED = 20261204
SINGLES = 60
PAIRS = 24


class MatrixTest(unittest.TestCase):
    @parameterized.parameterized.expand([(name,) for name in sessions.SESSIONS])
    def test_no_fault_breaks_a_promise(self, session):
        report = matrix.run(
            [session],
            most=matrix.PLACES_PER_OPERATION,
            pairs=PAIRS // len(sessions.SESSIONS),
            share=SINGLES // len(sessions.SESSIONS),
            seed=SEED,
            jobs=os.cpu_count() or 1,
        )
        self.assertEqual(report.broken, [])
        self.assertEqual(report.cells, SINGLES // len(sessions.SESSIONS))
