"""Ended batches, and a node whose view of the store is older than the end."""

import unittest

import parameterized
import trio

from kingcupscale.platform import names
from kingcupscale.storage import store as stores
from tests import virtual
from tests.platform import standin

DUTY = f"engines/{standin.MODEL}"
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

    node.runtime.feed.store.watch = lose
    node.runtime.feed.store.scan = scan_too_late


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
        async with standin.opened(nodes=3) as site:
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
        async with standin.opened(nodes=1) as site:
            (node,) = site.nodes
            for name in ("e1", "e2"):
                site.servers[name].length = 200
            await site.submit(node, items=1)
            await trio.sleep(0.5)
            coordinator = node.runtime.services["engines"].coordinator
            (sample,) = coordinator.open_samples()
            generator = coordinator.generator
            coordinator.set_active(standin.MODEL, False)
            began = len(site.runs)
            server = node.runtime.roster.servers["e1"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(generator.run, sample, server)
                await trio.sleep(0)
                sample.record.note_ended()
            self.assertEqual(len(site.runs), began)
            self.assertEqual(server.failures, 0)
