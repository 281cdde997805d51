"""Backend servers on real sockets that send endless or repeated responses."""

import re

import trio

from tests.platform import rawserver

FILLER = b"x" * 16_384
EVENTS_PER_CHUNK = 50
# A response ends here after all, so that a client that keeps reading fails the
# test instead of exhausting the machine's memory.
MAX_SENT_BYTES = 4_000_000_000

SIGNED = (
    b"X-Kingcupscale-Request-Id: %(id)s\r\n"
    b"X-Kingcupscale-Server-Stamp: signed\r\n"
    b"X-Kingcupscale-Weight-Versions: 1\r\n"
)
OK = b"HTTP/1.1 200 OK\r\n" + SIGNED
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
COMPLETE_RESPONSE = OK + b"Content-Length: 4\r\n\r\nfine"
# A complete head within the libraries' limit of 100 KiB.
SMALL_HEADERS = b"".join(b"%x:\r\n" % number for number in range(13_000))


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# By kind: the start of the response, and the part that is repeated.
KINDS = {
    "head": (b"HTTP/1.1 200 OK\r\nX-Long: ", FILLER),
    "head_lines": (b"HTTP/1.1 200 OK\r\n", b"X-Line: y\r\n" * 1000),
    "other_heads": (b"", EARLY_HINTS * 100),
    "no_http": (b"", b"\x00\xff" * 8_000),
    "chunk_size": (CHUNKED, b"0" * 16_384),
    "chunk_extension": (CHUNKED + b"4;", FILLER),
    "trailer": (CHUNKED + b"0\r\nX-Trailer: ", FILLER),
    "body_of_a_length": (OK + b"Content-Length: 99999999999\r\n\r\n", FILLER),
    "body_in_chunks": (CHUNKED, _chunk(FILLER)),
    "body_in_small_chunks": (CHUNKED, _chunk(b"x") * 2000),
    "body_until_the_end": (OK + b"Connection: close\r\n\r\n", FILLER),
    "event": (CHUNKED + _chunk(b"id: 1\ndata: "), _chunk(FILLER)),
    "events": (CHUNKED, None),
    "behind_an_answer": (COMPLETE_RESPONSE, FILLER),
    "copies_of_an_answer": (COMPLETE_RESPONSE, COMPLETE_RESPONSE * 50),
    "many_headers": (OK + SMALL_HEADERS + b"\r\n", FILLER),
}


class Server(rawserver.RawServer):
    """Sends an endless response to every request.

    Attributes:
        start: What it sends first, once per request.
        repeated: What it sends again and again after that; None for numbered
            events.
        sent: Bytes sent so far, without the starts.
        limit: Bytes after which a response ends after all.
        connections: Connections accepted so far.
        closed: Connections that the client has closed.
    """

    def __init__(self, kind):
        super().__init__()
        self.start, self.repeated = KINDS[kind]
        self.sent = 0
        self.limit = MAX_SENT_BYTES
        self.connections = 0
        self.closed = 0

    async def serve_connection(self, stream):
        self.connections += 1
        request = b""
        try:
            while b"\r\n\r\n" not in request:
                request += await stream.receive_some()
            found = re.search(rb"(?i)request-id: (\S+)", request)
            fields = {b"id": found[1] if found else b""}
            await stream.send_all(self.start % fields if fields else self.start)
            number = 0
            while self.sent < self.limit:
                data = self.repeated
                if data is None:
                    data = b"".join(
                        _chunk(
                            b"id: %d\ndata: %s\n\n" % (number + n, b"y" * 99)
                        )
                        for n in range(1, EVENTS_PER_CHUNK + 1)
                    )
                    number += EVENTS_PER_CHUNK
                elif b"%(id)s" in data:
                    data = data % fields
                await stream.send_all(data)
                self.sent += len(data)
        except trio.BrokenResourceError:
            self.closed += 1
        finally:
            await trio.aclose_forcefully(stream)


class DuplicatingServer(Server):
    """Repeats each response before the response to the next request."""

    def __init__(self):
        super().__init__("head")
        self.duplicates = 0

    async def serve_connection(self, stream):
        previous = b""
        request = b""
        try:
            while data := await stream.receive_some():
                request += data
                if not request.endswith(b"\r\n\r\n?"):
                    continue
                name = re.search(rb"(?i)request-id: (\S+)", request)[1]
                body = b"answer to " + name
                head = OK % {b"id": name}
                response = head + b"Content-Length: %d\r\n\r\n%s" % (
                    len(body),
                    body,
                )
                self.duplicates += bool(previous)
                await stream.send_all(previous + response)
                previous, request = response, b""
        except trio.BrokenResourceError:
            self.closed += 1
