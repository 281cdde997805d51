"""Connections of clients that exceed limits, on real sockets."""

import contextlib
import functools
import unittest
from unittest import mock

import parameterized
import trio

from kingcupscale.platform import process
from kingcupscale.web import clientguard
from kingcupscale.web import clientlimits
from kingcupscale.web import connectionlimits
from kingcupscale.web import limits
from kingcupscale.web import memorybudget
from kingcupscale.web import message
from kingcupscale.web import server

TEST_TIMEOUT_S = 30.0
RESERVED_S = 2.0
MIB = 1 << 20
LARGE_RESPONSE = bytes(32 << 20)
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
EMPTY = HEAD + b"content-length: 0\r\n\r\n"
CALLERS = "callers"
PEERS = "peers"


async def _handle(request):
    if request.path == "/large":
        return message.Response(200, {}, LARGE_RESPONSE)
    if request.path == "/json":
        request.check_decoding(request.body)
    if request.path == "/reserve":
        await request.reserve(100 << 20)
        await trio.sleep(RESERVED_S)
    return message.Response(200, {}, b"%d bytes" % len(request.body))


def with_server(body_bytes=1 << 20, **changed):
    """Runs an async test with the address and the guard of a server."""

    def decorate(test):
        @functools.wraps(test)
        def run(self, *args):
            async def main():
                with trio.fail_after(TEST_TIMEOUT_S):
                    allowed = clientlimits.derive(
                        **{"budget_mb": 2, "connections": 16, **changed}
                    )
                    async with _serving(allowed, body_bytes) as (name, guard):
                        await test(self, name, guard, *args)

            trio.run(main)

        return run

    return decorate


@contextlib.asynccontextmanager
async def _serving(allowed, body_bytes):
    guard = clientguard.ClientGuard(allowed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(guard.run)
        address = await nursery.start(
            functools.partial(server.serve, guard=guard),
            _handle,
            "127.0.0.1:0",
            limits.constant(limits.Limits(body_bytes=body_bytes)),
            trio.sleep_forever,
        )
        yield address, guard
        nursery.cancel_scope.cancel()


async def connect(address, data=b""):
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(data)
    return stream


async def read_to_end(stream):
    data = b""
    with contextlib.suppress(trio.BrokenResourceError):
        async for part in stream:
            data += part
    return data


async def wait_until(condition):
    while not condition():
        await trio.sleep(0.05)


class RefusedBodyTest(unittest.TestCase):
    @with_server(body_bytes=50)
    async def test_connection_is_closed_after_a_refused_body(
        self, address, guard
    ):
        # More chunks than hypercorn queues. Without a reader, its tasks wait
        # for room in the queue when the refusal is complete.
        async with await connect(address, CHUNKED) as stream:
            await stream.send_all(b"a\r\n0123456789\r\n" * 200)
            data = await read_to_end(stream)
        self.assertTrue(data.startswith(b"HTTP/1.1 413 "), data[:40])
        connections = guard.connections
        await wait_until(lambda: not connections.open["default"])
        self.assertEqual(guard.budget.held, 0)

    @with_server(budget_mb=1, wait_s=0.3, body_bytes_per_s=0)
    async def test_refusal_for_memory_says_when_to_retry(self, address, guard):
        async with await connect(address, CHUNKED) as holder:
            await holder.send_all(b"a0000\r\n" + bytes(0xA0000))
            await wait_until(lambda: guard.budget.held > 0xA0000)
            async with await connect(address, CHUNKED) as stream:
                await stream.send_all(b"40000\r\n" + bytes(0x40000) + b"\r\n")
                data = await read_to_end(stream)
        self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data[:40])
        self.assertIn(b"retry-after: 1", data)
        self.assertIn(b'"run":"not_run"', data)

    @with_server(budget_mb=1)
    async def test_stalled_body_is_refused_for_a_waiting_one(
        self, address, guard
    ):
        async with await connect(address, CHUNKED) as stalled:
            await stalled.send_all(b"a0000\r\n" + bytes(0xA0000))
            await wait_until(lambda: guard.budget.held > 0xA0000)
            await trio.sleep(1.0)
            async with await connect(address, CHUNKED) as stream:
                await stream.send_all(
                    b"40000\r\n" + bytes(0x40000) + b"\r\n0\r\n\r\n"
                )
                answer = await stream.receive_some()
            data = await read_to_end(stalled)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer[:40])
        self.assertTrue(data.startswith(b"HTTP/1.1 408 "), data[:40])


class RefusedMemoryTest(unittest.TestCase):
    """The memory of a refused body must be free while its refusal is sent.

    Otherwise the next sweep refuses more requests than needed.
    """

    def test_only_the_overhead_is_held_while_a_refusal_is_sent(self):
        held = []

        async def receive():
            await trio.lowlevel.checkpoint()
            body = bytes(MIB // 4)
            return {"type": "http.request", "body": body, "more_body": True}

        async def main():
            budget = clientguard.ClientGuard(clientlimits.derive()).budget
            allowed = limits.constant(limits.Limits(body_bytes=MIB))
            application = server.Application(_handle, allowed, budget)

            async def send(event):
                del event
                held.append(budget.held)

            scope = {"type": "http", "method": "POST", "raw_path": b"/"}
            scope |= {"query_string": b"", "headers": []}
            await application(scope, receive, send)

        trio.run(main)
        self.assertEqual(held, 2 * [memorybudget.REQUEST_BYTES])


class DecodingTest(unittest.TestCase):
    """A small body must not decode to more than the memory for requests."""

    @parameterized.parameterized.expand(
        [("objects", b"{},", 413), ("text", b"QUJ", 200)]
    )
    @with_server()
    async def test_values_are_measured_before_decoding(
        self, address, guard, _, part, status
    ):
        body = b"[" + 100_000 * part + b"{}]"
        head = HEAD.replace(b" / ", b" /json ")
        length = b"content-length: %d\r\n\r\n" % len(body)
        async with await connect(address, head + length + body) as stream:
            data = await stream.receive_some()
        self.assertTrue(data.startswith(b"HTTP/1.1 %d " % status), data[:40])


class ReservationTest(unittest.TestCase):
    """Requests that need more memory than their bodies take turns."""

    @with_server(wait_s=0.5)
    async def test_second_one_waits_and_small_requests_do_not(
        self, address, guard
    ):
        head = EMPTY.replace(b" / ", b" /reserve ")
        async with await connect(address, head) as first:
            await wait_until(lambda: guard.budget.held > MIB)
            async with await connect(address, head) as second:
                async with await connect(address, EMPTY) as small:
                    data = await small.receive_some()
                    self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data)
                data = await second.receive_some()
                self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data)
            data = await first.receive_some()
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data)
        await wait_until(lambda: not guard.budget.held)

    @with_server(wait_s=0.5)
    async def test_one_is_served_beside_small_requests(self, address, guard):
        small = guard.budget.open("10.0.0.1")
        guard.budget.add(small, MIB // 4)
        head = EMPTY.replace(b" / ", b" /reserve ")
        async with await connect(address, head) as stream:
            data = await stream.receive_some()
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data)


class ConnectionTest(unittest.TestCase):
    @with_server(send_stall_s=0.5)
    async def test_connection_of_a_client_that_does_not_read_is_closed(
        self, address, guard
    ):
        head = EMPTY.replace(b" / ", b" /large ")
        async with await connect(address, head):
            await wait_until(
                lambda: guard.connections.closed[
                    connectionlimits.Reason.NOT_READ
                ]
            )
        await wait_until(lambda: not guard.budget.held)

    @with_server()
    async def test_new_connection_is_served_in_place_of_an_idle_one(
        self, address, guard
    ):
        idle = [await connect(address) for _ in range(40)]
        for _ in range(3):
            async with await connect(address, EMPTY) as stream:
                data = await stream.receive_some()
                self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:40])
        self.assertLessEqual(guard.connections.open["default"], 16)
        for stream in idle:
            await stream.aclose()


def _frame(kind, flags, stream, payload):
    """Returns a frame of HTTP/2."""
    head = len(payload).to_bytes(3) + bytes([kind, flags])
    return head + stream.to_bytes(4) + payload


class Http1Test(unittest.TestCase):
    """The interfaces are HTTP/1.1.

    One connection of HTTP/2 holds any number of requests, which pass the
    limits on connections and on responses that are not read.
    """

    @with_server()
    async def test_connection_of_http_2_is_closed(self, address, guard):
        # With an initial window of 0, no byte of a response can be sent.
        settings = _frame(4, 0, 0, bytes.fromhex("0004 00000000"))
        # GET http://a/large, with END_STREAM and END_HEADERS.
        fields = b"\x82\x86\x41\x01a\x44\x06/large"
        data = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings
        for number in range(70):
            data += _frame(1, 5, 2 * number + 1, fields)
        async with await connect(address, data) as stream:
            is_closed = False
            with trio.move_on_after(RESERVED_S):
                await read_to_end(stream)
                is_closed = True
            self.assertTrue(is_closed)
            await wait_until(lambda: not guard.connections.open["default"])
        self.assertEqual(guard.budget.held, 0)

    @with_server()
    async def test_offered_upgrade_is_answered_in_http_1(self, address, guard):
        # Some client libraries offer the upgrade with their first request.
        offer = (
            b"GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade, http2-settings"
            b"\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n"
        )
        async with await connect(address) as stream:
            for head in (offer, EMPTY):
                await stream.send_all(head)
                data = b""
                while not data.endswith(b"0 bytes"):
                    part = await stream.receive_some()
                    self.assertTrue(part, data)
                    data += part
                self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:40])


class PlannedStopTest(unittest.TestCase):
    """A client that stops reading must not delay a planned stop."""

    def test_stop_ends_at_the_deadline_although_a_response_is_not_read(self):
        async def main():
            stop, stopped = trio.Event(), trio.Event()
            guard = clientguard.ClientGuard(clientlimits.derive())
            serve = functools.partial(
                server.serve, graceful_timeout_s=0.3, guard=guard
            )

            async def serve_until_stopped(task_status):
                await serve(
                    _handle,
                    "127.0.0.1:0",
                    limits.constant(limits.Limits()),
                    stop.wait,
                    task_status=task_status,
                )
                stopped.set()

            async with trio.open_nursery() as nursery:
                address = await nursery.start(serve_until_stopped)
                head = EMPTY.replace(b" / ", b" /large ")
                async with await connect(address, head) as stream:
                    await stream.receive_some()
                    stop.set()
                    with trio.move_on_after(RESERVED_S) as scope:
                        await stopped.wait()
            self.assertFalse(scope.cancelled_caught)

        trio.run(main)

    def test_each_listener_of_a_node_has_the_timeout_of_its_settings(self):
        timeouts = {}

        async def serve(
            *args, listener, graceful_timeout_s=0, task_status, **_
        ):
            timeouts[listener] = graceful_timeout_s
            task_status.started()

        runtime = mock.MagicMock(run=mock.AsyncMock())
        runtime.settings.bounds.grace_s = 7.0
        runtime.settings.clients = clientlimits.derive()
        runtime.settings.readiness = "127.0.0.1:0"
        options = process.Options("", metrics_port=1)
        with mock.patch.object(server, "serve", serve):
            trio.run(process._serve, runtime, mock.MagicMock(), options)
        names = (process.CALLERS, process.READINESS)
        names += (process.PEERS, process.METRICS)
        self.assertEqual(timeouts, dict.fromkeys(names, 7.0))


class DecisionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("idle_first", [(1, 0, 5.0), (2, 1, 1.0), (3, 2, 1.0)], 1),
            ("longest_idle", [(1, 0, 5.0), (2, 0, 4.0)], 2),
            ("incomplete_head", [(1, 1, 9.9), (2, 2, 1.0)], 1),
            ("stalled_body", [(1, 3, 0.0), (2, 2, 8.0)], 2),
            ("body_in_progress", [(1, 2, 9.5)], None),
            ("request_in_progress", [(1, 3, 0.0)], None),
        ]
    )
    def test_connection_that_is_missed_least_is_closed(self, _, rows, expected):
        candidates = [
            connectionlimits.Candidate(
                number, "a", connectionlimits.State(state), since
            )
            for number, state, since in rows
        ]
        victim = connectionlimits.choose_victim(candidates, now=10.0)
        self.assertEqual(victim and victim.number, expected)

    def test_clients_of_one_listener_leave_room_for_another(self):
        allowed = clientlimits.derive(connections=64, address_share=1.0)
        counts = connectionlimits.ConnectionLimits(allowed, (CALLERS, PEERS))
        for number in range(64):
            if not counts.is_full_for(CALLERS, str(number)):
                counts.add(CALLERS, str(number))
        self.assertEqual(counts.open[CALLERS], 62)
        self.assertFalse(counts.is_full_for(PEERS, "b"))

    def test_one_address_leaves_room_for_another(self):
        allowed = clientlimits.derive(connections=100)
        counts = connectionlimits.ConnectionLimits(allowed, (CALLERS,))
        while not counts.is_full_for(CALLERS, "a"):
            counts.add(CALLERS, "a")
        self.assertEqual(counts.open[CALLERS], 90)
        self.assertFalse(counts.is_full_for(CALLERS, "b"))

    def test_hundreds_of_connections_are_allowed_by_default(self):
        for max_fds in (0, 1024):
            allowed = clientlimits.derive(max_fds=max_fds)
            self.assertGreaterEqual(allowed.address_connections, 600)
