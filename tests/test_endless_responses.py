"""Responses without an end, at every place that reads one as a whole.

A timeout alone does not bound the memory: on a fast network hundreds of
megabytes arrive within a second. ``tests.platform.test_endless`` covers calls,
samples, orders and status reports of the platform's servers.
"""

import re
import tracemalloc
import types
import unittest
from unittest import mock

import orjson
import parameterized
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import metrics
from kingcupscale.capacity import autoscaler
from kingcupscale.configuration import document
from kingcupscale.configuration import keys
from kingcupscale.crashes import guard as guards
from kingcupscale.peering import calls as peer_calls
from kingcupscale.peering import relay
from kingcupscale.platform import cloud
from kingcupscale.platform import store as platform_store
from kingcupscale.providers import calls
from kingcupscale.providers import engine
from kingcupscale.providers import keyvalue
from kingcupscale.serving import generation
from kingcupscale.serving import plainservices
from kingcupscale.serving import services
from kingcupscale.storage import locks
from kingcupscale.storage import store as stores
from kingcupscale.usage import counter
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests.platform import endlessserver
from tests.platform import rawserver

MIB = 1 << 20
KIB = 1 << 10
TEST_TIMEOUT_S = 30.0
# Longer than any response here takes to exceed its limit.
CALL_TIMEOUT_S = 20.0
HOLDER = locks.Holder("n1", 1, lambda: None)
# A body may be held twice, and buffers are allocated larger than needed.
HELD_FACTOR = 2
OVERHEAD_BYTES = 2 * MIB


class BoundedServer(endlessserver.Server):
    """Sends an endless response, up to a size at which the test has failed.

    Attributes:
        ordinary: What it sends instead; None for the endless response.
    """

    def __init__(self, kind, limit):
        super().__init__(kind)
        self.limit = limit
        self.ordinary = None

    async def serve_connection(self, stream):
        if self.ordinary is None:
            await super().serve_connection(stream)
            return
        await stream.receive_some()
        await stream.send_all(self.ordinary)
        await trio.aclose_forcefully(stream)


def make_pools(kind, address):
    """Returns services with one server on which every call may run."""
    pool = services.ServicePool("s", "n1", clocks.SystemClock(), mock.Mock())
    pool.service = document.Service(kind, timeout_s=CALL_TIMEOUT_S)
    state = mock.Mock(server=types.SimpleNamespace(address=address))
    state.name = "server"
    slot = mock.MagicMock()
    slot.__aenter__ = mock.AsyncMock(return_value=state)
    slot.__aexit__ = mock.AsyncMock(return_value=None)
    pool.scheduler = mock.Mock(slot=lambda _: slot)
    pool.router = mock.Mock()
    replica = mock.MagicMock()
    pools = services.Services(replica, clocks.SystemClock(), mock.Mock())
    pools.pools["s"] = pool
    return pools


async def call_plain_service(client, address):
    plain = plainservices.PlainServiceClient(
        make_pools(document.ServiceKind.PLAIN, address),
        client,
        mock.Mock(),
        counter.Counters("n1"),
        metrics.Metrics(),
        guards.CrashGuard(mock.Mock(), clocks.SystemClock(), lambda _: True),
    )
    request = message.Request("POST", "/x")
    grant = keys.Grant("", "o", "o", "c")
    await plain.call(plainservices.Call("s", "/x", request, grant))


async def order_servers(client, address):
    order = autoscaler.Order("s", "a", 2)
    await cloud.PlatformCloud(client, address).order(order, HOLDER)


async def follow_node(client, address):
    interest = types.SimpleNamespace(everything=True, models=(), batches=())
    position = types.SimpleNamespace(log="", number=0, revision=0)
    await relay.HttpRelayClient(client).follow(address, position, interest)


# By name: the call and the longest response body that it reads.
CALLS = {
    "store_get": (
        lambda c, a: platform_store.PlatformStore(c, a).get("k"),
        64 * MIB,
    ),
    "cloud_order": (order_servers, 64 * KIB),
    "node_probe": (
        lambda c, a: relay.HttpRelayClient(c).probe(a),
        64 * KIB,
    ),
    "node_follow": (follow_node, 64 * MIB),
    "key_value_get": (
        lambda c, a: keyvalue.HttpKeyValueStore(c, a, CALL_TIMEOUT_S).get("k"),
        64 * MIB,
    ),
    "engine_state": (
        lambda c, a: engine.read_state(c, a, CALL_TIMEOUT_S),
        256 * KIB,
    ),
    "plain_service": (call_plain_service, 16 * MIB),
}
ERRORS = (
    stores.StoreError,
    autoscaler.OrderError,
    peer_calls.PeerError,
    relay.RelayError,
    calls.PlatformError,
    errors.ServiceError,
)


def run_with_server(server, check):
    """Runs an async function with a server and the product's HTTP client."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                client = httpclient.PooledHttpClient()
                await check(client)
                await client.aclose()
                nursery.cancel_scope.cancel()

    with (
        mock.patch.object(platform_store, "CALL_TIMEOUT_S", CALL_TIMEOUT_S),
        mock.patch.object(cloud, "CALL_TIMEOUT_S", CALL_TIMEOUT_S),
        mock.patch.object(relay, "PROBE_TIMEOUT_S", CALL_TIMEOUT_S),
        mock.patch.object(relay, "LONG_POLL_S", CALL_TIMEOUT_S),
    ):
        trio.run(main)


class PeakMemory:
    """Measures the most memory allocated in a ``with`` block, in bytes."""

    peak = 0

    def __enter__(self):
        tracemalloc.start()
        return self

    def __exit__(self, *_):
        self.peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


class WholeResponseTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{name}_{kind}", name, kind)
            for name in CALLS
            for kind in ("body_until_the_end", "body_in_chunks")
        ]
    )
    def test_endless_body_is_refused_at_its_limit(self, _, name, kind):
        """Guards against keeping all that arrives before the timeout."""
        call, limit = CALLS[name]
        server = BoundedServer(kind, 3 * limit + 8 * MIB)

        async def check(client):
            with PeakMemory() as memory, self.assertRaises(ERRORS):
                await call(client, server.address)
            self.assertLess(memory.peak, HELD_FACTOR * limit + OVERHEAD_BYTES)
            server.ordinary = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
            response = await httpclient.fetch(
                client, server.address, message.Request("GET", "/"), 5
            )
            self.assertEqual(response.body, b"{}")

        run_with_server(server, check)

    @parameterized.parameterized.expand([(1,), (2,), (7,)])
    def test_small_chunks_take_up_no_more_than_their_bytes(self, size):
        """Guards against an object of 50 and more bytes for each chunk."""
        limit = MIB

        async def send_chunks():
            for number in range(2 * limit // size):
                yield number.to_bytes(8, "big")[-size:]

        async def check():
            response = message.Response(chunks=send_chunks())
            with PeakMemory() as memory:
                self.assertFalse(await response.read_at_most(limit))
            self.assertLess(memory.peak, HELD_FACTOR * limit + 64 * KIB)

        trio.run(check)


def chunk_line(request_id, start, tokens):
    fields = {
        "request_id": request_id,
        "start": start,
        "tokens": tokens,
        "version": 1,
        "done": False,
    }
    return orjson.dumps(fields) + b"\n"


class Engine(rawserver.RawServer):
    """An engine that sends an endless response to each request.

    Attributes:
        kind: What it sends.
        limit: Bytes after which it ends the response.
        completed: Responses that the client has read to their end.
    """

    def __init__(self, kind, limit):
        super().__init__()
        self.kind = kind
        self.limit = limit
        self.completed = 0

    async def serve_connection(self, stream):
        received = b""
        while not received.endswith(b"}"):
            received += await stream.receive_some()
        # Decoding the request would count as memory of the node.
        request_id = re.search(rb'"request_id":"(\w+)"', received)[1].decode()
        status = b"500 E" if self.kind == "error_body" else b"200 OK"
        sent = number = 0
        try:
            await stream.send_all(b"HTTP/1.1 %s\r\n\r\n" % status)
            while sent < self.limit:
                if self.kind == "chunks":
                    data = chunk_line(request_id, number, ["x" * 999])
                elif self.kind == "empty_chunks":
                    data = chunk_line(request_id, 0, []) * 100
                else:
                    data = endlessserver.FILLER
                await stream.send_all(data)
                sent += len(data)
                number += 1
            self.completed += 1
        except trio.BrokenResourceError:
            pass
        finally:
            await trio.aclose_forcefully(stream)


class EngineResponseTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("line",), ("error_body",), ("chunks",), ("empty_chunks",)]
    )
    def test_endless_response_of_an_engine_ends(self, kind):
        """Guards against reading on for as long as the engine sends."""
        max_tokens = 1000
        server = Engine(kind, 16 * MIB)
        # 256 bytes a token and a line of 64 KiB.
        limit = 256 * max_tokens + 64 * KIB

        async def check(client):
            generator = generation.Generator(
                make_pools(document.ServiceKind.ENGINE, server.address),
                client,
                counter.Counters("n1"),
                metrics.Metrics(),
            )
            job = generation.Job(
                "s",
                "o",
                "o",
                "c",
                document.ServiceClass(priority=0, latency_s=1.0),
                "",
                "prompt",
                1,
                max_tokens,
                16,
            )
            received = []
            with (
                PeakMemory() as memory,
                self.assertRaises(errors.ServiceError),
            ):
                async for chunk in generator.generate(job):
                    received.append(chunk)
            self.assertEqual(server.completed, 0)
            self.assertLess(
                memory.peak,
                HELD_FACTOR * limit * generation.MAX_ATTEMPTS + OVERHEAD_BYTES,
            )

        run_with_server(server, check)
