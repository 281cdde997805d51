"""Servers that break off an answer, on real sockets.

Their bytes reach the client of a real listener. Whatever the server sends
before it breaks off, and whatever the next server answers, the client must not
get an answer that looks complete but is not, nor bytes of two answers in one.
"""

import contextlib
import functools
import re
import socket
import struct
import unittest

import h11
import parameterized
import trio

from kingcupscale.gateway import inboundrequest
from kingcupscale.platform import names
from kingcupscale.web import limits
from kingcupscale.web import server as web_server
from tests.platform import harness
from tests.platform import rawserver
from tests.platform import test_endless

TEST_TIMEOUT_S = 20.0
# Time in which bytes arrive on the loopback.
ARRIVAL_S = 0.03
RESET = struct.pack("ii", 1, 0)
STREAM_PATH = "/stream/"
RESUMED_PATH = "/resumed/"
SIGNED = (
    "X-Kingcupscale-Request-Id: %(id)s\r\n"
    "X-Kingcupscale-Server-Stamp: signed\r\n"
)
OK = "HTTP/1.1 200 OK\r\n" + SIGNED
EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
LONG = "x" * 100_000


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n"
# By kind, what a server sends before it closes or resets the connection.
HEADS = {
    "nothing": "",
    "status": "HTTP/1.1 200 OK",
    "status_line": "HTTP/1.1 200 OK\r\n",
    "header_name": "HTTP/1.1 200 OK\r\nX-Kingcup",
    "header_lines": OK,
    "length": OK + "Content-Length: 10\r\n",
    "length_without_line_end": OK + "Content-Length: 1",
    "last_line_end": OK + "Content-Length: 10\r\n\r",
    "close_without_end": OK + "Connection: close\r\n",
    "http_1_0": "HTTP/1.0 200 OK\r\n" + SIGNED,
}
BODIES = {
    "no_byte": OK + "Content-Length: 10\r\n\r\n",
    "short": OK + "Content-Length: 10\r\n\r\nshort",
    "no_chunk": CHUNKED,
    "chunk_size": CHUNKED + "5",
    "chunk": CHUNKED + chunk("short"),
    "half_chunk": CHUNKED + "a\r\nshort",
    "events": CHUNKED + chunk(EVENTS),
    "half_event": CHUNKED + chunk(EVENTS + "id: 3\nda"),
    "last_chunk_without_end": CHUNKED + chunk(EVENTS) + "0\r\n",
    "long": OK + "Content-Length: 200000\r\n\r\n" + LONG,
    "long_chunk": CHUNKED + chunk(LONG),
}
# Answers without a length end with the connection, unless it is reset.
UNFRAMED = {
    "unframed": OK + "Connection: close\r\n\r\nshort",
    "unframed_events": OK + "Connection: close\r\n\r\n" + EVENTS,
    "unframed_long": OK + "Connection: close\r\n\r\n" + LONG,
}
FAILURES = {
    "failed": "HTTP/1.1 500 Failed\r\n"
    + SIGNED
    + "Content-Length: 4\r\n\r\nfail",
    "unsigned": "HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nfail",
    "full": (
        "HTTP/1.1 503 Full\r\nX-Kingcupscale-Not-Executed: 1\r\n"
        "Content-Length: 4\r\n\r\nfull"
    ),
}


class Server(rawserver.RawServer):
    """Answers the first request with given bytes, then breaks off.

    Later requests get another answer, which is whole.
    """

    def __init__(self, first, is_reset, second):
        super().__init__()
        self.first = first
        self.is_reset = is_reset
        self.second = second
        self.requests = []

    async def serve_connection(self, stream):
        request = b""
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                request += data
                if not request.endswith(b"\r\n\r\n?"):
                    continue
                found = re.search(rb"(?i)request-id: (\S+)", request)[1]
                request = b""
                self.requests.append(found.decode())
                if await self._answer(stream, found.decode()):
                    break
        await trio.aclose_forcefully(stream)

    async def _answer(self, stream, request_id):
        """Sends an answer; returns whether to close the connection."""
        is_first = len(self.requests) == 1
        answer = self.first if is_first else self.second
        await stream.send_all(answer.replace("%(id)s", request_id).encode())
        if is_first:
            # The bytes must arrive before the reset.
            await trio.sleep(ARRIVAL_S)
            if self.is_reset:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET
                )
        return is_first


def make_configuration():
    """Returns a configuration with streaming routes too."""
    base = {
        "host": harness.HOST,
        "timeoutMs": 2000,
        "targetLatencyMs": 190,
        "priority": 2,
        "service": "plain",
        "maxAttempts": 3,
        "streaming": True,
    }
    return harness.make_configuration(
        routes=[
            base
            | {
                "name": "stream",
                "pathPrefix": STREAM_PATH,
                "kind": "non_idempotent",
            },
            base
            | {
                "name": "resumed",
                "pathPrefix": RESUMED_PATH,
                "kind": "idempotent",
                "resumable": True,
            },
        ]
    )


def parse(data, is_closed):
    """Returns status, body and completeness of an answer to a client."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method="POST", target="/", headers=[("host", "a")])
    )
    connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    if is_closed and data:
        connection.receive_data(b"")
    status, body = 0, b""
    with contextlib.suppress(h11.RemoteProtocolError):
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA or isinstance(
                event, h11.ConnectionClosed
            ):
                return status, body, False
            if isinstance(event, h11.Response):
                status = event.status_code
            if isinstance(event, h11.Data):
                body += bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return status, body, True
    return status, body, False


async def exchange(address, path, version="1.1"):
    """Sends one request to a listener; returns what ``parse`` makes of it."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    head = (
        f"POST {path}1 HTTP/{version}\r\nHost: {harness.HOST}\r\n"
        f"{names.REQUEST_ID}: r1\r\nContent-Length: 1\r\n"
        "Connection: close\r\n\r\n?"
    )
    await stream.send_all(head.encode())
    data = b""
    is_reset = False
    try:
        while received := await stream.receive_some():
            data += received
    except trio.BrokenResourceError:
        is_reset = True
    await trio.aclose_forcefully(stream)
    return parse(data, is_closed=not is_reset)


def play(broken, path, version="1.1"):
    """Returns what a client gets from a node before a broken server."""
    results = []

    async def handle(setup, request):
        inbound = inboundrequest.InboundRequest(
            request_id=request.headers[names.REQUEST_ID],
            method="POST",
            host=harness.HOST,
            path=request.path,
            query="",
            headers={},
            body=request.body,
            key=harness.KEY,
            timeout_s=2.0,
            received_at=setup.clock.monotonic(),
        )
        return await setup.forwarder.forward(inbound)

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(broken.serve)
                setup = test_endless.Setup(broken, make_configuration())
                stop = trio.Event()
                address = await nursery.start(
                    web_server.serve,
                    functools.partial(handle, setup),
                    "127.0.0.1:0",
                    limits.constant(limits.Limits()),
                    stop.wait,
                )
                results.append(await exchange(address, path, version))
                await setup.http_client.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


PATHS = {
    "idempotent": harness.CALL_PATH,
    "once": "/once/",
    "stream": STREAM_PATH,
    "resumed": RESUMED_PATH,
}
WHOLE = OK + "Content-Length: 5\r\n\r\nwhole"
BROKEN = [
    *((f"head_{kind}", text, False) for kind, text in HEADS.items()),
    *((f"head_{kind}", text, True) for kind, text in HEADS.items()),
    *((f"body_{kind}", text, False) for kind, text in BODIES.items()),
    *((f"body_{kind}", text, True) for kind, text in BODIES.items()),
    *((kind, text, True) for kind, text in UNFRAMED.items()),
]


def make_large_answers(size):
    """Returns whole answers with a body of a size, by their framing."""
    text = "".join(f"{number:07d}\n" for number in range(size // 8 + 1))[:size]
    pieces = [text[i : i + 20_000] for i in range(0, size, 20_000)]
    return (
        ("length", OK + f"Content-Length: {size}\r\n\r\n", text),
        ("chunks", CHUNKED, "".join(map(chunk, [*pieces, ""]))),
    )


# The connection of a client of HTTP/1.0 ends with the body.
CLIENTS = [
    *((f"{route}_http_1_1", path, "1.1") for route, path in PATHS.items()),
    *(
        (f"{route}_http_1_0", PATHS[route], "1.0")
        for route in ("once", "stream")
    ),
]


class BrokenAnswerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                f"{name}_{'reset' if is_reset else 'closed'}_{client}",
                text,
                is_reset,
                path,
                version,
            )
            for name, text, is_reset in BROKEN
            for client, path, version in CLIENTS
        ]
    )
    def test_broken_answer_never_looks_complete(
        self, _, text, is_reset, path, version
    ):
        broken = Server(text, is_reset, WHOLE)
        status, body, is_complete = play(broken, path, version)
        if status == 200 and is_complete:
            self.assertEqual(body, b"whole")
            self.assertEqual(len(broken.requests), 2)
        if path in ("/once/", STREAM_PATH):
            self.assertEqual(len(broken.requests), 1)
            self.assertNotIn(status, (408, 421, 429, 503))

    @parameterized.parameterized.expand(
        [
            (f"{kind}_{failure}_{route}", text, second, path)
            for kind, text in BODIES.items()
            for failure, second in FAILURES.items()
            for route, path in PATHS.items()
        ]
    )
    def test_next_answer_is_not_joined_to_a_broken_one(
        self, _, text, second, path
    ):
        broken = Server(text, False, second)
        status, body, is_complete = play(broken, path)
        if status == 200:
            self.assertNotIn(b"fail", body)
            self.assertFalse(is_complete)
        self.assertNotIn(b"HTTP/", body)


class WholeAnswerTest(unittest.TestCase):
    """Answers that are whole, which must not be mistaken for broken ones."""

    @parameterized.parameterized.expand(
        [
            (f"{kind}_{route}", text, path)
            for kind, text in UNFRAMED.items()
            for route, path in PATHS.items()
        ]
    )
    def test_answer_without_a_length_ends_with_its_connection(
        self, _, text, path
    ):
        status, body, is_complete = play(Server(text, False, WHOLE), path)
        self.assertEqual((status, is_complete), (200, True))
        self.assertEqual(body.decode(), text.partition("\r\n\r\n")[2])

    @parameterized.parameterized.expand(
        [
            (f"{framing}_{size}_{client}", head, body, path, version)
            for size in (1, 65_536, 65_537, 300_000)
            for framing, head, body in make_large_answers(size)
            for client, path, version in CLIENTS
        ]
    )
    def test_large_answer_is_delivered_once(self, _, head, body, path, version):
        whole = Server(head + body, False, WHOLE)
        status, received, is_complete = play(whole, path, version)
        self.assertEqual((status, is_complete), (200, True))
        self.assertEqual(received, parse((head + body).encode(), True)[1])
