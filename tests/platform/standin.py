"""The users' platform in memory: its store, engines, cloud and callers.

It speaks the platform's wire, so that the adapter is part of what is tested,
and it keeps book of what it sees, for the checks.
"""

import base64
import collections
import random
import urllib.parse

import attrs
import orjson
import trio

from kingcupscale import deployment
from kingcupscale.fakes import faults
from kingcupscale.fakes import network as networks
from kingcupscale.fakes import virtualtime
from kingcupscale.platform import names
from kingcupscale.platform import process
from kingcupscale.web import message

STORE = "store:1"
CLOUD = "cloud:1"
HOST = "models.example"
MODEL = "alpha"
KEY = "key-of-one"
ORGANISATION = "one"
BATCH_PATH = "/train/"
CALL_PATH = "/quote/"
SCORE_PATH = "/score/"


def json_response(value, status=200):
    return message.Response(
        status, {"content-type": "application/json"}, orjson.dumps(value)
    )


class Store:
    """The metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.history_from = 0
        self.revision = 10
        self.leases = {}
        self.is_down = False
        self.changed = trio.Event()
        self.calls = collections.Counter()
        self.lease_number = 0

    async def __call__(self, request):
        await trio.sleep(0.004)
        name = request.path.split("/")[1]
        self.calls[name] += 1
        if self.is_down:
            return message.Response(503)
        self.expire()
        query = dict(urllib.parse.parse_qsl(request.query))
        handler = getattr(self, "on_" + name.replace("-", "_"))
        return await handler(request, query)

    def expire(self):
        now = trio.current_time()
        for lease, (ends_at, _) in list(self.leases.items()):
            if now >= ends_at:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.note(self.items[key])

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def forget_history(self):
        self.history.clear()
        self.history_from = self.revision

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def on_kv_key(self, request, query):
        item = self.items.get(query["key"])
        if item is None:
            return json_response({"asOf": self.revision}, 404)
        return json_response({**item, "asOf": self.revision})

    async def on_kv_range(self, request, query):
        prefix = query.get("pathPrefix", "")
        after = query.get("after", "")
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return json_response(
            {
                "items": found[:20],
                "hasMore": len(found) > 20,
                "asOf": self.revision,
            }
        )

    async def on_kv_watch(self, request, query):
        after = int(query["after"])
        if after < self.history_from:
            return message.Response(410)
        prefix = query.get("pathPrefix", "")
        found = []
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while True:
                found = [
                    event
                    for event in self.history
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                if found:
                    break
                await self.changed.wait()
        if self.is_down:
            return message.Response(503)
        return json_response({"events": found, "asOf": self.revision})

    async def on_kv_txn(self, request, query):
        body = orjson.loads(request.body)
        for row in body["expectedRev"]:
            present = self.items.get(row["key"], {}).get("revision", 0)
            if present != row["revision"]:
                return json_response({"items": []}, 412)
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return message.Response(404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return json_response({"revision": self.revision})

    async def on_kv_lease(self, request, query):
        ttl_ms = orjson.loads(request.body)["ttlMs"]
        self.lease_number += 1
        ends_at = trio.current_time() + ttl_ms / 1000
        self.leases[self.lease_number] = (ends_at, ttl_ms)
        return json_response({"lease": self.lease_number, "ttlMs": ttl_ms})

    async def on_kv_keep(self, request, query):
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return message.Response(404)
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (trio.current_time() + ttl_ms / 1000, ttl_ms)
        return json_response({"ttlMs": ttl_ms})

    async def on_kv_lease_end(self, request, query):
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return message.Response(404)
        self.end_lease(lease)
        return json_response({})


@attrs.define
class Run:
    """A run that an engine began."""

    request: str
    server: str
    version: int
    resumed_after: int | None
    at: float
    events: int = 0
    is_whole: bool = False


class Server:
    """A backend server: a model engine, or a plain one without a model."""

    def __init__(self, site, server_id, service, zone, model=MODEL, slots=4):
        self.site = site
        self.id = server_id
        self.service = service
        self.zone = zone
        self.address = f"{server_id}:80"
        self.versions = {model: 1} if model else {}
        self.slots = slots
        self.event_s = 0.02
        self.length = 10
        self.orders = 0
        self.beats = 0
        self.fence = 0
        self.loading = ""
        self.state = "ready"
        self.is_full = False
        self.statuses = []
        self.begun = []
        self.running = set()
        self.drop_after = None
        self.born = 1

    def enter(self):
        self.beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.beats,
            "born": self.born,
            "models": self.models(),
        }
        self.site.store.put(names.SERVERS_PREFIX + self.id, orjson.dumps(entry))

    def models(self):
        return [
            {"name": model, "version": version, "adapters": []}
            for model, version in self.versions.items()
        ]

    async def __call__(self, request):
        expected = request.headers.get(names.EXPECT_SERVER, self.id)
        if expected != self.id:
            return message.Response(421, {names.SERVER_ID: self.id})
        if request.path == "/report":
            return json_response(
                {
                    "stage": "mixed",
                    "models": self.models(),
                    "busy": bool(self.loading),
                    "sequence": self.orders,
                }
            )
        if request.path == "/order":
            return self.take_order(orjson.loads(request.body))
        if names.KEY in request.headers:
            self.site.broken.append("a key reached a server")
        return await self.run(request)

    def take_order(self, order):
        self.site.orders.append((self.id, order, trio.current_time()))
        if order["fence"] < self.fence:
            return message.Response(412)
        self.fence = order["fence"]
        if self.loading or order["expectedRev"] != self.orders:
            return message.Response(409)
        if self.versions[order["model"]] == order["version"]:
            return message.Response(200)
        self.orders += 1
        self.loading = order["model"]
        self.site.nursery.start_soon(self.load, order)
        return message.Response(202)

    async def load(self, order):
        await trio.sleep(0.9)
        self.versions[order["model"]] = order["version"]
        self.loading = ""

    def head(self, request):
        return {
            names.REQUEST_ID: request.headers[names.REQUEST_ID],
            names.SIGNATURE: f"signed-{request.headers[names.REQUEST_ID]}",
            names.SERVER_LOAD: f"{len(self.running)},0,{self.slots}",
        }

    def turn_away(self, status=503):
        return message.Response(status, {names.NOT_RUN: "1"})

    async def run(self, request):
        model = request.headers.get(names.MODEL, "")
        version = self.versions.get(model, 0)
        wanted = request.headers.get(names.EXPECT_VERSION)
        if wanted is not None and int(wanted) != version:
            return self.turn_away(421)
        is_full = self.is_full or len(self.running) >= self.slots
        if is_full or self.loading == model != "":
            return self.turn_away()
        resumed = request.headers.get(names.RESUME_AFTER)
        run = Run(
            request.headers[names.REQUEST_ID],
            self.id,
            version,
            int(resumed) if resumed else None,
            trio.current_time(),
        )
        self.begun.append(run)
        self.site.runs.append(run)
        status = self.statuses.pop(0) if self.statuses else 200
        if status != 200:
            return message.Response(status, self.head(request))
        if model:
            headers = self.head(request)
            headers[names.WEIGHT_VERSION] = str(version)
            return message.Response(200, headers, chunks=self.stream(run))
        self.running.add(run.request)
        try:
            await trio.sleep(self.event_s)
        finally:
            self.running.discard(run.request)
        run.is_whole = True
        return message.Response(200, self.head(request), b"the answer")

    async def stream(self, run):
        self.running.add(run.request)
        try:
            first = (run.resumed_after or 0) + 1
            for number in range(first, self.length + 1):
                await trio.sleep(self.event_s)
                if self.drop_after is not None and number > self.drop_after:
                    await trio.sleep_forever()
                run.events += 1
                yield f"id: {number}\ndata: t{number}\n\n".encode()
            run.is_whole = True
        finally:
            self.running.discard(run.request)


class Cloud:
    """Takes usage reports and orders for servers."""

    def __init__(self, site):
        self.site = site
        self.reports = collections.defaultdict(list)
        self.orders = []
        self.fence = 0
        self.is_down = False

    async def __call__(self, request):
        if self.is_down:
            return message.Response(503)
        fence = int(request.headers[names.FENCE])
        holder = request.headers[names.DUTY_HOLDER]
        body = orjson.loads(request.body)
        if request.path == "/usage":
            if fence < self.fence:
                return message.Response(409)
            self.fence = fence
            self.reports[body["window"]].append((holder, fence, body["counts"]))
        else:
            self.orders.append((holder, fence, body))
        return message.Response(200)


def make_configuration(version=1, keys=(KEY,), routes=()):
    """Returns a configuration as an operator writes it."""
    usual = [
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
        "routes": [*usual, *routes],
        "services": [
            {
                "name": "engines",
                "healthPath": "/health",
                "maxConnections": 100,
                "engine": {"slots": 4, "models": [{"name": MODEL}]},
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
    """A node of the product in the stand-in's world."""

    def __init__(self, site, name, zone):
        self.site = site
        self.name = name
        settings = deployment.SiteSettings(
            node=name,
            role="node",
            zone=zone,
            callers=f"{name}:1",
            readiness=f"{name}:2",
            peers=f"{name}:3",
            store=STORE,
            cloud=CLOUD,
            seeds=(),
            least_lease_s=1.0,
            value_bytes=1 << 20,
            heartbeat_s=1.2,
            reports_usage=True,
            orders_servers=False,
            bounds=deployment.Bounds(),
        )
        carrier = networks.MemoryExchanger(site.network, name)
        self.runtime = process.make_runtime(
            settings,
            process.Exchangers(carrier, carrier, carrier, carrier),
            site.clock,
            random.Random(name),
        )
        self.frontend = process.make_frontend(self.runtime)
        self.scope = trio.CancelScope()
        site.network.add(name, self.scope.cancel)
        site.network.serve(name, settings.callers, self.frontend)
        site.network.serve(name, settings.peers, self.runtime.answer_peer)

    async def run(self):
        with self.scope:
            await self.runtime.run()


class Site:
    """A store, two zones of servers, nodes and callers, on virtual time."""

    def __init__(self, nursery, nodes=2, plan=None):
        self.nursery = nursery
        self.clock = virtualtime.VirtualClock()
        self.network = networks.Network(nursery, plan or faults.FaultPlan())
        self.broken = []
        self.runs = []
        self.orders = []
        self.store = Store()
        self.cloud = Cloud(self)
        self.network.serve("store", STORE, self.store)
        self.network.serve("cloud", CLOUD, self.cloud)
        self.servers = {}
        for server_id, service, zone, model in (
            ("e1", "engines", "a", MODEL),
            ("e2", "engines", "b", MODEL),
            ("p1", "plain", "a", ""),
            ("p2", "plain", "b", ""),
        ):
            self.add_server(Server(self, server_id, service, zone, model))
        self.write_configuration(make_configuration())
        self.nodes = [
            Node(self, f"n{number}", "ab"[number % 2])
            for number in range(1, nodes + 1)
        ]

    def add_server(self, server):
        self.servers[server.id] = server
        self.network.serve(server.id, server.address, server)
        server.enter()

    def write_configuration(self, configuration):
        self.store.put(names.CONFIGURATION_KEY, orjson.dumps(configuration))

    def name_version(self, version, model=MODEL):
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


def make_batch(batch_id, items=4, minimum=1, step=0, scored=True):
    """Returns a batch as a trainer sends it."""

    def make_item(number):
        item = {
            "id": f"{batch_id}-i{number}",
            "path": f"{BATCH_PATH}x{number}",
            "headers": {
                "X-Kingcupscale-Model": MODEL,
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
            "model": MODEL,
            "minVersion": minimum,
            "desired": 2,
            "items": [make_item(number) for number in range(items)],
        }
    )


def text_of(length):
    """Returns the whole text of a server's stream."""
    return "\n".join(f"t{number}" for number in range(1, length + 1))
