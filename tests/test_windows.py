"""Usage by window: counts are written whole, whoever writes when."""

import types
import unittest

import orjson
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.usage import windows
from tests import virtual


class LaggingStore:
    """Keeps what is written, after a while."""

    def __init__(self):
        self.values = {}
        self.writes = 0

    async def commit(self, transaction):
        self.writes += 1
        await trio.sleep(0.1)
        for put in transaction.puts:
            self.values[put.key] = orjson.loads(put.value)


class WindowCounterTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_last_counts_are_whole_though_two_write_at_once(self):
        store = LaggingStore()
        counter = windows.WindowCounter(
            types.SimpleNamespace(store=store),
            virtualtime.VirtualClock(),
            "n1",
            5.0,
        )
        counter.note_begun("one")
        await trio.sleep(6.1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.share)
            nursery.start_soon(counter.share, True)
        counter.note_begun("one")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.share, True)
            await trio.sleep(0.05)
            counter.note_begun("one")
        await trio.sleep(6.1)
        await counter.share()
        self.assertEqual(
            sorted(v["one"] for v in store.values.values()), [1, 2]
        )
        writes = store.writes
        await counter.share()
        self.assertEqual(store.writes, writes)
