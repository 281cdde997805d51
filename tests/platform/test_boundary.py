"""The platform's names are used only in its adapter, which stays small."""

import pathlib
import re
import unittest

from kingcupscale.platform import names

SOURCES = pathlib.Path(__file__).parents[2] / "src" / "kingcupscale"
ADAPTER = SOURCES / "platform"
MAX_SHARE = 0.1


def read_sources():
    """Returns the text of each source file by its path in the package."""
    return {
        path.relative_to(SOURCES): path.read_text(encoding="utf-8")
        for path in SOURCES.rglob("*.py")
    }


class BoundaryTest(unittest.TestCase):
    def test_platform_names_are_used_only_in_the_adapter(self):
        words = {
            value
            for name, value in vars(names).items()
            if name.isupper() and isinstance(value, str) and len(value) > 8
        }
        # A standard header that is also used outside the adapter.
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

    def test_only_commands_import_the_adapter(self):
        found = {
            str(path)
            for path, text in read_sources().items()
            if path.parts[0] != "platform" and "kingcupscale.platform" in text
        }
        allowed = {"commands/serving.py", "commands/deploy.py"}
        self.assertEqual(found, allowed)

    def test_adapter_is_small(self):
        sizes = {
            path: len(text.splitlines())
            for path, text in read_sources().items()
            if not path.name.endswith("_pb2.py")
        }
        inside = sum(
            size for path, size in sizes.items() if path.parts[0] == "platform"
        )
        self.assertLess(inside, MAX_SHARE * sum(sizes.values()))
