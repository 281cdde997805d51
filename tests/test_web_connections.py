"""Which connections the HTTP server closes, and which it must keep open."""

import contextlib
import random
import unittest

import parameterized
import trio

from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server
from tests import test_web_server as servers

IDLE_TIMEOUT_S = 0.6
HEADER_TIMEOUT_S = 1.0
REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
# The start of ``REQUEST % 2``.
PARTIAL_REQUEST = b"GET /2 HT"


async def _handle(request):
    return message.Response(200, {}, b"whole")


@contextlib.asynccontextmanager
async def _connected(get_limits):
    """Yields a connection to a running server."""
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            server.serve, _handle, "127.0.0.1:0", get_limits, stop.wait
        )
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        yield stream
        await trio.aclose_forcefully(stream)
        stop.set()


async def _read_response(stream):
    data = b""
    while not data.endswith(b"whole"):
        received = await stream.receive_some()
        if not received:
            return data
        data += received
    return data


class IdleTest(unittest.TestCase):
    """Timeouts of idle connections and of slow headers.

    A request whose first bytes arrive just before the idle timeout must be
    answered, although the timeout passes while it is read.
    """

    @parameterized.parameterized.expand(
        [
            (
                "used_again_in_time",
                [(0.0, REQUEST % 1)],
                0.5 * IDLE_TIMEOUT_S,
                True,
            ),
            ("idle_too_long", [(0.0, REQUEST % 1)], 3 * IDLE_TIMEOUT_S, False),
            ("never_used", [], 3 * IDLE_TIMEOUT_S, False),
            (
                # The idle timeout passes while the headers are read.
                "started_in_time",
                [(0.0, REQUEST % 1), (0.8 * IDLE_TIMEOUT_S, PARTIAL_REQUEST)],
                0.8 * HEADER_TIMEOUT_S,
                True,
            ),
            (
                "slow_head",
                [(0.0, PARTIAL_REQUEST)],
                2 * HEADER_TIMEOUT_S,
                False,
            ),
        ]
    )
    def test_connection_is_kept_open(self, _, parts, pause_s, is_kept):
        allowed = limits.Limits(
            idle_s=IDLE_TIMEOUT_S, header_timeout_s=HEADER_TIMEOUT_S
        )

        async def main():
            async with _connected(limits.constant(allowed)) as stream:
                for delay_s, part in parts:
                    await trio.sleep(delay_s)
                    await stream.send_all(part)
                    if part.endswith(b"\r\n\r\n"):
                        await _read_response(stream)
                await trio.sleep(pause_s)
                is_started = parts and len(parts[-1][1]) == len(PARTIAL_REQUEST)
                rest = (REQUEST % 2)[len(PARTIAL_REQUEST) :]
                if not is_started:
                    rest = REQUEST % 2
                with contextlib.suppress(OSError, trio.BrokenResourceError):
                    await stream.send_all(rest)
                data = b""
                with contextlib.suppress(OSError, trio.BrokenResourceError):
                    data = await _read_response(stream)
                is_answered = data.endswith(b"whole")
                self.assertEqual(is_answered, is_kept)

        trio.run(main)

    def test_new_limits_apply_to_open_connections(self):
        allowed = limits.Limits(body_bytes=10)

        async def main():
            nonlocal allowed
            async with _connected(lambda: allowed) as stream:
                head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 20\r\n"
                body = b"\r\n" + 20 * b"x"
                allowed = limits.Limits(body_bytes=20)
                await stream.send_all(head + body)
                self.assertIn(b"200", (await _read_response(stream))[:20])
                allowed = limits.Limits(body_bytes=10)
                await stream.send_all(head + body)
                self.assertIn(b"413", (await stream.receive_some())[:20])

        trio.run(main)


class StopTest(unittest.TestCase):
    """A planned shutdown while requests arrive on open connections.

    Every request that the handler has started must be answered. A server that
    closes a connection on which it is reading a request loses a request that
    its handler may have started.
    """

    @parameterized.parameterized.expand(
        [
            (f"{kind}_{seed}", seed, is_used, min_answered)
            for kind, is_used, min_answered in (
                ("new", False, 25),
                ("used", True, 0),
            )
            for seed in range(3)
        ]
    )
    def test_every_read_request_is_answered_on_shutdown(
        self, _, seed, is_used, min_answered
    ):
        rng = random.Random(seed)
        started, answered = set(), set()

        async def handle(request):
            started.add(request.path)
            await trio.sleep(0.1)
            return message.Response(200, {}, b"whole")

        async def send_request(stream, path):
            try:
                await stream.send_all(
                    b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n" % path.encode()
                )
                data = b""
                while not data.endswith(b"whole"):
                    received = await stream.receive_some()
                    if not received:
                        return
                    data += received
                answered.add(path)
            except (OSError, trio.BrokenResourceError):
                return

        async def send_around_shutdown(stream, number):
            # Some requests are read before the shutdown, some arrive after.
            await trio.sleep(rng.uniform(0.0, 0.04))
            await send_request(stream, f"/{number}")
            await trio.aclose_forcefully(stream)

        async def main():
            stop = trio.Event()
            async with trio.open_nursery() as nursery:
                address = await nursery.start(
                    server.serve,
                    handle,
                    "127.0.0.1:0",
                    servers.LIMITS,
                    stop.wait,
                )
                host, _, port = address.rpartition(":")
                streams = [
                    await trio.open_tcp_stream(host, int(port))
                    for _ in range(30)
                ]
                if is_used:
                    for number, stream in enumerate(streams):
                        nursery.start_soon(
                            send_request, stream, f"/first-{number}"
                        )
                    while len(answered) < len(streams):
                        await trio.sleep(0.01)
                for number, stream in enumerate(streams):
                    nursery.start_soon(send_around_shutdown, stream, number)
                await trio.sleep(0.02)
                stop.set()

        trio.run(main)
        self.assertEqual(started - answered, set())
        self.assertGreaterEqual(len(answered), min_answered)
