"""The tables in docs/ match the code."""

import pathlib
import unittest

import parameterized

from bench import sitebreaks
from kingcupscale import errors
from kingcupscale import events

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"


class TablesTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "RESULT-CODES.md",
                [
                    f"| {c.number} | {c.name.lower()} | {c.status} |"
                    f" {c.summary} |"
                    for c in errors.ResultCode
                ],
            ),
            (
                "EVENTS.md",
                [
                    f"| {e.number} | {e.name.lower()} | {e.summary} |"
                    for e in events.Event
                ],
            ),
        ]
    )
    def test_document_equals_code(self, name, rows):
        lines = (DOCS / name).read_text(encoding="utf-8").splitlines()
        documented = [line for line in lines if line[:3].strip("| ").isdigit()]
        self.assertEqual(documented, rows)

    @parameterized.parameterized.expand([(errors.ResultCode,), (events.Event,)])
    def test_numbers_are_unique(self, table):
        numbers = [member.number for member in table]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_breaks_are_listed_and_match_the_code(self):
        listed = (DOCS / "PROMISES.md").read_text(encoding="utf-8").splitlines()
        for broken in sitebreaks.BREAKS:
            test = broken.test.removeprefix("tests.")
            row = f"| {broken.promise} | `{broken.file}` | {test} |"
            self.assertIn(row, listed)
            source = ROOT / "src" / "kingcupscale" / broken.file
            text = source.read_text(encoding="utf-8")
            self.assertEqual(text.count(broken.old), 1, broken.promise)
