"""The connection pools of the HTTP client."""

import contextlib
import unittest
from unittest import mock

import parameterized
import trio

from kingcupscale import errors
from kingcupscale.web import httpclient
from kingcupscale.web import keepalive
from kingcupscale.web import message
from kingcupscale.web import server
from tests import test_web_server as servers


class PoolTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("used_again", 0.0, False, 1),
            ("idle", 0.3, False, 0),
            ("in_use", 0.3, True, 1),
        ]
    )
    def test_pools_of_addresses(self, _, pause_s, is_open, pools_left):
        """Requests to another address close only pools that are idle."""

        async def main():
            http_client = httpclient.PooledHttpClient(idle_s=0.1)
            async with trio.open_nursery() as nursery:
                stop = trio.Event()
                first, second = [
                    await nursery.start(
                        server.serve,
                        servers.Handler(),
                        "127.0.0.1:0",
                        servers.LIMITS,
                        stop.wait,
                    )
                    for _ in range(2)
                ]
                path = "/stream" if is_open else "/"
                request = message.Request("GET", path)
                async with http_client.open(first, request, 5) as response:
                    if not is_open:
                        await response.read()
                    else:
                        await trio.sleep(pause_s)
                        await httpclient.fetch(
                            http_client, second, message.Request("GET", "/"), 5
                        )
                        self.assertEqual(await response.read(), b"01234")
                if not is_open:
                    await trio.sleep(pause_s)
                    await httpclient.fetch(
                        http_client, second, message.Request("GET", "/"), 5
                    )
                self.assertEqual(
                    sum(address == first for address in http_client.pools),
                    pools_left,
                )
                await http_client.aclose()
                stop.set()

        trio.run(main)

    @servers.on_sockets
    async def test_connection_is_reused(self, address, handler, stop):
        http_client = httpclient.PooledHttpClient()
        for _ in range(3):
            await httpclient.fetch(
                http_client, address, message.Request("GET", "/"), 5
            )
        (address_pool,) = http_client.pools.values()
        self.assertEqual(len(address_pool.pool.connections), 1)
        await http_client.aclose()

    @parameterized.parameterized.expand(
        [
            ("none", None, None),
            ("seconds", "8", 7.0),
            ("timeout", "timeout=8, max=100", 7.0),
            ("other_order", "max=100, Timeout = 8", 7.0),
            ("long", "timeout=86400", 30.0),
            ("shorter_than_the_margin", "0", 0.0),
            ("negative", "timeout=-5", None),
            ("fraction", "2.5", None),
            ("many_digits", "9" * 5000, None),
            ("words", "timeout=soon", None),
        ]
    )
    def test_keep_alive_header(self, _, value, expected):
        self.assertEqual(keepalive.parse_idle_s(value), expected)

    @parameterized.parameterized.expand(
        [
            # A server that keeps connections for longer than the client.
            ("longer", "timeout=9", 0.1, True, True),
            ("shorter", "timeout=1", 30.0, True, False),
            ("not_followed", "timeout=9", 0.1, False, False),
            ("invalid", "timeout=no", 30.0, True, True),
        ]
    )
    def test_idle_connections_are_kept_as_long_as_announced(
        self, _, header, idle_s, follows, expected
    ):
        """Guards against connections that only one side considers open."""

        async def answer(request):
            return message.Response(200, {"keep-alive": header}, b"1")

        async def main():
            client = httpclient.PooledHttpClient(
                idle_s=idle_s, follows_keep_alive=follows
            )
            async with trio.open_nursery() as nursery:
                stop = trio.Event()
                address = await nursery.start(
                    server.serve,
                    answer,
                    "127.0.0.1:0",
                    servers.LIMITS,
                    stop.wait,
                )
                self.assertEqual(client.has_idle_connection(address), False)
                async with trio.open_nursery() as calls:
                    # The connections of the first calls have the timeout that
                    # applied before the header was known.
                    for _ in range(3):
                        calls.start_soon(self._fetch, client, address)
                for connection in client.pools[address].pool.connections:
                    await connection.aclose()
                await self._fetch(client, address)
                await trio.sleep(0.3)
                self.assertEqual(client.has_idle_connection(address), expected)
                await client.aclose()
                stop.set()

        trio.run(main)

    async def _fetch(self, client, address):
        request = message.Request("GET", "/")
        await httpclient.fetch(client, address, request, 5)

    @parameterized.parameterized.expand(
        [
            ("none", [], False, 0),
            ("busy_or_expired", [(False, False), (True, True)], False, 2),
            ("first", [(True, False)] * 9, True, 1),
            ("second", [(False, False)] + [(True, False)] * 9, True, 2),
        ]
    )
    def test_idle_connections_are_checked_up_to_the_first(
        self, _, connections, expected, checks
    ):
        """Guards against polling all sockets of a pool for each call."""
        mocks = [
            mock.Mock(
                is_idle=mock.Mock(return_value=is_idle),
                has_expired=mock.Mock(return_value=has_expired),
            )
            for is_idle, has_expired in connections
        ]
        pool = mock.Mock(connections=mocks)
        found = keepalive.KeepAlivePool.has_idle_connection(pool)
        self.assertIs(found, expected)
        self.assertEqual(sum(m.is_idle.call_count for m in mocks), checks)

    @servers.on_sockets
    async def test_only_open_idle_connections_can_be_used(
        self, address, handler, stop
    ):
        client = httpclient.PooledHttpClient()
        request = message.Request("GET", "/")
        async with client.open(address, request, 5) as response:
            self.assertEqual(client.has_idle_connection(address), False)
            await response.read()
        self.assertEqual(client.has_idle_connection(address), True)
        async with client.open(address, request, 5) as response:
            await response.read()
            response.retire_connection()
        self.assertEqual(client.has_idle_connection(address), False)
        await client.aclose()

    @servers.on_sockets
    async def test_blocked_requests_release_their_connections(
        self, address, handler, stop
    ):
        def block():
            raise errors.ServiceError(errors.ResultCode.LEASE_LOST)

        async def send(before_send):
            request = message.Request("GET", "/", before_send=before_send)
            with contextlib.suppress(errors.ServiceError):
                await httpclient.fetch(http_client, address, request, 5)
                sent.append(before_send)

        http_client = httpclient.PooledHttpClient(max_connections=2)
        sent = []
        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(send, block)
                nursery.start_soon(send, message.allow_send)
        await send(message.allow_send)
        self.assertEqual(sent, [message.allow_send] * 11)
        (address_pool,) = http_client.pools.values()
        self.assertLessEqual(len(address_pool.pool.connections), 2)
        await http_client.aclose()
