"""Calls from the command line to a node's operator API, and exit codes."""

import argparse
import os
from typing import Any
from typing import TypeVar

import orjson
import trio

from kingcupscale import codec
from kingcupscale.web import httpclient
from kingcupscale.web import message

T = TypeVar("T")

NODE_VARIABLE = "KINGCUPSCALE_NODE"
KEY_VARIABLE = "KINGCUPSCALE_OPERATOR_KEY"
TIMEOUT_S = 30.0

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class CommandError(Exception):
    """An error that ends the command with a message and an exit code.

    Args:
        text: The message for standard error.
        exit_code: The exit code of the process.
    """

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.text = text
        self.exit_code = exit_code


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the ``--node`` option."""
    parser.add_argument(
        "--node",
        default=os.environ.get(NODE_VARIABLE, ""),
        metavar="HOST:PORT",
        help=f"address of a node's operator API (default: ${NODE_VARIABLE})",
    )


def call(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    response_type: type[T],
    body: Any = None,
    query: str = "",
    requires_key: bool = True,
) -> T:
    """Sends one request to the node and returns the decoded response.

    Args:
        arguments: The command's arguments, with the node's address.
        method: HTTP method.
        path: Path without the query.
        response_type: Class of the response.
        body: Typed message that is sent as JSON; None for none.
        query: Query string without the question mark.
        requires_key: Whether the request needs an operator's key. If not, the
            key is sent only if there is one.

    Raises:
        CommandError: If no node or key is given, or the node refuses the
            request or cannot be reached.
    """
    request = message.Request(method, path, query, _headers(requires_key))
    if body is not None:
        request.body = codec.encode(body)
    if not arguments.node:
        raise CommandError(
            f"no node given; use --node HOST:PORT or set ${NODE_VARIABLE}",
            EXIT_USAGE,
        )
    try:
        response = trio.run(_fetch, arguments.node, request)
    except httpclient.RequestError as e:
        state = "may have been sent" if e.may_have_been_sent else "was not sent"
        raise CommandError(
            f"no response from {arguments.node} ({e.reason}); the request"
            f" {state}",
            EXIT_UNREACHABLE,
        ) from None
    if response.status != 200:
        raise CommandError(_format_error(response), EXIT_REFUSED)
    return codec.decode(response_type, response.body)


def _headers(requires_key: bool) -> dict[str, str]:
    key = os.environ.get(KEY_VARIABLE, "")
    if not key and not requires_key:
        return {}
    if not key:
        raise CommandError(
            f"no operator key given; set ${KEY_VARIABLE}", EXIT_USAGE
        )
    return {
        "authorization": f"Bearer {key}",
        "content-type": "application/json",
    }


async def _fetch(node: str, request: message.Request) -> message.Response:
    http_client = httpclient.PooledHttpClient()
    try:
        return await httpclient.fetch(http_client, node, request, TIMEOUT_S)
    finally:
        await http_client.aclose()


def _format_error(response: message.Response) -> str:
    try:
        error = orjson.loads(response.body)["error"]
        text = str(error["message"]).replace("; ", "\n  ")
        return f"request refused: {error['code']} {error['name']}:\n  {text}"
    except (ValueError, KeyError, TypeError):
        return f"request refused with HTTP status {response.status}"
