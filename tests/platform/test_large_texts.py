"""Texts whose characters take several bytes.

The limits of the store and of a response are in bytes. A write of results that
exceeds them is refused each time, so that the results never get listed.
"""

import unittest

import orjson
import parameterized
import trio

from tests import virtual
from tests.platform import harness

EVENTS = 4
ITEMS = 8
# By kind, the data of one event: letters of one and of three bytes, and
# characters that JSON escapes.
DATA = {
    "latin": "a" * 20_000,
    "sinhala": "\u0d9a" * 15_000,
    "quotes": '"' * 20_000,
    "controls": "\x01" * 10_000,
}


def write_text(server, data):
    """Has a server generate a text of some events with the same data."""

    async def stream(run):
        first = (run.resumed_after or 0) + 1
        for number in range(first, EVENTS + 1):
            await trio.sleep(server.event_s)
            yield f"id: {number}\ndata: {data}\n\n".encode()

    server.stream = stream


class LargeTextTest(unittest.TestCase):
    @parameterized.parameterized.expand(list(DATA.items()))
    @virtual.on_virtual_time
    async def test_results_that_pile_up_are_listed(self, _, data):
        async with harness.launch() as site:
            for server in site.servers.values():
                if server.service == "engines":
                    write_text(server, data)
            node = site.holder()
            response = await site.submit(node, items=ITEMS, scored=False)
            self.assertEqual(response.status, 202)
            site.store.is_down = True
            await trio.sleep(3)
            site.store.is_down = False
            results = await site.read_all(node)
            text = "\n".join([data] * EVENTS)
            self.assertEqual([r["text"] for r in results], [text] * ITEMS)

    @parameterized.parameterized.expand(list(DATA.items()))
    @virtual.on_virtual_time
    async def test_page_of_results_is_within_its_limit(self, _, data):
        async with harness.launch() as site:
            for server in site.servers.values():
                if server.service == "engines":
                    write_text(server, data)
            node = site.holder()
            await site.submit(node, items=ITEMS, scored=False)
            self.assertEqual(len(await site.read_all(node)), ITEMS)
            _, page = await site.read(node)
            self.assertGreater(len(page["results"]), 0)
            self.assertLessEqual(len(orjson.dumps(page)), 1_000_000)
