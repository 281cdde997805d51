"""Tests of leases and journals under pauses, outages and lost answers.

They guard against two nodes that send orders for one duty at the same time.
"""

import unittest

import parameterized
import trio

from kingcupscale import errors
from kingcupscale.duties import journal as journals
from kingcupscale.duties import lease as leases
from kingcupscale.fakes import faults
from kingcupscale.fakes import keyvalue as fake_keyvalue
from kingcupscale.fakes import network as networks
from kingcupscale.fakes import virtualtime
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue
from tests import virtual

SETTINGS = leases.LeaseSettings(ttl_s=9, renew_s=3, order_timeout_s=2)


class LeaseFixture:
    """Two candidates for a lease, and the store they share."""

    def __init__(self, nursery, plan=None):
        self.clock = virtualtime.VirtualClock()
        self.store = fake_keyvalue.FakeKeyValueStore(self.clock)
        plan = plan or faults.FaultPlan()
        self.network = networks.Network(nursery, plan)
        self.network.serve("key_value", "kv:80", self.store)
        self.leases = [self.make_lease(name) for name in ("one", "two")]

    def make_client(self, name):
        self.network.add(name, lambda: None)
        http_client = networks.MemoryHttpClient(self.network, name)
        return keyvalue.HttpKeyValueStore(http_client, "kv:80")

    def make_lease(self, name):
        return leases.Lease(
            self.make_client(name), "zone/a", name, self.clock, SETTINGS
        )

    async def start_candidates(self, nursery):
        for lease in self.leases:
            manager = leases.LeaseManager(lease, lambda: True, self.clock)
            nursery.start_soon(manager.run)


class LeaseTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_only_one_candidate_holds_the_lease(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            await fixture.start_candidates(nursery)
            for _ in range(60):
                await trio.sleep(1)
                held = [lease for lease in fixture.leases if lease.is_held()]
                self.assertLessEqual(len(held), 1)
            self.assertEqual(len(held), 1)
            self.assertEqual(held[0].epoch, 1)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_paused_holder_is_replaced_and_cannot_send_orders(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            one, two = fixture.leases
            await one.renew_or_acquire()
            await trio.sleep(3)
            self.assertTrue(one.can_send_orders())
            manager = leases.LeaseManager(two, lambda: True, fixture.clock)
            nursery.start_soon(manager.run)
            await trio.sleep(14)
            self.assertTrue(two.is_held())
            self.assertEqual(two.epoch, 2)
            self.assertFalse(one.is_held())
            with self.assertRaises(errors.ServiceError):
                one.check_order(1)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_new_holder_waits_for_orders_in_flight(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            await fixture.leases[0].renew_or_acquire()
            self.assertTrue(fixture.leases[0].is_held())
            self.assertFalse(fixture.leases[0].can_send_orders())
            await trio.sleep(SETTINGS.order_timeout_s + 0.01)
            self.assertTrue(fixture.leases[0].can_send_orders())

    @virtual.on_virtual_time
    async def test_deadline_counts_from_before_the_renewal_was_sent(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            fixture.store.slow_s = 1.5
            before = fixture.clock.monotonic()
            await fixture.leases[0].renew_or_acquire()
            written_after = before + 2 * fixture.store.slow_s
            self.assertLess(
                fixture.leases[0].deadline, written_after + SETTINGS.ttl_s
            )

    @virtual.on_virtual_time
    async def test_lease_expires_in_an_outage_and_is_acquired_again(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            await fixture.start_candidates(nursery)
            await trio.sleep(10)
            fixture.store.down = True
            await trio.sleep(SETTINGS.ttl_s + 1)
            self.assertFalse(any(lease.is_held() for lease in fixture.leases))
            fixture.store.down = False
            await trio.sleep(2 * SETTINGS.ttl_s)
            self.assertEqual(
                sum(lease.is_held() for lease in fixture.leases), 1
            )
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_restarted_node_does_not_reuse_its_old_lease(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            await fixture.leases[0].renew_or_acquire()
            again = fixture.make_lease("one")
            await again.renew_or_acquire()
            self.assertFalse(again.is_held())

    @parameterized.parameterized.expand(
        [
            (faults.Fault.ANSWER_LOST,),
            (faults.Fault.REQUEST_LATE,),
            (faults.Fault.ERROR_BEFORE,),
            (faults.Fault.ANSWER_LATE,),
        ]
    )
    def test_outcome_of_a_write_is_resolved(self, fault):
        async def main():
            place = ("one", "POST /kv/put", 0)
            async with trio.open_nursery() as nursery:
                fixture = LeaseFixture(
                    nursery, faults.FaultPlan({place: fault})
                )
                answer = await keyvalue.put_resolved(
                    fixture.leases[0].store, "k", "mine", keyvalue.ABSENT
                )
                self.assertTrue(answer.written)
                await trio.sleep(20)
                entry = await fixture.leases[0].store.get("k")
                self.assertEqual(entry.value, "mine")
                self.assertEqual(entry.version, answer.version)

        virtualtime.run(main)

    @virtual.on_virtual_time
    async def test_lost_race_is_reported_even_if_the_answer_was_lost(self):
        plan = faults.FaultPlan(
            {("two", "POST /kv/put", 0): faults.Fault.ANSWER_LOST}
        )
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery, plan)
            one, two = (lease.store for lease in fixture.leases)
            await one.put("k", "theirs", keyvalue.ABSENT)
            answer = await keyvalue.put_resolved(two, "k", "ours", 0)
            self.assertFalse(answer.written)

    @virtual.on_virtual_time
    async def test_undecided_write_raises_an_error(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            fixture.store.down = True
            with self.assertRaises(calls.PlatformError) as caught:
                await keyvalue.put_resolved(
                    fixture.leases[0].store, "k", "v", 0
                )
            self.assertTrue(caught.exception.may_have_run)


class JournalTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_former_holder_cannot_write(self):
        async with trio.open_nursery() as nursery:
            fixture = LeaseFixture(nursery)
            one, two = (
                journals.Journal(lease.store, lease) for lease in fixture.leases
            )
            one.lease.epoch, two.lease.epoch = 1, 2
            await one.open()
            order = journals.JournalOrder(
                "id", 1, "engine", "plume-1", "", fixture.clock.now()
            )
            await one.record_intended([order])
            self.assertEqual(await two.open(), [order])
            with self.assertRaises(journals.JournalError):
                await one.record_intended([order])
            with self.assertRaises(journals.JournalError):
                await one.open()
