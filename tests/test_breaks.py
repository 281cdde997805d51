"""Tests that each fail when one safety mechanism is removed.

bench/mutations.py removes the mechanisms one by one and runs the tests.
"""

import unittest

import orjson

from kingcupscale.fakes import callers
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import virtualtime
from kingcupscale.providers import engine
from kingcupscale.rollouts import messages
from kingcupscale.rollouts import trainer as trainers
from kingcupscale.serving import plainservices
from kingcupscale.web import message
from tests import virtual


class RepeatingNode:
    """A node that sends the same group twice before the remaining one."""

    def __init__(self):
        self.fetches = 0

    async def __call__(self, request):
        if request.path != messages.FETCH_PATH:
            return message.json_response({})
        self.fetches += 1
        numbers = [0] if self.fetches < 3 else [0, 1]
        groups = [messages.Group(number, []) for number in numbers]
        return message.json_response(messages.FetchResponse(groups, 0))


class TrainerTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_repeated_group_is_dropped(self):
        size = clusters.ClusterSettings(nodes=1, trainers=1)
        async with clusters.running(size) as cluster:
            cluster.network.serve("twice", "twice:80", RepeatingNode())
            client = trainers.TrainerClient(
                cluster.http_client,
                ["twice:80"],
                "key",
                virtualtime.VirtualClock(),
            )
            specification = callers.make_step("trainer-1", 0, 0, 2, 1, 8)
            groups = await trainers.collect(client, specification)
            self.assertEqual([group.group for group in groups], [0, 1])
            self.assertEqual(client.statistics.repeated_groups, 2)


class KeyTest(unittest.TestCase):
    def test_key_is_not_forwarded_to_servers(self):
        request = message.Request(
            "POST", "/x", "", {"authorization": "Bearer kc.a.b", "cookie": "c"}
        )
        call = plainservices.Call(
            "shop", "/x", request, plainservices.keys.Grant("", "", "", "")
        )
        sent = plainservices._make_request(call)
        self.assertNotIn("authorization", sent.headers)
        self.assertNotIn("cookie", sent.headers)


class CrossedEngine:
    """An engine whose responses carry the id of another request."""

    async def __call__(self, request):
        generate_request = orjson.loads(request.body)
        chunk = engine.GenerateChunk("another", 0, ["wrong"], 0, True)
        body = message.json_response(chunk).body + b"\n"
        if generate_request["resume"]:
            body = b"\n"
        return message.Response(200, {}, body)


class RepeatingEngine:
    """An engine that sends its first chunk twice."""

    def __init__(self, inner):
        self.inner = inner

    async def __call__(self, request):
        response = await self.inner(request)
        response.chunks = self._repeat_first_chunk(response.chunks)
        return response

    async def _repeat_first_chunk(self, chunks):
        is_first = True
        async for chunk in chunks:
            yield chunk + chunk if is_first else chunk
            is_first = False


class InvalidChunkTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_chunk_of_another_response_is_rejected(self):
        size = clusters.ClusterSettings(nodes=1, trainers=0)
        async with clusters.running(size) as cluster:
            cluster.network.serve("plume-1", "plume-1:80", CrossedEngine())
            for _ in range(6):
                answer = await cluster.caller(0).complete()
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_right)

    @virtual.on_virtual_time
    async def test_repeated_chunk_is_rejected(self):
        size = clusters.ClusterSettings(nodes=1, trainers=0)
        async with clusters.running(size) as cluster:
            inner = cluster.world.engines["plume-1"]
            cluster.network.serve(
                "plume-1", "plume-1:80", RepeatingEngine(inner)
            )
            for _ in range(8):
                answer = await cluster.caller(0).complete(stream=True)
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_right)
