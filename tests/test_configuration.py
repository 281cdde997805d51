"""Configuration: validation, concurrent changes, replication, admission."""

import copy
import pathlib
import unittest

import parameterized
import trio

from kingcupscale import codec
from kingcupscale import settings
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import check
from kingcupscale.configuration import replica as replicas
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import faults
from kingcupscale.fakes import tables as sample_tables
from kingcupscale.fakes import virtualtime
from kingcupscale.operating import messages
from tests import virtual

SETTINGS = pathlib.Path(__file__).parent.parent / "settings"


def make_tables():
    tables = sample_tables.make_tables({"plume-1": "a:1"}, {"shop-1": "a:2"})
    sample_tables.add_organisation(tables, "mart", "customer")
    return tables


def make_change(revision, entries):
    return changes.Change(
        revision, entries, "anna", "test", virtualtime.NOON, f"t{revision}"
    )


class CheckTest(unittest.TestCase):
    @parameterized.parameterized.expand([("dalmo",), ("wheelway",)])
    def test_shipped_configuration_is_valid(self, name):
        tables = settings.read_toml(str(SETTINGS / f"{name}.toml"))
        document = check.check(tables)
        self.assertEqual(len(document.organisations), 8)

    @parameterized.parameterized.expand(
        [(f"node-{number}",) for number in range(1, 5)]
    )
    def test_shipped_node_settings_are_valid(self, name):
        path = str(SETTINGS / f"{name}.toml")
        loaded = settings.load(settings.NodeSettings, path)
        self.assertEqual(loaded.name, name)

    @parameterized.parameterized.expand(
        [
            (
                ("classes", "customer", "priority"),
                "high",
                "classes.customer.priority",
            ),
            (
                ("classes", "customer", "latency_s"),
                -1.0,
                "classes.customer.latency_s",
            ),
            (
                ("classes", "customer", "colour"),
                "red",
                "classes.customer",
            ),
            (
                ("keys", "mart-key", "organisation"),
                "nobody",
                "keys.mart-key.organisation",
            ),
            (
                ("services", "shop-app", "backend_servers", "shop-1", "zone"),
                "moon",
                "services.shop-app.backend_servers.shop-1.zone",
            ),
            (
                (
                    "services",
                    "shop-app",
                    "backend_servers",
                    "shop-1",
                    "address",
                ),
                "a:1",
                "services.shop-app.backend_servers.shop-1.address",
            ),
            (
                ("services", "shop-app", "kind"),
                "spaceship",
                "services.shop-app.kind",
            ),
            (("organisations",), 7, "organisations"),
        ]
    )
    def test_mistake_is_named_by_its_path(self, where, value, path):
        tables = make_tables()
        target = tables
        for name in where[:-1]:
            target = target[name]
        target[where[-1]] = value
        with self.assertRaises(check.ConfigurationError) as caught:
            check.check(tables)
        self.assertIn(path, [m.path for m in caught.exception.mistakes])

    def test_all_mistakes_are_reported_together(self):
        tables = make_tables()
        tables["classes"]["customer"]["priority"] = "high"
        tables["keys"]["mart-key"]["service_class"] = "gold"
        del tables["services"]["shop-app"]["kind"]
        with self.assertRaises(check.ConfigurationError) as caught:
            check.check(tables)
        self.assertEqual(len(caught.exception.mistakes), 3)


class ReplicaTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("older change", changes.Batch(None, [make_change(1, {})])),
            (
                "older snapshot",
                changes.Batch(changes.Snapshot(1, {}), []),
            ),
            ("change after a gap", changes.Batch(None, [make_change(9, {})])),
        ]
    )
    def test_revision_never_decreases_or_skips(self, _, batch):
        replica = replicas.Replica("node")
        for revision in (1, 2, 3):
            entries = {f"organisations/o{revision}": {"label": "o"}}
            replica.apply_batch(
                changes.Batch(None, [make_change(revision, entries)])
            )
        self.assertFalse(replica.apply_batch(batch))
        self.assertEqual(replica.revision, 3)
        self.assertEqual(len(replica.document.organisations), 3)

    def test_peer_that_is_far_behind_gets_a_snapshot(self):
        replica = replicas.Replica("node")
        for revision in range(1, replicas.RECENT_CHANGES + 10):
            replica.apply_batch(
                changes.Batch(None, [make_change(revision, {})])
            )
        batch = replica.batch_since(1)
        self.assertEqual(batch.snapshot.revision, replica.revision)
        other = replicas.Replica("other")
        other.apply_batch(batch)
        self.assertEqual(other.revision, replica.revision)


async def apply(cluster, node, tables, revision):
    return await cluster.operator(node).call(
        "POST",
        "/configuration",
        messages.ApplyRequest(tables, codec.NaturalInt(revision), "test"),
    )


class ClusterTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_losing_operator_is_shown_the_conflicting_change(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            revision = cluster.nodes["node-1"].node.replica.revision
            answers = []

            async def change(node, streams):
                tables = copy.deepcopy(cluster.tables)
                organisation = tables["organisations"]["customer-1"]
                organisation["streams"] = streams
                tables = {"organisations": tables["organisations"]}
                answers.append(await apply(cluster, node, tables, revision))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, "node-1", 11)
                nursery.start_soon(change, "node-2", 22)
            self.assertEqual(sorted(a.status for a in answers), [200, 409])
            loser = next(a for a in answers if a.status == 409)
            self.assertIn(b"organisations/customer-1", loser.body)

    @virtual.on_virtual_time
    async def test_change_is_in_force_on_every_node_when_answered(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            response = await cluster.operator("node-2").withdraw(
                "customer-1-key", "test"
            )
            self.assertEqual(response.status, 200)
            for running in cluster.nodes.values():
                keys = running.node.replica.document.keys
                self.assertNotIn("customer-1-key", keys)

    @virtual.on_virtual_time
    async def test_withdrawal_ends_an_open_stream(self):
        size = clusters.ClusterSettings()
        size.engine_speed.stream_tokens_per_s = 4
        async with clusters.running(size) as cluster:
            answers = []

            async def stream():
                caller = cluster.caller(0)
                answers.append(await caller.complete(stream=True))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream)
                await trio.sleep(3)
                await cluster.operator("node-3").withdraw(
                    "customer-1-key", "test"
                )
            self.assertEqual(answers[0].status, 401)
            await trio.sleep(1)
            running = [e.running for e in cluster.world.engines.values()]
            self.assertEqual(running, [0, 0])

    @virtual.on_virtual_time
    async def test_repeated_withdrawal_gets_the_same_status(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            operator = cluster.operator("node-1")
            first = await operator.withdraw("customer-1-key", "test")
            again = await operator.withdraw("customer-1-key", "test")
            unknown = await operator.withdraw("nobody-key", "test")
            statuses = [a.status for a in (first, again, unknown)]
            self.assertEqual(statuses, [200, 200, 404])

    @virtual.on_virtual_time
    async def test_emergency_withdrawal_applies_and_is_stored_later(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.world.store.down = True
            operator = cluster.operator("node-1")
            refused = await operator.withdraw("customer-1-key", "lost")
            self.assertEqual(refused.status, 503)
            accepted = await operator.withdraw(
                "customer-1-key", "lost", emergency=True
            )
            self.assertEqual(accepted.status, 200)
            answer = await cluster.caller(0).complete()
            self.assertEqual(answer.status, 401)
            cluster.world.store.down = False
            await trio.sleep(30)
            for running in cluster.nodes.values():
                keys = running.node.replica.document.keys
                self.assertNotIn("customer-1-key", keys)

    @virtual.on_virtual_time
    async def test_node_cut_off_from_store_and_peers_stops_admitting(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.network.cut_off("node-3")
            await trio.sleep(30)
            states = {
                name: running.node.admission.is_admitting()
                for name, running in cluster.nodes.items()
            }
            self.assertEqual(
                states, {"node-1": True, "node-2": True, "node-3": False}
            )
            cluster.network.heal()
            await trio.sleep(20)
            self.assertTrue(
                cluster.nodes["node-3"].node.admission.is_admitting()
            )

    @virtual.on_virtual_time
    async def test_all_nodes_keep_admitting_during_a_store_outage(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.world.store.down = True
            await trio.sleep(3600)
            answer = await cluster.caller(1).complete()
            self.assertEqual(answer.status, 200)
            cluster.network.crash("node-2")
            await trio.sleep(30)
            admission = cluster.nodes["node-2"].node.admission
            self.assertTrue(admission.is_admitting())

    @virtual.on_virtual_time
    async def test_minority_that_reaches_the_store_accepts_no_change(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            for other in ("node-1", "node-2"):
                cluster.network.cut("node-3", other)
            await trio.sleep(20)
            response = await cluster.operator("node-3").withdraw(
                "customer-1-key", "test"
            )
            self.assertEqual(response.status, 503)
            self.assertIn(b"majority_lost", response.body)
            written = [
                value
                for _, key, value in cluster.world.store.writes
                if key.startswith("configuration/changes/") and value
            ]
            self.assertNotIn('"keys/customer-1-key":null', "".join(written))

    @virtual.on_virtual_time
    async def test_starting_node_admits_nothing_without_store_and_peers(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.world.store.down = True
            cluster.network.crash("node-3")
            cluster.network.cut_off("node-3")
            await trio.sleep(30)
            node = cluster.nodes["node-3"].node
            self.assertFalse(node.admission.is_admitting())
            cluster.network.heal()
            await trio.sleep(30)
            self.assertTrue(node.admission.is_admitting())
            self.assertGreater(node.replica.revision, 0)

    @virtual.on_virtual_time
    async def test_change_without_confirming_majority_is_not_accepted(self):
        plan = faults.FaultPlan()
        size = clusters.ClusterSettings()
        async with clusters.running(size, plan) as cluster:
            seen = plan.seen["node-1", "PushChanges"]
            for call_number in range(seen, seen + 20):
                call = ("node-1", "PushChanges", call_number)
                plan.faults[call] = faults.Fault.ERROR_BEFORE
            operator = cluster.operator("node-1")
            first = await operator.withdraw("customer-1-key", "test")
            self.assertEqual(first.status, 503)
            self.assertIn(b"confirmed", first.body)
            plan.faults.clear()
            again = await operator.withdraw("customer-1-key", "test")
            self.assertEqual(again.status, 200)

    @virtual.on_virtual_time
    async def test_starting_node_waits_for_more_than_one_stale_peer(self):
        size = clusters.ClusterSettings(nodes=5, trainers=0)
        async with clusters.running(size) as cluster:
            cluster.network.on_crash = lambda _: None
            cluster.world.store.down = True
            cluster.network.crash("node-5")
            await trio.sleep(30)
            for near in ("node-1", "node-2", "node-3"):
                for far in ("node-4", "node-5"):
                    cluster.network.cut(near, far)
            response = await cluster.operator("node-1").withdraw(
                "customer-1-key", "test", emergency=True
            )
            self.assertEqual(response.status, 200)
            # Node 5 reaches only node 4, and neither knows the withdrawal.
            cluster.start_node("node-5")
            for _ in range(100):
                await trio.sleep(0.1)
                admission = cluster.nodes["node-5"].node.admission
                self.assertFalse(admission.is_admitting())
            cluster.network.heal()
            await trio.sleep(30)
            node = cluster.nodes["node-5"].node
            self.assertTrue(node.admission.is_admitting())
            self.assertIn("customer-1-key", node.replica.withdrawn)

    @virtual.on_virtual_time
    async def test_suspended_node_admits_only_after_peer_contact(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            cluster.world.store.down = True
            await trio.sleep(20)
            admission = cluster.nodes["node-3"].node.admission
            self.assertTrue(admission.is_admitting())
            cluster.network.pause("node-3", 20)
            await trio.sleep(20)
            self.assertFalse(admission.is_admitting())
            await trio.sleep(5)
            self.assertTrue(admission.is_admitting())
