"""Books of several nodes that follow each other, by random schedules."""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale import errors
from kingcupscale.batches import batch
from kingcupscale.batches import record as records
from kingcupscale.batches import retention
from kingcupscale.storage import store as stores
from tests import virtual
from tests.batches import fleets


class BookScheduleTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{kind}_{seed}", seed, kind == "restarts")
            for kind, seeds in (
                ("calm", range(1, 31)),
                ("restarts", range(51, 71)),
            )
            for seed in seeds
        ]
    )
    @virtual.on_virtual_time
    async def test_no_node_misses_a_result_of_what_it_holds(
        self, _, seed, has_restarts
    ):
        fleet = fleets.Fleet(seed)
        batch_ids = [f"b{number}" for number in range(6)]
        async with trio.open_nursery() as nursery:
            for node in fleet.nodes:
                fleet.set_interest(node)
                nursery.start_soon(node.run)
            await trio.sleep(2)
            nursery.start_soon(fleet.change_roles)
            breaks = trio.CancelScope()
            if has_restarts:
                nursery.start_soon(fleet.break_things, nursery, breaks)
            async with trio.open_nursery() as writers:
                for batch_id in batch_ids:
                    writers.start_soon(fleet.write, batch_id, has_restarts)
                for _ in range(3):
                    nursery.start_soon(fleet.read, batch_ids)
            breaks.cancel()
            await trio.sleep(4)
            for node in fleet.nodes:
                for batch_id in batch_ids:
                    await self._check(node, batch_id)
            nursery.cancel_scope.cancel()

    async def _check(self, node, batch_id):
        # What a reader is shown, which may be brought up to date first.
        record = await node.batch_cache.find(batch_id, "o")
        await node.batch_cache.read(record, 0, 0.0)
        self.assertEqual(len(record.results), fleets.ITEMS, batch_id)
        self.assertEqual(len(record.finished_items), fleets.ITEMS)
        self.assertEqual(len(record.batch.items), fleets.ITEMS)


class BookTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_reader_hears_of_results_without_the_store(self):
        async with fleets.opened_pair() as pair:
            self.assertEqual(await pair.read(), 0)
            scans = pair.store.scans
            for count in (1, 2, 3):
                await pair.list_one()
                await trio.sleep(0.1)
                self.assertEqual(await pair.read(), count)
            self.assertEqual(pair.store.scans, scans)

    @virtual.on_virtual_time
    async def test_copy_older_than_the_mirror_is_not_taken(self):
        async with fleets.opened_pair() as pair:
            record = pair.leader.batch_cache.records["b"]
            old = record.snapshot(pair.follower.mirror.revision)
            await pair.list_one()
            await trio.sleep(1)

            async def fetch_old(batch_id):
                return old

            pair.follower.batch_cache.fetcher.fetch_snapshot = fetch_old
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_result_that_comes_during_a_load_is_shown(self):
        async with fleets.opened_pair() as pair:
            copy = pair.leader.batch_cache.records["b"].snapshot(10**6)

            async def fetch_slowly(batch_id):
                await pair.list_one()
                await trio.sleep(1)
                return copy

            pair.follower.batch_cache.fetcher.fetch_snapshot = fetch_slowly
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_results_of_lost_history_are_read(self):
        async with fleets.opened_pair() as pair:
            await pair.read()
            pair.follower.is_leader = True
            await trio.sleep(1)
            pair.list_unheard()
            await trio.sleep(1)
            self.assertEqual(await pair.read(), 1)

    @parameterized.parameterized.expand(
        [("for_a_reader", "leader"), ("for_another_node", "follower")]
    )
    @virtual.on_virtual_time
    async def test_batch_is_not_current_before_its_results_are_read(
        self, _, reader
    ):
        async with fleets.opened_pair() as pair:
            scan = pair.store.scan

            async def scan_slowly(prefix, after=""):
                if prefix.startswith(records.RESULTS_PREFIX):
                    await trio.sleep(1)
                return await scan(prefix, after)

            pair.store.scan = scan_slowly
            pair.list_unheard()
            await trio.sleep(0.6)
            self.assertEqual(await pair.read(getattr(pair, reader)), 1)

    @virtual.on_virtual_time
    async def test_result_missed_during_a_load_is_read(self):
        async with fleets.opened_pair() as pair:
            pair.follower.is_leader = True
            await trio.sleep(1)
            copy = pair.leader.batch_cache.records["b"].snapshot(
                pair.store.revision
            )

            async def fetch_slowly(batch_id):
                pair.list_unheard()
                await trio.sleep(2)
                return copy

            pair.follower.batch_cache.fetcher.fetch_snapshot = fetch_slowly
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_late_acceptance_does_not_hide_results_of_before(self):
        async with fleets.opened_pair(items=0) as pair:
            late = await pair.add(is_leader=True)
            commit = pair.store.commit

            async def commit_slowly(transaction):
                pair.store.lost_at = pair.store.revision + 1
                revision = await commit(transaction)
                pair.list_unheard()
                await trio.sleep(2)
                return revision

            pair.store.commit = commit_slowly
            await pair.accept(node=late)
            self.assertEqual(await pair.read(late), 1)

    @virtual.on_virtual_time
    async def test_closed_batch_is_read_from_the_store_by_one_node(self):
        async with fleets.opened_pair(items=1) as pair:
            await pair.list_one()
            await trio.sleep(1)
            pair.leader.batch_cache.records.clear()
            self.assertEqual(await pair.read(), 1)
            self.assertIn("b", pair.leader.batch_cache.records)

    @virtual.on_virtual_time
    async def test_two_writers_get_two_positions(self):
        async with fleets.opened_pair() as pair:
            await pair.read()
            finished_items = []

            async def list_item(node, item):
                record = node.batch_cache.records["b"]
                result = batch.Result(item, batch.ResultState.DONE, item)
                chunk = records.Chunk([result])
                finished_items.append(
                    await node.batch_cache.append([(record, chunk)])
                )

            async with trio.open_nursery() as writers:
                writers.start_soon(list_item, pair.leader, "i0")
                writers.start_soon(list_item, pair.follower, "i1")
            self.assertEqual(sorted(finished_items), [False, True])
            await trio.sleep(1)
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_old_closed_batch_is_removed_from_the_store(self):
        async with fleets.opened_pair(items=1) as pair:
            keeper = retention.Retention(
                pair.leader.batch_cache, pair.leader.clock
            )
            await trio.sleep(20)
            await keeper.remove_older_than(10.0)
            self.assertTrue(pair.store.entries)
            await pair.list_one()
            await trio.sleep(1)
            await keeper.remove_older_than(10.0)
            self.assertEqual(pair.store.entries, {})

    @virtual.on_virtual_time
    async def test_old_open_batch_stays_though_it_is_not_known_yet(self):
        async with fleets.opened_pair() as pair:
            await trio.sleep(20)
            # As on a node that has just come to lead the service.
            pair.leader.batch_cache.records.clear()
            keeper = retention.Retention(
                pair.leader.batch_cache, pair.leader.clock
            )
            await keeper.remove_older_than(10.0)
            self.assertEqual(len(pair.store.entries), 1)

    @virtual.on_virtual_time
    async def test_batch_whose_end_is_known_is_not_opened_by_an_old_copy(self):
        async with fleets.opened_pair() as pair:
            open_copy = pair.leader.batch_cache.records["b"].snapshot(10**6)

            async def fetch_old(batch_id):
                return open_copy

            pair.follower.batch_cache.fetcher.fetch_snapshot = fetch_old
            await pair.leader.batch_cache.end(
                pair.leader.batch_cache.records["b"], 5.0
            )
            await trio.sleep(1)
            record = await pair.follower.batch_cache.find("b", "o")
            self.assertTrue(record.is_ended)

    @parameterized.parameterized.expand(
        [("watches_the_store", True), ("follows_a_node", False)]
    )
    @virtual.on_virtual_time
    async def test_end_does_not_make_a_batch_of_before_the_start_new(
        self, _, is_leader
    ):
        async with fleets.opened_pair(items=2) as pair:
            await pair.list_one()
            await trio.sleep(1)
            late = await pair.add(is_leader)
            late.batch_cache.set_interest(True, frozenset())
            await pair.leader.batch_cache.end(
                pair.leader.batch_cache.records["b"], 5.0
            )
            await trio.sleep(1)
            record = await late.batch_cache.find("b", "o")
            self.assertEqual(
                len(await late.batch_cache.read(record, 0, 0.0)), 1
            )
            self.assertTrue(record.is_ended)

    @virtual.on_virtual_time
    async def test_items_read_half_before_an_end_are_read_again(self):
        async with fleets.opened_pair(items=0) as pair:
            await pair.accept(items=4, body=bytes(30_000))
            await trio.sleep(1)
            late = await pair.add(is_leader=True)
            leader = pair.leader.batch_cache
            scan = pair.store.scan

            async def scan_slowly(prefix, after=""):
                page = await scan(prefix, after)
                if not leader.records["b"].is_ended:
                    await leader.end(leader.records["b"], 5.0)
                return page

            pair.store.scan = scan_slowly
            record = await late.batch_cache.load("b", True, asks_nodes=False)
            self.assertEqual(len(record.batch.items), 4)

    @parameterized.parameterized.expand([("none",), ("refused",)])
    @virtual.on_virtual_time
    async def test_batch_that_comes_during_a_vain_load_is_taken_up(self, how):
        async with fleets.opened_pair(items=0) as pair:
            scan = pair.store.scan

            async def scan_slowly(prefix, after=""):
                page = await scan(prefix, after)
                await trio.sleep(2)
                if how == "refused":
                    raise stores.StoreError("refused", False)
                return page

            pair.store.scan = scan_slowly
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._load_in_vain, pair.leader)
                await trio.sleep(0.5)
                await pair.accept(node=pair.follower)
            self.assertIn("b", pair.leader.batch_cache.records)

    async def _load_in_vain(self, node):
        with contextlib.suppress(errors.ServiceError):
            await node.batch_cache.load("b", is_read=True, asks_nodes=False)

    @virtual.on_virtual_time
    async def test_readers_of_unknown_batches_do_not_make_the_mirror_old(self):
        async with fleets.opened_pair(items=0) as pair:
            for number in range(60):
                await pair.follower.batch_cache.load(
                    f"none-{number}", is_read=True
                )
                await trio.sleep(0.1)
                self.assertLess(pair.follower.mirror.age_s(), 2.5)


class RecordTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("next", [0, 1], True, 2),
            ("again", [0, 0], True, 1),
            ("gap", [1], False, 0),
            ("gap_that_closes", [1, 0], False, 2),
        ]
    )
    def test_gap_is_noticed(self, _, positions, is_current, count):
        new = batch.Batch("b", "o", "r", "h", 0, "alpha", 1, 1, [])
        record = records.Record(new, 0)
        for position in positions:
            result = batch.Result(f"i{position}", batch.ResultState.DONE)
            value = records.encode(records.Chunk([result]))
            record.add_encoded_chunk(position, value)
        self.assertEqual(record.is_current, is_current)
        self.assertEqual(len(record.results), count)
