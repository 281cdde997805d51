"""``deploy check``: is the deploy file sound?"""

import argparse
from typing import Any

from kingcupscale.commands import connection
from kingcupscale.platform import deployfile

DEPLOY_FILE = "deploy/system.toml"


def add_parser(commands: Any) -> None:
    """Adds the subcommand."""
    deploy = commands.add_parser("deploy", help="look after the deploy file")
    actions = deploy.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    check = actions.add_parser("check", help="say what is wrong with it")
    check.add_argument("file", nargs="?", default=DEPLOY_FILE)
    check.set_defaults(run=run_check)


def run_check(arguments: argparse.Namespace) -> None:
    """Shows what is wrong with the deploy file.

    Raises:
        CommandError: If anything is.
    """
    problems = deployfile.check(arguments.file)
    if problems:
        raise connection.CommandError(
            "\n".join([f"{arguments.file}:", *(f"  {p}" for p in problems)]),
            connection.EXIT_REFUSED,
        )
    print(f"{arguments.file}: sound")
