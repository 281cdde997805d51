"""The command line: exit codes, and error messages without a traceback."""

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


def run(*argv, environment=None):
    """Returns the exit code and the output."""
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
        mock.patch.dict(os.environ, environment or {}),
    ):
        try:
            code = cli.main(argv)
        except SystemExit as e:
            code = e.code
    return code, output.getvalue()


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
                "unreachable node",
                ("status", "--node", "127.0.0.1:1"),
                KEY,
                3,
                "was not sent",
            ),
            (
                "valid file",
                ("config", "check", str(SETTINGS / "dalmo.toml")),
                {},
                0,
                "is valid",
            ),
        ]
    )
    def test_exit_code_and_message(self, _, argv, environment, code, text):
        result, output = run(*argv, environment=environment)
        self.assertEqual(result, code)
        self.assertIn(text, output)
        self.assertNotIn("Traceback", output)

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
            argv = {
                "config": ("config", "check", str(path)),
                "node": ("node", "--settings", str(path)),
            }[kind]
            code, output = run(*argv)
        self.assertEqual(code, 1)
        lines = [line for line in output.splitlines() if ", expected " in line]
        self.assertEqual(len(lines), mistakes, output)
