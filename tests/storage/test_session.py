"""Leases of a node.

Guards against a lease or an entry that remains after its session was closed,
which would delay successors, and against needless renewals.
"""

import unittest

import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import locks
from kingcupscale.storage import store as stores
from tests import virtual

TTL_S = 2.0


class SlowStore:
    """A store that grants and renews leases with a delay."""

    def __init__(self):
        self.leases = set()
        self.granted = 0
        self.renewals = 0
        self.loses_grants = False
        self.commits = []

    async def grant(self, ttl_s):
        self.granted += 1
        lease = self.granted
        if not self.loses_grants:
            self.leases.add(lease)
        await trio.sleep(0.3)
        return lease

    async def renew(self, lease):
        self.renewals += 1
        await trio.sleep(0.3)
        if lease not in self.leases:
            raise stores.LeaseEndedError

    async def revoke(self, lease):
        if lease not in self.leases:
            raise stores.LeaseEndedError
        self.leases.discard(lease)

    async def commit(self, transaction):
        self.commits += [put.key for put in transaction.puts]
        return 1


def make_session(store, kind):
    """Returns a session with a user."""
    clock = virtualtime.VirtualClock()
    if kind == "registration":
        return locks.NodeRegistration(store, clock, "n1", TTL_S, b"{}")
    session = locks.LeaseSession(store, clock, "n1", TTL_S)
    session.users.add("duty")
    return session


class SessionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{kind}_after_{ms}_ms", kind, ms / 1000)
            for kind in ("duties", "registration")
            for ms in range(100, 2000, 150)
        ]
    )
    @virtual.on_virtual_time
    async def test_closed_session_holds_nothing(self, _, kind, after_s):
        store = SlowStore()
        session = make_session(store, kind)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(after_s)
            await session.close()
            for _ in range(40):
                await trio.sleep(0.1)
                self.assertFalse(session.is_held())
            self.assertEqual(store.leases, set())
            nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand([("duties",), ("registration",)])
    @virtual.on_virtual_time
    async def test_lease_that_expires_as_its_session_is_closed(self, kind):
        store = SlowStore()
        session = make_session(store, kind)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(0.5)
            store.leases.clear()
            # The next lease expires before it can be revoked.
            store.loses_grants = True
            while store.granted < 2:
                await trio.sleep(0.05)
            await session.close()
            await trio.sleep(1)
            self.assertFalse(session.is_held())

    @virtual.on_virtual_time
    async def test_lease_without_users_is_not_renewed(self):
        store = SlowStore()
        session = make_session(store, "duties")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(10)
            self.assertTrue(session.is_held())
            session.users.clear()
            await trio.sleep(1)
            renewals = store.renewals
            await trio.sleep(10)
            self.assertEqual(store.renewals, renewals)
            self.assertFalse(session.is_held())
            await session.open()
            self.assertTrue(session.is_held())
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_concurrent_opens_of_a_session_get_one_lease(self):
        store = SlowStore()
        session = make_session(store, "duties")
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(session.open)
        self.assertEqual(store.granted, 1)

    @virtual.on_virtual_time
    async def test_lease_that_expired_in_the_store_is_replaced(self):
        store = SlowStore()
        session = make_session(store, "registration")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            await trio.sleep(1)
            store.leases.clear()
            await trio.sleep(2)
            self.assertTrue(session.is_held())
            self.assertEqual(store.leases, {session.lease})
            self.assertEqual(store.commits, 2 * ["kingcupscale/nodes/n1"])
            nursery.cancel_scope.cancel()
