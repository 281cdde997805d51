"""The ``keys`` subcommands: grant, withdraw and list API keys."""

import argparse
from typing import Any

from kingcupscale import codec
from kingcupscale.commands import config
from kingcupscale.commands import connection
from kingcupscale.configuration import editor
from kingcupscale.configuration import keys
from kingcupscale.operating import messages


def add_parser(commands: Any) -> None:
    """Adds the ``keys`` subcommands."""
    parser = commands.add_parser(
        "keys", help="grant, withdraw or list API keys"
    )
    actions = parser.add_subparsers(dest="action", required=True)
    grant_parser = actions.add_parser("grant", help="create a key for a caller")
    grant_parser.add_argument(
        "key_id", help="identifier of the key, written to logs"
    )
    grant_parser.add_argument("--organisation", required=True)
    grant_parser.add_argument(
        "--class", dest="service_class", required=True, help="service class"
    )
    grant_parser.add_argument("--trainer", default="")
    grant_parser.add_argument("--reason", required=True)
    connection.add_arguments(grant_parser)
    grant_parser.set_defaults(run=run_grant)
    withdraw_parser = actions.add_parser(
        "withdraw", help="withdraw a key on all nodes"
    )
    withdraw_parser.add_argument("key_id")
    withdraw_parser.add_argument("--reason", required=True)
    withdraw_parser.add_argument(
        "--emergency",
        action="store_true",
        help="withdraw the key while the key-value store is unreachable",
    )
    connection.add_arguments(withdraw_parser)
    withdraw_parser.set_defaults(run=run_withdraw)
    list_parser = actions.add_parser("list", help="list the valid keys")
    connection.add_arguments(list_parser)
    list_parser.set_defaults(run=run_list)
    operator_parser = actions.add_parser(
        "operator",
        help="create an operator key and print its settings for the nodes",
    )
    operator_parser.add_argument("name")
    operator_parser.set_defaults(run=run_operator)


def run_grant(arguments: argparse.Namespace) -> None:
    """Creates a key, stores its digest and prints the key.

    Only the digest is stored, so the key cannot be shown again.
    """
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
    print(f"the key (it cannot be shown again):\n{key.text}")


def run_withdraw(arguments: argparse.Namespace) -> None:
    """Withdraws a key on all nodes."""
    body = messages.WithdrawRequest(
        codec.Name(arguments.key_id), arguments.reason, arguments.emergency
    )
    accepted = connection.call(
        arguments, "POST", "/keys/withdraw", editor.AcceptedChange, body
    )
    config.print_accepted(accepted)


def run_list(arguments: argparse.Namespace) -> None:
    """Prints the valid keys, without their secrets."""
    response = connection.call(
        arguments, "GET", "/configuration", messages.ConfigurationResponse
    )
    for key_id, key in sorted(response.tables.get("keys", {}).items()):
        trainer = f" trainer {key['trainer']}" if key.get("trainer") else ""
        print(
            f"{key_id}: {key['organisation']} {key['service_class']}{trainer}"
        )


def run_operator(arguments: argparse.Namespace) -> None:
    """Creates an operator key and prints it with its settings entry."""
    key = keys.make_key(arguments.name)
    print(f"the key (it cannot be shown again):\n{key.text}\n")
    print("add this to the settings file of every node:")
    print(f'[operators.{arguments.name}]\nsalt = "{key.salt}"')
    print(f'digest = "{key.digest}"')
