"""Requests from callers to engines and plain services.

Guards against refused requests that ran, incomplete or mixed-up responses, and
non-idempotent calls that run twice, when servers or responses fail.
"""

import unittest

import orjson
import parameterized
import trio

from kingcupscale import errors
from kingcupscale.configuration import document
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import faults
from kingcupscale.fakes import judge
from kingcupscale.fakes import service as fake_service
from kingcupscale.fakes import virtualtime
from kingcupscale.serving import retrybudget
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests import virtual

ONE_NODE = clusters.ClusterSettings(nodes=1, trainers=0, organisations=2)
QUOTES = "/services/shop-app/quotes"


async def send(cluster, request, key=None, node="node-1"):
    if key is not None:
        request.headers["authorization"] = f"Bearer {key}"
    return await httpclient.fetch(
        cluster.http_client, f"{node}:callers", request, 60
    )


def read_error(response):
    return orjson.loads(response.body)["error"]


def executions(cluster):
    fakes = cluster.world.services.values()
    return [e for fake in fakes for e in fake.executions]


class RefusalTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("no key", {}, b"{}", errors.ResultCode.KEY_MISSING),
            (
                "unknown key",
                {"authorization": "Bearer kc.nobody.x"},
                b"{}",
                errors.ResultCode.KEY_REFUSED,
            ),
            (
                "truncated",
                "key",
                b'{"model": ',
                errors.ResultCode.BODY_MALFORMED,
            ),
            (
                "bad UTF-8",
                "key",
                b'{"a": "\xff"}',
                errors.ResultCode.BODY_MALFORMED,
            ),
            ("a list", "key", b"[]", errors.ResultCode.BODY_INVALID),
            (
                "wrong type",
                "key",
                b'{"model": "plume-llm", "prompt": 5}',
                errors.ResultCode.BODY_INVALID,
            ),
            (
                "unknown field",
                "key",
                b'{"model": "plume-llm", "prompt": "x", "colour": 1}',
                errors.ResultCode.BODY_INVALID,
            ),
            (
                "unknown model",
                "key",
                b'{"model": "gpt", "prompt": "x"}',
                errors.ResultCode.ROUTE_UNKNOWN,
            ),
            (
                "too many tokens",
                "key",
                b'{"model": "plume-llm", "prompt": "x", "max_tokens": 99999}',
                errors.ResultCode.BODY_INVALID,
            ),
        ]
    )
    def test_bad_request_is_refused_and_not_run(self, _, headers, body, code):
        async def main():
            async with clusters.running(ONE_NODE) as cluster:
                key = cluster.issued[0].text if headers == "key" else None
                request = message.Request(
                    "POST",
                    "/v1/completions",
                    "",
                    {} if key else dict(headers),
                    body,
                )
                response = await send(cluster, request, key)
                error = read_error(response)
                self.assertEqual(response.status, code.status)
                self.assertEqual(error["code"], code.number)
                self.assertEqual(error["run"], "not_run")

        virtualtime.run(main)

    @parameterized.parameterized.expand(
        [
            ("body", QUOTES, "", True),
            ("query", QUOTES, "k={}", False),
            ("path", "/services/shop-app/{}", "", False),
        ]
    )
    def test_key_in_forwarded_data_is_refused(self, _, path, query, in_body):
        async def main():
            async with clusters.running(ONE_NODE) as cluster:
                key = cluster.issued[0].text
                request = message.Request(
                    "POST",
                    path.format(key),
                    query.format(key),
                    {},
                    key.encode() if in_body else b"",
                )
                response = await send(cluster, request, key)
                self.assertEqual(read_error(response)["code"], 1104)
                self.assertEqual(executions(cluster), [])

        virtualtime.run(main)

    @virtual.on_virtual_time
    async def test_open_route_needs_no_key_and_other_paths_are_unknown(self):
        async with clusters.running(ONE_NODE) as cluster:
            route = {
                "service": "shop-app",
                "path": "/catalogue",
                "organisation": "customer-2",
                "service_class": "internal",
            }
            await cluster.operator("node-1").apply(
                {"open_routes": {"catalogue": route}}, "test"
            )
            statuses = []
            for path in (
                "/open/shop-app/catalogue/1",
                "/open/shop-app/quotes",
                "/open/shop-app/catalogue/../quotes",
                "/open/shop-app/catalogue/%2e%2e/quotes",
                "/open/shop-app/catalogues",
            ):
                request = message.Request("GET", path)
                statuses.append((await send(cluster, request)).status)
            self.assertEqual(statuses, [200, 404, 404, 404, 404])
            labels = {e.organisation for e in executions(cluster)}
            self.assertEqual(labels, {"org-customer-2"})

    @virtual.on_virtual_time
    async def test_chat_stream_has_several_chunks_and_an_end_event(self):
        async with clusters.running(ONE_NODE) as cluster:
            body = {
                "model": "plume-llm",
                "messages": [{"role": "user", "content": "price of oak"}],
                "max_tokens": 12,
            }
            answers = []
            for is_stream in (False, True):
                request = message.json_request(
                    "/v1/chat/completions", {**body, "stream": is_stream}
                )
                key = cluster.issued[0].text
                answers.append((await send(cluster, request, key)).body)
            *events, done = answers[1].removesuffix(b"\n\n").split(b"\n\n")
            self.assertEqual(done, b"data: [DONE]")
            choices = [
                orjson.loads(event.removeprefix(b"data: "))["choices"][0]
                for event in events
            ]
            deltas = [choice["delta"] for choice in choices]
            self.assertGreaterEqual(len(deltas), 4)
            self.assertEqual(deltas[0]["role"], "assistant")
            self.assertEqual(deltas[-1], {})
            reasons = [choice["finish_reason"] for choice in choices]
            self.assertEqual(reasons, [None] * (len(reasons) - 1) + ["stop"])
            full = orjson.loads(answers[0])["choices"][0]["message"]
            text = "".join(delta.get("content", "") for delta in deltas)
            self.assertEqual(text, full["content"])

    @virtual.on_virtual_time
    async def test_streams_of_an_organisation_are_limited(self):
        size = clusters.ClusterSettings(nodes=1, trainers=0)
        async with clusters.running(size) as cluster:
            limited = dict(cluster.tables["organisations"])
            limited["customer-1"] = {"label": "org-customer-1", "streams": 1}
            await cluster.operator("node-1").apply(
                {"organisations": limited}, "test"
            )
            for engine in cluster.world.engines.values():
                engine.settings.stream_tokens_per_s = 2
            codes = []

            async def call():
                body = {"model": "plume-llm", "prompt": "x", "max_tokens": 8}
                request = message.json_request("/v1/completions", body)
                response = await send(cluster, request, cluster.issued[0].text)
                codes.append(response.status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                nursery.start_soon(call)
            self.assertEqual(sorted(codes), [200, 429])


class PlainCallTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (faults.Fault.ERROR_BEFORE, 200, "", 1),
            (faults.Fault.ANSWER_LOST, 502, "unknown", 1),
            (faults.Fault.ANSWER_CROSSED, 502, "unknown", 1),
            (faults.Fault.REQUEST_LATE, 502, "unknown", 1),
        ]
    )
    def test_non_idempotent_call_runs_once(self, fault, status, run, runs):
        async def main():
            place = ("node-1", "POST /quotes", 0)
            plan = faults.FaultPlan({place: fault})
            async with clusters.running(ONE_NODE, plan) as cluster:
                answer = await cluster.caller(0).quote()
                await trio.sleep(15)
                self.assertEqual((answer.status, answer.run), (status, run))
                self.assertEqual(len(executions(cluster)), runs)

        virtualtime.run(main)

    @parameterized.parameterized.expand([(fault,) for fault in faults.Fault])
    def test_retries_with_a_key_on_several_nodes_run_once(self, fault):
        async def main():
            place = ("node-1", "POST /quotes", 0)
            plan = faults.FaultPlan({place: fault})
            size = clusters.ClusterSettings(trainers=0)
            async with clusters.running(size, plan) as cluster:
                cluster.balancer.turns = iter(range(100))
                await cluster.caller(0).quote("one")
                await trio.sleep(60)
                self.assertLessEqual(len(executions(cluster)), 1)
                self.assertEqual(cluster.broken(), [])

        virtualtime.run(main)

    @virtual.on_virtual_time
    async def test_retry_with_a_key_returns_the_first_response(self):
        async with clusters.running(ONE_NODE) as cluster:
            key = cluster.issued[0].text
            bodies = set()
            for _ in range(3):
                request = message.Request(
                    "POST", QUOTES, "", {"idempotency-key": "k"}, b"{}"
                )
                bodies.add((await send(cluster, request, key)).body)
            self.assertEqual(len(bodies), 1)
            self.assertEqual(len(executions(cluster)), 1)
            other = message.Request(
                "POST", QUOTES, "", {"idempotency-key": "k"}, b"[]"
            )
            response = await send(cluster, other, key)
            self.assertEqual(read_error(response)["code"], 1401)

    @virtual.on_virtual_time
    async def test_claim_during_a_store_outage_is_refused_and_not_run(self):
        async with clusters.running(ONE_NODE) as cluster:
            cluster.world.store.down = True
            request = message.Request(
                "POST", QUOTES, "", {"idempotency-key": "k"}, b"{}"
            )
            response = await send(cluster, request, cluster.issued[0].text)
            self.assertEqual(read_error(response)["code"], 1404)
            self.assertEqual(read_error(response)["run"], "not_run")
            self.assertEqual(executions(cluster), [])

    @virtual.on_virtual_time
    async def test_idempotency_keys_of_organisations_are_independent(self):
        async with clusters.running(ONE_NODE) as cluster:
            for issued in cluster.issued:
                request = message.Request(
                    "POST", QUOTES, "", {"idempotency-key": "k"}, b"{}"
                )
                response = await send(cluster, request, issued.text)
                digest = fake_service.body_digest(b"{}")
                self.assertIn(digest.encode(), response.body)
                self.assertIn(issued.label.encode(), response.body)


class GenerationTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (faults.Fault.ERROR_BEFORE,),
            (faults.Fault.ANSWER_LOST,),
            (faults.Fault.ANSWER_CROSSED,),
            (faults.Fault.ANSWER_CUT,),
            (faults.Fault.TARGET_CRASHED,),
            (faults.Fault.REQUEST_LATE,),
        ]
    )
    def test_failed_response_is_completed_on_another_engine(self, fault):
        async def main():
            place = ("node-1", "POST /generate", 0)
            plan = faults.FaultPlan({place: fault})
            async with clusters.running(ONE_NODE, plan) as cluster:
                for stream in (True, False):
                    answer = await cluster.caller(0).complete(stream)
                    self.assertEqual(answer.status, 200)
                    self.assertTrue(answer.is_right)

        virtualtime.run(main)

    @virtual.on_virtual_time
    async def test_leaving_engine_gets_no_new_requests(self):
        async with clusters.running(ONE_NODE) as cluster:
            cluster.world.directory.mark_leaving("plume-1:80")
            cluster.record.leaving["plume-1"] = cluster.clock.monotonic()
            await trio.sleep(judge.LEAVING_WITHIN_S)
            before = len(cluster.world.engines["plume-1"].arrivals)
            for _ in range(20):
                await cluster.caller(0).complete()
            after = len(cluster.world.engines["plume-1"].arrivals)
            self.assertEqual(before, after)
            self.assertEqual(cluster.broken(), [])

    @virtual.on_virtual_time
    async def test_no_usable_engine_is_refused_at_once(self):
        async with clusters.running(ONE_NODE) as cluster:
            for name in cluster.world.engines:
                cluster.world.directory.mark_leaving(f"{name}:80")
            await trio.sleep(5)
            body = {"model": "plume-llm", "prompt": "x"}
            request = message.json_request("/v1/completions", body)
            started_at = trio.current_time()
            response = await send(cluster, request, cluster.issued[0].text)
            error = read_error(response)
            self.assertEqual((error["code"], error["run"]), (1204, "not_run"))
            self.assertIn("retry-after", response.headers)
            self.assertLess(trio.current_time() - started_at, 1)

    @virtual.on_virtual_time
    async def test_failing_engine_is_ejected_and_readmitted(self):
        async with clusters.running(ONE_NODE) as cluster:
            cluster.network.crash("plume-1")
            for _ in range(10):
                await cluster.caller(0).complete()
            pool = cluster.nodes["node-1"].node.pools.get(
                "plume-llm", document.ServiceKind.ENGINE
            )
            state = pool.router.servers["plume-1"]
            self.assertGreater(state.failures, 0)
            await trio.sleep(20)
            for _ in range(20):
                await cluster.caller(0).complete()
            self.assertEqual(state.failures, 0)


class RetryBudgetTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_retries_are_limited_by_the_request_count(self):
        budget = retrybudget.RetryBudget(virtualtime.VirtualClock())
        taken = 0
        for _ in range(1000):
            budget.record_request()
            taken += budget.try_spend() + budget.try_spend()
        most = retrybudget.MAX_BALANCE + 1000 * retrybudget.RETRY_RATIO
        self.assertLessEqual(taken, most)
        await trio.sleep(10)
        self.assertTrue(budget.try_spend())


class PlannedStopTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_drain_interrupts_no_request_and_loses_no_usage(self):
        size = clusters.ClusterSettings(trainers=0)
        size.engine_speed.stream_tokens_per_s = 4
        async with clusters.running(size) as cluster:
            answers = []

            async def call(number):
                caller = cluster.caller(number % 2)
                answers.append(await caller.complete(stream=bool(number % 2)))

            async with trio.open_nursery() as nursery:
                for number in range(9):
                    nursery.start_soon(call, number)
                await trio.sleep(1)
                cluster.record.draining["node-2"] = trio.current_time()
                await cluster.operator("node-2").call("POST", "/drain")
            self.assertEqual({a.status for a in answers}, {200})
            self.assertTrue(all(a.is_right for a in answers))
            await trio.sleep(30)
            self.assertEqual(cluster.broken(), [])
            self.assertTrue(cluster.nodes["node-2"].node.stopped.is_set())
            generated = sum(
                sum(e.generated.values())
                for e in cluster.world.engines.values()
            )
            reported = sum(
                figure.generated_tokens
                for figure in cluster.world.intake.totals().values()
            )
            self.assertEqual(reported, generated)
