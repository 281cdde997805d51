"""Tests that a single broken mechanism must turn red."""

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


class Twice:
    """A node that answers every fetch with the same group, then the rest."""

    def __init__(self):
        self.fetches = 0

    async def __call__(self, request):
        if request.path != messages.FETCH_PATH:
            return message.json_response({})
        self.fetches += 1
        numbers = [0] if self.fetches < 3 else [0, 1]
        groups = [messages.Group(number, []) for number in numbers]
        return message.json_response(messages.FetchAnswer(groups, 0))


class TrainerTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_repeated_group_is_dropped(self):
        size = clusters.ClusterSettings(nodes=1, trainers=1)
        async with clusters.running(size) as cluster:
            cluster.network.serve("twice", "twice:80", Twice())
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
    def test_key_dropped_at_the_entry_stays_dropped(self):
        request = message.Request(
            "POST", "/x", "", {"authorization": "Bearer kc.a.b", "cookie": "c"}
        )
        call = plainservices.Call(
            "shop", "/x", request, plainservices.keys.Grant("", "", "", "")
        )
        sent = plainservices._make_request(call)
        self.assertNotIn("authorization", sent.headers)
        self.assertNotIn("cookie", sent.headers)


class Impostor:
    """An engine that answers the right tokens under another id."""

    async def __call__(self, request):
        asked = orjson.loads(request.body)
        chunk = engine.GenerateChunk("another", 0, ["wrong"], 0, True)
        body = message.json_response(chunk).body + b"\n"
        if asked["resume"]:
            body = b"\n"
        return message.Response(200, {}, body)


class Stutterer:
    """An engine that sends its first piece twice."""

    def __init__(self, inner):
        self.inner = inner

    async def __call__(self, request):
        response = await self.inner(request)
        response.chunks = self._stutter(response.chunks)
        return response

    async def _stutter(self, chunks):
        is_first = True
        async for chunk in chunks:
            yield chunk + chunk if is_first else chunk
            is_first = False


class CrossedTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_piece_of_another_answer_is_not_passed_on(self):
        size = clusters.ClusterSettings(nodes=1, trainers=0)
        async with clusters.running(size) as cluster:
            cluster.network.serve("plume-1", "plume-1:80", Impostor())
            for _ in range(6):
                answer = await cluster.caller(0).complete()
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_right)

    @virtual.on_virtual_time
    async def test_piece_that_comes_twice_is_not_passed_on(self):
        size = clusters.ClusterSettings(nodes=1, trainers=0)
        async with clusters.running(size) as cluster:
            inner = cluster.world.engines["plume-1"]
            cluster.network.serve("plume-1", "plume-1:80", Stutterer(inner))
            for _ in range(8):
                answer = await cluster.caller(0).complete(stream=True)
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_right)
