"""A plain server on real sockets that sends second copies of its answers late.

A copy may break off anywhere, and the server then goes on as if it had not been
sent: the answer to the next request follows on the same connection.
"""

import re

import attrs
import trio

from tests.platform import rawserver

_ID = re.compile(rb"(?i)x-kingcupscale-request-id: (\S+)")
_LENGTH = re.compile(rb"(?i)content-length: (\d+)")


@attrs.frozen
class Answer:
    """An answer that the server has given."""

    request: str
    status: int
    signature: str
    body: bytes
    is_framed: bool = True

    def encode(self):
        framing = (
            f"Content-Length: {len(self.body)}"
            if self.is_framed
            else "Connection: close"
        )
        head = (
            f"HTTP/1.1 {self.status} Answered by a server\r\n"
            "Content-Type: text/plain\r\n"
            f"X-Kingcupscale-Request-Id: {self.request}\r\n"
            f"X-Kingcupscale-Server-Stamp: {self.signature}\r\n"
            f"{framing}\r\n\r\n"
        )
        return head.encode() + self.body


class Server(rawserver.RawServer):
    """Answers requests with 200 or 500, some of them twice.

    Args:
        server_id: Its id, which is part of its signatures.
        rng: Chooses statuses, and which copies are sent, when and how far.

    Attributes:
        answers: All answers, by signature.
        copies: Number of copies sent.
        failure_share: Share of the requests that are answered with 500.
        copy_share: Share of the answers that are sent a second time.
        unframed_share: Share of the answers that have no length.
    """

    def __init__(self, server_id, rng):
        super().__init__()
        self.id = server_id
        self.rng = rng
        self.answers = {}
        self.copies = 0
        self.failure_share = 0.3
        self.copy_share = 0.5
        self.unframed_share = 0.1

    async def serve_connection(self, stream):
        pending = b""
        copy = b""
        try:
            while True:
                while (request := _take_request(pending)) is None:
                    received = await stream.receive_some()
                    if not received:
                        return
                    pending += received
                request_id, pending = request
                await trio.sleep(self.rng.uniform(0.0, 0.01))
                answer = self._answer(request_id)
                # The copy of the answer before is late.
                await stream.send_all(copy + answer.encode())
                copy = self._make_copy(answer)
                if not answer.is_framed:
                    # The beginning of a copy cannot be told from the body.
                    if copy == answer.encode():
                        await trio.sleep(self.rng.uniform(0.0, 0.01))
                        await stream.send_all(copy)
                    return
                if copy and self.rng.random() < 0.3:
                    await stream.send_all(copy)
                    copy = b""
        except trio.BrokenResourceError:
            return
        finally:
            await trio.aclose_forcefully(stream)

    def _answer(self, request_id):
        signature = f"{self.id}-{len(self.answers)}"
        answer = Answer(
            request_id,
            500 if self.rng.random() < self.failure_share else 200,
            signature,
            f"answer {signature} to {request_id}".encode(),
            self.rng.random() >= self.unframed_share,
        )
        self.answers[signature] = answer
        return answer

    def _make_copy(self, answer):
        """Returns a copy of an answer, whole or broken off; empty for none."""
        if self.rng.random() >= self.copy_share:
            return b""
        self.copies += 1
        encoded = answer.encode()
        if self.rng.random() < 0.5:
            return encoded
        return encoded[: self.rng.randrange(len(encoded))]


def _take_request(pending):
    """Returns a request's id and the rest; None if it is not complete."""
    head, separator, rest = pending.partition(b"\r\n\r\n")
    if not separator:
        return None
    length = _LENGTH.search(head)
    size = int(length[1]) if length else 0
    if len(rest) < size:
        return None
    found = _ID.search(head)
    return found[1].decode() if found else "", rest[size:]
