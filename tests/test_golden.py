"""Whole sessions log what the golden files say."""

import unittest

import parameterized

from kingcupscale.fakes import sessions
from tests import goldenfiles


class GoldenTest(unittest.TestCase):
    maxDiff = 2000

    @parameterized.parameterized.expand([(name,) for name in sessions.SESSIONS])
    def test_session_logs_as_before(self, name):
        expected = goldenfiles.path(name).read_text(encoding="utf-8")
        self.assertEqual(goldenfiles.record(name), expected)
