"""Servers that answer twice, the second time late, before real node processes.

A client must get the status, the signature and the body of one answer to its
own request.
"""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale import errors
from tests.platform import harness
from tests.platform import stutteringserver
from tests.platform import test_endless

TEST_TIMEOUT_S = 60.0
SERVERS = 3
CALLERS_PER_NODE = 4
TRAFFIC_S = 4.0


class ScriptedServer:
    """Sends the next step of a script at each request.

    A step is the copy of an earlier answer, which is sent only on a connection
    that is in use again, and the answer to the request.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = 0
        self.copies = 0
        self.address = ""

    async def serve(self, *, task_status):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        self.address = f"{host}:{port}"
        await trio.serve_listeners(
            self._serve_connection, [listener], task_status=task_status
        )

    async def _serve_connection(self, stream):
        received = b""
        is_used = False
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                received += data
                if received.endswith(b"\r\n\r\n?"):
                    received = b""
                    self.requests += 1
                    copy, answer = self.script.pop(0)
                    if is_used:
                        self.copies += bool(copy)
                        answer = copy + answer
                    is_used = True
                    await stream.send_all(answer)
                    if b"Content-Length" not in answer:
                        break
        await trio.aclose_forcefully(stream)


def make_answer(request_id, status, signature, is_framed=True):
    return stutteringserver.Answer(
        request_id,
        status,
        signature,
        f"body of {signature}".encode(),
        is_framed,
    )


def send_in_turn(script, requests, path, dropped_server):
    """Sends requests to a scripted server.

    Returns status and body of each response, and the server.

    Args:
        script: Steps of the server.
        requests: Ids of the requests.
        path: Path of the requests.
        dropped_server: Id of a server that is not used.
    """
    results = []
    server = ScriptedServer(script)

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                await nursery.start(server.serve)
                setup = test_endless.Setup(server)
                known = setup.server_registry.servers
                known.pop(dropped_server)
                for number in requests:
                    for entry in known.values():
                        entry.record_success()
                    try:
                        response = await setup.send(number, path)
                        results.append((response.status, response.body))
                    except errors.ServiceError as e:
                        results.append((e.code.status, b""))
                await setup.http_client.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)
    return results, server


class SecondHeadTest(unittest.TestCase):
    """A copy that breaks off in its head, before the answer to another request.

    Both heads together may be a valid one, with the first one's status and the
    second one's id and signature.
    """

    def test_status_and_signature_are_of_one_answer(self):
        first = make_answer("r1", 200, "one").encode()
        second = make_answer("r2", 500, "two")
        head_length = first.index(b"\r\n\r\n") + 4
        for cut in range(head_length):
            with self.subTest(cut=first[max(0, cut - 20) : cut]):
                results, server = send_in_turn(
                    [(b"", first), (first[:cut], second.encode())],
                    [1, 2],
                    "/once/",
                    "other",
                )
                self.assertEqual(server.copies, bool(cut))
                self.assertEqual(results[0], (200, b"body of one"))
                self.assertIn(
                    results[1], [(500, second.body), (502, b""), (504, b"")]
                )


class SameIdTest(unittest.TestCase):
    """A second copy of a failure, before the answer to the repeated call."""

    @parameterized.parameterized.expand([("whole",), ("head",)])
    def test_repeated_call_does_not_get_the_first_answer(self, part):
        failed = make_answer("r1", 500, "first").encode()
        served = make_answer("r1", 200, "second")
        later = make_answer("r1", 500, "third")
        head_length = failed.index(b"\r\n\r\n") + 4
        copy = failed if part == "whole" else failed[:head_length]
        results, server = send_in_turn(
            [(b"", failed), (copy, served.encode()), (b"", later.encode())],
            [1],
            harness.CALL_PATH,
            "other",
        )
        self.assertEqual(results, [(200, served.body)])
        self.assertEqual(server.requests, 2)
