"""A bare relay: the least that any node on the same libraries could add.

``python -m bench.relay BIND TARGET`` passes every request to one address.
"""

import sys

import trio

from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server

TIMEOUT_S = 30.0


class Relay:
    """Passes requests on as they come.

    Args:
        target: ``host:port`` that answers them.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.http_client = httpclient.PooledHttpClient()

    async def __call__(self, request: message.Request) -> message.Response:
        """Returns the target's answer to one request."""
        headers = {"content-type": "application/json"}
        sent = message.Request(
            request.method, request.path, request.query, headers, request.body
        )
        response = await httpclient.fetch(
            self.http_client, self.target, sent, TIMEOUT_S
        )
        return message.Response(response.status, {}, response.body)


async def main(bind: str, target: str) -> None:
    """Relays until ended."""
    await server.serve(
        Relay(target),
        bind,
        limits.constant(limits.Limits()),
        trio.sleep_forever,
    )


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
