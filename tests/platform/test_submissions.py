"""Responses to a submitted batch.

Guards against an invalid batch that is stored, and against a response that
contradicts the store: a batch reported as refused that runs nevertheless, or
reported as unknown while the store cannot be read.
"""

import unittest

import orjson
import parameterized
import trio

from kingcupscale.platform import names
from tests import virtual
from tests.platform import harness

ITEM = {"id": "a", "path": "/x", "body": ""}
BATCH = {"items": [ITEM]}
# Values that no field of a batch may have.
FOREIGN_VALUES = {
    "nested": b"[" * 1000 + b"]" * 1000,
    "huge": b"1e300",
    "beyond_64_bits": b"18446744073709551616",
    "null": b"null",
}


class SubmissionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("truncated", b'{"items":[', 422),
            ("not_a_map", b"[]", 422),
            ("no_items", b'{"items":[]}', 422),
            ("items_of_wrong_type", b'{"items":5}', 422),
            ("item_without_id", b'{"items":[{"path":"/x","body":""}]}', 422),
            (
                "bad_base64",
                b'{"items":[{"id":"a","path":"/x","body":"%%%"}]}',
                422,
            ),
            (
                "same_id_twice",
                orjson.dumps(
                    {
                        "items": [
                            {"id": "a", "path": "/x", "body": ""},
                            {"id": "a", "path": "/x", "body": ""},
                        ]
                    }
                ),
                422,
            ),
            (
                "headers_of_wrong_type",
                b'{"items":[{"id":"a","path":"/x","body":"",'
                b'"headers":{"a":1}}]}',
                422,
            ),
            (
                "header_value_with_a_line_end",
                orjson.dumps(
                    {"items": [{**ITEM, "headers": {"a": "b\r\nc: d"}}]}
                ),
                422,
            ),
            (
                "header_name_with_a_space",
                orjson.dumps({"items": [{**ITEM, "headers": {"a b": "c"}}]}),
                422,
            ),
            (
                "path_with_a_space",
                orjson.dumps({"items": [{**ITEM, "path": "/x HTTP/1.1"}]}),
                422,
            ),
            (
                "path_without_a_slash",
                orjson.dumps({"items": [{**ITEM, "path": "x"}]}),
                422,
            ),
            (
                "id_with_a_line_end",
                orjson.dumps({"items": [{**ITEM, "id": "a\nb"}]}),
                422,
            ),
            (
                "scorer_host_with_a_line_end",
                orjson.dumps(
                    {
                        "items": [
                            {
                                **ITEM,
                                "scorer": {
                                    "id": "s",
                                    "host": "h\nx: y",
                                    "path": "/s",
                                    "body": "",
                                },
                            }
                        ]
                    }
                ),
                422,
            ),
            *(
                (f"{name}_{kind}", orjson.dumps(BATCH | {name: "@"}), 422, raw)
                for name in ("step", "minVersion", "desired", "model")
                for kind, raw in FOREIGN_VALUES.items()
            ),
            *(
                (
                    f"item_{name}_{kind}",
                    orjson.dumps({"items": [ITEM | {name: "@"}]}),
                    422,
                    raw,
                )
                for name in ("tokens", "group")
                for kind, raw in FOREIGN_VALUES.items()
            ),
            (
                "scorer_without_path",
                b'{"items":[{"id":"a","path":"/x","body":"",'
                b'"scorer":{"id":"s","host":"h","body":""}}]}',
                422,
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_invalid_batch_is_rejected_and_not_stored(
        self, _, body, status, raw=b""
    ):
        body = body.replace(b'"@"', raw)
        async with harness.launch(nodes=1) as site:
            revision = site.store.revision
            response = await site.call(
                site.nodes[0],
                "POST",
                harness.BATCH_PATH + "b1",
                body,
                **{names.REQUEST_ID: "b1"},
            )
            self.assertEqual(response.status, status)
            error = orjson.loads(response.body)["error"]
            self.assertIsInstance(error["code"], int)
            keys = [k for k in site.store.items if "batches" in k]
            self.assertEqual(keys, [])
            del revision

    @parameterized.parameterized.expand(
        [
            (
                "unknown_field",
                b'{"items":[{"id":"a","path":"/train/x",'
                b'"body":"","new":1}],"later":2}',
            ),
        ]
    )
    @virtual.on_virtual_time
    async def test_unknown_fields_are_ignored(self, _, body):
        async with harness.launch(nodes=1) as site:
            response = await site.call(
                site.nodes[0],
                "POST",
                harness.BATCH_PATH + "b1",
                body,
                **{names.REQUEST_ID: "b1"},
            )
            self.assertEqual(response.status, 202)

    @virtual.on_virtual_time
    async def test_submission_waits_until_the_store_returns(self):
        async with trio.open_nursery() as nursery:
            site = harness.Site(nursery)
            await site.start()
            site.store.is_down = True

            async def restore_store():
                await trio.sleep(3)
                site.store.is_down = False

            nursery.start_soon(restore_store)
            response = await site.submit(site.nodes[0])
            self.assertEqual(response.status, 202)
            self.assertEqual(len(await site.read_all(site.nodes[1])), 4)
            nursery.cancel_scope.cancel()

    @virtual.on_virtual_time
    async def test_refused_batch_is_not_run_and_has_retry_after(self):
        async with harness.launch() as site:
            site.store.is_down = True
            response = await site.submit(site.nodes[0])
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            site.store.is_down = False
            await trio.sleep(10)
            self.assertEqual(site.runs, [])

    @virtual.on_virtual_time
    async def test_batch_that_may_be_stored_is_not_reported_refused(self):
        async with harness.launch() as site:
            site.store.drops_commit_responses = True
            response = await site.submit(site.nodes[0])
            self.assertIn(response.status, (500, 502, 504))
            site.store.drops_commit_responses = False
            self.assertEqual(len(await site.read_all(site.nodes[0])), 4)

    @parameterized.parameterized.expand(
        [
            ("other_organisation", {names.KEY: "key-of-two"}, "b1", 404),
            ("unknown_key", {names.KEY: "nobody"}, "b1", 401),
            ("unknown_batch", {}, "b9", 404),
        ]
    )
    @virtual.on_virtual_time
    async def test_batch_is_shown_to_its_organisation_only(
        self, _, headers, batch_id, status
    ):
        async with harness.launch() as site:
            await site.submit(site.nodes[0])
            for method in ("GET", "DELETE"):
                path = names.BATCHES_PATH + batch_id
                response = await site.call(
                    site.nodes[1], method, path, **headers
                )
                self.assertEqual(response.status, status)

    @virtual.on_virtual_time
    async def test_unknown_batch_without_the_store_is_not_a_404(self):
        async with harness.launch() as site:
            site.store.is_down = True
            status, _ = await site.read(site.nodes[0], "b9")
            self.assertEqual(status, 503)
