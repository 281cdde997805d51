"""``keys``: granting, withdrawing and listing keys."""

import argparse
from typing import Any

from kingcupscale import codec
from kingcupscale.commands import config
from kingcupscale.commands import connection
from kingcupscale.configuration import editor
from kingcupscale.configuration import keys
from kingcupscale.operating import messages


def add_parser(commands: Any) -> None:
    """Adds the subcommand."""
    parser = commands.add_parser("keys", help="grant, withdraw, list, operator")
    actions = parser.add_subparsers(dest="action", required=True)
    granting = actions.add_parser("grant", help="make a key for a caller")
    granting.add_argument("key_id", help="the key's name, shown in logs")
    granting.add_argument("--organisation", required=True)
    granting.add_argument(
        "--class", dest="service_class", required=True, help="class of work"
    )
    granting.add_argument("--trainer", default="")
    granting.add_argument("--reason", required=True)
    connection.add_arguments(granting)
    granting.set_defaults(run=run_grant)
    withdrawing = actions.add_parser("withdraw", help="end a key")
    withdrawing.add_argument("key_id")
    withdrawing.add_argument("--reason", required=True)
    withdrawing.add_argument(
        "--emergency",
        action="store_true",
        help="do it without the key-value service, which cannot be reached",
    )
    connection.add_arguments(withdrawing)
    withdrawing.set_defaults(run=run_withdraw)
    listing = actions.add_parser("list", help="list the keys in force")
    connection.add_arguments(listing)
    listing.set_defaults(run=run_list)
    operator = actions.add_parser(
        "operator", help="make an operator's key for the nodes' settings"
    )
    operator.add_argument("name")
    operator.set_defaults(run=run_operator)


def run_grant(arguments: argparse.Namespace) -> None:
    """Makes a key, enters its digest and shows the key once."""
    key = keys.make_key(arguments.key_id)
    body = messages.GrantRequest(
        codec.Name(arguments.key_id),
        {
            "organisation": arguments.organisation,
            "service_class": arguments.service_class,
            "salt": key.salt,
            "digest": key.digest,
            "trainer": arguments.trainer,
        },
        arguments.reason,
    )
    accepted = connection.call(
        arguments, "POST", "/keys/grant", editor.AcceptedChange, body
    )
    config.print_accepted(accepted)
    print(f"the key, shown only now:\n{key.text}")


def run_withdraw(arguments: argparse.Namespace) -> None:
    """Ends a key everywhere."""
    body = messages.WithdrawRequest(
        codec.Name(arguments.key_id), arguments.reason, arguments.emergency
    )
    accepted = connection.call(
        arguments, "POST", "/keys/withdraw", editor.AcceptedChange, body
    )
    config.print_accepted(accepted)


def run_list(arguments: argparse.Namespace) -> None:
    """Lists the keys in force."""
    answer = connection.call(
        arguments, "GET", "/configuration", messages.ConfigurationResponse
    )
    for key_id, key in sorted(answer.tables.get("keys", {}).items()):
        trainer = f" trainer {key['trainer']}" if key.get("trainer") else ""
        print(
            f"{key_id}: {key['organisation']} {key['service_class']}{trainer}"
        )


def run_operator(arguments: argparse.Namespace) -> None:
    """Makes an operator's key."""
    key = keys.make_key(arguments.name)
    print(f"the key, shown only now:\n{key.text}\n")
    print("for the settings of every node:")
    print(f'[operators.{arguments.name}]\nsalt = "{key.salt}"')
    print(f'digest = "{key.digest}"')
