"""Entries of other writers among those of the backend servers.

Such an entry must name no server, and must end or stop no node, whatever it
contains.
"""

import random
import unittest
from unittest import mock

import httpcore
import orjson
import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import registry
from kingcupscale.platform import documents
from kingcupscale.platform import names
from kingcupscale.platform import servers
from kingcupscale.storage import decoding
from kingcupscale.storage import store as stores
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests import virtual
from tests.platform import harness

ENTRY = {
    "service": "engines",
    "address": "127.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1,
    "models": [{"name": harness.MODEL, "version": 1, "adapters": []}],
}
# Deeper than Python represents as text, but not too deep for a JSON parser.
NESTED = b"[" * 1000 + b"]" * 1000
TOO_DEEP = b"[" * 5000 + b"]" * 5000
# An invalid cold time does not make an entry invalid.
COLD_FIELD = "coldRemainingMs"
FIELDS = tuple(name for name in ENTRY if name != COLD_FIELD)
ADDRESSES = (
    "::1:9",
    "[::1:8080",
    "127.0.0.9",
    "127.0.0.9:0",
    "127.0.0.9:65536",
    "127.0.0.9:" + "9" * 5000,
    "127.0.0.9:80:81",
    "127.0.0.9:\uff18\uff10",
    "127.0.0.9:80\r\nx: y",
    "127..9:80",
    "h\u00f6st:80",
    "host name:80",
    ":80",
    "",
)
NUMBERS = (b"18446744073709551616", b"1e300", b"1e999", b"-1", b"1.5", b'"1"')


def with_raw(name, raw):
    """Returns the entry with one field's value given as raw JSON."""
    return orjson.dumps(ENTRY | {name: "@"}).replace(b'"@"', raw)


def without(name):
    return orjson.dumps({k: v for k, v in ENTRY.items() if k != name})


def make_models(raw):
    return b'[{"name":"alpha","adapters":[],"version":' + raw + b"}]"


VALUES = {
    "empty": b"",
    "bytes": b"\x00\xff\xfe",
    "number": b"7",
    "nested": NESTED,
    "too_deep": TOO_DEEP,
    "unknown_state": with_raw("state", b'"asleep"'),
    **{f"nested_{name}": with_raw(name, NESTED) for name in FIELDS},
    **{f"null_{name}": with_raw(name, b"null") for name in FIELDS},
    **{
        f"without_{name}": without(name)
        for name in FIELDS
        if name not in ("born", "models")
    },
    **{
        f"{name}_{number.decode()}": with_raw(name, number)
        for name in ("slots", "sequence", "born")
        for number in NUMBERS
    },
    **{
        f"model_version_{number.decode()}": with_raw(
            "models", make_models(number)
        )
        for number in NUMBERS
    },
    **{
        f"address_{number}": orjson.dumps(ENTRY | {"address": address})
        for number, address in enumerate(ADDRESSES)
    },
}


def decode(key, value):
    server_id = key.removeprefix(names.SERVERS_PREFIX)
    return decoding.decode_entry(
        stores.Entry(key, value, 1),
        lambda found: documents.decode_server(server_id, found),
    )


class DecodingTest(unittest.TestCase):
    @parameterized.parameterized.expand(list(VALUES.items()))
    def test_foreign_entry_names_no_server(self, _, value):
        self.assertIsNone(decode(names.SERVERS_PREFIX + "x", value))

    @parameterized.parameterized.expand(
        [("empty", ""), ("space", "a b"), ("other", "\u00f6"), ("line", "a\n")]
    )
    def test_foreign_key_names_no_server(self, _, server_id):
        key = names.SERVERS_PREFIX + server_id
        self.assertIsNone(decode(key, orjson.dumps(ENTRY)))

    def test_entry_of_a_server_is_decoded(self):
        found = decode(names.SERVERS_PREFIX + "i-1", orjson.dumps(ENTRY))
        self.assertEqual(found.address, "127.0.0.9:80")
        self.assertEqual(found.versions, {harness.MODEL: 1})

    @parameterized.parameterized.expand(
        [
            ("absent", without(COLD_FIELD), 0.0),
            ("null", with_raw(COLD_FIELD, b"null"), 0.0),
            ("nested", with_raw(COLD_FIELD, NESTED), 0.0),
            ("text", with_raw(COLD_FIELD, b'"5000"'), 0.0),
            ("flag", with_raw(COLD_FIELD, b"true"), 0.0),
            ("negative", with_raw(COLD_FIELD, b"-1"), 0.0),
            ("fraction", with_raw(COLD_FIELD, b"1500.5"), 3.5005),
            ("a_day", with_raw(COLD_FIELD, b"86400000"), 10.0),
            ("huge", with_raw(COLD_FIELD, b"1e300"), 10.0),
            ("64_bits", with_raw(COLD_FIELD, b"18446744073709551616"), 10.0),
        ]
    )
    def test_invalid_cold_time_loses_no_server(self, _, value, until):
        clock = virtualtime.VirtualClock()
        found = decode(names.SERVERS_PREFIX + "x", value)
        servers_known = registry.ServerRegistry(
            clock, lambda: 0.0, lambda: False
        )

        async def register():
            for _ in range(3):
                servers_known.register(found)
                await trio.sleep(1)

        # The entry is read at 0, 1 and 2 s; the cold period lasts 10 s at most.
        virtualtime.run(register)
        found_until = servers_known.servers["x"].cold.cold_until(10.0, None)
        self.assertAlmostEqual(max(found_until, 0.0), until)

    @parameterized.parameterized.expand(
        [("nested", NESTED), ("huge", b"1e300"), ("superscript", b'"\xc2\xb2"')]
    )
    def test_foreign_target_version_is_ignored(self, _, raw):
        value = b'{"model":"alpha","version":' + raw + b"}"
        entry = stores.Entry(names.VERSIONS_PREFIX + "alpha", value, 1)
        self.assertIsNone(
            decoding.decode_entry(entry, documents.decode_target_version)
        )


class RefusingBackend(httpcore.AsyncNetworkBackend):
    """Opens no connection, so that requests to any address can be tested."""

    async def connect_tcp(self, host, port, **options):
        raise httpcore.ConnectError("refused")


class AddressTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            *(
                (f"refused_{number}", address, RefusingBackend())
                for number, address in enumerate(ADDRESSES)
            ),
            ("unencodable_name", "127..9:80", None),
        ]
    )
    def test_unusable_address_fails_only_its_request(self, _, address, backend):
        async def main():
            client = httpclient.PooledHttpClient(backend=backend)
            request = message.Request("GET", "/report", "", {"host": "x"})
            with trio.fail_after(10):
                with self.assertRaises(httpclient.RequestError):
                    await httpclient.fetch(client, address, request, 0.5)
                await client.aclose()

        trio.run(main)


class NodeTest(unittest.TestCase):
    async def _load_and_run(self, site):
        """Has the engines load weights, then runs a batch on them."""
        site.set_target_version(2)
        await trio.sleep(4)
        node = site.nodes[0]
        self.assertEqual((await site.submit(node, minimum=2)).status, 202)
        results = await site.read_all(node)
        self.assertEqual([r["versions"] for r in results], [[2]] * 4)

    @virtual.on_virtual_time
    async def test_foreign_entries_end_no_node(self):
        async with harness.launch(nodes=2) as site:
            for name, value in VALUES.items():
                site.store.put(f"{names.SERVERS_PREFIX}x-{name}", value)
            await self._load_and_run(site)

    @virtual.on_virtual_time
    async def test_node_that_starts_with_foreign_entries_serves(self):
        async with harness.launch(nodes=2, is_started=False) as site:
            for name, value in VALUES.items():
                site.store.put(f"{names.SERVERS_PREFIX}x-{name}", value)
            await site.start()
            await self._load_and_run(site)

    @virtual.on_virtual_time
    async def test_random_entries_end_no_node(self):
        rng = random.Random(7)
        whole = orjson.dumps(ENTRY)
        async with harness.launch(nodes=2) as site:
            for number in range(300):
                spoiled = bytearray(whole)
                for _ in range(rng.randint(1, 4)):
                    spoiled[rng.randrange(len(whole))] = rng.randrange(256)
                key = f"{names.SERVERS_PREFIX}x-{number}"
                site.store.put(key, bytes(spoiled))
                site.store.remove(key)
            await self._load_and_run(site)

    @virtual.on_virtual_time
    async def test_error_of_one_load_ends_no_node(self):
        order = servers.PlatformServers.order

        async def fail_for_one(client, server, load_order):
            if server.id == "e1":
                raise ValueError("an unexpected error")
            return await order(client, server, load_order)

        async with harness.launch(nodes=2) as site:
            with mock.patch.object(
                servers.PlatformServers, "order", fail_for_one
            ):
                await self._load_and_run(site)


class ReportTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("nested", with_raw("sequence", NESTED)),
            ("huge", with_raw("sequence", b"1e300")),
            ("list", b"[]"),
            ("too_deep", TOO_DEEP),
        ]
    )
    @virtual.on_virtual_time
    async def test_foreign_report_ends_no_node(self, _, body):
        async with harness.launch(nodes=2) as site:
            spoiled = site.servers["e1"]
            handle = spoiled.handle

            async def report(request):
                if request.path == "/report":
                    return message.Response(200, {}, body)
                return await handle(request)

            spoiled.handle = report
            site.set_target_version(2)
            await trio.sleep(6)
            node = site.nodes[0]
            self.assertEqual((await site.submit(node, minimum=2)).status, 202)
            self.assertEqual(len(await site.read_all(node)), 4)


# Digits by ``str.isdigit`` that ``int`` refuses, and one that is too long.
FOREIGN_NUMBERS = (("superscript", "\u00b2"), ("long", "9" * 5000))


class HeaderTest(unittest.TestCase):
    @parameterized.parameterized.expand(FOREIGN_NUMBERS)
    @virtual.on_virtual_time
    async def test_foreign_number_of_a_server_fails_no_call(self, _, number):
        async with harness.launch(nodes=1) as site:
            for server in site.servers.values():
                server.response_headers = add_headers(
                    server.response_headers,
                    {
                        names.SERVER_LOAD: f"{number},0,4",
                        names.WEIGHT_VERSION: number,
                    },
                )
            status = await self._call(site)
            self.assertEqual(status, 200)

    @parameterized.parameterized.expand(FOREIGN_NUMBERS)
    @virtual.on_virtual_time
    async def test_foreign_number_of_a_caller_fails_no_call(self, _, number):
        async with harness.launch(nodes=1) as site:
            status = await self._call(
                site, **{names.DEADLINE_MS: number, names.RESUME_AFTER: number}
            )
            self.assertEqual(status, 200)

    async def _call(self, site, **headers):
        response = await site.call(
            site.nodes[0],
            "POST",
            harness.CALL_PATH + "1",
            b"?",
            **{names.REQUEST_ID: "q1", names.DEADLINE_MS: "2000"} | headers,
        )
        return response.status


def add_headers(make_headers, added):
    return lambda request: make_headers(request) | added


class DecoderErrorTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (kind.__name__, kind)
            for kind in (
                RecursionError,
                OverflowError,
                AttributeError,
                KeyError,
            )
        ]
    )
    def test_any_error_of_a_decoder_leaves_the_entry_out(self, _, kind):
        def fail(value):
            raise kind("unreadable")

        entry = stores.Entry("servers/x", b"{}", 1)
        self.assertIsNone(decoding.decode_entry(entry, fail))
