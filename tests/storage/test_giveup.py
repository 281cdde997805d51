"""A duty that is given up while the node's lease goes on."""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from kingcupscale.storage import tenure as tenures
from tests import virtual

DUTY = "engines/alpha"
KEY = tenures.DUTIES_PREFIX + DUTY


class Store:
    """Keys under leases; loses the next writes or their answers."""

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
        if lost == "answer":
            raise stores.StoreError("no answer", True)
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


async def follow_nobody(position):
    return None


def make_tenure(store, node):
    clock = virtualtime.VirtualClock()
    mirror = mirrors.StoreMirror(store, clock, node, lambda: 0.0, follow_nobody)
    session = tenures.Session(store, clock, node, 2.0)
    return tenures.Tenure(DUTY, session, mirror, clock)


class GiveUpTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("at_once", []),
            ("after_a_lost_write", ["write"]),
            ("after_a_lost_answer", ["answer"]),
            ("after_several", ["write", "write", "answer"]),
        ]
    )
    @virtual.on_virtual_time
    async def test_fencing_number_is_never_held_again(self, _, lost):
        store = Store()
        one, two = make_tenure(store, "n1"), make_tenure(store, "n2")
        await one.attempt()
        fence = one.fence
        mirrored = store.entries[KEY]
        store.lost = list(lost)
        for step in (one.give_up, *4 * [one.attempt]):
            with contextlib.suppress(stores.StoreError):
                await step()
            self.assertFalse(one.is_held())
            if KEY not in store.entries:
                break
        self.assertNotIn(KEY, store.entries)
        self.assertEqual(store.lost, [])
        await two.attempt()
        self.assertGreater(two.fence, fence)
        # The removed key once more, by an old answer of another node.
        one.mirror.apply(mirrored)
        for _ in range(3):
            await one.attempt()
            self.assertFalse(one.is_held())
        self.assertTrue(two.is_held())
        self.assertEqual(store.entries[KEY].created, two.fence)

    @virtual.on_virtual_time
    async def test_it_can_be_taken_anew_under_a_higher_number(self):
        tenure = make_tenure(Store(), "n1")
        await tenure.attempt()
        fence = tenure.fence
        await tenure.give_up()
        self.assertFalse(tenure.is_held())
        self.assertEqual(tenure.session.users, set())
        await tenure.attempt()
        self.assertTrue(tenure.is_held())
        self.assertGreater(tenure.fence, fence)
