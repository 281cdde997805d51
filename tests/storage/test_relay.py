"""Following another node's mirror: nothing is skipped."""

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


async def follow_nobody(position):
    return None


class HandlerHttpClient:
    """Carries calls to one handler."""

    def __init__(self, handler):
        self.handler = handler

    def open(self, address, request, timeout_s):
        return self._open(request)

    @httpclient.contextlib.asynccontextmanager
    async def _open(self, request):
        yield await self.handler(request)


class NoBatches:
    """A node that knows no batches."""

    records = {}

    def model_of(self, batch_id):
        return None


class RelayTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(seed,) for seed in (1, 2, 3, 4, 5, 6, 7, 8)]
    )
    @virtual.on_virtual_time
    async def test_change_at_the_end_of_a_wait_is_not_skipped(self, seed):
        rng = random.Random(seed)
        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            None, clock, "n1", lambda: 0.0, follow_nobody
        )
        mirror.current_at = 0.0
        client = relay.HttpRelayClient(
            HandlerHttpClient(relay.RelayHandler(mirror, NoBatches()))
        )

        async def change():
            for revision in range(1, 41):
                # Most changes come just as a wait ends.
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
    async def test_answer_is_no_newer_than_the_mirror(self):
        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            None, clock, "n1", lambda: 0.0, follow_nobody
        )
        mirror.current_at = 0.0
        mirror.revision = 9
        client = relay.HttpRelayClient(
            HandlerHttpClient(relay.RelayHandler(mirror, NoBatches()))
        )

        async def change():
            # The follower knows of this one, so it gets an empty answer early.
            await trio.sleep(0.1)
            mirror.apply(stores.Entry("key", b"v", 9, 9))
            mirror.notify_changed()

        async with trio.open_nursery() as nursery:
            await trio.sleep(5)
            nursery.start_soon(change)
            asked_at = trio.current_time()
            changes = await client.follow(
                "n1", changelog.Position("", 0, 9), interest.EVERYTHING
            )
        self.assertEqual(changes.entries, [])
        self.assertLessEqual(asked_at - changes.age_s, mirror.current_at)
