"""The operator API and its reports; no secrets in responses or logs."""

import unittest

import eliot
import orjson
import trio

from kingcupscale.fakes import cluster as clusters
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests import virtual

SMALL = clusters.ClusterSettings(trainers=0)


async def read(cluster, path):
    response = await cluster.operator("node-1").call("GET", path)
    return response.status, response.body


class OperatingTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_handover_lists_changes_with_operator_and_reason(self):
        async with clusters.running(SMALL) as cluster:
            await cluster.operator("node-2").withdraw(
                "customer-2-key", "a lost till"
            )
            await trio.sleep(15)
            status, body = await read(cluster, "/handover")
            report = orjson.loads(body)
            self.assertEqual(status, 200)
            newest = report["changes"][0]
            self.assertEqual(newest["operator"], "anna")
            self.assertEqual(newest["reason"], "a lost till")
            self.assertEqual(newest["lines"], ["- keys/customer-2-key"])
            self.assertEqual(report["alarms"], [])
            self.assertEqual(len(report["leases"]), 3)

    @virtual.on_virtual_time
    async def test_handover_in_an_outage_names_missing_sections(self):
        async with clusters.running(SMALL) as cluster:
            cluster.world.store.down = True
            await cluster.operator("node-1").withdraw(
                "customer-2-key", "lost", emergency=True
            )
            cluster.network.crash("node-3")
            cluster.network.cut_off("node-3")
            await trio.sleep(20)
            _, body = await read(cluster, "/handover")
            report = orjson.loads(body)
            alarms = "\n".join(report["alarms"])
            self.assertIn("key-value service cannot be reached", alarms)
            self.assertIn("not confirmed by the store", alarms)
            self.assertIn("node-3", alarms)
            self.assertIn("customer-2-key", report["half_done"][0])

    @virtual.on_virtual_time
    async def test_handover_lists_a_paused_node_until_it_resumes(self):
        async with clusters.running(SMALL) as cluster:
            cluster.network.pause("node-3", 9)
            await trio.sleep(8)
            _, body = await read(cluster, "/handover")
            alarms = "\n".join(orjson.loads(body)["alarms"])
            self.assertRegex(alarms, "node node-3 in .* is (suspect|dead)")
            await trio.sleep(8)
            _, body = await read(cluster, "/handover")
            self.assertEqual(orjson.loads(body)["alarms"], [])

    @virtual.on_virtual_time
    async def test_status_has_histograms_and_leases(self):
        async with clusters.running(SMALL) as cluster:
            for _ in range(3):
                await cluster.caller(0).complete()
            _, body = await read(cluster, "/status")
            status = orjson.loads(body)
            measures = {h["measure"] for h in status["histograms"]}
            self.assertTrue({"queue_ms", "total_ms"} <= measures)
            self.assertEqual(len(status["members"]), 3)

    @virtual.on_virtual_time
    async def test_configuration_is_shown_without_digests(self):
        async with clusters.running(SMALL) as cluster:
            _, body = await read(cluster, "/configuration")
            self.assertIn(b"customer-1-key", body)
            for secret in (b"digest", b"salt"):
                self.assertNotIn(secret, body)

    @virtual.on_virtual_time
    async def test_caller_key_is_refused_by_the_operator_api(self):
        async with clusters.running(SMALL) as cluster:
            for headers in (
                {},
                {"authorization": f"Bearer {cluster.issued[0].text}"},
            ):
                request = message.Request("GET", "/status", "", headers)
                response = await httpclient.fetch(
                    cluster.http_client, "node-1:operators", request, 5
                )
                self.assertEqual(response.status, 401)

    @virtual.on_virtual_time
    async def test_no_key_prompt_or_answer_is_logged(self):
        lines = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.network.crash("plume-1")
            await cluster.caller(0).complete()
            await cluster.caller(1).quote("order")
            logged = str(lines)
            self.assertNotIn("quote for customer", logged)
            for secret in cluster.record.secrets:
                self.assertNotIn(secret, logged)
