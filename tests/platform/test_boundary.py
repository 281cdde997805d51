"""The platform's names stay inside its folder, which stays small."""

import pathlib
import re
import unittest

from kingcupscale.platform import names

SOURCES = pathlib.Path(__file__).parents[2] / "src" / "kingcupscale"
FOLDER = SOURCES / "platform"
LARGEST_SHARE = 0.1


def read_sources():
    """Returns each source file's text by its path below the package."""
    return {
        path.relative_to(SOURCES): path.read_text(encoding="utf-8")
        for path in SOURCES.rglob("*.py")
    }


class BoundaryTest(unittest.TestCase):
    def test_no_name_of_the_wire_stands_outside(self):
        words = {
            value
            for name, value in vars(names).items()
            if name.isupper() and isinstance(value, str) and len(value) > 8
        }
        # Standard names that the product's own interface has as well.
        words -= {names.RESUME_AFTER}
        words |= {"/kv-txn", "/kv-watch", "expectedRev", "pathPrefix"}
        found = [
            (str(path), word)
            for path, text in read_sources().items()
            if path.parts[0] != "platform"
            for word in words
            if re.search(re.escape(word), text, re.IGNORECASE)
        ]
        self.assertEqual(found, [])

    def test_only_the_command_line_reaches_into_the_folder(self):
        found = {
            str(path)
            for path, text in read_sources().items()
            if path.parts[0] != "platform" and "kingcupscale.platform" in text
        }
        allowed = {"commands/serving.py", "commands/deploy.py"}
        self.assertEqual(found, allowed)

    def test_folder_is_small(self):
        sizes = {
            path: len(text.splitlines())
            for path, text in read_sources().items()
            if not path.name.endswith("_pb2.py")
        }
        inside = sum(
            size for path, size in sizes.items() if path.parts[0] == "platform"
        )
        self.assertLess(inside, LARGEST_SHARE * sum(sizes.values()))
