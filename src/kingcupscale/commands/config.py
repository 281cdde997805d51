"""The ``config`` subcommands: check, show, diff and apply a configuration."""

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
    """Adds the ``config`` subcommands."""
    parser = commands.add_parser(
        "config", help="check, show, diff or apply a configuration"
    )
    actions = parser.add_subparsers(dest="action", required=True)
    check_parser = actions.add_parser(
        "check", help="check a file without contacting a node"
    )
    check_parser.add_argument("file")
    check_parser.set_defaults(run=run_check)
    show_parser = actions.add_parser(
        "show", help="show the configuration in force"
    )
    connection.add_arguments(show_parser)
    show_parser.set_defaults(run=run_show)
    diff_parser = actions.add_parser(
        "diff", help="compare a file with the configuration in force"
    )
    diff_parser.add_argument("file")
    connection.add_arguments(diff_parser)
    diff_parser.set_defaults(run=run_diff)
    apply_parser = actions.add_parser(
        "apply", help="put a configuration file into force"
    )
    apply_parser.add_argument("file")
    apply_parser.add_argument(
        "--if-revision",
        type=int,
        required=True,
        metavar="N",
        help="expected current revision; the change is refused if it differs",
    )
    apply_parser.add_argument("--reason", required=True)
    apply_parser.add_argument(
        "--without-majority",
        action="store_true",
        help="accept the change without confirmation from most nodes, when"
        " these are permanently lost",
    )
    connection.add_arguments(apply_parser)
    apply_parser.set_defaults(run=run_apply)


def read_configuration(path: str) -> dict[str, Any]:
    """Reads and validates a configuration file.

    Raises:
        SettingsError: If the file is unreadable or invalid. Lists every
            mistake.
    """
    tables = settings.read_toml(path)
    try:
        check.check(tables)
    except check.ConfigurationError as e:
        lines = [f"  {mistake}" for mistake in e.mistakes]
        raise settings.SettingsError(path, lines) from None
    return tables


def run_check(arguments: argparse.Namespace) -> None:
    """Validates a configuration file."""
    tables = read_configuration(arguments.file)
    counts = [f"{len(entries)} {name}" for name, entries in tables.items()]
    print(f"{arguments.file} is valid: {', '.join(counts)}")


def run_show(arguments: argparse.Namespace) -> None:
    """Prints the configuration in force."""
    response = connection.call(
        arguments, "GET", "/configuration", messages.ConfigurationResponse
    )
    text = orjson.dumps(response.tables, option=orjson.OPT_INDENT_2).decode()
    print(f"revision {response.revision}\n{text}")


def run_diff(arguments: argparse.Namespace) -> None:
    """Prints how a file differs from the configuration in force."""
    tables = settings.read_toml(arguments.file)
    response = connection.call(
        arguments,
        "POST",
        "/configuration/diff",
        messages.DiffResponse,
        messages.DiffRequest(tables),
    )
    print(f"compared with revision {response.revision}:")
    print("\n".join(response.lines) or "no difference")


def run_apply(arguments: argparse.Namespace) -> None:
    """Puts a configuration file into force."""
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
    """Prints the revision of an accepted change and its confirmations.

    These are the number of nodes that have confirmed the change, and the names
    of the nodes that have not.
    """
    print(
        f"accepted as revision {accepted.revision}, in force on"
        f" {len(accepted.in_force)} nodes"
    )
    if accepted.pending:
        print(f"not yet confirmed by: {', '.join(accepted.pending)}")
