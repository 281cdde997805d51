"""Ended batches on nodes whose view of the store may be older than the end.

A node that is cut off from the store does not learn that a batch was ended.
It must still stop sending items and scoring calls of the batch in time.
"""

import unittest

import parameterized
import trio

from kingcupscale.batches import maintenance
from kingcupscale.batches import sample as samples
from kingcupscale.platform import names
from kingcupscale.storage import store as stores
from tests import virtual
from tests.platform import harness

DUTY = f"engines/{harness.MODEL}"
# Items and scoring calls of a batch may reach servers for this long after the
# batch was ended.
MAX_CANCEL_S = 3.0


def _isolate(site, node):
    """Disconnects a node from the store and other nodes, not from servers."""
    for other in ("store", *(n.name for n in site.nodes if n is not node)):
        site.network.cut(node.name, other)


def _compact_history(site, node):
    """Makes a node's watch fail as compacted and its reads time out."""

    async def fail_watch(prefix, after, wait_s):
        raise stores.HistoryLostError

    async def time_out(prefix, after=""):
        await trio.sleep(0.8)
        raise stores.StoreError("no complete response in time", True)

    node.runtime.mirror.store.watch = fail_watch
    node.runtime.mirror.store.scan = time_out


def _delay_watch(site, node):
    """Delays the store's changes on their way to a node by 1.6 s."""
    store = node.runtime.mirror.store
    watch = store.watch

    async def delayed_watch(prefix, after, wait_s):
        page = await watch(prefix, after, 0)
        await trio.sleep(1.6)
        return page

    store.watch = delayed_watch


def _reject_store_calls(node):
    """Makes the store reject a node's watches and reads."""

    async def refuse(*_):
        raise stores.StoreError("status 503", False)

    node.runtime.mirror.store.watch = refuse
    node.runtime.mirror.store.scan = refuse


async def _never(*_):
    await trio.sleep_forever()


async def _end(site, node):
    response = await site.call(node, "DELETE", names.BATCHES_PATH + "b1")
    return response.status, trio.current_time()


def _find_late_requests(site, ended_at):
    """Returns the requests that started too long after a batch's end."""
    return [r.request for r in site.runs if r.at > ended_at + MAX_CANCEL_S]


class OutdatedViewTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                f"{kind}_{make_outdated.__name__.strip('_')}",
                is_scored,
                make_outdated,
            )
            for kind, is_scored in (("items", False), ("scoring", True))
            for make_outdated in (_isolate, _compact_history)
        ]
    )
    @virtual.on_virtual_time
    async def test_node_with_outdated_view_sends_nothing_of_an_ended_batch(
        self, _, is_scored, make_outdated
    ):
        async with harness.launch(nodes=3) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 10 if is_scored else 60
            for name in ("p1", "p2"):
                site.servers[name].is_full = True
            runner = site.holder(DUTY)
            other = site.other(runner)
            await site.submit(other, items=120, scored=is_scored)
            await trio.sleep(1)
            make_outdated(site, runner)
            await trio.sleep(0.5)
            status, ended_at = await _end(site, other)
            self.assertEqual(status, 200)
            await trio.sleep(MAX_CANCEL_S)
            for name in ("p1", "p2"):
                site.servers[name].is_full = False
            await trio.sleep(6)
            self.assertEqual(_find_late_requests(site, ended_at), [])

    @virtual.on_virtual_time
    async def test_item_is_not_sent_if_its_batch_ends_while_connecting(self):
        async with harness.launch(nodes=1) as site:
            (node,) = site.nodes
            for name in ("e1", "e2"):
                site.servers[name].length = 200
            await site.submit(node, items=1)
            await trio.sleep(0.5)
            coordinator = node.runtime.services["engines"].coordinator
            (sample,) = coordinator.open_samples()
            generator = coordinator.generator
            coordinator.set_active(harness.MODEL, False)
            runs_before = len(site.runs)
            server = node.runtime.server_registry.servers["e1"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(generator.run, sample, server)
                await trio.sleep(0)
                sample.record.mark_ended()
            self.assertEqual(len(site.runs), runs_before)
            self.assertEqual(server.failures, 0)

    @virtual.on_virtual_time
    async def test_run_cancelled_before_its_task_starts_sends_nothing(self):
        async with harness.launch(nodes=1) as site:
            (node,) = site.nodes
            for name in ("e1", "e2"):
                site.servers[name].length = 200
            coordinator = node.runtime.services["engines"].coordinator
            await site.submit(node, items=1)
            coordinator.set_active(harness.MODEL, False)
            runs_before = len(site.runs)
            async with trio.open_nursery() as nursery:
                coordinator.set_active(harness.MODEL, True)
                coordinator.dispatch(nursery)
                (sample,) = coordinator.open_samples()
                self.assertEqual(sample.stage, samples.Stage.GENERATING)
                coordinator.set_active(harness.MODEL, False)
            self.assertEqual(len(site.runs), runs_before)

    @virtual.on_virtual_time
    async def test_outdated_peer_response_does_not_prove_a_store_outage(
        self,
    ):
        """Samples may run on while the store is unreachable for all nodes.

        A node that the store rejects asks another node, whose watch is late.
        That node's outdated response must not count as such an outage.
        """
        async with harness.launch(nodes=3) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 60
            leader = site.holder(DUTY)
            runner, third = [n for n in site.nodes if n is not leader]
            _delay_watch(site, leader)
            _reject_store_calls(runner)
            await site.submit(third, items=120, scored=False)
            await trio.sleep(2)
            status, ended_at = await _end(site, third)
            self.assertEqual(status, 200)
            while trio.current_time() < ended_at + 6:
                runner.runtime.models[DUTY].take_over(leader.name)
                await trio.sleep(0.1)
            self.assertEqual(_find_late_requests(site, ended_at), [])


class ReloadedBatchTest(unittest.TestCase):
    """A running batch that the cache has evicted and loaded again.

    The coordinator then holds a record that is no longer updated, and has to
    replace it by the new one.
    """

    async def _make_reloaded(self, site):
        """Returns a node that runs b1 and has loaded it again since."""
        holder = site.holder(DUTY)
        node = next(
            n
            for n in site.nodes
            if not n.runtime.models[DUTY].needs_batches()
            and not n.runtime.is_leader()
        )
        await site.submit(node)
        batch_cache = node.runtime.batch_cache
        batch_cache.last_read_at["b1"] -= maintenance.READ_TTL_S
        # Until the node's interest includes the model, the cache keeps the
        # batch only because it was read recently.
        node.runtime.models[DUTY].take_over(holder.name)
        before = batch_cache.records["b1"]
        with trio.move_on_after(0.01):
            await maintenance.CacheMaintainer(batch_cache, site.clock).run()
        await trio.sleep(0.5)
        self.assertIsNot(batch_cache.records["b1"], before)
        return node

    @virtual.on_virtual_time
    async def test_end_stops_the_items_of_a_reloaded_batch(self):
        async with harness.launch(nodes=8) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 300
            node = await self._make_reloaded(site)
            coordinator = node.runtime.services["engines"].coordinator
            self.assertEqual(len(coordinator.open_samples()), 4)
            response = await site.call(
                site.other(node), "DELETE", names.BATCHES_PATH + "b1"
            )
            self.assertEqual(response.status, 200)
            await trio.sleep(1)
            self.assertEqual([s.id for s in coordinator.open_samples()], [])

    @virtual.on_virtual_time
    async def test_texts_continue_in_a_reloaded_batch(self):
        async with harness.launch(nodes=8) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 60
            node = await self._make_reloaded(site)
            coordinator = node.runtime.services["engines"].coordinator
            texts = [len(s.events) for s in coordinator.open_samples()]
            self.assertGreater(min(texts), 15)
            used = {s.record for s in coordinator.open_samples()}
            self.assertEqual(used, {node.runtime.batch_cache.records["b1"]})
            results = await site.read_all(site.other(node))
            self.assertEqual(
                [r["text"] for r in results], [harness.text_of(60)] * 4
            )


class EndedBatchResultsTest(unittest.TestCase):
    """A node ends a batch before its mirror includes the batch's results."""

    @virtual.on_virtual_time
    async def test_node_with_outdated_view_returns_all_results_after_the_end(
        self,
    ):
        async with harness.launch(nodes=3) as site:
            runner = site.holder(DUTY)
            node, other = [n for n in site.nodes if n is not runner]
            await site.submit(other, items=4)
            status, _ = await site.read(node)
            self.assertEqual(status, 200)
            mirror = node.runtime.mirror
            mirror.follow = mirror.store.watch = _never
            mirror.restart_follow()
            results = await site.read_all(other)
            self.assertEqual(len(results), 4)
            status, _ = await _end(site, node)
            self.assertEqual(status, 200)
            await trio.sleep(1)
            status, page = await site.read(node)
            self.assertEqual((status, page["results"]), (200, results))


class DrainingTest(unittest.TestCase):
    """A node whose mirror has stopped does not learn that servers drain."""

    @virtual.on_virtual_time
    async def test_old_view_sends_no_calls_to_draining_servers(self):
        async with harness.launch(nodes=3) as site:
            (node, *_) = site.nodes
            mirror = node.runtime.mirror
            mirror.follow = mirror.store.watch = _never
            mirror.restart_follow()
            await trio.sleep(0.6)
            for name in ("p1", "p2"):
                site.servers[name].state = "draining"
                site.servers[name].register()
            drain_s = node.runtime.settings.bounds.drain_s
            drained_at = trio.current_time() + drain_s
            for number in range(25):
                await trio.sleep(0.2)
                await site.call(
                    node,
                    "GET",
                    f"{harness.CALL_PATH}{number}",
                    **{names.REQUEST_ID: f"r{number}"},
                )
            late = [r.request for r in site.runs if r.at > drained_at]
            self.assertEqual(late, [])
