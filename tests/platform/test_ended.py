"""Ended batches, and a node whose view of the store is older than the end."""

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
# Items and scoring calls of an ended batch may reach servers for this long.
CANCEL_S = 3.0


def _cut_off(site, node):
    """Keeps a node from the store and the other nodes, not from servers."""
    for other in ("store", *(n.name for n in site.nodes if n is not node)):
        site.network.cut(node.name, other)


def _lose_history(site, node):
    """Has a node lose the store's history; its readings come too late."""

    async def lose(prefix, after, wait_s):
        raise stores.HistoryLostError

    async def scan_too_late(prefix, after=""):
        await trio.sleep(0.8)
        raise stores.StoreError("no whole answer in time", True)

    node.runtime.mirror.store.watch = lose
    node.runtime.mirror.store.scan = scan_too_late


def _watch_late(site, node):
    """Has a node hear from the store with a delay of 1.6 s."""
    store = node.runtime.mirror.store
    watch = store.watch

    async def watch_late(prefix, after, wait_s):
        page = await watch(prefix, after, 0)
        await trio.sleep(1.6)
        return page

    store.watch = watch_late


def _turn_away(node):
    """Has the store answer none of a node's questions."""

    async def refuse(*_):
        raise stores.StoreError("status 503", False)

    node.runtime.mirror.store.watch = refuse
    node.runtime.mirror.store.scan = refuse


async def _never(*_):
    await trio.sleep_forever()


async def _end(site, node):
    response = await site.call(node, "DELETE", names.BATCHES_PATH + "b1")
    return response.status, trio.current_time()


def _late(site, ended_at):
    """Returns what began too long after the end, items and scoring calls."""
    return [r.request for r in site.runs if r.at > ended_at + CANCEL_S]


class OldViewTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{kind}_{blind.__name__.strip('_')}", is_scored, blind)
            for kind, is_scored in (("items", False), ("scoring", True))
            for blind in (_cut_off, _lose_history)
        ]
    )
    @virtual.on_virtual_time
    async def test_nothing_of_an_ended_batch_is_sent_by_an_old_view(
        self, _, is_scored, blind
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
            blind(site, runner)
            await trio.sleep(0.5)
            status, ended_at = await _end(site, other)
            self.assertEqual(status, 200)
            await trio.sleep(CANCEL_S)
            for name in ("p1", "p2"):
                site.servers[name].is_full = False
            await trio.sleep(6)
            self.assertEqual(_late(site, ended_at), [])

    @virtual.on_virtual_time
    async def test_item_is_kept_back_whose_batch_ends_while_it_connects(self):
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
            began = len(site.runs)
            server = node.runtime.server_registry.servers["e1"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(generator.run, sample, server)
                await trio.sleep(0)
                sample.record.mark_ended()
            self.assertEqual(len(site.runs), began)
            self.assertEqual(server.failures, 0)

    @virtual.on_virtual_time
    async def test_item_that_was_given_up_before_its_task_began_stays_so(self):
        async with harness.launch(nodes=1) as site:
            (node,) = site.nodes
            for name in ("e1", "e2"):
                site.servers[name].length = 200
            coordinator = node.runtime.services["engines"].coordinator
            await site.submit(node, items=1)
            coordinator.set_active(harness.MODEL, False)
            began = len(site.runs)
            async with trio.open_nursery() as nursery:
                coordinator.set_active(harness.MODEL, True)
                coordinator.dispatch(nursery)
                (sample,) = coordinator.open_samples()
                self.assertEqual(sample.stage, samples.Stage.GENERATING)
                coordinator.set_active(harness.MODEL, False)
            self.assertEqual(len(site.runs), began)

    @virtual.on_virtual_time
    async def test_old_answer_of_another_node_is_no_sign_of_a_silent_store(
        self,
    ):
        async with harness.launch(nodes=3) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 60
            leader = site.holder(DUTY)
            runner, third = [n for n in site.nodes if n is not leader]
            _watch_late(site, leader)
            _turn_away(runner)
            await site.submit(third, items=120, scored=False)
            await trio.sleep(2)
            status, ended_at = await _end(site, third)
            self.assertEqual(status, 200)
            while trio.current_time() < ended_at + 6:
                runner.runtime.models[DUTY].take_over(leader.name)
                await trio.sleep(0.1)
            self.assertEqual(_late(site, ended_at), [])


class LoadedAnewTest(unittest.TestCase):
    """A running batch that the book has let go of and loaded anew."""

    async def _make_loaded_anew(self, site):
        """Returns a node that runs b1, and has loaded it anew since."""
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
        # Until its interest is set, nothing but the read keeps the batch.
        node.runtime.models[DUTY].take_over(holder.name)
        before = batch_cache.records["b1"]
        with trio.move_on_after(0.01):
            await maintenance.CacheMaintainer(batch_cache, site.clock).run()
        await trio.sleep(0.5)
        self.assertIsNot(batch_cache.records["b1"], before)
        return node

    @virtual.on_virtual_time
    async def test_end_reaches_the_items_of_a_batch_loaded_anew(self):
        async with harness.launch(nodes=8) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 300
            node = await self._make_loaded_anew(site)
            coordinator = node.runtime.services["engines"].coordinator
            self.assertEqual(len(coordinator.open_samples()), 4)
            response = await site.call(
                site.other(node), "DELETE", names.BATCHES_PATH + "b1"
            )
            self.assertEqual(response.status, 200)
            await trio.sleep(1)
            self.assertEqual([s.id for s in coordinator.open_samples()], [])

    @virtual.on_virtual_time
    async def test_texts_go_on_in_a_batch_loaded_anew(self):
        async with harness.launch(nodes=8) as site:
            for name in ("e1", "e2"):
                site.servers[name].length = 60
            node = await self._make_loaded_anew(site)
            coordinator = node.runtime.services["engines"].coordinator
            texts = [len(s.events) for s in coordinator.open_samples()]
            self.assertGreater(min(texts), 15)
            held = {s.record for s in coordinator.open_samples()}
            self.assertEqual(held, {node.runtime.batch_cache.records["b1"]})
            results = await site.read_all(site.other(node))
            self.assertEqual(
                [r["text"] for r in results], [harness.text_of(60)] * 4
            )


class EndedPageTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_node_that_ended_a_batch_by_an_old_view_shows_all_results(
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
