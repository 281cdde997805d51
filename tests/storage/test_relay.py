"""Following another node's mirror.

Guards against a change that is added just as a long poll ends and is skipped by
the position in the response, and against a response that claims to be newer
than the followed mirror.
"""

import random
import unittest

import parameterized
import trio

from kingcupscale.batches import interest
from kingcupscale.fakes import virtualtime
from kingcupscale.peering import relay
from kingcupscale.storage import changelog
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from kingcupscale.web import httpclient
from tests import virtual


async def follow_no_node(position):
    return None


class HandlerHttpClient:
    """Passes requests to one handler."""

    def __init__(self, handler):
        self.handler = handler

    def open(self, address, request, timeout_s):
        return self._open(request)

    @httpclient.contextlib.asynccontextmanager
    async def _open(self, request):
        yield await self.handler(request)


class NoBatches:
    """A batch index without batches."""

    records = {}

    def model_of(self, batch_id):
        return None


class RelayTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(seed,) for seed in (1, 2, 3, 4, 5, 6, 7, 8)]
    )
    @virtual.on_virtual_time
    async def test_change_at_the_end_of_a_long_poll_is_not_skipped(self, seed):
        rng = random.Random(seed)
        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            None, clock, "n1", lambda: 0.0, follow_no_node
        )
        mirror.current_at = 0.0
        client = relay.HttpRelayClient(
            HandlerHttpClient(relay.RelayHandler(mirror, NoBatches()))
        )

        async def change():
            for revision in range(1, 41):
                # Most changes are added just as a long poll ends.
                await trio.sleep(relay.LONG_POLL_S * rng.choice([0.5, 1, 1, 1]))
                mirror.apply(stores.Entry("key", b"v", revision, 1))
                mirror.revision = revision
                mirror.notify_changed()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            position = changelog.Position("", 0, 0)
            known = 0
            while known < 40:
                changes = await client.follow(
                    "n1", position, interest.EVERYTHING
                )
                known = max([known, *(e.revision for e in changes.entries)])
                position = changes.position
                self.assertGreaterEqual(known, position.revision)

    @virtual.on_virtual_time
    async def test_response_is_no_newer_than_the_mirror(self):
        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            None, clock, "n1", lambda: 0.0, follow_no_node
        )
        mirror.current_at = 0.0
        mirror.revision = 9
        client = relay.HttpRelayClient(
            HandlerHttpClient(relay.RelayHandler(mirror, NoBatches()))
        )

        async def change():
            # The follower already has this change, so the long poll ends early
            # with an empty response.
            await trio.sleep(0.1)
            mirror.apply(stores.Entry("key", b"v", 9, 9))
            mirror.notify_changed()

        async with trio.open_nursery() as nursery:
            await trio.sleep(5)
            nursery.start_soon(change)
            requested_at = trio.current_time()
            changes = await client.follow(
                "n1", changelog.Position("", 0, 9), interest.EVERYTHING
            )
        self.assertEqual(changes.entries, [])
        self.assertLessEqual(requested_at - changes.age_s, mirror.current_at)

    @parameterized.parameterized.expand([("reached", False), ("silent", True)])
    @virtual.on_virtual_time
    async def test_response_tells_what_the_node_gets_from_the_store(
        self, _, is_unreachable
    ):
        mirror = mirrors.StoreMirror(
            None, virtualtime.VirtualClock(), "n1", lambda: 0.0, follow_no_node
        )
        mirror.is_unreachable = is_unreachable
        client = relay.HttpRelayClient(
            HandlerHttpClient(relay.RelayHandler(mirror, NoBatches()))
        )
        mirror.current_at = 0.0
        await trio.sleep(5)
        mirror.advanced_at = trio.current_time() - 2.0
        changes = await client.follow(
            "n1", changelog.Position("", 0, 0), interest.EVERYTHING
        )
        self.assertAlmostEqual(changes.advanced_s, 2.0)
        self.assertEqual(changes.is_unreachable, is_unreachable)

    def test_node_of_an_earlier_release_counts_as_cut_off(self):
        changes = relay._decode(
            b'{"entries": [], "log": "l", "number": 1, "revision": 1,'
            b' "age_s": 3.0, "checksum": "0"}'
        )
        self.assertTrue(changes.is_unreachable)
        self.assertFalse(changes.is_advancing(0.0))
