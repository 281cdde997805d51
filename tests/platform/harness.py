"""Test harness: nodes on an in-memory platform in virtual time.

The platform has a store, backend servers, a cloud API and callers. Nodes call
it with the platform's protocols, so the tests cover the adapter as well. It
records the calls that it receives, for the tests' assertions.
"""

import base64
import contextlib
import random

import orjson
import trio

from kingcupscale import deployment
from kingcupscale.fakes import faults
from kingcupscale.fakes import network as networks
from kingcupscale.fakes import virtualtime
from kingcupscale.platform import names
from kingcupscale.platform import process
from kingcupscale.web import message
from tests.platform import fakeservers
from tests.platform import fakestore

STORE = "store:1"
CLOUD = "cloud:1"
HOST = "models.example"
MODEL = "alpha"
KEY = "key-of-one"
ORGANISATION = "one"
BATCH_PATH = "/train/"
CALL_PATH = "/quote/"
SCORE_PATH = "/score/"


def make_configuration(version=1, keys=(KEY,), routes=(), models=(MODEL,)):
    """Returns a configuration document as an operator writes it."""
    base_routes = [
        {
            "name": "train",
            "host": HOST,
            "pathPrefix": BATCH_PATH,
            "kind": "rollout",
            "timeoutMs": 10_000,
            "targetLatencyMs": 400,
            "dueMs": 7500,
            "maxAgeS": 40,
            "priority": 1,
            "service": "engines",
            "maxAttempts": 3,
        },
        {
            "name": "quote",
            "host": HOST,
            "pathPrefix": CALL_PATH,
            "kind": "idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 190,
            "priority": 2,
            "service": "plain",
            "maxAttempts": 3,
        },
        {
            "name": "once",
            "host": HOST,
            "pathPrefix": "/once/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 190,
            "priority": 2,
            "service": "plain",
            "maxAttempts": 3,
        },
        {
            "name": "score",
            "host": HOST,
            "pathPrefix": SCORE_PATH,
            "kind": "idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
            "priority": 2,
            "service": "plain",
            "maxAttempts": 3,
            "public": True,
        },
    ]
    return {
        "version": version,
        "routes": [*base_routes, *routes],
        "services": [
            {
                "name": "engines",
                "healthPath": "/health",
                "maxConnections": 100,
                "engine": {
                    "slots": 4,
                    "models": [{"name": name} for name in models],
                },
                "scaling": {
                    "min": 1,
                    "max": 3,
                    "bootS": 4.0,
                    "zonePrices": {"a": 1.0, "b": 1.1},
                },
            },
            {"name": "plain", "healthPath": "/h", "maxConnections": 100},
        ],
        "limits": {},
        "tenants": [
            {"name": ORGANISATION, "apiKeys": list(keys)},
            {"name": "two", "apiKeys": ["key-of-two"]},
        ],
    }


class Node:
    """A node that runs on a site."""

    def __init__(self, site, name, zone, cores=None):
        self.site = site
        self.name = name
        settings = deployment.ProcessSettings(
            node=name,
            role="node",
            zone=zone,
            callers=f"{name}:1",
            readiness=f"{name}:2",
            peers=f"{name}:3",
            store=STORE,
            cloud=CLOUD,
            seeds=(),
            min_lease_s=1.0,
            value_bytes=1 << 20,
            heartbeat_s=1.2,
            reports_usage=True,
            orders_servers=False,
            bounds=deployment.Bounds(),
            capacity_cores=cores,
        )
        client = networks.MemoryHttpClient(site.network, name)
        self.runtime = process.make_runtime(
            settings,
            process.HttpClients(client, client, client, client),
            site.clock,
            random.Random(name),
        )
        self.frontend = process.make_frontend(self.runtime)
        self.scope = trio.CancelScope()
        site.network.add(name, self.scope.cancel)
        site.network.serve(name, settings.callers, self.frontend)
        site.network.serve(
            name, settings.peers, self.runtime.handle_peer_request
        )

    async def run(self):
        with self.scope:
            await self.runtime.run()


class Site:
    """A store, a cloud API, servers in two zones and nodes, in virtual time.

    Attributes:
        violations: Rules of the platform that a node has broken.
        runs: Requests that servers have executed.
        orders: Orders that servers have received.
    """

    def __init__(self, nursery, nodes=2, plan=None):
        self.nursery = nursery
        self.clock = virtualtime.VirtualClock()
        self.network = networks.Network(nursery, plan or faults.FaultPlan())
        self.violations = []
        self.runs = []
        self.orders = []
        self.store = fakestore.Store()
        self.cloud = fakeservers.Cloud(self)
        self.network.serve("store", STORE, self.store)
        self.network.serve("cloud", CLOUD, self.cloud)
        self.servers = {}
        for server_id, service, zone, model in (
            ("e1", "engines", "a", MODEL),
            ("e2", "engines", "b", MODEL),
            ("p1", "plain", "a", ""),
            ("p2", "plain", "b", ""),
        ):
            self.add_server(
                fakeservers.Server(self, server_id, service, zone, model)
            )
        self.write_configuration(make_configuration())
        self.nodes = [
            Node(self, f"n{number}", "ab"[number % 2])
            for number in range(1, nodes + 1)
        ]

    def add_server(self, server):
        self.servers[server.id] = server
        self.network.serve(server.id, server.address, server)
        server.register()

    def write_configuration(self, configuration):
        self.store.put(names.CONFIGURATION_KEY, orjson.dumps(configuration))

    def set_target_version(self, version, model=MODEL):
        self.store.put(
            names.VERSIONS_PREFIX + model,
            orjson.dumps({"model": model, "version": version}),
        )

    async def start(self):
        for node in self.nodes:
            self.nursery.start_soon(node.run)
        await trio.sleep(1.5)

    def holder(self, duty="engines"):
        name = self.nodes[0].runtime.peers.holder(duty)
        return next(node for node in self.nodes if node.name == name)

    def other(self, than):
        return next(node for node in self.nodes if node is not than)

    async def call(self, node, method, path, body=b"", **headers):
        fields = {
            "host": HOST,
            names.KEY: KEY,
            **{name.replace("_", "-"): v for name, v in headers.items()},
        }
        path, _, query = path.partition("?")
        request = message.Request(method, path, query, fields, body)
        response = await node.frontend(request)
        await response.read()
        return response

    async def submit(self, node, batch_id="b1", **options):
        return await self.call(
            node,
            "POST",
            BATCH_PATH + batch_id,
            make_batch(batch_id, **options),
            **{names.REQUEST_ID: batch_id, names.DEADLINE_MS: "12000"},
        )

    async def read(self, node, batch_id="b1", after=0, wait_ms=0):
        response = await self.call(
            node,
            "GET",
            f"{names.BATCHES_PATH}{batch_id}?after={after}",
            **{names.WAIT_MS: str(wait_ms)},
        )
        if response.status != 200:
            return response.status, None
        return 200, orjson.loads(response.body)

    async def read_all(self, node, batch_id="b1", seconds=20):
        results = []
        with trio.move_on_after(seconds):
            while True:
                status, page = await self.read(
                    node, batch_id, len(results), 1000
                )
                if status != 200:
                    await trio.sleep(0.2)
                    continue
                results += page["results"]
                if len(results) >= page["total"]:
                    break
        return results


@contextlib.asynccontextmanager
async def launch(nodes=2, plan=None, is_started=True):
    """Yields a site and stops it when the context ends."""
    async with trio.open_nursery() as nursery:
        site = Site(nursery, nodes, plan)
        if is_started:
            await site.start()
        yield site
        nursery.cancel_scope.cancel()


def make_batch(batch_id, items=4, minimum=1, step=0, scored=True, model=MODEL):
    """Returns the body of a request with which a trainer submits a batch."""

    def make_item(number):
        item = {
            "id": f"{batch_id}-i{number}",
            "path": f"{BATCH_PATH}x{number}",
            "headers": {
                "X-Kingcupscale-Model": model,
                "X-Kingcupscale-Length-Hint": "300",
            },
            "body": base64.b64encode(f"body {number}".encode()).decode(),
            "tokens": 600,
            "group": f"{batch_id}-g{number // 2}",
        }
        if scored:
            item["scorer"] = {
                "id": f"{batch_id}-s{number}",
                "host": HOST,
                "path": f"{SCORE_PATH}{number}",
                "body": "AAAA",
            }
        return item

    return orjson.dumps(
        {
            "step": step,
            "model": model,
            "minVersion": minimum,
            "desired": 2,
            "items": [make_item(number) for number in range(items)],
        }
    )


def text_of(length):
    """Returns the complete text of a server's stream with ``length`` events."""
    return "\n".join(f"t{number}" for number in range(1, length + 1))
