"""Decisions about requests under which servers crash, without a network.

Load pattern: a request that crashes its servers comes again at several nodes,
beside requests that are cut off along with it. Guards against a fleet that goes
on sending it, and against other requests that are blocked for good.
"""

import contextlib
import datetime
import itertools
import random
import socket
import struct
import threading
import time
import unittest
from unittest import mock

import attrs
import parameterized
import trio

from kingcupscale import rendezvous
from kingcupscale.crashes import fingerprint
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import records
from kingcupscale.crashes import sharing
from kingcupscale.crashes import verification
from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import crashwatch
from kingcupscale.web import httpclient
from tests import test_call_waiting
from tests import virtual

FATAL = "fatal"
SHARE_S = 1.0
PROBES = 20
# An event loop that is busy for this long sees a connection after its reset.
BUSY_S = 0.01
ACCEPT_TIMEOUT_S = 2.0
# With a linger time of zero, closing a socket sends RST instead of FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)


@attrs.define
class ManualClock:
    """A wall clock that is set by hand."""

    seconds: float = 1_000_000.0

    def now(self):
        return datetime.datetime.fromtimestamp(self.seconds, datetime.UTC)

    def monotonic(self):
        return self.seconds


def make_records(clock, makes_trials=True):
    return records.CrashRecords(clock, lambda _: makes_trials)


class Replay:
    """Nodes that share their records with a delay, and a crashing request."""

    def __init__(self, seed, nodes):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        names = [f"n{number}" for number in range(nodes)]
        self.nodes = [
            records.CrashRecords(
                self.clock,
                lambda key, name=name: rendezvous.rank(key, names)[0] == name,
            )
            for name in names
        ]
        self.queue = []
        self.tries = []

    def deliver(self):
        due = [item for item in self.queue if item[0] <= self.clock.seconds]
        self.queue = [item for item in self.queue if item not in due]
        self.rng.shuffle(due)
        for _, record in due:
            for node in self.nodes:
                node.merge(record)

    def send(self, key, is_fatal):
        """Sends a request at a random node; returns whether it was sent."""
        node = self.rng.choice(self.nodes)
        permission = node.find_permission(key)
        if not permission.is_allowed:
            return False
        if permission.is_trial:
            node.begin_trial(key)
        if not is_fatal:
            if node.clear(key):
                self.share(node, key)
            return True
        self.tries.append(self.clock.seconds)
        ended_ms = int(self.clock.seconds * 1000)
        node.add_crash(key, records.Crash(f"s{len(self.tries)}", 1, ended_ms))
        self.share(node, key)
        return True

    def share(self, node, key):
        at = self.clock.seconds + self.rng.uniform(0, SHARE_S)
        self.queue.append((at, node.records[key]))


class ReplayTest(unittest.TestCase):
    @parameterized.parameterized.expand(itertools.product(range(1, 9), (4, 55)))
    def test_crashing_request_is_sent_to_few_servers(self, seed, nodes):
        replay = Replay(seed, nodes)
        for _ in range(1200):
            replay.clock.seconds += replay.rng.expovariate(2.0)
            replay.deliver()
            replay.send(FATAL, is_fatal=True)
        known_at = replay.tries[records.BLOCKING_CRASHES - 1] + 3.0
        late = [at for at in replay.tries if at > known_at]
        # In ten minutes, one trial after 15 s and one 300 s later.
        self.assertLessEqual(len(late), 3)

    @parameterized.parameterized.expand(itertools.product(range(1, 9), (4, 55)))
    def test_blocked_request_that_crashes_nothing_is_released(
        self, seed, nodes
    ):
        replay = Replay(seed, nodes)
        for _ in range(records.BLOCKING_CRASHES):
            replay.send("popular", is_fatal=True)
        replay.clock.seconds += SHARE_S
        replay.deliver()
        self.assertFalse(replay.send("popular", is_fatal=False))
        replay.clock.seconds += records.FIRST_TRIAL_S
        for _ in range(60 * nodes):
            replay.clock.seconds += 0.05
            replay.deliver()
            replay.send("popular", is_fatal=False)
        self.assertFalse(any(node.blocked() for node in replay.nodes))


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.records = make_records(self.clock)

    def _add_crashes(self, count, at_s=0.0, key=FATAL):
        ended_ms = int((self.clock.seconds + at_s) * 1000)
        for number in range(count):
            self.records.add_crash(
                key, records.Crash(f"{at_s}-{number}", 1, ended_ms + number)
            )

    @parameterized.parameterized.expand([(0, True), (2, True), (3, False)])
    def test_three_crashes_block_a_request(self, crashes, is_allowed):
        self._add_crashes(crashes)
        permission = self.records.find_permission(FATAL)
        self.assertEqual(permission.is_allowed, is_allowed)

    def test_same_crash_seen_by_two_nodes_counts_once(self):
        now_ms = self.records.now_ms()
        for delay_ms in range(5):
            crash = records.Crash("s1", 1, now_ms + delay_ms)
            self.records.add_crash(FATAL, crash)
        self.assertEqual(len(self.records.records[FATAL].crashes), 1)

    def test_answer_clears_a_request(self):
        # A request that was cut off along with another one is answered by the
        # next server.
        for _ in range(5):
            self._add_crashes(2)
            self.clock.seconds += 1
            self.assertTrue(self.records.clear(FATAL))
            self.assertIs(self.records.find_permission(FATAL), records.ALLOWED)

    def test_trial_is_made_once_by_one_node(self):
        other = make_records(self.clock, makes_trials=False)
        self._add_crashes(3)
        other.merge(self.records.records[FATAL])
        self.clock.seconds += records.FIRST_TRIAL_S + 1
        self.assertFalse(other.find_permission(FATAL).is_allowed)
        self.assertTrue(self.records.find_permission(FATAL).is_trial)
        self.records.begin_trial(FATAL)
        self.assertFalse(self.records.find_permission(FATAL).is_allowed)

    def test_caller_is_told_when_the_next_trial_is(self):
        self._add_crashes(3)
        permission = self.records.find_permission(FATAL)
        self.assertAlmostEqual(
            permission.retry_after_s, records.FIRST_TRIAL_S, delta=0.1
        )

    def test_record_is_removed_after_its_retention_time(self):
        self._add_crashes(3)
        self.clock.seconds += records.RETENTION_S + 1
        self.assertIs(self.records.find_permission(FATAL), records.ALLOWED)
        self.assertEqual(len(self.records.remove_expired()), 1)
        self.assertEqual(self.records.records, {})

    @parameterized.parameterized.expand([("crash", False), ("answer", True)])
    def test_wrong_clock_of_another_node_is_ignored(self, _, is_answer):
        self._add_crashes(3)
        ahead_ms = self.records.now_ms() + 3_600_000
        crash = records.Crash("s9", 1, ahead_ms)
        wrong = records.CrashRecord(
            FATAL, () if is_answer else (crash,), ahead_ms * is_answer
        )
        self.assertFalse(self.records.merge(wrong))
        self.assertEqual(len(self.records.records[FATAL].crashes), 3)

    def test_number_of_records_is_limited(self):
        for number in range(records.MAX_RECORDS + 50):
            self.clock.seconds += 0.001
            self._add_crashes(1, key=f"r{number}")
        self.assertEqual(len(self.records.records), records.MAX_RECORDS)

    @parameterized.parameterized.expand(range(1, 9))
    def test_order_of_merges_does_not_matter(self, seed):
        rng = random.Random(seed)
        now_ms = self.records.now_ms()
        found = []
        for number in range(8):
            crash = records.Crash(
                f"s{number % 5}", 1, now_ms - rng.randint(0, 9000)
            )
            cleared_ms = now_ms - rng.randint(4000, 9000)
            found.append(records.CrashRecord(FATAL, (crash,), cleared_ms))
        results = set()
        for _ in range(5):
            rng.shuffle(found)
            merged = records.CrashRecord(FATAL)
            for record in [*found, *found[:3]]:
                merged = merged.merge(record)
            results.add(merged)
        self.assertEqual(len(results), 1)


class SharingTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_dropped_own_record_is_not_sent(self):
        # More requests crash servers than records are kept.
        clock = virtualtime.VirtualClock()
        guard = guards.CrashGuard(mock.Mock(), clock, lambda _: True)
        client = mock.Mock(send=mock.AsyncMock())
        shared = sharing.CrashSharing(
            "n1",
            guard,
            mock.Mock(addresses=lambda: {"n2": "n2:1"}),
            client,
            mock.Mock(),
            mock.Mock(),
            clock,
            random.Random(1),
        )
        for number in range(records.MAX_RECORDS + 1):
            ended_ms = guard.records.now_ms() + number
            crash = records.Crash("s", 1, ended_ms)
            guard.records.add_crash(f"r{number}", crash)
            guard.on_change(f"r{number}")
            if number == 0:
                await shared.send_own()
        await shared.send_own()
        sent = client.send.call_args.args[1].records
        self.assertEqual(len(sent), sharing.MAX_RECORDS_PER_MESSAGE)


class FingerprintTest(unittest.TestCase):
    BASE = ("POST", "h", "/a/", "x=1", "one", b"body")

    @parameterized.parameterized.expand(
        [
            ("method", 0, "PUT"),
            ("host", 1, "h2"),
            ("path", 2, "/a/b"),
            ("query", 3, "x=2"),
            ("organisation", 4, "two"),
            ("body", 5, b"body2"),
        ]
    )
    def test_requests_that_differ_have_different_fingerprints(
        self, _, index, value
    ):
        other = [*self.BASE]
        other[index] = value
        self.assertNotEqual(
            fingerprint.compute(*self.BASE), fingerprint.compute(*other)
        )

    def test_fields_are_not_joined_ambiguously(self):
        self.assertNotEqual(
            fingerprint.compute("POST", "h", "/a", "", "", b""),
            fingerprint.compute("POST", "h/a", "", "", "", b""),
        )


class StreamTest(unittest.TestCase):
    """Guards against a streamed response whose end tells nothing."""

    @parameterized.parameterized.expand(
        [
            ("complete", None, 0),
            ("cut_off", serverclient.ServerError("reset", True, True), 1),
            ("overdue", serverclient.ServerError("overdue", True), 0),
        ]
    )
    @virtual.on_virtual_time
    async def test_end_of_a_stream(self, _, error, losses):
        guard = guards.CrashGuard(
            mock.Mock(), virtualtime.VirtualClock(), lambda _: True
        )
        watch = crashwatch.CrashWatch(guard)
        call = test_call_waiting.make_call()
        server = test_call_waiting.make_server()

        async def stream():
            yield b"first"
            if error is not None:
                raise error

        chunks = watch.watch_body(stream(), *call, server)
        with contextlib.suppress(serverclient.ServerError):
            async for _ in chunks:
                pass
        self.assertEqual(len(guard.verifier.pending), losses)

    @parameterized.parameterized.expand(
        [
            ("ready", registry.ServerState.READY, False, 1),
            ("draining", registry.ServerState.DRAINING, False, 0),
            ("leaving", registry.ServerState.READY, True, 0),
        ]
    )
    @virtual.on_virtual_time
    async def test_server_that_was_about_to_end_did_not_crash(
        self, _, state, is_leaving, losses
    ):
        guard = guards.CrashGuard(
            mock.Mock(), virtualtime.VirtualClock(), lambda _: True
        )
        server = test_call_waiting.make_server()
        server.entry = attrs.evolve(server.entry, state=state)
        server.is_leaving = is_leaving
        crashwatch.CrashWatch(guard).note_loss(
            *test_call_waiting.make_call(), server
        )
        self.assertEqual(len(guard.verifier.pending), losses)


class ListeningTest(unittest.TestCase):
    """Guards against a server that is taken to have ended though it listens."""

    @parameterized.parameterized.expand([("resets", True), ("closed", False)])
    def test_only_refused_connections_show_an_end(self, _, is_open):
        answers = []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            if not is_open:
                listener.close()
            thread = threading.Thread(target=reset_each, args=(listener,))
            thread.start()

            async def probe():
                client = httpclient.PooledHttpClient()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(keep_busy)
                    for _ in range(PROBES):
                        answers.append(
                            await client.is_listening(f"{host}:{port}", 1.0)
                        )
                    nursery.cancel_scope.cancel()

            trio.run(probe)
            thread.join()
        self.assertEqual(answers.count(False), 0 if is_open else PROBES)

    @parameterized.parameterized.expand(
        [
            ("no_port", "127.0.0.1"),
            ("port_is_no_number", "127.0.0.1:x"),
            ("port_out_of_range", "127.0.0.1:99999"),
            ("no_host", ":x"),
        ]
    )
    def test_invalid_address_ends_no_node(self, _, address):
        # Other software writes servers' entries, too.
        client = httpclient.PooledHttpClient()
        self.assertIsNone(trio.run(client.is_listening, address, 1.0))

    @virtual.on_virtual_time
    async def test_unexpected_error_of_a_probe_ends_no_node(self):
        probe = mock.Mock(is_listening=mock.AsyncMock(side_effect=KeyError))
        guard = guards.CrashGuard(
            probe, virtualtime.VirtualClock(), lambda _: True
        )
        guard.note_loss("f", test_call_waiting.make_server())
        with trio.move_on_after(verification.TIMEOUT_S + 1):
            await guard.run()
        self.assertEqual(guard.verifier.pending, [])


async def keep_busy():
    """Blocks the event loop again and again, as on a loaded machine."""
    while True:
        time.sleep(BUSY_S)
        await trio.lowlevel.checkpoint()


def reset_each(listener):
    """Accepts and resets as many connections as are probed."""
    with contextlib.suppress(OSError):
        listener.settimeout(ACCEPT_TIMEOUT_S)
        for _ in range(PROBES):
            connection, _ = listener.accept()
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
            )
            connection.close()
