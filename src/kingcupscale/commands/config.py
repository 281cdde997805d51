"""``config``: checking, showing and changing the configuration."""

import argparse
from typing import Any

import orjson

from kingcupscale import codec
from kingcupscale import settings
from kingcupscale.commands import connection
from kingcupscale.configuration import check
from kingcupscale.configuration import editor
from kingcupscale.operating import messages


def add_parser(commands: Any) -> None:
    """Adds the subcommand."""
    parser = commands.add_parser("config", help="check, show, diff, apply")
    actions = parser.add_subparsers(dest="action", required=True)
    checking = actions.add_parser("check", help="check a file, no node needed")
    checking.add_argument("file")
    checking.set_defaults(run=run_check)
    showing = actions.add_parser("show", help="show what is in force")
    connection.add_arguments(showing)
    showing.set_defaults(run=run_show)
    comparing = actions.add_parser("diff", help="show what would change")
    comparing.add_argument("file")
    connection.add_arguments(comparing)
    comparing.set_defaults(run=run_diff)
    applying = actions.add_parser("apply", help="bring a file into force")
    applying.add_argument("file")
    applying.add_argument(
        "--if-revision",
        type=int,
        required=True,
        metavar="N",
        help="the revision you looked at; another one is a conflict",
    )
    applying.add_argument("--reason", required=True)
    applying.add_argument(
        "--without-majority",
        action="store_true",
        help="accept although most nodes are out of reach, since they are gone",
    )
    connection.add_arguments(applying)
    applying.set_defaults(run=run_apply)


def read_checked(path: str) -> dict[str, Any]:
    """Returns a configuration file's tables, checked.

    Raises:
        SettingsError: With every mistake in the file.
    """
    tables = settings.read_toml(path)
    try:
        check.check(tables)
    except check.ConfigurationError as e:
        lines = [f"  {mistake}" for mistake in e.mistakes]
        raise settings.SettingsError(path, lines) from None
    return tables


def run_check(arguments: argparse.Namespace) -> None:
    """Checks a file."""
    tables = read_checked(arguments.file)
    counts = [f"{len(entries)} {name}" for name, entries in tables.items()]
    print(f"{arguments.file} is right: {', '.join(counts)}")


def run_show(arguments: argparse.Namespace) -> None:
    """Shows the configuration in force."""
    answer = connection.call(
        arguments, "GET", "/configuration", messages.ConfigurationResponse
    )
    text = orjson.dumps(answer.tables, option=orjson.OPT_INDENT_2).decode()
    print(f"revision {answer.revision}\n{text}")


def run_diff(arguments: argparse.Namespace) -> None:
    """Shows what a file would change."""
    tables = settings.read_toml(arguments.file)
    answer = connection.call(
        arguments,
        "POST",
        "/configuration/diff",
        messages.DiffResponse,
        messages.DiffRequest(tables),
    )
    print(f"against revision {answer.revision}:")
    print("\n".join(answer.lines) or "no difference")


def run_apply(arguments: argparse.Namespace) -> None:
    """Brings a file into force."""
    body = messages.ApplyRequest(
        settings.read_toml(arguments.file),
        codec.NaturalInt(arguments.if_revision),
        arguments.reason,
        arguments.without_majority,
    )
    accepted = connection.call(
        arguments, "POST", "/configuration", editor.AcceptedChange, body
    )
    print_accepted(accepted)


def print_accepted(accepted: editor.AcceptedChange) -> None:
    """Shows in which revision a change is in force and where."""
    print(
        f"accepted as revision {accepted.revision}, in force on"
        f" {len(accepted.in_force)} nodes"
    )
    if accepted.pending:
        print(f"not yet confirmed by: {', '.join(accepted.pending)}")
