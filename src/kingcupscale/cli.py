"""The ``kingcupscale`` command: its subcommands and exit codes."""

import argparse
from collections.abc import Sequence
import sys

from kingcupscale import settings
from kingcupscale.commands import config
from kingcupscale.commands import connection
from kingcupscale.commands import deploy
from kingcupscale.commands import explain
from kingcupscale.commands import keys
from kingcupscale.commands import operations
from kingcupscale.commands import processes
from kingcupscale.commands import serving


def make_parser() -> argparse.ArgumentParser:
    """Returns the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="kingcupscale",
        description="A rollout service for reinforcement learning.",
        epilog="Exit codes: 0 success, 1 refused or invalid, 2 wrong usage,"
        " 3 no response from the node.",
    )
    commands = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    processes.add_parsers(commands)
    serving.add_parser(commands)
    deploy.add_parser(commands)
    config.add_parser(commands)
    keys.add_parser(commands)
    operations.add_parsers(commands)
    explain.add_parser(commands)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs one subcommand.

    Args:
        argv: The arguments without the program name; None for ``sys.argv``.

    Returns:
        The exit code.
    """
    arguments = make_parser().parse_args(argv)
    try:
        arguments.run(arguments)
    except settings.SettingsError as e:
        print(e, file=sys.stderr)
        return connection.EXIT_REFUSED
    except connection.CommandError as e:
        print(e.text, file=sys.stderr)
        return e.exit_code
    except KeyboardInterrupt:
        return connection.EXIT_OK
    return connection.EXIT_OK
