"""Servers that send bytes without end, on real sockets.

A timeout of each read and a limit of single lines do not stop such a response:
a node that reads on keeps the call open and fills its memory.
"""

import contextlib
import functools
import random
import tracemalloc
import unittest
from unittest import mock

import orjson
import parameterized
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import metrics
from kingcupscale.batches import batch as batches
from kingcupscale.batches import generation
from kingcupscale.batches import record as records
from kingcupscale.batches import sample as samples
from kingcupscale.batches import sendguard
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import admission as admissions
from kingcupscale.gateway import forwarder
from kingcupscale.gateway import inboundrequest
from kingcupscale.platform import documents
from kingcupscale.platform import names
from kingcupscale.platform import servers
from kingcupscale.storage import locks
from kingcupscale.storage import view as views
from kingcupscale.web import clientguard
from kingcupscale.web import clientlimits
from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server as web_server
from kingcupscale.web import watchedstream
from tests.platform import endlessserver
from tests.platform import harness

TEST_TIMEOUT_S = 30.0
HOLDER = locks.Holder("n1", 1, lambda: None)
CALL_TIMEOUT_S = 0.6
HEADER_TIMEOUT_S = 0.8
# Time that a call may take beyond its timeout.
SLACK_S = 0.7
CONCURRENT_CALLS = 50
# Most memory that all concurrent requests may take together.
MAX_MEMORY_BYTES = 10_000_000
KINDS = tuple(endlessserver.KINDS)
# After this, a client that does not read is disconnected.
SEND_STALL_S = 1.0
# What a connection to a client holds: a part of a response and its copy.
CLIENT_BYTES = 2 * watchedstream.SEND_BYTES
REQUEST = b"POST /endless HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"


class Usage:
    def count_started(self, organisation):
        """Ignores the request; these tests check no usage."""


class CurrentMirror:
    """A mirror that is always up to date."""

    current_at = 0.0
    is_unreachable = False

    def age_s(self):
        return 0.0


class Setup:
    """A forwarder and a generator that use one endless server."""

    def __init__(self, server, configuration=None):
        self.clock = clocks.SystemClock()
        self.http_client = httpclient.PooledHttpClient()
        self.client = servers.PlatformServers(self.http_client)
        self.server_registry = registry.ServerRegistry(
            self.clock, lambda: 0.0, lambda: False
        )
        for name, service in (
            ("plain", "plain"),
            ("other", "plain"),
            ("engines", "engines"),
        ):
            self.server_registry.register(
                registry.ServerEntry(
                    name,
                    service,
                    server.address,
                    "a",
                    registry.ServerState.READY,
                    2 * CONCURRENT_CALLS,
                    1,
                    {harness.MODEL: 1},
                )
            )
        configured = documents.decode_catalogue(
            orjson.dumps(configuration or harness.make_configuration())
        )
        self.catalogue = configured
        self.forwarder = forwarder.Forwarder(
            admissions.Admission(lambda: configured, lambda: None),
            self.server_registry,
            self.client,
            Usage(),
            metrics.Metrics(),
            self.clock,
            random.Random(1),
            "a",
        )
        self.generator = generation.Generator(
            self.client,
            self.clock,
            sendguard.SendGuard(
                views.View(CurrentMirror(), self.clock, "n", 3.0, lambda: None)
            ),
            lambda *_: None,
            self.forwarder.eligibility,
        )

    async def send(self, number, path):
        """Sends one call and returns its response."""
        inbound = inboundrequest.InboundRequest(
            request_id=f"r{number}",
            method="POST",
            host=harness.HOST,
            path=f"{path}{number}",
            query="",
            headers={},
            body=b"?",
            key=harness.KEY,
            timeout_s=CALL_TIMEOUT_S,
            received_at=self.clock.monotonic(),
        )
        return await self.forwarder.forward(inbound)

    async def call(self, number, path):
        """Sends one call; returns its error, or None if it gets a response."""
        try:
            response = await self.send(number, path)
            if response.chunks is not None:
                async with contextlib.aclosing(response.chunks) as chunks:
                    async for _ in chunks:
                        pass
        except (errors.ServiceError, serverclient.ServerError) as e:
            return e
        return None

    async def run_sample(self, number):
        """Runs one sample; returns whether its text is complete."""
        item = batches.Item(
            f"i{number}", "/x", {}, b"?", 300, "g", None, length_hint=200
        )
        batch = batches.Batch(
            "b", "", "route", harness.HOST, 0, harness.MODEL, 1, 1, [item]
        )
        route = self.catalogue.find_route(harness.HOST, harness.BATCH_PATH)
        sample = samples.Sample(item, records.Record(batch, 0), route)
        return await self.generator.run(
            sample, self.server_registry.servers["engines"]
        )


def run_with_server(kind, check):
    """Runs an async function with an endless server of a kind."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                server = endlessserver.Server(kind)
                await nursery.start(server.serve)
                setup = Setup(server)
                await check(server, setup)
                await setup.http_client.aclose()
                nursery.cancel_scope.cancel()

    with mock.patch.object(generation, "HEADER_TIMEOUT_S", HEADER_TIMEOUT_S):
        trio.run(main)


class EndlessTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{kind}_{name}", kind, path)
            for kind in KINDS
            for name, path in (
                ("idempotent", harness.CALL_PATH),
                ("once_only", "/once/"),
            )
        ]
    )
    def test_call_ends_in_time_with_a_truthful_status(self, _, kind, path):
        async def check(server, setup):
            started_at = trio.current_time()
            error = await setup.call(1, path)
            elapsed_s = trio.current_time() - started_at
            self.assertLess(elapsed_s, CALL_TIMEOUT_S + SLACK_S)
            if isinstance(error, errors.ServiceError):
                # It was sent, so the error must not say that it has not run.
                self.assertIn(error.code.status, (502, 504))
            if kind in ("behind_an_answer", "copies_of_an_answer"):
                self.assertIsNone(error)
            else:
                self.assertIsNotNone(error)
            # The next call must not read from the same connection.
            setup.server_registry.servers["plain"].record_success()
            await setup.call(2, path)
            await trio.sleep(0.05)
            await setup.http_client.aclose()
            self.assertGreaterEqual(server.connections, 2)
            with trio.move_on_after(2):
                while server.closed < server.connections:
                    await trio.sleep(0.02)
            self.assertEqual(server.closed, server.connections)

        run_with_server(kind, check)

    @parameterized.parameterized.expand([(kind,) for kind in KINDS])
    def test_sample_ends_in_time(self, kind):
        async def check(server, setup):
            with trio.fail_after(HEADER_TIMEOUT_S + SLACK_S):
                is_complete = await setup.run_sample(1)
            self.assertFalse(is_complete)
            engine = setup.server_registry.servers["engines"]
            self.assertGreater(engine.failures, 0)

        run_with_server(kind, check)

    @parameterized.parameterized.expand(
        [
            (f"{kind}_{name}", kind, is_sample)
            for kind in KINDS
            for name, is_sample in (("calls", False), ("samples", True))
        ]
    )
    def test_memory_of_many_concurrent_requests(self, _, kind, is_sample):
        async def check(server, setup):
            async def send_one(number):
                if is_sample:
                    await setup.run_sample(number)
                else:
                    await setup.call(number, "/once/")

            tracemalloc.start()
            try:
                baseline, _ = tracemalloc.get_traced_memory()
                async with trio.open_nursery() as nursery:
                    for number in range(CONCURRENT_CALLS):
                        nursery.start_soon(send_one, number)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            self.assertLess(peak - baseline, MAX_MEMORY_BYTES)

        run_with_server(kind, check)

    @parameterized.parameterized.expand([(kind,) for kind in KINDS])
    def test_status_and_order_end_in_time(self, kind):
        async def check(server, setup):
            engine = setup.server_registry.servers["engines"]
            order = serverclient.VersionOrder(harness.MODEL, 2, True, HOLDER, 0)
            with trio.fail_after(2 * servers.ORDER_TIMEOUT_S + SLACK_S):
                with self.assertRaises(serverclient.ServerError):
                    await setup.client.fetch_engine_status(engine)
                with self.assertRaises(serverclient.ServerError):
                    await setup.client.order(engine, order)

        run_with_server(kind, check)


class RepeatedResponseTest(unittest.TestCase):
    """A server repeats its last response on a reused connection.

    The node must not take the copy for the response to the next request.
    """

    @parameterized.parameterized.expand(
        [
            ("idempotent", harness.CALL_PATH, True),
            ("once_only", "/once/", False),
        ]
    )
    def test_next_call_does_not_get_the_previous_response(
        self, _, path, allows_retry
    ):
        async def main():
            server = endlessserver.DuplicatingServer()
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                setup = Setup(server)
                first = await setup.send(1, path)
                self.assertEqual(first.body, b"answer to r1")
                setup.server_registry.servers["plain"].record_success()
                if allows_retry:
                    second = await setup.send(2, path)
                    self.assertEqual(second.body, b"answer to r2")
                else:
                    with self.assertRaises(errors.ServiceError) as caught:
                        await setup.send(2, path)
                    self.assertEqual(caught.exception.code.status, 502)
                self.assertEqual(server.duplicates, 1)
                await setup.http_client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)


class StalledClientTest(unittest.TestCase):
    """Endless responses that are relayed to clients which do not read.

    Guards against a node that reads on from the server meanwhile, and against
    connections to servers that outlive those of the clients.
    """

    @parameterized.parameterized.expand(
        [
            ("body_until_the_end", "/once/"),
            ("body_in_chunks", "/once/"),
            ("body_of_a_length", harness.CALL_PATH),
        ]
    )
    def test_stalled_clients_take_up_little_and_are_closed(self, kind, path):
        async def check(server, setup):
            allowed = clientlimits.derive(
                connections=2 * CONCURRENT_CALLS, send_stall_s=SEND_STALL_S
            )
            guard = clientguard.ClientGuard(allowed)

            async def handle(request):
                if request.path == "/ordinary":
                    return message.Response(200, {}, b"fine")
                return await setup.send(server.connections, path)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(guard.run)
                address = await nursery.start(
                    functools.partial(web_server.serve, guard=guard),
                    handle,
                    "127.0.0.1:0",
                    limits.constant(limits.Limits()),
                    trio.sleep_forever,
                )
                tracemalloc.start()
                streams = []
                for _ in range(CONCURRENT_CALLS):
                    host, _, port = address.rpartition(":")
                    streams.append(await trio.open_tcp_stream(host, int(port)))
                    await streams[-1].send_all(REQUEST)
                while not server.connections:
                    await trio.sleep(0.02)
                while server.closed < server.connections:
                    await trio.sleep(0.02)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertGreater(server.connections, 0)
                self.assertLess(
                    peak, MAX_MEMORY_BYTES + CONCURRENT_CALLS * CLIENT_BYTES
                )
                response = await httpclient.fetch(
                    setup.http_client,
                    address,
                    message.Request("GET", "/ordinary"),
                    5,
                )
                self.assertEqual(response.body, b"fine")
                for stream in streams:
                    await trio.aclose_forcefully(stream)
                nursery.cancel_scope.cancel()

        run_with_server(kind, check)


class NamesTest(unittest.TestCase):
    def test_test_server_uses_the_header_names_of_the_platform(self):
        for name in (names.REQUEST_ID, names.SIGNATURE, names.WEIGHT_VERSION):
            self.assertIn(name.encode(), endlessserver.SIGNED.lower())
