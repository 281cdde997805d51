"""A fixed, seeded share of the fault matrix."""

import os
import unittest

import parameterized

from bench import matrix
from kingcupscale.fakes import faults
from kingcupscale.fakes import sessions

SEED = 20261204
SINGLES = 60
PAIRS = 24


# Cells that were found broken once, by session and faults.
FOUND = (
    (
        "loan_desk",
        {
            ("node-1", "POST /kv/get", 84): faults.Fault.CALLER_PAUSED,
            ("node-2", "POST /generate", 1): faults.Fault.CALLER_CUT_OFF,
        },
    ),
)


class MatrixTest(unittest.TestCase):
    @parameterized.parameterized.expand(FOUND)
    def test_cell_once_broken_stays_whole(self, session, strikes):
        result = matrix.run_cell(matrix.Cell(session, strikes))
        self.assertEqual(result.broken, [])

    @parameterized.parameterized.expand([(name,) for name in sessions.SESSIONS])
    def test_no_fault_breaks_a_promise(self, session):
        report = matrix.run(
            [session],
            max_places=matrix.PLACES_PER_OPERATION,
            pairs=PAIRS // len(sessions.SESSIONS),
            share=SINGLES // len(sessions.SESSIONS),
            seed=SEED,
            jobs=os.cpu_count() or 1,
        )
        self.assertEqual(report.broken, [])
        self.assertEqual(report.cells, SINGLES // len(sessions.SESSIONS))
