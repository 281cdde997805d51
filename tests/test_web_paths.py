"""Paths and headers that change on their way to a server, on real sockets.

A server would then run another request than the one that was sent.
"""

import unittest

import parameterized
import trio

from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server


def exchange(request):
    """Sends a request to a server and returns the request that arrives."""
    received = []

    async def handle(arrived):
        received.append(arrived)
        return message.Response(200)

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                stop = trio.Event()
                address = await nursery.start(
                    server.serve,
                    handle,
                    "127.0.0.1:0",
                    limits.constant(limits.Limits()),
                    stop.wait,
                )
                client = httpclient.PooledHttpClient()
                await httpclient.fetch(client, address, request, 5.0)
                await client.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)
    (arrived,) = received
    return arrived


class PathTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("parameter", "/quote/7;v=2", ""),
            ("parameters", "/a;b=1/c;d", "e=f;g"),
            ("only_a_parameter", "/;v", ""),
            ("fragment", "/a#b", ""),
            ("fragment_in_query", "/a", "b#c"),
            ("two_slashes", "//host/a", ""),
            ("question_mark_in_query", "/a", "b?c=d"),
            ("escaped", "/a%2Fb%3Bc", "d=%26"),
            ("dots", "/a/../b/./c", ""),
            ("colon_and_at", "/a:80@b", ""),
            ("brackets", "/[a]", "b=[c]"),
        ]
    )
    def test_path_and_query_arrive_as_they_were_sent(self, _, path, query):
        request = message.Request("GET", path, query, {"host": "x"})
        received = exchange(request)
        self.assertEqual((received.path, received.query), (path, query))

    @parameterized.parameterized.expand(
        [("ascii", "a b"), ("latin_1", "Zo\u00eb"), ("utf_8", "\u00c3\u00ab")]
    )
    def test_header_arrives_as_it_was_sent(self, _, value):
        request = message.Request("GET", "/", "", {"host": "x", "x-a": value})
        self.assertEqual(exchange(request).headers["x-a"], value)
