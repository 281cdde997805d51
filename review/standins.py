"""Stand-ins of the platform, of engines and of clients, with asyncio only.

They follow the users' pages: a store with revisions, leases and watches; the
cloud API; model engines that stream events; plain servers; and a launcher that
starts nodes with the command of the deploy file and restarts those that exit.
All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
STORE_LATENCY_S = 0.004
SPIN_S = 0.002
MAX_ENTRIES = 32
COULD_NOT_RUN = 2
ID = "x-kingcupscale-request-id"
STAMP = "X-Kingcupscale-Server-Stamp"
NOT_RUN = "X-Kingcupscale-Not-Executed"
CONNECTION_ERRORS = (ConnectionError, asyncio.IncompleteReadError, OSError)


class Record:
    """Collects what was sent, answered and run, and writes it to a file."""

    def __init__(self, path):
        self.path = path
        self.started_at = time.monotonic()
        self.lines = []

    def add(self, *parts):
        """Adds one line with the time since the start."""
        elapsed_s = time.monotonic() - self.started_at
        text = " ".join(str(part) for part in parts)
        self.lines.append(f"{elapsed_s:8.3f} {text}")

    def write(self, verdict):
        """Writes the lines and the verdict, which is printed as well."""
        self.path.write_text("\n".join([*self.lines, verdict, ""]))
        print(verdict)


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body
        self.id = headers.get(ID, "")


async def read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def encode_response(status, headers=(), body=b""):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in dict(headers).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def encode_json(value, status=200):
    """Returns the bytes of a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return encode_response(status, headers, json.dumps(value).encode())


async def serve(handler, host, port=0):
    """Serves a handler; returns the asyncio server and its address.

    The handler gets a request and a channel, which has ``reader``, ``writer``
    and ``notes``, and returns the bytes to send, or None if it has sent them.
    """

    async def serve_channel(reader, writer):
        channel = Channel(reader, writer)
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                request = Request(method, target, headers, body)
                answer = await handler(request, channel)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve_channel, host, port)
    bound = server.sockets[0].getsockname()
    return server, f"{bound[0]}:{bound[1]}"


class Channel:
    """One channel from a client to a stand-in."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.notes = {}

    def is_closed(self):
        """Returns whether the client has closed the channel."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.lease_number = 0
        self.changed = asyncio.Event()

    async def __call__(self, request, channel):
        """Handles one call."""
        await asyncio.sleep(STORE_LATENCY_S)
        self.expire()
        query = dict(urllib.parse.parse_qsl(request.query))
        _, name, *rest = request.path.split("/")
        body = json.loads(request.body) if request.body else {}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-range":
            return self.scan(query)
        if name == "kv-txn":
            return self.commit(body)
        if name == "kv-key":
            item = self.items.get(query["key"])
            found = {"asOf": self.revision, **(item or {})}
            return encode_json(found, 200 if item else 404)
        if name == "kv-lease":
            self.lease_number += 1
            ends_at = time.monotonic() + body["ttlMs"] / 1000
            self.leases[self.lease_number] = (ends_at, body["ttlMs"])
            answer = {"lease": self.lease_number, "ttlMs": body["ttlMs"]}
            return encode_json(answer)
        lease = int(rest[0])
        if lease not in self.leases:
            return encode_json({}, 404)
        ttl_ms = self.leases[lease][1]
        if name == "kv-lease-end":
            self.end_lease(lease)
        else:
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return encode_json({"ttlMs": ttl_ms})

    def expire(self):
        """Ends the leases whose time is over."""
        now = time.monotonic()
        for lease in [n for n, (at, _) in self.leases.items() if at <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """Ends a lease and removes its keys."""
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def put(self, key, value, lease=0):
        """Writes a key, as any client of the store does."""
        self.revision += 1
        before = self.items.get(key, {})
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before.get("created", self.revision),
            "lease": lease,
        }
        self.note(self.items[key])

    def put_json(self, key, value):
        """Writes a key whose value is JSON."""
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.note(event)

    def note(self, event):
        """Adds an event to the history and wakes the watches."""
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def scan(self, query):
        """Returns a page of items."""
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix)]
        found = [self.items[k] for k in keys if k > after]
        page = {"items": found[:500], "hasMore": len(found) > 500}
        return encode_json({**page, "asOf": self.revision})

    async def watch(self, query):
        """Returns the events after a revision, as soon as there is one."""
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return encode_json({"events": found, "asOf": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def commit(self, body):
        """Executes a transaction if its conditions hold."""
        lists = (body.get(n, ()) for n in ("expectedRev", "puts", "remove"))
        if sum(map(len, lists)) > MAX_ENTRIES:
            return encode_json({"error": "too many entries"}, 400)
        for row in body.get("expectedRev", ()):
            present = self.items.get(row["key"], {}).get("revision", 0)
            if present != row["revision"]:
                return encode_json({"items": []}, 412)
        for put in body.get("puts", ()):
            if put["lease"] and put["lease"] not in self.leases:
                return encode_json({}, 404)
        for put in body.get("puts", ()):
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body.get("remove", ()):
            self.remove(key)
        return encode_json({"revision": self.revision})


async def answer_cloud(request, channel):
    """Accepts every usage report and every order, as the cloud API."""
    return encode_json({})


async def sleep_exactly(seconds):
    """Sleeps without the millisecond by which the event loop is late."""
    until = time.monotonic() + seconds
    await asyncio.sleep(max(0.0, seconds - SPIN_S))
    while time.monotonic() < until:
        await asyncio.sleep(0)


class Server:
    """What a plain server and an engine have in common.

    Attributes:
        runs: Ids of the requests that it began to work on, in order.
    """

    def __init__(self, store, record, name, service, slots, work_s):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.address = ""
        self.running = 0
        self.beats = 0
        self.runs = []
        self.models = []
        self.born_ms = int(time.time() * 1000)

    def entry(self):
        """Returns its entry in the store."""
        self.beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.beats,
            "born": self.born_ms,
            "models": self.models,
        }

    async def start(self, host):
        """Listens and registers itself."""
        self.server, self.address = await serve(self, host)
        self.store.put_json(f"servers/{self.name}", self.entry())
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        """Writes its entry at each interval."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.store.put_json(f"servers/{self.name}", self.entry())

    async def __call__(self, request, channel):
        """Answers a request."""
        expected = request.headers.get("x-kingcupscale-expect-instance")
        if expected not in (None, self.name):
            headers = {"X-Kingcupscale-Instance-Id": self.name, NOT_RUN: "1"}
            return encode_response(421, headers)
        if request.path == "/health":
            headers = {"X-Kingcupscale-Instance-Id": self.name}
            return encode_response(200, headers)
        return await self.run(request, channel)

    def headers(self, request):
        """Returns the headers of its own answers."""
        load = f"{self.running},0,{self.slots}"
        headers = {"X-Kingcupscale-Instance-Load": load}
        if request.id:
            headers["X-Kingcupscale-Request-Id"] = request.id
            headers[STAMP] = f"{self.name}.{request.id}"
        return headers

    def refuse(self, request):
        """Returns the refusal of a full server: it did not run the request."""
        self.record.add(self.name, "refused", request.id)
        headers = {"X-Kingcupscale-Request-Id": request.id, NOT_RUN: "1"}
        return encode_response(503, headers)

    async def run(self, request, channel):
        """Runs a request if a slot is free, until its time limit at most."""
        if self.running >= self.slots:
            return self.refuse(request)
        limit_ms = int(request.headers.get("x-kingcupscale-deadline-ms", 60000))
        self.runs.append(request.id)
        self.record.add(self.name, "runs", request.id, request.target)
        self.running += 1
        work_s = self.find_work_s(request)
        try:
            await sleep_exactly(min(work_s, limit_ms / 1000))
        finally:
            self.running -= 1
        status = 200 if work_s <= limit_ms / 1000 else 504
        if channel.is_closed():
            return None
        self.record.add(self.name, "answers", status, request.id)
        return encode_response(status, self.headers(request), b"the answer")

    def find_work_s(self, request):
        """Returns how long a request takes."""
        return self.work_s


class Engine(Server):
    """A model engine: streams events and takes orders to change versions."""

    def __init__(self, store, record, name, service, model, events=10):
        super().__init__(store, record, name, service, 8, 0.02)
        self.models = [{"name": model, "version": 1, "adapters": []}]
        self.orders = 0
        self.fence = 0
        self.is_busy = False
        self.events = events
        self.whole = {}

    async def run(self, request, channel):
        """Answers a report, an order or a request for tokens."""
        if request.path == "/report":
            report = {
                "stage": "mixed",
                "models": self.models,
                "busy": self.is_busy,
                "sequence": self.orders,
                "inFlight": self.running,
                "queueDepth": 0,
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
            }
            return encode_json(report)
        if request.path == "/order":
            return self.take_order(json.loads(request.body))
        version = self.models[0]["version"]
        wanted = request.headers.get("x-kingcupscale-expect-version")
        refusal = {ID: request.id, NOT_RUN: "1"}
        if wanted not in (None, str(version)):
            return encode_response(421, refusal)
        if self.is_busy or self.running >= self.slots:
            return encode_response(503, refusal)
        await self.stream(request, channel, version)
        return None

    def take_order(self, order):
        """Accepts an order to load a version, as the page says."""
        self.record.add(self.name, "order", json.dumps(order))
        if order["fence"] < self.fence:
            return encode_response(412)
        self.fence = order["fence"]
        if self.is_busy or order["expectedRev"] != self.orders:
            return encode_response(409)
        if self.models[0]["version"] == order["version"]:
            return encode_response(200)
        self.orders += 1
        self.is_busy = True
        self.loading = asyncio.create_task(self.load(order["version"]))
        return encode_response(202)

    async def load(self, version):
        """Loads a version once the runs have finished."""
        while self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.9)
        self.models[0]["version"] = version
        self.is_busy = False

    async def stream(self, request, channel, version):
        """Streams the events of a text from the first one that is wanted."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        self.runs.append(request.id)
        self.record.add(self.name, "runs", request.id, "from event", first)
        headers = {
            **self.headers(request),
            "Content-Type": "text/event-stream",
            "X-Kingcupscale-Weight-Versions": version,
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer = channel.writer
        self.running += 1
        try:
            head = ["HTTP/1.1 200 Answer", *lines, "", ""]
            writer.write("\r\n".join(head).encode())
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.work_s)
                if channel.is_closed():
                    return
                event = f"id: {number}\ndata: t{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.whole[request.id] = self.whole.get(request.id, 0) + 1
        finally:
            self.running -= 1


class Node:
    """A node, started with the command of the deploy file.

    Attributes:
        ends: Exit codes of the processes that ended by themselves.
    """

    def __init__(self, world, number, zone):
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.host = f"{world.net}.{10 + number}"
        self.callers = f"{self.host}:8368"
        self.ready = f"{self.host}:8369"
        self.peers = f"{self.host}:8367"
        self.process = None
        self.ends = []
        self.is_wanted = False
        self.first_seed = 0

    def write_settings(self):
        """Writes the settings file of the platform and returns its path."""
        path = self.world.folder / f"{self.name}.conf"
        numbers = range(self.first_seed, self.first_seed + 3)
        seeds = [f"{self.world.net}.{10 + n}:8367" for n in numbers]
        fields = {
            "node": self.name,
            "role": "node",
            "machineClass": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.zone,
            "region": "r",
            "zones.a": "r",
            "zones.b": "r",
            "listen.front": self.callers,
            "listen.ready": self.ready,
            "listen.control": self.peers,
            "portRange": "7780,7795",
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.memoryMb": "560",
            "limits.maxFds": "8200",
            "heartbeatMs": "1200",
            "discovery": "platform",
            "entry": "vip",
            **{f"bounds.{n}": v for n, v in BOUNDS.items()},
            "provider.address": self.world.store_address,
            "provider.form": "kv",
            "provider.writesPerS": "400",
            "provider.readsPerS": "2000",
            "provider.historyS": "20",
            "provider.valueBytes": "1048576",
            "provider.ttlMinMs": "1000",
            "cloud.address": self.world.cloud_address,
            "cloud.ratePerS": "50.0",
            "cloud.duties": "metering",
            "cloud.dutyPerS": "50.0",
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        path.write_text(text)
        return path

    def start(self):
        """Starts the process."""
        self.is_wanted = True
        variables = {
            n: os.environ[n]
            for n in ("PATH", "HOME", "LANG")
            if n in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["KINGCUPSCALE_CONFIG"] = str(self.write_settings())
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    async def keep_running(self):
        """Restarts the process after a short delay whenever it ends."""
        while True:
            await asyncio.sleep(0.05)
            if self.is_wanted and self.process.poll() is not None:
                self.ends.append(self.process.returncode)
                self.world.record.add(
                    self.name, "ended by itself, code", self.process.returncode
                )
                await asyncio.sleep(RESTART_DELAY_S)
                if self.is_wanted:
                    self.start()

    def kill(self):
        """Ends the process for good."""
        self.is_wanted = False
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class World:
    """A small deployment on loopback addresses of its own."""

    def __init__(self, record_path, nodes):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.net = find_free_net()
        self.store = Store()
        self.nodes = [Node(self, n, "ab"[n % 2]) for n in range(nodes)]
        self.servers = []
        self.tasks = []

    async def __aenter__(self):
        """Starts the store and the cloud API."""
        _, self.store_address = await serve(self.store, f"{self.net}.2")
        _, self.cloud_address = await serve(answer_cloud, f"{self.net}.3")
        return self

    async def add(self, server):
        """Starts a server on an address of its own."""
        self.servers.append(server)
        await server.start(f"{self.net}.{100 + len(self.servers)}")
        return server

    async def start_nodes(self):
        """Starts the nodes and waits until all of them are ready."""
        for node in self.nodes:
            node.start()
            self.tasks.append(asyncio.create_task(node.keep_running()))
        for node in self.nodes:
            for _ in range(400):
                answer = await call(node.ready, "GET", "/ready", timeout_s=1)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError(f"{node.name} does not become ready")
        await asyncio.sleep(3.0)

    async def __aexit__(self, kind, error, _):
        """Ends everything that was started; records an error."""
        if kind is not None:
            self.record.write(f"could not run: {kind.__name__}: {error}")
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        for node in self.nodes if keep else ():
            log = self.folder / f"{node.name}.log"
            pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


class Answer:
    """What a client got; status 0 if the channel ended without an answer."""

    def __init__(self, status=0, headers=None, body=b"", reason=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.reason = reason


class Client:
    """A client with one kept channel, opened anew when it has ended."""

    def __init__(self, address):
        self.address = address
        self.writer = None
        self.reader = None

    async def send(self, method, target, headers=None, body=b"", timeout_s=5):
        """Sends a request and returns the answer."""
        try:
            async with asyncio.timeout(timeout_s):
                if self.writer is None:
                    host, _, port = self.address.rpartition(":")
                    self.reader, self.writer = await asyncio.open_connection(
                        host, int(port)
                    )
                lines = [f"{method} {target} HTTP/1.1"]
                fields = {"Host": self.address, **(headers or {})}
                fields["Content-Length"] = len(body)
                lines += [f"{n}: {v}" for n, v in fields.items()]
                head = "\r\n".join([*lines, "", ""]).encode("latin-1")
                self.writer.write(head + body)
                first, found, body = await read_message(self.reader)
        except TimeoutError:
            self.close()
            return Answer(reason="time limit")
        except (*CONNECTION_ERRORS, ValueError) as e:
            self.close()
            return Answer(reason=f"channel ended: {type(e).__name__}")
        if found.get("connection") == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), found, body)

    def close(self):
        """Closes the channel."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def call(address, method, target, headers=None, body=b"", timeout_s=5):
    """Sends one request on a new channel."""
    client = Client(address)
    answer = await client.send(method, target, headers, body, timeout_s)
    client.close()
    return answer


def find_free_net():
    """Returns the first three numbers of loopback addresses not in use."""
    rng = random.SystemRandom()
    while True:
        net = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{net}.10", 8368))
            return net


def new_id():
    """Returns the id of a request."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


async def submit(node, route, key, batch, timeout_s=8):
    """Submits a batch; returns the answer."""
    headers = {
        "Host": route["host"],
        "Api-Key": key,
        "X-Kingcupscale-Request-Id": batch["id"],
        "X-Kingcupscale-Deadline-Ms": int(timeout_s * 1000),
        "Content-Type": "application/json",
    }
    body = {n: v for n, v in batch.items() if n != "id"}
    target = f"{route['pathPrefix']}{batch['id']}"
    payload = json.dumps(body).encode()
    return await call(node.callers, "POST", target, headers, payload, timeout_s)


async def read_results(node, route, key, batch_id, after=0):
    """Reads the results of a batch from a position on, or returns None."""
    headers = {
        "Host": route["host"],
        "Api-Key": key,
        "X-Kingcupscale-Request-Id": new_id(),
        "X-Kingcupscale-Deadline-Ms": 3000,
        "X-Kingcupscale-Wait-Ms": 1000,
    }
    target = f"/lots/{batch_id}?after={after}"
    answer = await call(node.callers, "GET", target, headers, timeout_s=4)
    return json.loads(answer.body) if answer.status == 200 else None


def read_command():
    """Returns the command of the deploy file for the node role."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return tomllib.loads(text)["roles"]["node"]["run"].split(" ")


def run_case(main):
    """Runs a case and exits with its code; with 2 if it could not run.

    SIGTERM cancels the case, so that its processes are ended.
    """

    async def run():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await main()

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = COULD_NOT_RUN
    sys.exit(code)


def has_trouble():
    """Returns whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


COMMAND = read_command()
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4.5,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "stretchMaxMs": 5000,
    "requireFence": "true",
    "leaseMs": 3000,
    "thawMs": 300,
    "reportWindowS": 5,
    "usageLateS": 10,
    "recoveryS": 12,
    "statusRetentionS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
}
