"""Announcements of batches to the nodes that run them.

Guards against samples that wait until the runner's mirror delivers their batch,
against announced batches that run after their end or twice, and against a
caller that waits for an announcement.
"""

import unittest

import attrs
import orjson
import parameterized
import trio

from kingcupscale import announcing
from kingcupscale import metrics
from kingcupscale.batches import batch
from kingcupscale.batches import record as records
from kingcupscale.fakes import virtualtime
from kingcupscale.operating import exposition
from kingcupscale.peering import announcements
from kingcupscale.peering import relay
from kingcupscale.platform import names
from kingcupscale.storage import store as stores
from kingcupscale.web import clientguard
from kingcupscale.web import message
from tests import virtual
from tests.batches import fleets
from tests.platform import harness

DUTY = f"engines/{harness.MODEL}"
# Time from a batch's acceptance to the start of its first sample.
MAX_START_S = 0.15
MIRROR_DELAY_S = 1.0
BATCH_KEY = records.batch_key("b", "specification", "0")


def delay_watch(node, seconds=MIRROR_DELAY_S):
    """Delays the store's changes on their way to a node."""
    store = node.runtime.mirror.store
    watch = store.watch

    async def delayed_watch(prefix, after, wait_s):
        page = await watch(prefix, after, 0)
        await trio.sleep(seconds)
        return page

    store.watch = delayed_watch


def counts(node):
    """Returns how many announcements of each outcome a node has counted."""
    prefix = announcing.COUNTER
    return {
        name.removeprefix(prefix): count
        for name, count in node.runtime.metrics.counts.items()
        if name.startswith(prefix)
    }


async def launch_with_old_mirror(stack_site):
    """Returns the runner, whose mirror lags behind, and another node."""
    runner = stack_site.holder(DUTY)
    delay_watch(runner)
    await trio.sleep(2 * MIRROR_DELAY_S)
    return runner, stack_site.other(runner)


class StartTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_samples_start_before_the_mirror_delivers_the_batch(self):
        async with harness.launch() as site:
            runner, other = await launch_with_old_mirror(site)
            await site.submit(other, items=4)
            submitted_at = trio.current_time()
            results = await site.read_all(other)
            self.assertEqual(len(results), 4)
            started_at = min(run.at for run in site.runs)
            self.assertLess(started_at - submitted_at, MAX_START_S)
            self.assertEqual(counts(other), {"sent": 1})
            self.assertEqual(counts(runner), {"received": 1, "started": 1})
            handler = exposition.MetricsHandler(
                runner.runtime, None, clientguard.make_default()
            )
            exposed = await handler(
                message.Request("GET", "/metrics", "", {}, b"")
            )
            for row in (
                b'announcements_total{outcome="started"} 1\n',
                b'announcements_total{outcome="late"} 0\n',
                b'fleet_duties{tier="first"} 3\n',
            ):
                self.assertIn(row, exposed.body)
            await trio.sleep(3 * MIRROR_DELAY_S)
            await self._check_record(site, runner, results)

    async def _check_record(self, site, runner, results):
        """Checks that the mirror's keys changed nothing."""
        receiver = runner.runtime.announcement_receiver
        self.assertEqual(receiver.announced.undelivered, {})
        record = runner.runtime.batch_cache.records["b1"]
        self.assertEqual(len(record.results), 4)
        self.assertEqual(await site.read_all(runner), results)
        requests = [run.request for run in site.runs]
        self.assertEqual(len(requests), len(set(requests)))

    @parameterized.parameterized.expand(
        [
            ("sender_crashes_before_the_fetch", relay.COPY_PATH, None),
            ("runner_of_an_older_release", announcements.PATH, 400),
            ("sender_has_no_copy", relay.COPY_PATH, 404),
            ("runner_does_not_respond", announcements.PATH, 0),
        ]
    )
    @virtual.on_virtual_time
    async def test_mirror_delivers_the_batch_if(self, _, path, status):
        async with harness.launch(nodes=3) as site:
            runner, other = await launch_with_old_mirror(site)
            node = runner if path == announcements.PATH else other
            handle = node.runtime.handle_peer_request

            async def fail(request):
                if request.path != path:
                    return await handle(request)
                if status is None:
                    site.network.crash(other.name)
                if not status:
                    await trio.sleep_forever()
                return message.Response(status)

            site.network.serve(node.name, f"{node.name}:3", fail)
            before = trio.current_time()
            response = await site.submit(other, items=4)
            self.assertEqual(response.status, 202)
            self.assertLess(trio.current_time() - before, 0.1)
            results = await site.read_all(runner)
            self.assertEqual(len(results), 4)
            self.assertNotIn("started", counts(runner))

    @virtual.on_virtual_time
    async def test_batch_that_has_ended_does_not_run(self):
        async with harness.launch() as site:
            runner, other = await launch_with_old_mirror(site)
            handle = other.runtime.handle_peer_request

            async def delay(request):
                if request.path == relay.COPY_PATH:
                    await trio.sleep(0.4)
                return await handle(request)

            site.network.serve(other.name, f"{other.name}:3", delay)
            await site.submit(other, items=4)
            await site.call(other, "DELETE", names.BATCHES_PATH + "b1")
            await trio.sleep(4 * MIRROR_DELAY_S)
            self.assertEqual(site.runs, [])
            self.assertEqual(counts(runner), {"received": 1, "ended": 1})

    @virtual.on_virtual_time
    async def test_running_batch_stops_at_its_end(self):
        async with harness.launch() as site:
            runner, other = await launch_with_old_mirror(site)
            for name in ("e1", "e2"):
                site.servers[name].length = 400
            await site.submit(other, items=40)
            await trio.sleep(0.3)
            self.assertNotEqual(site.runs, [])
            await site.call(other, "DELETE", names.BATCHES_PATH + "b1")
            ended_at = trio.current_time()
            await trio.sleep(3 * MIRROR_DELAY_S)
            late = [r for r in site.runs if r.at > ended_at + 2.5]
            self.assertEqual(late, [])
            self.assertEqual(
                runner.runtime.services["engines"].coordinator.progress, {}
            )

    @parameterized.parameterized.expand(
        [
            ("not_run_here", {"model": "beta"}, "not_run_here"),
            ("known", {"batch": "b1"}, "late"),
            ("older_than_the_mirror", {"revision": 1}, "late"),
            ("unknown_sender", {"sender": "n99"}, "unavailable"),
            ("sender_without_the_batch", {}, "unavailable"),
        ]
    )
    @virtual.on_virtual_time
    async def test_announcement_is_ignored(self, _, changes, expected):
        async with harness.launch() as site:
            runner, other = site.holder(DUTY), site.other(site.holder(DUTY))
            await site.submit(other, items=4)
            await site.read_all(other)
            runs, before = len(site.runs), dict(counts(runner))
            fields = {
                "batch": "b2",
                "model": harness.MODEL,
                "sender": other.name,
                "revision": 10**9,
                "submitted_ms": 0,
                **changes,
            }
            for _ in range(2):
                response = await runner.runtime.handle_peer_request(
                    message.Request(
                        "POST", announcements.PATH, "", {}, orjson.dumps(fields)
                    )
                )
                self.assertEqual(response.status, 200)
                await trio.sleep(1)
            self.assertEqual(len(site.runs), runs)
            self.assertEqual(
                counts(runner)[expected], before.get(expected, 0) + 2
            )


class BlockingClient:
    """An announcement client whose first call fails and whose others hang.

    Attributes:
        in_flight: Number of calls.
    """

    def __init__(self):
        self.in_flight = 0

    async def send(self, address, announcement):
        if announcement.submitted_ms == 0:
            raise ValueError("unexpected error")
        self.in_flight += 1
        await trio.sleep_forever()


class AnnouncerTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_number_in_flight_and_in_the_queue_is_limited(self):
        client, node_metrics = BlockingClient(), metrics.Metrics()
        announcer = announcing.Announcer(
            "n1",
            client,
            virtualtime.VirtualClock(),
            node_metrics,
            lambda _: [("n2", "n2:3")],
        )
        new = batch.Batch("b", "o", "r", "h", 0, "alpha", 1, 1, [])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(announcer.run)
            for number in range(101):
                await trio.sleep(0.01)
                announcer.announce(new, number, 5)
            nursery.cancel_scope.cancel()
        held = announcing.MAX_IN_FLIGHT + announcing.MAX_QUEUED
        self.assertEqual(client.in_flight, announcing.MAX_IN_FLIGHT)
        self.assertEqual(
            node_metrics.counts, {"announcements.dropped": 100 - held}
        )


def deliver(key):
    return lambda node: node.mirror.apply(stores.Entry(key, b"{}", 900, 900))


def set_mirror(**fields):
    return lambda node: vars(node.mirror).update(fields)


class UndeliveredTest(unittest.TestCase):
    """Batches whose later changes the mirror does or does not deliver."""

    @parameterized.parameterized.expand(
        [
            ("mirror_is_older_than_the_batch", lambda _: None, True),
            ("cached", lambda n: n.batch_cache.records.update(new=0), False),
            (
                "loaded",
                lambda n: n.batch_cache.pending_loads.update(new=0),
                False,
            ),
            (
                "mirror_has_the_batch",
                deliver(records.batch_key("new", "specification", "0")),
                False,
            ),
            (
                "results_were_delivered_before",
                deliver(records.result_key("new", 0)),
                False,
            ),
            ("mirror_is_reloaded", set_mirror(is_loading=True), False),
            ("batch_may_be_removed", set_mirror(revision=1000), False),
            ("mirror_is_too_old", set_mirror(current_at=-3.0), False),
        ]
    )
    @virtual.on_virtual_time
    async def test_batch_is_added_if(self, _, change, expected):
        """Guards against lost results and against runs of ended batches."""
        async with fleets.running_pair() as pair:
            record = pair.leader.batch_cache.records["b"]
            new = attrs.evolve(record.batch, id="new")
            snapshot = attrs.evolve(record.snapshot(0), batch=new)
            change(pair.follower)
            is_added = pair.follower.announced.add(snapshot, 1000)
            self.assertEqual(is_added, expected)
            is_again = pair.follower.announced.add(snapshot, 1000)
            self.assertFalse(is_again)
            pair.nursery.cancel_scope.cancel()

    @parameterized.parameterized.expand(
        [
            (f"{known}_results_known_{later}_later", known, later)
            for known, later in ((0, 0), (0, 2), (2, 0), (2, 2))
        ]
    )
    @virtual.on_virtual_time
    async def test_mirror_adds_the_missing_results_to_the_same_record(
        self, _, known, later
    ):
        """Guards against lost results and a second record of the batch."""
        async with fleets.running_pair(items=0) as pair:
            follower = pair.follower
            follower.batch_cache.set_interest(False, frozenset(["alpha"]))
            await trio.sleep(1)
            held, follow = trio.Event(), follower.mirror.follow

            async def follow_later(position):
                await held.wait()
                return await follow(position)

            follower.mirror.follow = follow_later
            await trio.sleep(1)
            await pair.accept()
            for _ in range(known):
                await pair.append_result()
            created = pair.store.entries[BATCH_KEY].created
            snapshot = pair.leader.batch_cache.records["b"].snapshot(0)
            self.assertTrue(follower.announced.add(snapshot, created))
            record = follower.batch_cache.records["b"]
            for _ in range(later):
                await pair.append_result()
            held.set()
            await trio.sleep(2)
            self.assertIs(follower.batch_cache.records["b"], record)
            items = [result.item for result in record.results]
            self.assertEqual(items, [f"i{n}" for n in range(known + later)])
            self.assertEqual(follower.announced.undelivered, {})
            self.assertTrue(record.is_open() or known + later == 4)

    @parameterized.parameterized.expand(
        [
            ("batch_was_removed", 0, 0.0, 0.3),
            ("revision_is_wrong", 10**6, 0.0, 5.2),
            ("mirror_is_old", 10**6, 3.0, 0.3),
        ]
    )
    @virtual.on_virtual_time
    async def test_batch_is_stopped_if(self, _, revision, age_s, wait_s):
        async with fleets.running_pair() as pair:
            snapshot = pair.leader.batch_cache.records["b"].snapshot(10**6)
            node = pair.follower
            other = attrs.evolve(snapshot.batch, id="other")
            snapshot = attrs.evolve(snapshot, batch=other)
            self.assertTrue(node.announced.add(snapshot, 10**6))
            record = node.batch_cache.records["other"]
            self.assertTrue(record.is_open())
            if revision == 0:
                node.mirror.revision = 10**6
            if age_s:
                pair.fleet.nodes.clear()
                node.mirror.current_at = trio.current_time() - age_s
                node.announced.drop_undelivered()
            else:
                await trio.sleep(wait_s)
            self.assertFalse(record.is_open())
            self.assertNotIn("other", node.batch_cache.records)
