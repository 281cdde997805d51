"""Random heads, chunks and JSON bodies end no listener and fail no request."""

import unittest

import hypothesis
from hypothesis import strategies
import orjson

from kingcupscale.platform import process
from tests.hostile import fuzzsite
from tests.platform import harness

EXAMPLES = 120
fuzz = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=EXAMPLES,
    suppress_health_check=list(hypothesis.HealthCheck),
)
LISTENERS = strategies.sampled_from(
    [process.CALLERS, process.PEERS, process.METRICS]
)
PATHS = {
    process.CALLERS: [
        "/train/b1",
        "/quote/1",
        "/score/1",
        "/lots/b1?after=1",
        "/items/b1?id=2",
    ],
    process.PEERS: [
        "/commit",
        "/texts",
        "/counts",
        "/loads",
        "/relay",
        "/relay-copy",
        "/alive",
    ],
    process.METRICS: ["/metrics"],
}
TARGETS = [(name, path) for name in PATHS for path in PATHS[name]]
TOKENS = strategies.sampled_from(
    [b"GET", b"POST", b"PRI", b"*", b"/", b"/lots/b1", b"HTTP/1.1", b"HTTP/2.0"]
    + [b"HTTP/1.0", b" ", b"\r\n", b"\n", b":", b"\x00", b"\xff", b"a" * 9000]
    + [b"content-length: 5", b"content-length: -1", b"upgrade: websocket"]
    + [b"transfer-encoding: chunked", b"connection: upgrade", b"upgrade: h2c"]
    + [b"expect: 100-continue", b"http2-settings: AAA", b"host: a", b"SM"]
    + [b"sec-websocket-version: 13", b"content-length: 9" + b"9" * 30]
)
HEADERS = strategies.tuples(
    strategies.sampled_from(
        [
            "x-kingcupscale-deadline-ms",
            "x-kingcupscale-wait-ms",
            "last-event-id",
        ]
        + ["x-kingcupscale-length-hint", "x-kingcupscale-model", "x-other"]
        + ["content-type", "host", "api-key", "expect", "upgrade"]
    ),
    strategies.one_of(
        strategies.sampled_from(["", "0", "-1", "1e9", "nan", "9" * 40, "²"]),
        strategies.text(max_size=20),
    ),
)
SIZES = strategies.one_of(
    strategies.integers(0, 70_000).map(lambda n: b"%x" % n),
    strategies.sampled_from(
        [
            b"",
            b"-1",
            b"zz",
            b"f" * 8,
            b"f" * 20,
            b"f" * 21,
            b"1;a=b",
            b" 1",
            b"+1",
        ]
    ),
)
CHUNKS = strategies.lists(
    strategies.tuples(
        SIZES,
        strategies.sampled_from([b"\r\n", b"\n", b"", b"\r\n\r\n"]),
        strategies.binary(max_size=40),
        strategies.booleans(),
    ),
    max_size=8,
)
FIELDS = strategies.sampled_from(
    ["items", "id", "path", "headers", "body", "scorer", "tokens", "group"]
    + ["step", "model", "minVersion", "desired", "expected", "puts", "key"]
    + ["value", "service", "texts", "events", "node", "windows", "server"]
    + ["version", "log", "number", "revision", "everything", "models"]
    + ["batches", "batch", "sender", "is_last", "item", "conditions"]
    + ["removals", "lease", "closed_s", "loading_s", "batch_id", "before"]
)
LEAVES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**53), 2**53),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.sampled_from(["", "b1", "AAAA", "/train/x", "engines", "alpha"]),
    strategies.text(max_size=8),
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(FIELDS, inner, max_size=6),
    ),
    max_leaves=20,
)
# Valid messages, of which the fuzz changes a field.
TEMPLATES = {
    "/train/b1": orjson.loads(harness.make_batch("b1")),
    "/texts": {"service": "engines", "texts": [], "model": "alpha"},
    "/counts": {"node": "n2", "windows": {"1": {"one": 2}}},
    "/loads": {"server": "e1", "model": "alpha", "version": 2},
    "/relay": {"log": "", "number": 0, "revision": 0, "everything": True}
    | {"models": [], "batches": []},
    "/relay-copy": {"batch": "b1"},
    "/commit": {"conditions": [], "puts": [], "removals": []},
}


def make_request(path, body, headers=(), framing=None):
    lines = [f"POST {path} HTTP/1.1"]
    fields = {
        "host": harness.HOST,
        "api-key": harness.KEY,
        "x-kingcupscale-request-id": "r1",
        "x-kingcupscale-deadline-ms": "300",
        "connection": "close",
        **dict(headers),
    }
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(lines).encode("utf-8", "ignore")
    framing = framing or b"content-length: %d" % len(body)
    return head + b"\r\n" + framing + b"\r\n\r\n" + body


class FuzzTest(unittest.TestCase):
    """Guards against input that ends a listener or fails with code 1901."""

    @classmethod
    def setUpClass(cls):
        cls.site = fuzzsite.FuzzSite()
        cls.site.start()
        cls.addClassCleanup(cls.site.stop)

    def exchange(self, listener, data, is_complete=False):
        self.site.failures.clear()
        self.site.exchange(listener, data, is_complete)
        self.site.check(listener)

    def test_metrics_show_memory_and_connections_of_clients(self):
        request = (
            b"GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        text = self.site.exchange(process.METRICS, request, True).decode()
        for row in (
            "kingcupscale_request_bytes_held ",
            'kingcupscale_requests_refused_total{reason="no_memory"} 0',
            'kingcupscale_connections_open{listener="metrics"} 1',
            'kingcupscale_connections_closed_total{reason="idle"} ',
        ):
            self.assertIn(row, text)

    @fuzz
    @hypothesis.given(LISTENERS, strategies.lists(TOKENS, max_size=14))
    def test_heads(self, listener, tokens):
        self.exchange(listener, b" ".join(tokens) + b"\r\n\r\n")

    @fuzz
    @hypothesis.given(
        strategies.sampled_from(TARGETS),
        strategies.lists(HEADERS, max_size=4),
    )
    def test_headers(self, target, headers):
        listener, path = target
        self.exchange(listener, make_request(path, b"{}", headers))

    @fuzz
    @hypothesis.given(strategies.sampled_from(TARGETS), CHUNKS)
    def test_chunks(self, target, chunks):
        listener, path = target
        body = b"".join(
            size + end + data + (b"\r\n" if is_ended else b"")
            for size, end, data, is_ended in chunks
        )
        framing = b"transfer-encoding: chunked"
        self.exchange(listener, make_request(path, body, (), framing))

    # Ended with an internal error, as a message that is not an object.
    @hypothesis.example((process.PEERS, "/commit"), None)
    @fuzz
    @hypothesis.given(strategies.sampled_from(TARGETS), VALUES)
    def test_json_bodies(self, target, value):
        listener, path = target
        self.exchange(listener, make_request(path, orjson.dumps(value)), True)

    @fuzz
    @hypothesis.given(
        strategies.sampled_from(sorted(TEMPLATES)),
        strategies.dictionaries(FIELDS, VALUES, max_size=2),
        strategies.integers(0, 3),
    )
    def test_changed_messages(self, path, changes, position):
        value = orjson.loads(orjson.dumps(TEMPLATES[path]))
        target = value
        if path == "/train/b1" and position:
            target = value["items"][position]
        target.update(changes)
        listener = process.CALLERS if path == "/train/b1" else process.PEERS
        self.exchange(listener, make_request(path, orjson.dumps(value)), True)

    # Ended with an internal error, as a message that is not an object.
    @hypothesis.example((process.PEERS, "/commit"), b"0")
    @fuzz
    @hypothesis.given(
        strategies.sampled_from(TARGETS), strategies.binary(max_size=60)
    )
    def test_bodies_that_are_not_json(self, target, body):
        listener, path = target
        self.exchange(listener, make_request(path, body), True)
