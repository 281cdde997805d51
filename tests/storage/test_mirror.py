"""The mirror and its change log, with late, repeated and missing changes.

Guards against a mirror, or a follower of it, that misses a change or reports
itself as newer than it is.
"""

import random
import unittest

import hypothesis
from hypothesis import strategies
import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import changelog
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from tests import virtual


def entry(key, revision, value=b"v"):
    return stores.Entry(key, value, revision, revision)


async def follow_no_node(position):
    return None


def make_mirror():
    return mirrors.StoreMirror(None, None, "n1", lambda: 0.0, follow_no_node)


class StoreMirrorTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("older_put", [entry("a", 5), entry("a", 3)], {"a": 5}),
            ("repeated", [entry("a", 5), entry("a", 5)], {"a": 5}),
            ("removed", [entry("a", 5), entry("a", 6, None)], {}),
            ("removed_late", [entry("a", 5), entry("a", 4, None)], {"a": 5}),
            ("unknown_removed", [entry("a", 4, None)], {}),
        ]
    )
    def test_newest_state_of_a_key_is_kept(self, _, changes, expected):
        mirror = make_mirror()
        received = []
        mirror.subscribe("", received.append)
        for change in changes:
            mirror.apply(change)
        found = {key: e.revision for key, e in mirror.entries.items()}
        self.assertEqual(found, expected)
        revisions = [e.revision for e in received]
        self.assertEqual(revisions, sorted(set(revisions)))

    def test_prefix_selects_only_its_keys(self):
        mirror = make_mirror()
        for number, key in enumerate(("a/1", "a/2", "ab", "b/1"), 1):
            mirror.apply(entry(key, number))
        self.assertEqual(
            [e.key for e in mirror.entries_under("a/")], ["a/1", "a/2"]
        )


class ChangingStore:
    """A store with two pages; the second changes after the first was read."""

    async def scan(self, prefix, after=""):
        if not after:
            return stores.Page([entry("a", 5)], 10, True)
        return stores.Page([entry("b", 12)], 12, False)

    async def watch(self, prefix, after, wait_s):
        await trio.sleep(0.01)
        changes = [e for e in (entry("b", 12),) if e.revision > after]
        if not changes:
            await trio.sleep_forever()
        return stores.Page(changes, 12, False)


class LoadTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_follower_receives_changes_between_pages(self):
        mirror = mirrors.StoreMirror(
            ChangingStore(),
            virtualtime.VirtualClock(),
            "n1",
            lambda: 0.0,
            follow_no_node,
        )
        with trio.move_on_after(1):
            await mirror.run()
        found = mirror.log.since(changelog.Position("another", 7, 10))
        is_complete = found is None or [e.key for e in found] == ["b"]
        self.assertTrue(is_complete, found)
        self.assertEqual(mirror.log.since(changelog.Position("", 0, 12)), [])


class SlowBatchesStore:
    """A store without history, whose batches take long to read."""

    def __init__(self):
        self.entries = [entry("a", 5)]
        self.revision = 5

    async def scan(self, prefix, after=""):
        if prefix:
            await trio.sleep(3)
            return stores.Page([], self.revision)
        return stores.Page(self.entries, self.revision)

    async def read_revision(self):
        return self.revision

    async def watch(self, prefix, after, wait_s):
        await trio.sleep(wait_s)
        if after < self.revision:
            raise stores.HistoryLostError
        return stores.Page([], after)


class EssentialKeysTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_essential_keys_are_current_without_removed_ones(self):
        store = SlowBatchesStore()
        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            store, clock, "n1", lambda: 0.1, follow_no_node
        )
        mirror.defer_prefix("batches/")
        with trio.move_on_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(mirror.run)
                await trio.sleep(10)
                store.entries, store.revision = [], 6
                removed_at = trio.current_time()
                while mirror.essential_at <= removed_at:
                    await trio.sleep(0.1)
                self.assertLess(mirror.current_at, removed_at)
                self.assertEqual(list(mirror.entries), [])
                nursery.cancel_scope.cancel()


class RemovalTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_removal_during_a_scan_reaches_followers(self):
        # The scan does not return the key, so the watch removes an unknown one.
        class Store(ChangingStore):
            async def watch(self, prefix, after, wait_s):
                await trio.sleep(wait_s)
                changes = [entry("b", 12), entry("c", 13, None)]
                changes = [e for e in changes if e.revision > after]
                return stores.Page(changes, 13 if changes else after)

            async def read_revision(self):
                return 13

        mirror = mirrors.StoreMirror(
            Store(),
            virtualtime.VirtualClock(),
            "n1",
            lambda: 0.0,
            follow_no_node,
        )
        with trio.move_on_after(2):
            await mirror.run()
        found = mirror.log.since(changelog.Position("another", 7, 12))
        self.assertEqual([e.key for e in found], ["c"])


class ChangeLogTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.integers(0, 10_000), strategies.integers(1, 5))
    def test_follower_misses_nothing(self, seed, max_changes):
        rng = random.Random(seed)
        log = changelog.ChangeLog()
        leader, follower = {}, {}
        position = changelog.Position("", 0, 0)
        original = changelog.MAX_CHANGES
        changelog.MAX_CHANGES = max_changes
        try:
            for revision in range(1, 40):
                key = rng.choice("abc")
                value = rng.choice([b"x", b"y", None])
                change = stores.Entry(key, value, revision)
                leader[key] = change
                log.add(change)
                if rng.random() < 0.4:
                    found = log.since(position)
                    if found is None:
                        follower = dict(leader)
                    else:
                        follower.update({e.key: e for e in found})
                    position = changelog.Position(log.id, log.number, revision)
                    self.assertEqual(follower, leader)
                if rng.random() < 0.1:
                    log.restart(revision)
        finally:
            changelog.MAX_CHANGES = original

    def test_follower_that_is_too_far_behind_gets_none(self):
        log = changelog.ChangeLog()
        log.restart(100)
        log.add(entry("a", 101))
        behind = changelog.Position("other", 7, 50)
        self.assertIsNone(log.since(behind))
        near = changelog.Position("other", 7, 100)
        self.assertEqual([e.revision for e in log.since(near)], [101])


class ChecksumTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_missed_change_is_detected(self):
        mirror = make_mirror()
        mirror.clock = virtualtime.VirtualClock()
        leader = make_mirror()
        for key, revision in (("a", 1), ("b", 2), ("a", 3)):
            leader.apply(entry(key, revision))
            if key != "b":
                mirror.apply(entry(key, revision))
        self.assertFalse(mirror.has_missed_changes(leader.checksum))
        await trio.sleep(mirrors.MAX_DIFFERENCE_S + 0.1)
        self.assertTrue(mirror.has_missed_changes(leader.checksum))

    @virtual.on_virtual_time
    async def test_temporary_difference_is_ignored(self):
        mirror = make_mirror()
        mirror.clock = virtualtime.VirtualClock()
        leader = make_mirror()
        leader.apply(entry("a", 1))
        self.assertFalse(mirror.has_missed_changes(leader.checksum))
        mirror.apply(entry("a", 1))
        await trio.sleep(1)
        self.assertFalse(mirror.has_missed_changes(leader.checksum))
        leader.apply(entry("a", 2, None))
        mirror.apply(entry("a", 2, None))
        self.assertEqual((mirror.checksum, leader.checksum), (0, 0))
        await trio.sleep(mirrors.MAX_DIFFERENCE_S + 0.1)
        self.assertFalse(mirror.has_missed_changes(leader.checksum))

    @virtual.on_virtual_time
    async def test_differing_node_keeps_following_while_store_is_down(self):
        class UnreachableStore:
            async def scan(self, prefix, after=""):
                raise stores.StoreError("unreachable", False)

        async def follow(position):
            await trio.sleep(0.5)
            at = changelog.Position("log", 1, 1)
            return changelog.Changes([], at, 0.0, 12345)

        mirror = mirrors.StoreMirror(
            UnreachableStore(),
            virtualtime.VirtualClock(),
            "n1",
            lambda: 0.0,
            follow,
        )
        for _ in range(40):
            await mirror._follow_peer()
            self.assertLess(mirror.age_s(), 1.0)


# Time that a read of the store's revision takes.
READ_S = 0.05


class PartialStore:
    """A store with two changes, of which a watch delivers only some.

    Attributes:
        count: Most changes in a response to a watch.
        watch_s: Time that a watch takes.
        is_refusing: Whether reads of the revision are refused.
        scans: Scans of all keys.
        reads: Reads of the revision.
        pages: Responses to watches.
        revision: Revision of each response; None for that of its last change.
    """

    def __init__(self, count, watch_s):
        self.count = count
        self.watch_s = watch_s
        self.is_refusing = False
        self.scans = 0
        self.reads = 0
        self.pages = 0
        self.revision = None

    async def scan(self, prefix, after=""):
        self.scans += 1
        return stores.Page([], 10)

    async def read_revision(self):
        self.reads += 1
        await trio.sleep(READ_S)
        if self.is_refusing:
            raise stores.StoreError("status 429", False)
        return 12

    async def watch(self, prefix, after, allowed_s):
        await trio.sleep(self.watch_s)
        self.pages += 1
        changes = [entry("a", 11), entry("b", 12)]
        found = [c for c in changes if c.revision > after][: self.count]
        last = found[-1].revision if found else after
        return stores.Page(found, self.revision or last)


class PartialWatchTest(unittest.TestCase):
    def make_mirror(self, count, watch_s, pause_s=0.0):
        store = PartialStore(count, watch_s)
        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            store, clock, "n1", lambda: pause_s, follow_no_node
        )
        mirror.revision = 10
        return store, mirror

    @parameterized.parameterized.expand(
        [
            ("first_change", 1, 0.1, None, 0.0),
            ("first_change_as_of_the_last", 1, 0.1, 12, 0.0),
            ("none_early", 0, 0.1, None, 0.0),
            # Both watches take 0.5 s, and the read after the second one counts.
            ("none_after_the_whole_wait", 0, 0.5, None, 1.0),
            ("none_as_of_the_last", 0, 0.5, 12, 1.0),
        ]
    )
    @virtual.on_virtual_time
    async def test_mirror_is_current_only_with_every_change(
        self, _, count, watch_s, revision, current_at
    ):
        store, mirror = self.make_mirror(count, watch_s)
        store.revision = revision
        await mirror._watch_store()
        self.assertEqual(mirror.age_s(), float("inf"))
        store.count = 2
        await mirror._watch_store()
        self.assertEqual(mirror.current_at, current_at)
        self.assertEqual(list(mirror.entries), ["a", "b"])

    @virtual.on_virtual_time
    async def test_all_keys_are_read_if_the_watch_stays_silent(self):
        _, mirror = self.make_mirror(count=0, watch_s=0.5)
        with self.assertRaises(stores.HistoryLostError):
            for _ in range(6):
                await mirror._watch_store()
        self.assertGreater(trio.current_time(), mirrors.MAX_SILENCE_S)

    @virtual.on_virtual_time
    async def test_all_keys_are_read_if_silent_watches_are_cut_as_well(self):
        store, mirror = self.make_mirror(count=0, watch_s=0.5)
        watch = store.watch

        async def watch_or_fail(prefix, after, wait_s):
            if store.pages % 3 == 2:
                store.pages += 1
                raise stores.StoreError("connection reset", False)
            return await watch(prefix, after, wait_s)

        store.watch = watch_or_fail
        with trio.move_on_after(4.0):
            await mirror.run()
        self.assertGreaterEqual(store.scans, 2)

    @virtual.on_virtual_time
    async def test_old_write_does_not_make_a_new_watch_silent(self):
        _, mirror = self.make_mirror(count=0, watch_s=0.5)
        mirror.note_revision(12, asked_at=0.0)
        await trio.sleep(10)
        await mirror._watch_store()

    @virtual.on_virtual_time
    async def test_mirror_that_is_behind_watches_without_a_pause(self):
        store, mirror = self.make_mirror(count=1, watch_s=0.1, pause_s=60.0)
        mirror.note_revision(12, asked_at=trio.current_time())
        with trio.move_on_after(1.0):
            await mirror.run()
        self.assertEqual((mirror.revision, store.pages), (12, 2))

    @virtual.on_virtual_time
    async def test_changes_arrive_while_reads_of_the_revision_fail(self):
        store, mirror = self.make_mirror(count=2, watch_s=0.1)
        store.is_refusing = True
        await mirror._watch_store()
        self.assertEqual(mirror.revision, 12)
        self.assertFalse(mirror.is_unreachable)
        self.assertEqual(mirror.age_s(), float("inf"))
        # Refused calls are not repeated with each watch.
        for _ in range(29):
            await mirror._watch_store()
        most = trio.current_time() / mirrors.REVISION_INTERVAL_S
        self.assertLessEqual(store.reads, 1 + most)

    @virtual.on_virtual_time
    async def test_leader_of_a_slow_quiet_store_is_recent_to_its_followers(
        self,
    ):
        class SlowStore(ChangingStore):
            async def read_revision(self):
                await trio.sleep(0.19)
                return 12

            async def watch(self, prefix, after, wait_s):
                await trio.sleep(0.19 + wait_s)
                changes = [e for e in (entry("b", 12),) if e.revision > after]
                return stores.Page(changes, 12)

        clock = virtualtime.VirtualClock()
        mirror = mirrors.StoreMirror(
            SlowStore(), clock, "n1", lambda: 0.1, follow_no_node
        )
        oldest_s = 0.0
        with trio.move_on_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(mirror.run)
                await trio.sleep(2)
                while True:
                    await trio.sleep(0.01)
                    oldest_s = max(oldest_s, mirror.age_s())
        self.assertLess(oldest_s, changelog.MAX_FOLLOWED_AGE_S)

    @virtual.on_virtual_time
    async def test_watch_without_changes_is_followed_by_a_read(self):
        store, mirror = self.make_mirror(count=2, watch_s=0.5)
        mirror.revision = 12
        await mirror._watch_store()
        self.assertAlmostEqual(mirror.age_s(), READ_S)

    @virtual.on_virtual_time
    async def test_own_write_shows_that_the_mirror_is_current(self):
        store, mirror = self.make_mirror(count=2, watch_s=0.1)
        store.is_refusing = True
        mirror.note_revision(12, asked_at=trio.current_time())
        await trio.sleep(1)
        await mirror._watch_store()
        self.assertEqual(mirror.current_at, 0.0)


class FollowTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("recent", 1.0, 9.0, 0.0, True),
            ("behind_but_advancing", 3.0, 0.1, 0.0, True),
            ("receives_nothing", 3.0, 9.0, 0.0, False),
            # Two nodes that follow each other only wait for each other.
            ("old_when_it_responds", 0.8, 9.0, 0.5, False),
        ]
    )
    @virtual.on_virtual_time
    async def test_follower_leaves_a_node_that_is_stuck_only(
        self, _, age_s, advanced_s, wait_s, is_followed
    ):
        # Followers that leave a node which is behind all read the same changes.
        async def follow(position):
            await trio.sleep(wait_s)
            at = changelog.Position("log", 1, 11)
            return changelog.Changes([entry("a", 11)], at, age_s, 0, advanced_s)

        mirror = mirrors.StoreMirror(
            None, virtualtime.VirtualClock(), "n1", lambda: 0.0, follow
        )
        await trio.sleep(10)
        self.assertEqual(await mirror._follow_peer(), is_followed)
        if is_followed:
            self.assertAlmostEqual(mirror.age_s(), age_s)

    @virtual.on_virtual_time
    async def test_node_that_is_behind_brings_no_removed_key_back(self):
        async def follow(position):
            at = changelog.Position("log", 1, 11)
            return changelog.Changes([entry("a", 11)], at, 0.0, 0)

        mirror = mirrors.StoreMirror(
            None, virtualtime.VirtualClock(), "n1", lambda: 0.0, follow
        )
        mirror.apply(entry("a", 11))
        mirror.apply(entry("a", 12, None))
        mirror.revision = 12
        await mirror._follow_peer()
        self.assertEqual(list(mirror.entries), [])
