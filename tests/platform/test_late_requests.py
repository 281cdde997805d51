"""Requests that come late in a planned stop, to real node processes.

They guard against a node that passes a request on to a backend server and is
killed before it has sent the answer.
"""

import functools
import signal
import unittest

import attrs
import orjson
import parameterized
import trio

from kingcupscale import errors
from kingcupscale import plannedstop
from kingcupscale.platform import names
from kingcupscale.web import message
from tests import virtual
from tests.platform import harness
from tests.platform import test_signals

TEST_TIMEOUT_S = 60.0
# As in the settings of the nodes.
GRACE_S = 8.0
# A refusal is sent at once; this covers a busy machine.
REFUSAL_S = 1.0
BEFORE_STOP_S = 1.0
# Time limit of the route and of the requests.
LIMIT_S = 8.0
RECEIVED_BYTES = 64 * 1024
# More than a node keeps back of an answer.
LONG_ANSWER_BYTES = 256 * 1024


@attrs.frozen
class Sending:
    """When a client sends a request, relative to SIGTERM.

    Attributes:
        name: Part of the request's id and of its path.
        path: Prefix of its path.
        head_s: When its head and the first half of its body are sent.
        rest_s: When the rest is sent.
        work_s: How long the backend server works for it.
        after: Another request, sent before it on the same connection.
    """

    name: str
    path: str
    head_s: float
    rest_s: float
    work_s: float
    after: "Sending | None" = None


@attrs.define
class Answer:
    """What a client received for a request.

    Attributes:
        status: Status code; 0 if there is no complete answer.
        headers: Header fields.
        body: The body.
        at_s: Time after SIGTERM at which it was complete.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    at_s: float = 0.0


ONCE = "/once/"
LONG_ANSWER = Sending("long", ONCE, -0.5, -0.5, 5.5)


def make_parts(sending):
    """Returns the two parts in which a request is sent."""
    head = (
        f"POST {sending.path}{sending.name} HTTP/1.1\r\n"
        f"host: {harness.HOST}\r\n"
        f"{names.KEY}: {harness.KEY}\r\n"
        f"{names.REQUEST_ID}: {sending.name}\r\n"
        f"{names.DEADLINE_MS}: {int(LIMIT_S * 1000)}\r\n"
        "content-length: 2\r\n\r\n"
    )
    return head.encode() + b"a", b"b"


async def read_answer(stream, received, stopped_at):
    """Returns the next answer of a connection; its status is 0 if it is cut.

    Args:
        stream: The connection.
        received: What was received beyond the previous answer; gets what is
            received beyond this one.
        stopped_at: Time of SIGTERM.
    """
    answer = Answer()
    try:
        while b"\r\n\r\n" not in received:
            received += await receive(stream)
        head, _, rest = bytes(received).partition(b"\r\n\r\n")
        status, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        received[:] = rest
        if "content-length" in headers:
            length = int(headers["content-length"])
            while len(received) < length:
                received += await receive(stream)
            answer.body = bytes(received[:length])
            del received[:length]
        else:
            while b"0\r\n\r\n" not in received:
                received += await receive(stream)
            body, _, rest = bytes(received).partition(b"0\r\n\r\n")
            answer.body = body
            received[:] = rest
        answer.headers = headers
        answer.status = int(status.split()[1])
    except (trio.BrokenResourceError, EOFError):
        pass
    answer.at_s = trio.current_time() - stopped_at
    return answer


async def receive(stream):
    """Returns received bytes.

    Raises:
        EOFError: If the connection has ended.
    """
    chunk = await stream.receive_some(RECEIVED_BYTES)
    if not chunk:
        raise EOFError
    return chunk


async def send(stream, sending, stopped_at):
    """Sends a request at its times; the node may have closed by then."""
    first, rest = make_parts(sending)
    try:
        await trio.sleep_until(stopped_at + sending.head_s)
        await stream.send_all(first)
        await trio.sleep_until(stopped_at + sending.rest_s)
        await stream.send_all(rest)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass


async def exchange(address, sending, stopped_at, answers):
    """Sends a request, and the one before it, over a new connection."""
    chain = [s for s in (sending.after, sending) if s is not None]
    host, _, port = address.rpartition(":")
    await trio.sleep_until(stopped_at + chain[0].head_s)
    received = bytearray()
    async with (
        await trio.open_tcp_stream(host, int(port)) as stream,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(send_all, stream, chain, stopped_at)
        for each in chain:
            answers[each.name] = await read_answer(stream, received, stopped_at)
        nursery.cancel_scope.cancel()


async def send_all(stream, chain, stopped_at):
    """Sends requests in their order."""
    for sending in chain:
        await send(stream, sending, stopped_at)


class WorkingServers:
    """Has the plain servers of a world work as long as a request says."""

    def __init__(self, world, sendings):
        chains = [*sendings, *(s.after for s in sendings if s.after)]
        self.by_name = {sending.name: sending for sending in chains}
        self.started = {}
        for server in world.servers.values():
            if server.service == "plain":
                server.handle = functools.partial(self.handle, server)
                server.slots = 16

    async def handle(self, server, request):
        """Answers one request."""
        name = request.headers.get(names.REQUEST_ID, "")
        sending = self.by_name.get(name)
        if sending is None:
            return await type(server).handle(server, request)
        self.started[name] = trio.current_time()
        headers = server.response_headers(request)
        if sending.name == "long":
            return message.Response(200, headers, chunks=self.stream(sending))
        await trio.sleep(sending.work_s)
        return message.Response(200, headers, b"the answer")

    async def stream(self, sending):
        """Yields an answer that begins at once and takes the work's time."""
        yield b"x" * LONG_ANSWER_BYTES
        await trio.sleep(sending.work_s)
        yield b"y"


async def stop_node(sendings):
    """Plays a planned stop that SIGKILL ends after the grace.

    Returns the answers and the servers of the play and the node's exit code.
    """
    answers = {}
    with trio.fail_after(TEST_TIMEOUT_S):
        async with test_signals.running_world() as world:
            configuration = test_signals.make_patient_configuration()
            world.write_configuration(configuration)
            await trio.sleep(1.5)
            servers = WorkingServers(world, sendings)
            node = world.nodes[0]
            stopped_at = trio.current_time() + BEFORE_STOP_S
            async with trio.open_nursery() as clients:
                for sending in sendings:
                    clients.start_soon(
                        exchange,
                        node.caller_address,
                        sending,
                        stopped_at,
                        answers,
                    )
                await trio.sleep_until(stopped_at)
                node.send(signal.SIGTERM)
                await trio.sleep_until(stopped_at + GRACE_S)
                code = node.process.poll()
                node.send(signal.SIGKILL)
    return answers, servers, code


class LateRequestTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("body_ends_early", Sending("r", ONCE, -0.5, 3.5, 7.0)),
            ("body_ends_late", Sending("r", ONCE, -0.5, 6.0, 2.5)),
            (
                "body_ends_late_and_may_be_repeated",
                Sending("r", harness.CALL_PATH, -0.5, 6.0, 2.5),
            ),
            (
                "connection_of_an_answer_begun_before",
                Sending("r", ONCE, 4.0, 4.0, 5.0, after=LONG_ANSWER),
            ),
        ]
    )
    def test_late_request_is_answered_or_refused(self, _, sending):
        answers, servers, code = trio.run(stop_node, [sending])
        answer = answers[sending.name]
        if sending.name in servers.started:
            self.assertNotIn(answer.status, (0, 503))
        else:
            self.assert_refused(answer)
            read_at_s = sending.rest_s
            if sending.after:
                read_at_s = max(read_at_s, answers[sending.after.name].at_s)
            self.assertLess(answer.at_s - read_at_s, REFUSAL_S)
        if sending.after:
            self.assertEqual(answers[sending.after.name].status, 200)
        self.assertEqual(code, 0)

    def assert_refused(self, answer):
        self.assertEqual(answer.status, 503)
        error = orjson.loads(answer.body)["error"]
        self.assertEqual(error["code"], errors.ResultCode.DRAINING.number)
        self.assertEqual(error["run"], errors.Run.NOT_RUN.value)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(answer.headers["connection"], "close")


class WaitingCallTest(unittest.TestCase):
    """Guards against calls that wait for a server until the grace ends."""

    @virtual.on_virtual_time
    async def test_waiting_call_is_refused_at_the_end_of_the_notice(self):
        async with harness.launch(nodes=1) as site:
            site.write_configuration(test_signals.make_patient_configuration())
            await trio.sleep(1.0)
            for server in site.servers.values():
                server.is_full = True
            (node,) = site.nodes
            answers = []

            async def call():
                response = await site.call(
                    node,
                    "POST",
                    ONCE + "1",
                    **{names.REQUEST_ID: "r", names.DEADLINE_MS: "8000"},
                )
                answers.append((response, trio.current_time() - stopped_at))

            async with trio.open_nursery() as calls:
                # The call may wait until after the notice.
                stopped_at = trio.current_time() + BEFORE_STOP_S / 2
                calls.start_soon(call)
                await trio.sleep_until(stopped_at)
                node.runtime.drain_requested.set()
            ((response, at_s),) = answers
            error = orjson.loads(response.body)["error"]
            self.assertEqual(error["code"], errors.ResultCode.DRAINING.number)
            self.assertEqual(error["run"], errors.Run.NOT_RUN.value)
            self.assertAlmostEqual(at_s, plannedstop.DRAIN_NOTICE_S, 1)
            self.assertEqual(site.runs, [])
            servers = node.runtime.forwarder.servers.servers.values()
            self.assertEqual([s.in_flight for s in servers if s.in_flight], [])


class BatchTest(unittest.TestCase):
    """Guards against batches cut in the grace while the store is silent."""

    @parameterized.parameterized.expand([("submission",), ("end",)])
    @virtual.on_virtual_time
    async def test_batch_request_of_the_notice_gets_an_answer(self, name):
        async with harness.launch(nodes=1) as site:
            (node,) = site.nodes
            await site.submit(node, "known")
            node.runtime.drain_requested.set()
            stopped_at = trio.current_time()
            await trio.sleep(2.5)
            site.store.latency_s = 100.0
            if name == "submission":
                response = await site.submit(node)
            else:
                path = f"{names.BATCHES_PATH}known"
                headers = {names.DEADLINE_MS: "12000"}
                response = await site.call(node, "DELETE", path, **headers)
            self.assertEqual(response.status, 504)
            self.assertEqual(response.headers["connection"], "close")
            answered_s = trio.current_time() - stopped_at
            self.assertLess(answered_s, GRACE_S - REFUSAL_S / 2)


class OpenRequestTest(unittest.TestCase):
    """Guards against requests cut at the end of the grace without an answer."""

    @parameterized.parameterized.expand(
        [
            ("begun_before", Sending("r", ONCE, -0.5, -0.5, 30.0)),
            ("last_moment", Sending("r", ONCE, 2.5, 2.5, 30.0)),
            ("in_time", Sending("r", ONCE, 2.5, 2.5, 3.0)),
        ]
    )
    def test_request_of_the_notice_gets_an_answer(self, name, sending):
        answers, _, code = trio.run(stop_node, [sending])
        expected = 200 if name == "in_time" else 504
        self.assertEqual(answers[sending.name].status, expected)
        self.assertLess(answers[sending.name].at_s, GRACE_S)
        self.assertEqual(code, 0)
