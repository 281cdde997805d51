"""Tests of the names that the package re-exports, and of lazy imports."""

import subprocess
import sys
import unittest

import parameterized

import kingcupscale


class EmbeddingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(name,) for name in sorted(kingcupscale.__all__)]
    )
    def test_name_is_exported(self, name):
        self.assertEqual(getattr(kingcupscale, name).__name__, name)

    def test_unknown_name_is_an_error(self):
        with self.assertRaises(AttributeError):
            kingcupscale.Unknown  # noqa: B018

    def test_node_loads_no_unused_modules(self):
        """A node on the platform uses no protobuf, so it must not load it."""
        program = (
            "import sys, kingcupscale.commands.serving;"
            "print([m for m in sys.modules if m.endswith('_pb2')])"
        )
        command = [sys.executable, "-c", program]
        completed = subprocess.run(command, capture_output=True, check=True)
        self.assertEqual(completed.stdout.strip(), b"[]")
