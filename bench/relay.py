"""A minimal HTTP proxy: the baseline for the latency that a node adds.

It uses the HTTP client and server of a node and does nothing else.
``python -m bench.relay BIND TARGET`` forwards every request to one address.
"""

import sys

import trio

from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server

TIMEOUT_S = 30.0


class Relay:
    """Forwards requests to one target.

    Args:
        target: ``host:port`` to forward to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.http_client = httpclient.PooledHttpClient()

    async def __call__(self, request: message.Request) -> message.Response:
        """Forwards one request and returns the response of the target."""
        headers = {"content-type": "application/json"}
        forwarded = message.Request(
            request.method, request.path, request.query, headers, request.body
        )
        response = await httpclient.fetch(
            self.http_client, self.target, forwarded, TIMEOUT_S
        )
        return message.Response(response.status, {}, response.body)


async def main(bind: str, target: str) -> None:
    """Runs the proxy until the process is terminated."""
    await server.serve(
        Relay(target),
        bind,
        limits.constant(limits.Limits()),
        trio.sleep_forever,
    )


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
