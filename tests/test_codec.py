"""Typed messages: strict with people, lenient with newer releases."""

import datetime
import unittest

import attrs
import parameterized

from kingcupscale import codec
from kingcupscale.configuration import change as changes


@attrs.frozen
class Example:
    """A message with one field of each kind."""

    name: codec.Name
    count: codec.PositiveInt = codec.PositiveInt(1)
    share: float = 0.0
    on: bool = False
    at: datetime.datetime | None = None


class CodecTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("wrong kind", {"name": 5}, "name"),
            ("bad characters", {"name": "a b"}, "name"),
            ("too small", {"name": "a", "count": 0}, "count"),
            ("number as text", {"name": "a", "count": "1"}, "count"),
            ("true as number", {"name": "a", "count": True}, "count"),
            ("number as true", {"name": "a", "on": 1}, "on"),
            ("missing", {}, "name"),
            ("unknown", {"name": "a", "colour": 1}, "document"),
            ("not a table", [], "document"),
        ]
    )
    def test_mistake_has_path_found_and_expected(self, _, value, path):
        with self.assertRaises(codec.DecodeError) as caught:
            codec.structure_strictly(Example, value)
        mistake = caught.exception.mistakes[0]
        self.assertEqual(mistake.path, path)
        self.assertTrue(mistake.found and mistake.expected)

    def test_field_of_a_newer_release_is_left_out(self):
        change = changes.Change(
            1,
            {"keys/a": None},
            "anna",
            "test",
            datetime.datetime.now(datetime.UTC),
            "t",
        )
        text = codec.encode(change).replace(b"{", b'{"newer": 1, ', 1)
        self.assertEqual(codec.decode(changes.Change, text), change)
