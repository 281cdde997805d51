"""Explanations of calls to plain services agree with the router."""

import unittest

import attrs
import eliot
import orjson
import parameterized
import trio

from kingcupscale import errors
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import tables
from kingcupscale.fleet import exclusions
from kingcupscale.operating import explainquery
from kingcupscale.serving import plainexplainer
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests import virtual
from tests.platform import test_explain

SIZE = clusters.ClusterSettings(trainers=0, servers=2)
PATH = {"path": f"/services/{tables.PLAIN_SERVICE}/quotes"}


def find_router(cluster):
    node = cluster.nodes["node-1"].node
    return node.pools.pools[tables.PLAIN_SERVICE].router


async def ask(cluster, fields, key=None):
    """Returns the status and the body of an explanation."""
    key = cluster.operator_key.text if key is None else key
    request = message.Request(
        "GET",
        explainquery.PATH,
        explainquery.encode_query(fields),
        {"authorization": f"Bearer {key}"},
    )
    response = await httpclient.fetch(
        cluster.http_client, "node-1:operators", request, 5
    )
    return response.status, orjson.loads(response.body)


def leave(router, state):
    state.is_leaving = True


def eject(router, state):
    router.record_failure(state)


def fill(router, state):
    state.in_flight = state.server.slots


def make_preemptible(router, state):
    state.server = attrs.evolve(state.server, cheap=True)


class PlainExplainerTest(unittest.TestCase):
    @parameterized.parameterized.expand([("shop-1",), ("shop-2",)])
    @virtual.on_virtual_time
    async def test_first_candidate_is_chosen(self, loaded):
        """Guards against an order that differs from the router's."""
        async with clusters.running(SIZE) as cluster:
            router = find_router(cluster)
            router.servers[loaded].in_flight = 2
            status, body = await ask(cluster, PATH)
            self.assertEqual(status, 200)
            servers = body["services"][0]["servers"]
            chosen = router.choose(plainexplainer.REQUIREMENTS)
            self.assertEqual(servers[0]["id"], chosen.name)
            self.assertEqual([s["rank"] for s in servers], [1, 2])
            self.assertIsNone(body["rejection"])

    @parameterized.parameterized.expand(
        [
            (reason.value, change)
            for reason, change in (
                (exclusions.Reason.LEAVING, leave),
                (exclusions.Reason.EJECTED, eject),
                (exclusions.Reason.FULL, fill),
                (exclusions.Reason.PREEMPTIBLE, make_preemptible),
            )
        ]
    )
    @virtual.on_virtual_time
    async def test_excluded_server(self, reason, change):
        """Guards against a reason that is missing, or that does not hold."""
        async with clusters.running(SIZE) as cluster:
            router = find_router(cluster)
            change(router, router.servers["shop-1"])
            _, body = await ask(cluster, PATH)
            first, last = body["services"][0]["servers"]
            self.assertEqual((first["id"], last["id"]), ("shop-2", "shop-1"))
            self.assertEqual([e["reason"] for e in last["excluded"]], [reason])
            for _ in range(5):
                chosen = router.choose(plainexplainer.REQUIREMENTS)
                self.assertEqual(chosen.name, "shop-2")

    @parameterized.parameterized.expand(
        [
            ({"path": "/v1/completions"}, "EXPLAIN_UNSUPPORTED"),
            ({"service": "plume-llm"}, "EXPLAIN_UNSUPPORTED"),
            ({"batch": "b1"}, "EXPLAIN_UNSUPPORTED"),
            ({}, "EXPLAIN_INVALID"),
            (PATH | {"service": "other"}, "EXPLAIN_INVALID"),
            (PATH | {"organisation": "nobody"}, "EXPLAIN_INVALID"),
            (PATH | {"priority": "x"}, "EXPLAIN_INVALID"),
        ]
    )
    @virtual.on_virtual_time
    async def test_unanswerable_question(self, fields, name):
        """Guards against an unnumbered error."""
        async with clusters.running(SIZE) as cluster:
            status, body = await ask(cluster, fields)
            code = errors.ResultCode[name]
            self.assertEqual(status, code.status)
            self.assertEqual(body["error"]["code"], code.number)

    @virtual.on_virtual_time
    async def test_no_usable_server_is_rejected(self):
        """Guards against another rejection than the one that callers get."""
        async with clusters.running(SIZE) as cluster:
            for state in find_router(cluster).servers.values():
                state.is_leaving = True
            _, body = await ask(cluster, PATH)
            rejection = body["services"][0]["rejection"]
            code = errors.ResultCode.NO_SERVER.number
            self.assertEqual(rejection["code"], code)
            self.assertTrue(rejection["is_certain"])

    @virtual.on_virtual_time
    async def test_operators_only(self):
        """Guards against an answer to a caller's key."""
        async with clusters.running(SIZE) as cluster:
            status, _ = await ask(cluster, PATH, cluster.issued[0].text)
            self.assertEqual(status, 401)

    @virtual.on_virtual_time
    async def test_explaining_changes_nothing(self):
        """Guards against counters, random choices and log lines."""
        lines = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        async with clusters.running(SIZE) as cluster:
            await cluster.caller(0).quote("order")
            await trio.sleep(1)
            node = cluster.nodes["node-1"].node
            node.admission.last_admitting = False
            explainer = plainexplainer.PlainExplainer(
                node.settings, node.pools, node.admission, node.caller_api
            )
            before, count = test_explain.snapshot(node), len(lines)
            explainer.explain(PATH | {"priority": "3"})
            self.assertGreater(len(before), 1000)
            self.assertEqual(test_explain.snapshot(node), before)
            self.assertEqual(lines[count:], [])
