"""Measures the processor time of a request with different connection pools.

    python -m bench.pools [--json]

Compares one connection pool for all servers with a pool for each server. The
connections are in-memory fakes that respond at once, so that only the client
costs time.
"""

import argparse
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import json
import statistics
import time
from typing import Any

import httpcore
import trio

from kingcupscale.web import httpclient
from kingcupscale.web import message

# Numbers of engines of a large deployment, and the concurrent requests of each
# engine.
SERVERS = (4, 19, 37)
SLOTS = 6
REQUESTS_PER_SLOT = 8
ROUNDS = 3
EVENT = b"id: 1\ndata: " + b"x" * 200 + b"\n\n"
EVENTS = 20
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


class FakeStream(httpcore.AsyncNetworkStream):
    """An in-memory connection that responds with event streams."""

    def __init__(self) -> None:
        self.pending_chunks: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns the next part of the response."""
        await trio.lowlevel.checkpoint()
        return self.pending_chunks.pop()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Prepares a response.

        The client writes the head and the body of a request separately; only
        the first write prepares a response.
        """
        if not self.pending_chunks:
            self.pending_chunks = [
                b"0\r\n\r\n",
                *[CHUNK] * EVENTS,
                RESPONSE_HEAD,
            ]

    async def aclose(self) -> None:
        """Does nothing; no resource is held."""

    def get_extra_info(self, info: str) -> Any:
        """Reports that an idle connection has no data to read."""
        return False if info == "is_readable" else None


class FakeBackend(httpcore.AsyncNetworkBackend):
    """Opens in-memory connections and counts them."""

    def __init__(self) -> None:
        self.opened = 0

    async def connect_tcp(
        self, host: str, port: int, *_: Any, **__: Any
    ) -> httpcore.AsyncNetworkStream:
        """Returns a new in-memory connection."""
        self.opened += 1
        return FakeStream()

    async def sleep(self, seconds: float) -> None:
        """Sleeps."""
        await trio.sleep(seconds)


class SinglePoolClient:
    """The baseline: an ``HttpClient`` with one pool for all servers."""

    def __init__(self, backend: httpcore.AsyncNetworkBackend) -> None:
        self.pool = httpclient.make_pool(1024, 30.0, backend)

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> AsyncIterator[message.Response]:
        """Sends a request over a pooled connection."""
        async with httpclient.send(
            self.pool, address, request, timeout_s
        ) as response:
            yield response


CLIENT_FACTORIES: dict[str, Callable[[httpcore.AsyncNetworkBackend], Any]] = {
    "one pool": SinglePoolClient,
    "a pool for each server": lambda backend: httpclient.PooledHttpClient(
        backend=backend
    ),
}


async def _run(http_client: httpclient.HttpClient, servers: int) -> None:
    """Sends requests to all servers, ``SLOTS`` at a time to each of them."""

    async def use_slot(address: str) -> None:
        for _ in range(REQUESTS_PER_SLOT):
            request = message.Request(
                "POST", "/generate", "", {"host": "h"}, b"?" * 600
            )
            async with http_client.open(address, request, 10.0) as response:
                async for _ in response.chunks or ():
                    pass

    async with trio.open_nursery() as nursery:
        for server in range(servers):
            for _ in range(SLOTS):
                nursery.start_soon(use_slot, f"10.0.0.{server + 1}:80")


def measure(client: str, servers: int) -> dict[str, Any]:
    """Returns the processor time of a request and the connections opened.

    The processor time is the median of all rounds.
    """
    results = []
    for _ in range(ROUNDS):
        backend = FakeBackend()
        http_client = CLIENT_FACTORIES[client](backend)
        start_s = time.process_time()
        trio.run(_run, http_client, servers)
        spent_s = time.process_time() - start_s
        results.append(1000 * spent_s / (servers * SLOTS * REQUESTS_PER_SLOT))
    return {
        "way": client,
        "servers": servers,
        "ms_a_request": round(statistics.median(results), 3),
        "connections": backend.opened,
    }


def main() -> None:
    """Prints a line for each client and number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args()
    for servers in SERVERS:
        for client in CLIENT_FACTORIES:
            result = measure(client, servers)
            if options.json:
                print(json.dumps(result))
            else:
                print(
                    f"{client:24} {servers:3} servers"
                    f" {result['ms_a_request']:7.3f} ms a request,"
                    f" {result['connections']} connections"
                )


if __name__ == "__main__":
    main()
