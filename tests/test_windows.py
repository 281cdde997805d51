"""Tests of usage counts by window and of the reports made from them.

They guard against counts that are lost when two flushes run at once or the
reporting node changes, and against reports of one window that differ.
"""

import types
import unittest

import orjson
import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import locks
from kingcupscale.storage import store as stores
from kingcupscale.usage import windows
from tests import virtual


class LaggingStore:
    """A store that applies writes after a delay."""

    def __init__(self):
        self.values = {}
        self.writes = 0

    async def commit(self, transaction):
        self.writes += 1
        await trio.sleep(0.1)
        for put in transaction.puts:
            self.values[put.key] = orjson.loads(put.value)


class FakeCountSender:
    """Records the counts sent to a holder that may change or be absent."""

    def __init__(self):
        self.current = ""
        self.sent = []
        self.is_reachable = True

    def holder(self):
        return self.current

    async def send(self, counted):
        await trio.sleep(0.01)
        if self.is_reachable:
            self.sent.append((self.current, counted))
        return self.is_reachable


class WindowCounterTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_last_counts_are_complete_when_two_flushes_overlap(self):
        store = LaggingStore()
        counter = windows.WindowCounter(
            types.SimpleNamespace(store=store),
            virtualtime.VirtualClock(),
            "n1",
            5.0,
            FakeCountSender(),
        )
        counter.count_started("one")
        await trio.sleep(6.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.flush)
            nursery.start_soon(counter.flush, True)
        counter.count_started("one")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.flush, True)
            await trio.sleep(0.05)
            counter.count_started("one")
        await trio.sleep(6.1)
        await counter.flush()
        self.assertEqual(
            sorted(v["one"] for v in store.values.values()), [1, 2]
        )
        writes = store.writes
        await counter.flush()
        self.assertEqual(store.writes, writes)

    @parameterized.parameterized.expand(
        [
            ("same_holder", "n2 1", "n2 1", True, 1, 0),
            ("other_holder", "n2 1", "n3 7", True, 2, 0),
            ("restarted_holder", "n2 1", "n2 8", True, 2, 0),
            ("unreachable_holder", "n2 1", "n2 1", False, 0, 1),
            ("no_holder", "", "", True, 0, 1),
            ("no_holder_at_first", "", "n2 1", True, 0, 1),
        ]
    )
    @virtual.on_virtual_time
    async def test_counts_reach_the_reporting_node(
        self, _, first, second, is_reachable, sent, writes
    ):
        store, count_sender = LaggingStore(), FakeCountSender()
        counter = windows.WindowCounter(
            types.SimpleNamespace(store=store),
            virtualtime.VirtualClock(),
            "n1",
            WINDOW_S,
            count_sender,
        )
        count_sender.is_reachable = is_reachable
        counter.count_started("one")
        await trio.sleep(6.1)
        for holder in (first, first, second, second):
            count_sender.current = holder
            await counter.flush()
        self.assertEqual((len(count_sender.sent), store.writes), (sent, writes))
        for _, counted in count_sender.sent:
            self.assertEqual(list(counted.values()), [{"one": 1}])

    @virtual.on_virtual_time
    async def test_last_counts_go_into_the_store(self):
        """A stopping node writes its counts to the store.

        The reporting node may stop next, and the stopped node could not resend
        its counts to another one.
        """
        store, count_sender = LaggingStore(), FakeCountSender()
        counter = windows.WindowCounter(
            types.SimpleNamespace(store=store),
            virtualtime.VirtualClock(),
            "n1",
            WINDOW_S,
            count_sender,
        )
        count_sender.current = "n2 1"
        counter.count_started("one")
        await trio.sleep(6.1)
        await counter.flush()
        counter.count_started("one")
        await counter.flush(is_last=True)
        self.assertEqual([v["one"] for v in store.values.values()], [1, 1])


WINDOW_S = 5.0


class SharedStore:
    """A store that checks the conditions of a write."""

    def __init__(self):
        self.entries = {}

    async def commit(self, transaction):
        if any(c.key in self.entries for c in transaction.conditions):
            return None
        for put in transaction.puts:
            self.entries[put.key] = stores.Entry(put.key, put.value, 1, 1)
        return 1

    async def get(self, key):
        return self.entries.get(key)


class Mirror:
    """A mirror that holds only the entries a test adds."""

    def __init__(self, store):
        self.store = store
        self.entries = {}
        self.current_at = None

    def age_s(self):
        if self.current_at is None:
            return 0.0
        return trio.current_time() - self.current_at

    def add_counts(self, window, node, counts):
        key = f"{windows.COUNTS_PREFIX}{window}/{node}"
        value = orjson.dumps(counts)
        self.entries[key] = stores.Entry(key, value, 1, 1)

    def entries_under(self, prefix):
        return [e for k, e in self.entries.items() if k.startswith(prefix)]


class Intake:
    """Records the reports."""

    def __init__(self):
        self.reports = []

    async def report(self, window, counts, holder):
        self.reports.append((window, counts))


class WindowReporterTest(unittest.TestCase):
    def _prepare(self):
        """Returns an intake, a mirror with counts, and their window."""
        mirror = Mirror(SharedStore())
        now_s = virtualtime.VirtualClock().now().timestamp()
        window = int(now_s // WINDOW_S)
        mirror.add_counts(window, "n1", {"one": 1})
        return Intake(), mirror, window

    def _make(self, mirror, intake, node):
        session = types.SimpleNamespace(node=node)
        duty_lock = types.SimpleNamespace(
            session=session,
            fencing_token=1,
            is_held=lambda: True,
            holder=lambda: locks.Holder(node, 1, lambda: None),
        )
        clock = virtualtime.VirtualClock()
        return windows.WindowReporter(
            duty_lock, mirror, intake, clock, WINDOW_S, 4.0
        )

    @virtual.on_virtual_time
    async def test_window_has_the_figures_committed_first(self):
        store, intake = SharedStore(), Intake()
        clock = virtualtime.VirtualClock()
        window = int(clock.now().timestamp() // WINDOW_S)
        first, second = Mirror(store), Mirror(store)
        first.add_counts(window, "n1", {"one": 1})
        # Has more counts, and does not see the figures of the first one.
        second.add_counts(window, "n1", {"one": 1})
        second.add_counts(window, "n2", {"one": 5})
        await trio.sleep(2 * WINDOW_S)
        for mirror, node in ((first, "n1"), (second, "n2")):
            reporter = self._make(mirror, intake, node)
            await reporter.step()
            await trio.sleep(windows.RESEND_WAIT_S)
            await reporter.step()
        figures = [counts for w, counts in intake.reports if w == window]
        self.assertEqual(figures, [{"one": 1}, {"one": 1}])

    @virtual.on_virtual_time
    async def test_accepted_window_is_not_reported_again(self):
        intake, mirror, window = self._prepare()
        reporter = self._make(mirror, intake, "n1")
        for _ in range(30):
            await trio.sleep(1)
            await reporter.step()
        reported = [w for w, _ in intake.reports]
        self.assertIn(window, reported)
        self.assertEqual(len(reported), len(set(reported)))

    @virtual.on_virtual_time
    async def test_new_reporter_waits_for_resent_counts(self):
        intake, mirror, window = self._prepare()
        reporter = self._make(mirror, intake, "n1")
        await trio.sleep(2 * WINDOW_S)
        await reporter.step()
        await trio.sleep(0.9 * windows.RESEND_WAIT_S)
        reporter.receive("n2", {window: {"one": 4, "two": 1}})
        # Counts that a node wrote may be newer than those it sent before.
        reporter.receive("n1", {window: {"one": 1}})
        mirror.add_counts(window, "n1", {"one": 2})
        await reporter.step()
        self.assertEqual(intake.reports, [])
        await trio.sleep(0.2 * windows.RESEND_WAIT_S)
        await reporter.step()
        self.assertIn((window, {"one": 6, "two": 1}), intake.reports)

    @parameterized.parameterized.expand(
        [("delivered_in_time", 0.5, {"one": 3}), ("late", 1.0, {"one": 1})]
    )
    @virtual.on_virtual_time
    async def test_old_mirror_delays_the_sum_of_a_window(
        self, _, delivered_share, expected
    ):
        # A mirror that is behind lacks counts that are in the store.
        intake, mirror, window = self._prepare()
        reporter = self._make(mirror, intake, "n1")
        now_s = virtualtime.VirtualClock().now().timestamp()
        ended_at = trio.current_time() + (window + 1) * WINDOW_S - now_s
        mirror.current_at = ended_at
        delivered_at = ended_at + delivered_share * reporter.late_s
        while trio.current_time() < ended_at + 2 * reporter.late_s:
            if trio.current_time() >= delivered_at and mirror.current_at:
                mirror.add_counts(window, "n1", {"one": 3})
                mirror.current_at = None
            await reporter.step()
            await trio.sleep(0.2)
        self.assertIn((window, expected), intake.reports)
