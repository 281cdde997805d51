"""The command line: exit codes, and mistakes shown without a traceback."""

import contextlib
import io
import os
import pathlib
import tempfile
import unittest
from unittest import mock

import parameterized

from kingcupscale import cli
from kingcupscale.commands import connection

SETTINGS = pathlib.Path(__file__).parent.parent / "settings"
KEY = {connection.KEY_VARIABLE: "kc.a.b", connection.NODE_VARIABLE: ""}


def run(*words, environment=None):
    """Returns the exit code and all that was shown."""
    shown = io.StringIO()
    with (
        contextlib.redirect_stdout(shown),
        contextlib.redirect_stderr(shown),
        mock.patch.dict(os.environ, environment or {}),
    ):
        try:
            code = cli.main(words)
        except SystemExit as e:
            code = e.code
    return code, shown.getvalue()


class CommandLineTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("no command", (), {}, 2, "COMMAND"),
            ("unknown command", ("fly",), {}, 2, "invalid choice"),
            ("no settings", ("node",), {}, 2, "--settings"),
            (
                "no file",
                ("node", "--settings", "nowhere.toml"),
                {},
                1,
                "No such file",
            ),
            ("no revision", ("config", "apply", "x"), {}, 2, "--if-revision"),
            ("no reason", ("keys", "withdraw", "x"), {}, 2, "--reason"),
            ("no key", ("status",), {connection.KEY_VARIABLE: ""}, 2, "KEY"),
            ("no node", ("status",), KEY, 2, "--node"),
            (
                "nobody there",
                ("status", "--node", "127.0.0.1:1"),
                KEY,
                3,
                "did not leave",
            ),
            (
                "right file",
                ("config", "check", str(SETTINGS / "dalmo.toml")),
                {},
                0,
                "is right",
            ),
        ]
    )
    def test_exit_code_and_message(self, _, words, environment, code, text):
        result, shown = run(*words, environment=environment)
        self.assertEqual(result, code)
        self.assertIn(text, shown)
        self.assertNotIn("Traceback", shown)

    @parameterized.parameterized.expand(
        [
            ("config", "[classes.a]\npriority = 'x'\ncolour = 1\n", 3),
            ("config", "[keys.a]\norganisation = 'o'\n", 4),
            ("node", "name = 5\nzones = []\n", 6),
        ]
    )
    def test_all_mistakes_of_a_file_are_shown(self, kind, text, mistakes):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "file.toml"
            path.write_text(text, encoding="utf-8")
            words = {
                "config": ("config", "check", str(path)),
                "node": ("node", "--settings", str(path)),
            }[kind]
            code, shown = run(*words)
        self.assertEqual(code, 1)
        lines = [line for line in shown.splitlines() if ", expected " in line]
        self.assertEqual(len(lines), mistakes, shown)
