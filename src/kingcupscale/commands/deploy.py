"""The ``deploy check`` subcommand: validates a deploy file."""

import argparse
from typing import Any

from kingcupscale.commands import connection
from kingcupscale.platform import deployfile

DEPLOY_FILE = "deploy/system.toml"


def add_parser(commands: Any) -> None:
    """Adds the ``deploy`` subcommands."""
    deploy_parser = commands.add_parser("deploy", help="check the deploy file")
    actions = deploy_parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    check_parser = actions.add_parser(
        "check", help="list the problems of a deploy file"
    )
    check_parser.add_argument("file", nargs="?", default=DEPLOY_FILE)
    check_parser.set_defaults(run=run_check)


def run_check(arguments: argparse.Namespace) -> None:
    """Validates a deploy file.

    Raises:
        CommandError: If the file is invalid. Lists every problem.
    """
    problems = deployfile.check(arguments.file)
    if problems:
        raise connection.CommandError(
            "\n".join([f"{arguments.file}:", *(f"  {p}" for p in problems)]),
            connection.EXIT_REFUSED,
        )
    print(f"{arguments.file} is valid")
