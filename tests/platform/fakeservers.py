"""In-memory backend servers and cloud API that record the requests they get."""

import collections

import attrs
import orjson
import trio

from kingcupscale.platform import names
from kingcupscale.web import message
from tests.platform import fakestore


@attrs.define
class Run:
    """A request that a server has started to execute.

    Attributes:
        request: Id of the request.
        server: Id of the server.
        version: Weight version; 0 on a plain server.
        resumed_after: Number of the last event that the client already has;
            None if it is not resumed.
        at: Time at which it started.
        events: Number of events sent so far.
        is_complete: Whether the response is complete.
    """

    request: str
    server: str
    version: int
    resumed_after: int | None
    at: float
    events: int = 0
    is_complete: bool = False


class Server:
    """A backend server: a model engine, or a plain server without a model.

    Attributes:
        slowness_percent: How long its work takes, as it reports.
        event_s: Seconds that each event takes, or a whole plain response.
        length: Number of events of a stream.
        orders: Number of orders accepted.
        heartbeats: Number of times that it wrote its entry.
        fence: Highest fencing token of any order.
        loading: Model whose weights it is loading; empty if none.
        is_full: Whether it rejects all requests.
        statuses: Statuses of the next responses; 200 when it is empty.
        started_runs: The requests that it has started to execute.
        running: Ids of the requests that are running.
        stall_after: Number of the event after which streams stall; None for
            never.
        is_leaving: Whether responses say that it is about to shut down.
        start_ms: Start time, as in its entry.
    """

    def __init__(self, site, server_id, service, zone, model="", slots=4):
        self.site = site
        self.id = server_id
        self.service = service
        self.zone = zone
        self.address = f"{server_id}:80"
        self.versions = {model: 1} if model else {}
        self.slots = slots
        self.slowness_percent = 100
        self.event_s = 0.02
        self.length = 10
        self.orders = 0
        self.heartbeats = 0
        self.fence = 0
        self.loading = ""
        self.state = "ready"
        self.is_full = False
        self.statuses = []
        self.started_runs = []
        self.running = set()
        self.stall_after = None
        self.is_leaving = False
        self.start_ms = 1

    def register(self):
        self.heartbeats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.heartbeats,
            "born": self.start_ms,
            "models": self.models(),
        }
        self.site.store.put(names.SERVERS_PREFIX + self.id, orjson.dumps(entry))

    def models(self):
        return [
            {"name": model, "version": version, "adapters": []}
            for model, version in self.versions.items()
        ]

    async def __call__(self, request):
        response = await self.handle(request)
        if self.is_leaving:
            response.headers[names.SERVER_LEAVING] = "1"
        return response

    async def handle(self, request):
        expected = request.headers.get(names.EXPECT_SERVER, self.id)
        if expected != self.id:
            return message.Response(421, {names.SERVER_ID: self.id})
        if request.path == "/report":
            return fakestore.json_response(
                {
                    "stage": "mixed",
                    "models": self.models(),
                    "busy": bool(self.loading),
                    "sequence": self.orders,
                }
            )
        if request.path == "/order":
            return self.handle_order(orjson.loads(request.body))
        if names.KEY in request.headers:
            self.site.violations.append("a key reached a server")
        return await self.run(request)

    def handle_order(self, order):
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

    def response_headers(self, request):
        return {
            names.REQUEST_ID: request.headers[names.REQUEST_ID],
            names.SIGNATURE: f"signed-{request.headers[names.REQUEST_ID]}",
            names.SERVER_LOAD: f"{len(self.running)},0,{self.slots}"
            f",{self.slowness_percent}",
        }

    def reject(self, status=503):
        return message.Response(status, {names.NOT_RUN: "1"})

    async def run(self, request):
        model = request.headers.get(names.MODEL, "")
        version = self.versions.get(model, 0)
        wanted = request.headers.get(names.EXPECT_VERSION)
        if wanted is not None and int(wanted) != version:
            return self.reject(421)
        is_full = self.is_full or len(self.running) >= self.slots
        if is_full or self.loading == model != "":
            return self.reject()
        resumed = request.headers.get(names.RESUME_AFTER)
        run = Run(
            request.headers[names.REQUEST_ID],
            self.id,
            version,
            int(resumed) if resumed else None,
            trio.current_time(),
        )
        self.started_runs.append(run)
        self.site.runs.append(run)
        status = self.statuses.pop(0) if self.statuses else 200
        if status != 200:
            return message.Response(status, self.response_headers(request))
        if model:
            headers = self.response_headers(request)
            headers[names.WEIGHT_VERSION] = str(version)
            return message.Response(200, headers, chunks=self.stream(run))
        self.running.add(run.request)
        try:
            await trio.sleep(self.event_s)
        finally:
            self.running.discard(run.request)
        run.is_complete = True
        return message.Response(
            200, self.response_headers(request), b"the answer"
        )

    async def stream(self, run):
        self.running.add(run.request)
        try:
            first = (run.resumed_after or 0) + 1
            for number in range(first, self.length + 1):
                await trio.sleep(self.event_s)
                if self.stall_after is not None and number > self.stall_after:
                    await trio.sleep_forever()
                run.events += 1
                yield f"id: {number}\ndata: t{number}\n\n".encode()
            run.is_complete = True
        finally:
            self.running.discard(run.request)


class Cloud:
    """The cloud API: accepts usage reports and orders for servers."""

    def __init__(self, site):
        self.site = site
        self.reports = collections.defaultdict(list)
        self.orders = []
        self.fence = 0
        self.is_down = False

    async def __call__(self, request):
        if self.is_down:
            return message.Response(503)
        fence = int(request.headers[names.FENCING_TOKEN])
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
