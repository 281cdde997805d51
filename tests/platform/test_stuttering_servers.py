"""Servers that answer twice, the second time late, before real node processes.

A client must get the status, the signature and the body of one answer to its
own request.
"""

import collections
import contextlib
import random
import tempfile
import unittest

import orjson
import parameterized
import trio

from kingcupscale import errors
from kingcupscale.platform import names
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests.platform import harness
from tests.platform import rawserver
from tests.platform import stutteringserver
from tests.platform import test_endless
from tests.platform import test_foreign_entries
from tests.soak import callers
from tests.soak import world as worlds

TEST_TIMEOUT_S = 60.0
SERVERS = 3
CALLERS_PER_NODE = 4
TRAFFIC_S = 4.0


class ScriptedServer(rawserver.RawServer):
    """Sends the next step of a script at each request.

    A step is the copy of an earlier answer, which is sent only on a connection
    that is in use again, and the answer to the request.
    """

    def __init__(self, script):
        super().__init__()
        self.script = list(script)
        self.requests = 0
        self.copies = 0

    async def serve_connection(self, stream):
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


class UnframedTest(unittest.TestCase):
    """A second answer behind one that has no length."""

    @parameterized.parameterized.expand([(200,), (500,)])
    def test_second_answer_does_not_become_part_of_a_body(self, status):
        first = make_answer("r1", 200, "one", is_framed=False)
        second = make_answer("r1", status, "two", is_framed=False)
        results, _ = send_in_turn(
            [(b"", first.encode() + second.encode())], [1], "/once/", "other"
        )
        self.assertEqual(results, [(502, b"")])


class Traffic:
    """Callers before real nodes and stuttering servers.

    Attributes:
        statuses: Number of answers by status.
        mixed: Answers that are not one answer of a server.
    """

    def __init__(self, world, servers, path):
        self.world = world
        self.servers = servers
        self.path = path
        self.statuses = collections.Counter()
        self.mixed = []

    async def run(self):
        with trio.move_on_after(TRAFFIC_S):
            async with trio.open_nursery() as nursery:
                for node in self.world.nodes:
                    for number in range(CALLERS_PER_NODE):
                        nursery.start_soon(
                            self._call, node, f"{node.name}-{number}"
                        )

    async def _call(self, node, name):
        client = httpclient.PooledHttpClient()
        for number in range(100_000):
            request_id = f"{name}-{number}"
            headers = {
                "host": harness.HOST,
                names.KEY: harness.KEY,
                names.REQUEST_ID: request_id,
                names.DEADLINE_MS: "2000",
            }
            request = message.Request(
                "POST", f"{self.path}{number}", "", headers, b"?"
            )
            try:
                response = await httpclient.fetch(
                    client, node.caller_address, request, 3.0
                )
            except httpclient.RequestError as e:
                self.statuses[e.reason] += 1
                continue
            self.statuses[response.status] += 1
            self._check(request_id, response)

    def _check(self, request_id, response):
        signature = response.headers.get(names.SIGNATURE)
        if signature is None and response.status != 200:
            return
        found = [s.answers.get(signature) for s in self.servers]
        answers = [answer for answer in found if answer is not None]
        given = (request_id, response.status, response.body)
        if given not in [(a.request, a.status, a.body) for a in answers]:
            self.mixed.append((given, answers))


async def add_servers(world, nursery, rng):
    """Replaces the plain servers of a world by stuttering ones."""
    for name, known in list(world.servers.items()):
        if known.service == "plain":
            world.store.remove(names.SERVERS_PREFIX + name)
            del world.servers[name]
    servers = []
    for number in range(SERVERS):
        server = stutteringserver.Server(f"p{number}", rng)
        await nursery.start(server.serve, world.host.name)
        entry = test_foreign_entries.ENTRY | {
            "service": "plain",
            "address": server.address,
            "models": [],
        }
        world.store.put(names.SERVERS_PREFIX + server.id, orjson.dumps(entry))
        servers.append(server)
    return servers


class StutteringServerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("idempotent", harness.CALL_PATH, 1),
            ("once", "/once/", 2),
        ]
    )
    def test_client_gets_one_answer_to_its_own_request(self, _, path, seed):
        results = []

        async def main():
            with (
                trio.fail_after(TEST_TIMEOUT_S),
                tempfile.TemporaryDirectory() as folder,
            ):
                async with trio.open_nursery() as nursery:
                    results.append(await play(folder, nursery, path, seed))
                    nursery.cancel_scope.cancel()

        trio.run(main)
        (traffic,) = results
        self.assertEqual(traffic.mixed, [], traffic.statuses)
        self.assertGreater(traffic.statuses[200], 100)
        self.assertGreater(sum(s.copies for s in traffic.servers), 100)


async def play(folder, nursery, path, seed):
    """Returns the traffic of one seed."""
    rng = random.Random(seed)
    world = worlds.World(folder, nursery, rng)
    try:
        await world.open()
        servers = await add_servers(world, nursery, rng)
        for node in world.nodes:
            while not await callers.is_ready(node):
                await trio.sleep(0.1)
        await trio.sleep(2.0)
        traffic = Traffic(world, servers, path)
        await traffic.run()
    finally:
        with trio.CancelScope(shield=True):
            await world.close()
    return traffic
