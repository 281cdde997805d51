"""Release of a duty while the node's lease stays valid.

Guards against a node that holds a released duty again under the same fencing
token, after a lost write, a lost response or an outdated entry from a peer.
"""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from tests import virtual

DUTY = "engines/alpha"
KEY = locks.DUTIES_PREFIX + DUTY


class Store:
    """A store in memory that loses the next writes or their responses."""

    def __init__(self):
        self.entries = {}
        self.revision = 10
        self.leases = 0
        self.lost = []

    async def grant(self, ttl_s):
        self.leases += 1
        return self.leases

    async def renew(self, lease):
        await trio.sleep(0)

    async def get(self, key):
        return self.entries.get(key)

    async def commit(self, transaction):
        lost = self.lost.pop(0) if self.lost else ""
        if lost == "write":
            raise stores.StoreError("not sent", False)
        result = self._write(transaction)
        if lost == "response":
            raise stores.StoreError("no response", True)
        return result

    def _write(self, transaction):
        for condition in transaction.conditions:
            entry = self.entries.get(condition.key)
            if (entry.revision if entry else 0) != condition.revision:
                return None
        self.revision += 1
        for put in transaction.puts:
            self.entries[put.key] = stores.Entry(
                put.key, put.value, self.revision, self.revision
            )
        for key in transaction.removals:
            del self.entries[key]
        return self.revision


async def follow_no_node(position):
    return None


def make_lock(store, node):
    clock = virtualtime.VirtualClock()
    mirror = mirrors.StoreMirror(
        store, clock, node, lambda: 0.0, follow_no_node
    )
    session = locks.LeaseSession(store, clock, node, 2.0)
    return locks.DutyLock(DUTY, session, mirror, clock)


class ReleaseTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("at_once", []),
            ("after_a_lost_write", ["write"]),
            ("after_a_lost_response", ["response"]),
            ("after_several", ["write", "write", "response"]),
        ]
    )
    @virtual.on_virtual_time
    async def test_fencing_token_is_never_held_again(self, _, lost):
        store = Store()
        one, two = make_lock(store, "n1"), make_lock(store, "n2")
        await one.try_acquire()
        token = one.fencing_token
        mirrored = store.entries[KEY]
        store.lost = list(lost)
        for step in (one.release, *4 * [one.try_acquire]):
            with contextlib.suppress(stores.StoreError):
                await step()
            self.assertFalse(one.is_held())
            if KEY not in store.entries:
                break
        self.assertNotIn(KEY, store.entries)
        self.assertEqual(store.lost, [])
        await two.try_acquire()
        self.assertGreater(two.fencing_token, token)
        # The removed key again, in an outdated response of another node.
        one.mirror.apply(mirrored)
        for _ in range(3):
            await one.try_acquire()
            self.assertFalse(one.is_held())
        self.assertTrue(two.is_held())
        self.assertEqual(store.entries[KEY].created, two.fencing_token)

    @virtual.on_virtual_time
    async def test_duty_can_be_acquired_again_with_a_higher_token(self):
        duty_lock = make_lock(Store(), "n1")
        await duty_lock.try_acquire()
        token = duty_lock.fencing_token
        await duty_lock.release()
        self.assertFalse(duty_lock.is_held())
        self.assertEqual(duty_lock.session.users, set())
        await duty_lock.try_acquire()
        self.assertTrue(duty_lock.is_held())
        self.assertGreater(duty_lock.fencing_token, token)
