"""Decoding of documents that come from trainers."""

import unittest

import orjson
import parameterized

from kingcupscale.fleet import catalogue
from kingcupscale.platform import documents
from kingcupscale.platform import names

ROUTE = catalogue.Route(
    name="train",
    host="h",
    path_prefix="/train/",
    kind=catalogue.RouteKind.BATCH,
    shares=(catalogue.Share("engines", 1.0),),
    timeout_s=10.0,
    target_latency_s=0.4,
    priority=1,
    max_attempts=3,
)


class ItemTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("organisation", names.ORGANISATION, False),
            ("organisation_in_capitals", names.ORGANISATION.upper(), False),
            ("key", names.KEY, False),
            ("resumption", names.RESUME_AFTER, False),
            ("connection", "Transfer-Encoding", False),
            ("length", "Content-Length", False),
            ("model", names.MODEL, True),
            ("other", "X-Anything", True),
        ]
    )
    def test_headers_reserved_for_nodes_are_dropped(self, _, name, is_kept):
        item = {"id": "a", "path": "/x", "body": "", "headers": {name: "1"}}
        body = orjson.dumps({"items": [item]})
        (made,) = documents.decode_batch("b", "o", ROUTE, body).items
        self.assertEqual(name.lower() in made.headers, is_kept)
