"""Starts a node's process on loopback with stand-ins of what it calls."""

import contextlib
import functools
import os
import pathlib
import socket
import subprocess
import sys
import tempfile

import orjson
import trio

from kingcupscale.platform import names
from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server
from tests.platform import fakeservers
from tests.platform import fakestore
from tests.platform import harness

ROOT = pathlib.Path(__file__).parent.parent.parent
# Lowered limits, so that few clients on loopback suffice to exceed them.
BODY_BYTES = 4 << 20
BUDGET_MB = 16
MAX_FDS = 400
MAX_RISE_BYTES = 64 << 20
SETTINGS = {
    "limits.memoryMb": 200,
    "limits.maxFds": MAX_FDS,
    "clients.memoryMb": BUDGET_MB,
}
START_LIMIT_S = 60.0
CALL_LIMIT_S = 60.0
POLL_S = 0.1
REGISTER_INTERVAL_S = 1.0


class Node:
    """A node's process.

    Attributes:
        pid: Id of the process.
        callers: ``host:port`` for callers.
        peers: ``host:port`` for other nodes.
        metrics: ``host:port`` of the metrics.
        base_bytes: Resident memory before the clients.
        peak_bytes: Most resident memory since the start of the process.
        peak_fds: Most open descriptors that were sampled.
    """

    def __init__(self, popen, addresses):
        self.popen = popen
        self.pid = popen.pid
        self.callers, self.readiness, self.peers, self.metrics = addresses
        self.base_bytes = 0
        self.peak_bytes = 0
        self.peak_fds = 0

    def sample(self):
        """Updates the peaks; fails if the process has ended."""
        status = self.popen.poll()
        if status is not None:
            raise AssertionError(f"the node's process ended with {status}")
        self.peak_bytes = self.read_memory("VmHWM")
        self.peak_fds = max(
            self.peak_fds, len(os.listdir(f"/proc/{self.pid}/fd"))
        )

    def read_memory(self, name):
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(t for t in text.splitlines() if t.startswith(f"{name}:"))
        return int(line.split()[1]) * 1024

    def rise_bytes(self):
        return self.peak_bytes - self.base_bytes

    async def sample_forever(self):
        while True:
            self.sample()
            await trio.sleep(POLL_S)

    async def call_until_answered(self, body=b"an ordinary body"):
        """Makes an ordinary call until it is answered with 200.

        A refusal is allowed, as is a closed connection; a caller tries again.
        """
        statuses = []
        with trio.move_on_after(CALL_LIMIT_S):
            while True:
                status = await self._call(body)
                statuses.append(status)
                if status == 200:
                    return
                await trio.sleep(POLL_S)
        raise AssertionError(f"no call was answered with 200: {statuses}")

    async def _call(self, body=b"an ordinary body"):
        client = httpclient.PooledHttpClient()
        fields = {
            "host": harness.HOST,
            names.KEY: harness.KEY,
            names.REQUEST_ID: os.urandom(8).hex(),
            names.DEADLINE_MS: "2000",
        }
        request = message.Request(
            "POST", f"{harness.CALL_PATH}1", "", fields, body
        )
        try:
            response = await httpclient.fetch(
                client, self.callers, request, CALL_LIMIT_S / 4
            )
            return response.status
        except httpclient.RequestError as e:
            return e.reason
        finally:
            await client.aclose()


class _Site:
    """What the stand-ins of backend servers record their calls in."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = fakestore.Store()
        self.runs = []
        self.violations = []


@contextlib.asynccontextmanager
async def launch(settings=SETTINGS, body_bytes=BODY_BYTES):
    """Yields a node that has answered a call, and ends it afterwards."""
    async with trio.open_nursery() as nursery:
        site = _Site(nursery)
        store = await _serve(nursery, site.store)
        cloud = await _serve(nursery, fakeservers.Cloud(site))
        plain = fakeservers.Server(site, "p1", "plain", "a", slots=100)
        plain.address = await _serve(nursery, plain)
        nursery.start_soon(_register_forever, plain)
        configuration = harness.make_configuration()
        configuration["limits"] = {
            "maxBodyBytes": body_bytes,
            "maxHeaderBytes": 16 * 1024,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 12_000,
        }
        site.store.put(names.CONFIGURATION_KEY, orjson.dumps(configuration))
        with (
            tempfile.TemporaryDirectory() as folder,
            _start(pathlib.Path(folder), store, cloud, settings) as node,
        ):
            await node.call_until_answered()
            node.base_bytes = node.read_memory("VmRSS")
            yield node
        nursery.cancel_scope.cancel()


async def _serve(nursery, handler):
    allowed = limits.constant(limits.Limits(body_bytes=64 << 20, idle_s=60.0))
    return await nursery.start(
        functools.partial(
            server.serve,
            handler,
            "127.0.0.1:0",
            allowed,
            trio.sleep_forever,
        )
    )


async def _register_forever(plain):
    while True:
        plain.register()
        await trio.sleep(REGISTER_INTERVAL_S)


@contextlib.contextmanager
def _start(folder, store, cloud, settings):
    addresses = [f"127.0.0.1:{_free_port()}" for _ in range(4)]
    fields = {
        "node": "n1",
        "role": "node",
        "zone": "a",
        "listen.front": addresses[0],
        "listen.ready": addresses[1],
        "listen.control": addresses[2],
        "provider.address": store,
        "cloud.address": cloud,
        **settings,
    }
    file = folder / "node.settings"
    lines = [f"{name}={value}" for name, value in fields.items()]
    file.write_text("\n".join([*lines, ""]))
    port = addresses[3].rpartition(":")[2]
    with (folder / "log").open("wb") as log:
        popen = subprocess.Popen(
            [sys.executable, str(ROOT / "deploy" / "node.py")]
            + ["--settings", str(file), "--metrics-port", port],
            stdout=log,
            stderr=log,
        )
    try:
        yield Node(popen, addresses)
    finally:
        popen.kill()
        popen.wait()


def _free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
