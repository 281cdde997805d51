"""A node's lease: nothing of it outlives its close."""

import unittest

import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import store as stores
from kingcupscale.storage import tenure as tenures
from tests import virtual

TTL_S = 2.0


class SlowStore:
    """Grants and renews leases, after a while."""

    def __init__(self):
        self.leases = set()
        self.granted = 0

    async def grant(self, ttl_s):
        self.granted += 1
        self.leases.add(self.granted)
        lease = self.granted
        await trio.sleep(0.3)
        return lease

    async def renew(self, lease):
        await trio.sleep(0.3)
        if lease not in self.leases:
            raise stores.LeaseEndedError

    async def revoke(self, lease):
        self.leases.discard(lease)

    async def commit(self, transaction):
        return 1


class SessionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(f"after_{ms}_ms", ms / 1000) for ms in range(100, 2000, 150)]
    )
    @virtual.on_virtual_time
    async def test_closed_session_holds_and_keeps_nothing(self, _, after_s):
        store = SlowStore()
        clock = virtualtime.VirtualClock()
        session = tenures.Session(store, clock, "n1", TTL_S, b"{}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(after_s)
            await session.close()
            for _ in range(40):
                await trio.sleep(0.1)
                self.assertFalse(session.is_held())
            self.assertEqual(store.leases, set())
            nursery.cancel_scope.cancel()
