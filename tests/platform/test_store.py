"""Invalid responses of the platform's store."""

import contextlib
import unittest

import parameterized
import trio

from kingcupscale.platform import store
from kingcupscale.storage import store as stores
from kingcupscale.web import message


class ConstantClient:
    """An HTTP client that returns the same response to every call."""

    def __init__(self, status, body):
        self.response = message.Response(status, {}, body)

    @contextlib.asynccontextmanager
    async def open(self, address, request, timeout_s):
        yield self.response


CALLS = {
    "get": lambda s: s.get("k"),
    "scan": lambda s: s.scan("p"),
    "watch": lambda s: s.watch("p", 1, 0.5),
    "commit": lambda s: s.commit(stores.Transaction()),
    "grant": lambda s: s.grant(2.0),
}
BODIES = {
    "nothing": b"",
    "truncated": b'{"asOf": 1',
    "not_an_object": b"[]",
    "no_fields": b"{}",
    "text_for_number": b'{"asOf":"x","revision":"x","lease":"x","items":[]}',
    "number_for_list": b'{"asOf":1,"items":7,"events":7}',
    "entry_without_value": b'{"asOf":1,"items":[{}],"events":[{}]}',
}


class AnswerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(f"{c}_{b}", c, b) for c in CALLS for b in BODIES]
    )
    def test_unreadable_answer_has_unknown_outcome(self, _, call, body):
        async def call_store():
            client = store.PlatformStore(
                ConstantClient(200, BODIES[body]), "x:1"
            )
            return await CALLS[call](client)

        with self.assertRaises(stores.StoreError) as caught:
            trio.run(call_store)
        self.assertTrue(caught.exception.may_have_run)
