"""Batch caches of several nodes that follow each other.

A cache that misses a change returns too few results. That can happen after lost
watch history, from a snapshot that is too old, or during a load.
CacheScheduleTest searches for such cases with random schedules, BatchCacheTest
covers the known ones.
"""

import contextlib
import unittest
import unittest.mock

import parameterized
import trio

from kingcupscale import errors
from kingcupscale.batches import batch
from kingcupscale.batches import maintenance
from kingcupscale.batches import record as records
from kingcupscale.batches import retention
from kingcupscale.storage import store as stores
from tests import virtual
from tests.batches import fleets


def make_complete_record(batch_id, body_bytes):
    """Returns the record of a batch that is complete and was not ended."""
    item = batch.Item("i0", "/", {}, b"p" * body_bytes, 1, "g", None)
    whole = batch.Batch(batch_id, "o", "r", "h", 0, "alpha", 1, 1, [item])
    record = records.Record(whole, 0)
    record.add_chunk(0, [batch.Result("i0", batch.ResultState.DONE, "i0")])
    return record


async def _fail_to_scan(prefix, after=""):
    raise stores.StoreError("unreachable", False)


# A store that rejects a node.
UNREACHABLE = unittest.mock.Mock(scan=_fail_to_scan)


class CacheScheduleTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{kind}_{seed}", seed, kind)
            for kind, seeds in (
                ("calm", range(1, 31)),
                ("restarts", range(51, 71)),
                ("few_chunks", range(101, 131)),
                ("busy", range(201, 211)),
            )
            for seed in seeds
        ]
    )
    @virtual.on_virtual_time
    async def test_no_node_lacks_a_result_of_a_cached_batch(
        self, _, seed, kind
    ):
        has_restarts = kind == "restarts"
        fleet = fleets.Fleet(seed)
        batch_ids = [f"b{number}" for number in range(6)]
        async with trio.open_nursery() as nursery:
            for node in fleet.nodes:
                fleet.set_interest(node)
                nursery.start_soon(node.run)
            await trio.sleep(2)
            nursery.start_soon(fleet.change_roles)
            fault_scope = trio.CancelScope()
            if has_restarts:
                nursery.start_soon(fleet.inject_faults, nursery, fault_scope)
            if kind == "busy":
                nursery.start_soon(fleet.write_bursts, fault_scope)
            async with trio.open_nursery() as writers:
                for batch_id in batch_ids:
                    if kind == "few_chunks":
                        writers.start_soon(fleet.write_at_leader, batch_id)
                    else:
                        writers.start_soon(fleet.write, batch_id, has_restarts)
                for _ in range(3):
                    nursery.start_soon(fleet.read, batch_ids)
            fault_scope.cancel()
            await trio.sleep(4)
            for node in fleet.nodes:
                for batch_id in batch_ids:
                    # A node that is still behind may return the first results
                    # only, but has to return the last one if asked for it.
                    after = fleets.ITEMS - 1 if kind == "busy" else 0
                    await self._check(node, batch_id, after)
            self.assertEqual(fleet.lost, [])
            nursery.cancel_scope.cancel()

    async def _check(self, node, batch_id, after):
        # A read may refresh the record first, so check what it returns.
        record = await node.batch_cache.find(batch_id, "o")
        await node.batch_cache.read(record, after, 0.0)
        self.assertEqual(len(record.results), fleets.ITEMS, batch_id)
        self.assertEqual(len(record.finished_items), fleets.ITEMS)
        self.assertEqual(len(record.batch.items), fleets.ITEMS)


class BatchCacheTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_reader_gets_results_without_store_scans(self):
        async with fleets.running_pair() as pair:
            self.assertEqual(await pair.read(), 0)
            scans = pair.store.scans
            for count in (1, 2, 3):
                await pair.append_result()
                await trio.sleep(0.1)
                self.assertEqual(await pair.read(), count)
            self.assertEqual(pair.store.scans, scans)

    @virtual.on_virtual_time
    async def test_snapshot_older_than_the_mirror_is_rejected(self):
        async with fleets.running_pair() as pair:
            record = pair.leader.batch_cache.records["b"]
            old = record.snapshot(pair.follower.mirror.revision)
            await pair.append_result()
            await trio.sleep(1)

            async def fetch_old_snapshot(batch_id):
                return old

            pair.follower.batch_cache.fetcher.fetch_snapshot = (
                fetch_old_snapshot
            )
            self.assertEqual(await pair.read(), 1)

    @parameterized.parameterized.expand(
        [
            (f"by_the_{writer}_node_{state}", writer, state)
            for writer in ("followed", "reading")
            for state in ("open", "ended")
        ]
    )
    @virtual.on_virtual_time
    async def test_result_received_before_a_load_is_returned(
        self, _, writer, state
    ):
        # A node receives some changes ahead of its mirror's revision. They are
        # not delivered again, so a snapshot has to include them.
        async with fleets.running_pair(items=1) as pair:
            record = pair.leader.batch_cache.records["b"]
            old = record.snapshot(pair.follower.mirror.revision)
            watch = pair.store.watch
            is_waiting, is_answering = trio.Event(), trio.Event()

            async def watch_late(prefix, after, wait_s):
                is_waiting.set()
                await is_answering.wait()
                return await watch(prefix, after, wait_s)

            async def fetch_old_snapshot(batch_id):
                return old

            pair.follower.batch_cache.fetcher.fetch_snapshot = (
                fetch_old_snapshot
            )
            pair.store.watch = watch_late
            await is_waiting.wait()
            await pair.wait_for_recent_view()
            node = pair.leader if writer == "followed" else pair.follower
            result = batch.Result("i0", batch.ResultState.DONE, "i0")
            await node.batch_cache.append(
                [(records.from_snapshot(old), records.Chunk([result]))]
            )
            follower = pair.follower.batch_cache
            while not follower.received_positions("b"):
                await trio.sleep(0.01)
            await pair.read()
            is_answering.set()
            await trio.sleep(2)
            if state == "ended":
                await pair.leader.batch_cache.end(record, 5.0)
                await trio.sleep(2)
            await pair.wait_for_recent_view()
            self.assertEqual(await pair.read(), 1)

    @parameterized.parameterized.expand(
        [
            (f"{reader}_{fault}", reader, fault)
            for reader in ("leader", "follower")
            for fault in ("behind", "muted")
        ]
    )
    @virtual.on_virtual_time
    async def test_reader_gets_what_another_node_has_returned(
        self, _, reader, fault
    ):
        # A response to a watch does not show that a node has every change: it
        # may contain only the first ones, or none before a loss of history.
        async with fleets.running_pair() as pair:
            other = await pair.add_node(is_leader=True)
            self.assertEqual(await pair.read(), 0)
            pair.leader.mirror.store = fleets.SlowWatch(pair.store, fault)
            for _ in range(100):
                pair.store.change("unrelated")
            await pair.append_result(other)
            self.assertEqual(await pair.read(other), 1)
            await trio.sleep(fleets.SETTLE_S)
            node = pair.leader if reader == "leader" else pair.follower
            self.assertEqual(await pair.read(node), 1)

    @parameterized.parameterized.expand(
        [("received", "follower"), ("read_from_the_store", "late")]
    )
    @virtual.on_virtual_time
    async def test_chunk_that_cannot_be_decoded_is_not_left_out(
        self, _, reader
    ):
        # An empty page would say that there are no results.
        async with fleets.running_pair() as pair:
            self.assertEqual(await pair.read(), 0)
            pair.store.change(records.result_key("b", 0))
            await trio.sleep(1)
            node = pair.follower
            if reader == "late":
                node = await pair.add_node(is_leader=True)
            for _ in range(2):
                with self.assertRaises(errors.ServiceError) as caught:
                    await pair.read(node)
                self.assertEqual(
                    caught.exception.code, errors.ResultCode.STORE_UNAVAILABLE
                )

    @virtual.on_virtual_time
    async def test_reader_of_an_evicted_batch_gets_later_results(self):
        async with fleets.running_pair() as pair:
            self.assertEqual(await pair.read(), 0)
            batch_cache = pair.follower.batch_cache
            record = batch_cache.records["b"]
            batch_cache.evict("b")
            # Another reader of the same record refreshes it.
            self.assertEqual(await batch_cache.read(record, 0, 0.0), [])
            await pair.append_result()
            await trio.sleep(1)
            await pair.wait_for_recent_view()
            self.assertEqual(len(await batch_cache.read(record, 0, 0.0)), 1)

    @virtual.on_virtual_time
    async def test_result_written_during_a_load_is_returned(self):
        async with fleets.running_pair() as pair:
            snapshot = pair.leader.batch_cache.records["b"].snapshot(10**6)

            async def fetch_slowly(batch_id):
                await pair.append_result()
                await trio.sleep(1)
                return snapshot

            pair.follower.batch_cache.fetcher.fetch_snapshot = fetch_slowly
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_results_missing_from_the_history_are_read(self):
        async with fleets.running_pair() as pair:
            await pair.read()
            pair.follower.is_leader = True
            await trio.sleep(1)
            pair.append_without_history()
            await trio.sleep(1)
            self.assertEqual(await pair.read(), 1)

    @parameterized.parameterized.expand(
        [("for_a_reader", "leader"), ("for_another_node", "follower")]
    )
    @virtual.on_virtual_time
    async def test_batch_is_not_current_before_its_results_are_read(
        self, _, reader
    ):
        async with fleets.running_pair() as pair:
            scan = pair.store.scan

            async def scan_slowly(prefix, after=""):
                if prefix.startswith(records.RESULTS_PREFIX):
                    await trio.sleep(1)
                return await scan(prefix, after)

            pair.store.scan = scan_slowly
            pair.append_without_history()
            await trio.sleep(0.6)
            self.assertEqual(await pair.read(getattr(pair, reader)), 1)

    @virtual.on_virtual_time
    async def test_result_missed_during_a_load_is_read(self):
        async with fleets.running_pair() as pair:
            pair.follower.is_leader = True
            await trio.sleep(1)
            snapshot = pair.leader.batch_cache.records["b"].snapshot(
                pair.store.revision
            )

            async def fetch_slowly(batch_id):
                pair.append_without_history()
                await trio.sleep(2)
                return snapshot

            pair.follower.batch_cache.fetcher.fetch_snapshot = fetch_slowly
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_late_commit_response_does_not_hide_earlier_results(self):
        async with fleets.running_pair(items=0) as pair:
            late = await pair.add_node(is_leader=True)
            commit = pair.store.commit

            async def commit_slowly(transaction):
                pair.store.lost_at = pair.store.revision + 1
                revision = await commit(transaction)
                pair.append_without_history()
                await trio.sleep(2)
                return revision

            pair.store.commit = commit_slowly
            await pair.accept(node=late)
            self.assertEqual(await pair.read(late), 1)

    @parameterized.parameterized.expand(
        [
            ("reads_the_store", True, True),
            ("asks_a_node", False, True),
            ("refuses", False, False),
        ]
    )
    @virtual.on_virtual_time
    async def test_ended_batch_is_confirmed_before_it_lacks_results(
        self, _, reaches_store, reaches_node
    ):
        # Guards against an ended batch that is answered from an incomplete
        # record.
        async with fleets.running_pair(items=2) as pair:
            follower = pair.follower.batch_cache
            record = pair.leader.batch_cache.records["b"]
            empty = records.from_snapshot(record.snapshot(10**6))
            await pair.append_result()
            await pair.leader.batch_cache.end(record, 5.0)
            await trio.sleep(1)
            empty.mark_ended()
            follower.records["b"] = empty
            if not reaches_store:
                follower.store.store = UNREACHABLE
            if not reaches_node:
                follower.fetcher.fetch_snapshot = unittest.mock.AsyncMock(
                    return_value=None
                )
            await pair.wait_for_recent_view()
            if reaches_store or reaches_node:
                self.assertEqual(await pair.read(), 1)
            else:
                with self.assertRaises(errors.ServiceError) as caught:
                    await pair.read()
                self.assertIs(
                    caught.exception.code, errors.ResultCode.STORE_UNAVAILABLE
                )

    @parameterized.parameterized.expand(
        [("by_the_store", True), ("by_another_node", False)]
    )
    @virtual.on_virtual_time
    async def test_ended_batch_is_confirmed_once(self, _, reaches_store):
        async with fleets.running_pair(items=2) as pair:
            follower = pair.follower.batch_cache
            await pair.append_result()
            await pair.read()
            await pair.leader.batch_cache.end(
                pair.leader.batch_cache.records["b"], 5.0
            )
            await trio.sleep(1)
            record = await follower.find("b", "o")
            snapshots = follower.fetcher.fetch_snapshot = unittest.mock.Mock(
                side_effect=follower.fetcher.fetch_snapshot
            )
            if not reaches_store:
                follower.store.store = UNREACHABLE
            scans = pair.store.scans
            for _ in range(5):
                await pair.wait_for_recent_view()
                self.assertEqual(await follower.read(record, 1, 0.0), [])
            self.assertEqual(pair.store.scans, scans + 1)
            self.assertEqual(snapshots.call_count, int(not reaches_store))

    @virtual.on_virtual_time
    async def test_incomplete_record_of_another_node_confirms_no_end(self):
        async with fleets.running_pair(items=2) as pair:
            leader = pair.leader.batch_cache
            empty = records.from_snapshot(leader.records["b"].snapshot(10**6))
            await pair.append_result()
            await leader.end(leader.records["b"], 5.0)
            await trio.sleep(1)
            empty.mark_ended()
            leader.records["b"] = empty
            pair.follower.batch_cache.store.store = UNREACHABLE
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_read_that_began_before_the_end_confirms_nothing(self):
        async with fleets.running_pair(items=2) as pair:
            leader = pair.leader.batch_cache
            record = leader.records["b"]
            scan = pair.store.scan

            async def scan_before_the_end(prefix, after=""):
                page = await scan(prefix, after)
                await leader.end(record, 5.0)
                return page

            pair.store.scan = scan_before_the_end
            await leader.fetcher.refresh(record)
            self.assertTrue(record.needs_confirmation())

    @parameterized.parameterized.expand(
        [
            (f"{how}_{'' if reaches_store else 'un'}reachable", how, at)
            for how in ("evicted", "removed")
            for reaches_store, at in ((True, None), (False, 0.3))
        ]
    )
    @virtual.on_virtual_time
    async def test_reader_gets_results_of_a_batch_that_is_evicted_meanwhile(
        self, _, how, unreachable_after_s
    ):
        # An evicted record gets no more results from the mirror.
        async with fleets.running_pair() as pair:
            follower = pair.follower.batch_cache
            record = await follower.find("b", "o")
            pages = []

            async def read():
                pages.append(await follower.read(record, 0, 1.0))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.sleep(0.1)
                if how == "evicted":
                    follower.evict("b")
                else:
                    follower.remove("b")
                await pair.append_result()
                if unreachable_after_s is not None:
                    await trio.sleep(unreachable_after_s)
                    follower.store.store = UNREACHABLE
                await pair.wait_for_recent_view()
            self.assertEqual(len(pages[0]), 1)

    @virtual.on_virtual_time
    async def test_closed_batch_is_read_from_the_store_by_one_node(self):
        async with fleets.running_pair(items=1) as pair:
            await pair.append_result()
            await trio.sleep(1)
            pair.leader.batch_cache.records.clear()
            self.assertEqual(await pair.read(), 1)
            self.assertIn("b", pair.leader.batch_cache.records)

    @virtual.on_virtual_time
    async def test_two_writers_get_two_positions(self):
        async with fleets.running_pair() as pair:
            await pair.read()
            is_written = []

            async def append_item(node, item):
                record = node.batch_cache.records["b"]
                result = batch.Result(item, batch.ResultState.DONE, item)
                chunk = records.Chunk([result])
                revision = await node.batch_cache.append([(record, chunk)])
                is_written.append(revision is not None)

            async with trio.open_nursery() as writers:
                writers.start_soon(append_item, pair.leader, "i0")
                writers.start_soon(append_item, pair.follower, "i1")
            self.assertEqual(sorted(is_written), [False, True])
            await trio.sleep(1)
            self.assertEqual(await pair.read(), 1)

    @virtual.on_virtual_time
    async def test_old_complete_batch_is_kept_until_it_ends(self):
        async with fleets.running_pair(items=1) as pair:
            batch_cache = pair.leader.batch_cache
            batch_retention = retention.Retention(
                batch_cache, pair.leader.clock
            )
            await trio.sleep(20)
            await batch_retention.remove_older_than(10.0)
            self.assertTrue(pair.store.entries)
            await pair.append_result()
            for _ in range(2 * int(retention.END_MARGIN_S)):
                await trio.sleep(1)
                await batch_retention.remove_older_than(10.0)
            self.assertEqual(await pair.read(), 1)
            await batch_cache.end(await batch_cache.find("b", "o"), 5.0)
            with trio.fail_after(1):
                while not batch_cache.has_end("b"):
                    await trio.sleep(0.01)
            await batch_retention.remove_older_than(10.0)
            await trio.sleep(retention.END_MARGIN_S - 1)
            await batch_retention.remove_older_than(10.0)
            self.assertEqual(await pair.read(), 1)
            await trio.sleep(2)
            await batch_retention.remove_older_than(10.0)
            self.assertEqual(pair.store.entries, {})

    @virtual.on_virtual_time
    async def test_complete_batches_without_an_end_use_bounded_memory(self):
        async with fleets.running_pair(items=0) as pair:
            batch_cache = pair.leader.batch_cache
            for number in range(12):
                record = make_complete_record(f"b{number}", 1_000_000)
                batch_cache.records[record.batch.id] = record
            # Eviction runs once a second.
            await trio.sleep(2)
            kept = sum(
                len(item.body)
                for record in batch_cache.records.values()
                for item in record.batch.items
            )
            self.assertGreater(kept, 0)
            self.assertLessEqual(kept, maintenance.MAX_CLOSED_BYTES)

    @virtual.on_virtual_time
    async def test_old_open_batch_is_kept_if_it_is_not_cached(self):
        async with fleets.running_pair() as pair:
            await trio.sleep(20)
            # This is the state of a node that has just become the leader.
            pair.leader.batch_cache.records.clear()
            batch_retention = retention.Retention(
                pair.leader.batch_cache, pair.leader.clock
            )
            await batch_retention.remove_older_than(10.0)
            self.assertEqual(len(pair.store.entries), 1)

    @virtual.on_virtual_time
    async def test_old_snapshot_does_not_reopen_an_ended_batch(self):
        async with fleets.running_pair() as pair:
            open_snapshot = pair.leader.batch_cache.records["b"].snapshot(10**6)

            async def fetch_old_snapshot(batch_id):
                return open_snapshot

            pair.follower.batch_cache.fetcher.fetch_snapshot = (
                fetch_old_snapshot
            )
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
    async def test_end_does_not_make_an_existing_batch_new(self, _, is_leader):
        async with fleets.running_pair(items=2) as pair:
            await pair.append_result()
            await trio.sleep(1)
            late = await pair.add_node(is_leader)
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
    async def test_items_are_read_again_if_the_batch_ends_meanwhile(self):
        async with fleets.running_pair(items=0) as pair:
            await pair.accept(items=4, body=bytes(30_000))
            await trio.sleep(1)
            late = await pair.add_node(is_leader=True)
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
    async def test_batch_accepted_during_a_failed_load_is_cached(self, how):
        async with fleets.running_pair(items=0) as pair:
            scan = pair.store.scan

            async def scan_slowly(prefix, after=""):
                page = await scan(prefix, after)
                await trio.sleep(2)
                if how == "refused":
                    raise stores.StoreError("refused", False)
                return page

            pair.store.scan = scan_slowly
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._load_and_fail, pair.leader)
                await trio.sleep(0.5)
                await pair.accept(node=pair.follower)
            self.assertIn("b", pair.leader.batch_cache.records)

    async def _load_and_fail(self, node):
        with contextlib.suppress(errors.ServiceError):
            await node.batch_cache.load("b", is_read=True, asks_nodes=False)

    @virtual.on_virtual_time
    async def test_reads_of_unknown_batches_keep_the_mirror_current(self):
        async with fleets.running_pair(items=0) as pair:
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
    def test_gap_in_positions_is_detected(
        self, _, positions, is_current, count
    ):
        new = batch.Batch("b", "o", "r", "h", 0, "alpha", 1, 1, [])
        record = records.Record(new, 0)
        for position in positions:
            result = batch.Result(f"i{position}", batch.ResultState.DONE)
            value = records.encode(records.Chunk([result]))
            record.add_encoded_chunk(position, value)
        self.assertEqual(record.is_current, is_current)
        self.assertEqual(len(record.results), count)
