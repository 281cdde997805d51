"""Processor time of requests by the way connections are kept.

    python -m bench.pools [--json]

Compares one pool for all servers with a pool for each server, over streams in
memory that answer at once, so that nothing but the client costs time.
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

# Engines of a large deployment and what each of them runs at once.
SERVERS = (4, 19, 37)
SLOTS = 6
REQUESTS_EACH = 8
ROUNDS = 3
EVENT = b"id: 1\ndata: " + b"x" * 200 + b"\n\n"
EVENTS = 20
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


class AnsweringStream(httpcore.AsyncNetworkStream):
    """Answers each request with a stream of events, piece by piece."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns the next piece of the answer."""
        await trio.lowlevel.checkpoint()
        return self.pieces.pop()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Takes a request, which comes as a head and a body."""
        if not self.pieces:
            self.pieces = [b"0\r\n\r\n", *[PIECE] * EVENTS, HEAD]

    async def aclose(self) -> None:
        """Closes nothing."""

    def get_extra_info(self, info: str) -> Any:
        """Tells that no byte waits on an idle connection."""
        return False if info == "is_readable" else None


class AnsweringBackend(httpcore.AsyncNetworkBackend):
    """Opens streams that answer."""

    def __init__(self) -> None:
        self.opened = 0

    async def connect_tcp(
        self, host: str, port: int, *_: Any, **__: Any
    ) -> httpcore.AsyncNetworkStream:
        """Returns a stream that answers."""
        self.opened += 1
        return AnsweringStream()

    async def sleep(self, seconds: float) -> None:
        """Waits."""
        await trio.sleep(seconds)


class OnePool:
    """An ``HttpClient`` with one pool for all servers; the baseline."""

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


WAYS: dict[str, Callable[[httpcore.AsyncNetworkBackend], Any]] = {
    "one pool": OnePool,
    "a pool for each server": lambda backend: httpclient.PooledHttpClient(
        backend=backend
    ),
}


async def _run(http_client: httpclient.HttpClient, servers: int) -> None:
    """Sends requests to all servers, as many at a time as have a slot."""

    async def use_slot(address: str) -> None:
        for _ in range(REQUESTS_EACH):
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


def measure(way: str, servers: int) -> dict[str, Any]:
    """Returns processor milliseconds a request, and connections opened."""
    readings = []
    for _ in range(ROUNDS):
        backend = AnsweringBackend()
        http_client = WAYS[way](backend)
        began = time.process_time()
        trio.run(_run, http_client, servers)
        spent_s = time.process_time() - began
        readings.append(1000 * spent_s / (servers * SLOTS * REQUESTS_EACH))
    return {
        "way": way,
        "servers": servers,
        "ms_a_request": round(statistics.median(readings), 3),
        "connections": backend.opened,
    }


def main() -> None:
    """Prints a line for each way and number of servers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args()
    for servers in SERVERS:
        for way in WAYS:
            reading = measure(way, servers)
            if options.json:
                print(json.dumps(reading))
            else:
                print(
                    f"{way:24} {servers:3} servers"
                    f" {reading['ms_a_request']:7.3f} ms a request,"
                    f" {reading['connections']} connections"
                )


if __name__ == "__main__":
    main()
