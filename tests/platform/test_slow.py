"""Slow servers, whose runs must finish, and stalled servers, whose runs end."""

import unittest

import parameterized
import trio

from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness

STREAM_PATH = "/stream/"
STREAM_ROUTE = {
    "name": "stream",
    "host": harness.HOST,
    "pathPrefix": STREAM_PATH,
    "kind": "non_idempotent",
    "streaming": True,
    "timeoutMs": 8000,
    "targetLatencyMs": 400,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 1,
}
ENGINES = ("e1", "e2")


def _send_bytes_without_events(server, pause_s):
    """Makes a server send single bytes that never form an event."""

    async def stream(run):
        while True:
            await trio.sleep(pause_s)
            yield b":"

    server.stream = stream


class SampleTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("fast", 0.02, 10),
            ("slower_than_usual", 1.0, 6),
            ("much_slower", 2.5, 4),
        ]
    )
    @virtual.on_virtual_time
    async def test_slow_engines_finish_their_texts(self, _, event_s, length):
        async with harness.launch() as site:
            for name in ENGINES:
                site.servers[name].event_s = event_s
                site.servers[name].length = length
            await site.submit(site.nodes[0], items=2)
            results = await site.read_all(site.nodes[0], seconds=120)
            texts = [result["text"] for result in results]
            self.assertEqual(texts, 2 * [harness.text_of(length)])

    @virtual.on_virtual_time
    async def test_samples_of_a_stalled_engine_run_on_another(self):
        async with harness.launch() as site:
            _send_bytes_without_events(site.servers["e1"], 0.3)
            await site.submit(site.nodes[0])
            results = await site.read_all(site.nodes[0])
            texts = [result["text"] for result in results]
            self.assertEqual(texts, 4 * [harness.text_of(10)])


class StreamTest(unittest.TestCase):
    async def _open(self, site):
        site.write_configuration(
            harness.make_configuration(version=2, routes=[STREAM_ROUTE])
        )
        await trio.sleep(1)
        return await site.call(
            site.nodes[0],
            "POST",
            STREAM_PATH + "1",
            b"?",
            **{
                names.REQUEST_ID: "q1",
                names.DEADLINE_MS: "6000",
                names.MODEL: harness.MODEL,
            },
        )

    @virtual.on_virtual_time
    async def test_slow_stream_is_complete(self):
        async with harness.launch(nodes=1) as site:
            for name in ENGINES:
                site.servers[name].event_s = 1.1
                site.servers[name].length = 5
            response = await self._open(site)
            self.assertEqual(response.body.count(b"id: "), 5)

    @virtual.on_virtual_time
    async def test_stalled_stream_ends_at_its_deadline(self):
        async with harness.launch(nodes=1) as site:
            for name in ENGINES:
                _send_bytes_without_events(site.servers[name], 0.3)
            started_at = trio.current_time()
            with self.assertRaisesRegex(
                Exception, "response body not complete at its deadline"
            ):
                await self._open(site)
            self.assertLess(trio.current_time() - started_at, 1 + 6 + 0.25)
