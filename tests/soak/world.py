"""The platform on loopback, and node processes before it."""

import contextlib
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

import orjson
import trio

from kingcupscale.platform import names
from kingcupscale.web import limits
from kingcupscale.web import server
from tests.platform import fakeservers
from tests.platform import fakestore
from tests.platform import harness
from tests.soak import proxy as proxies

NODES = 4
ENGINES = 4
PLAIN_SERVERS = 2
EXIT_LIMIT_S = 15.0
# Port that a world holds at its host as long as it lasts, and the first one of
# its nodes; below the range of ports for outgoing connections.
CLAIM_PORT = 12_000
FIRST_PORT = 12_001
READY_LIMIT_S = 20.0


class Host:
    """A loopback address that no other world has, in any process.

    Outgoing connections come from 127.0.0.1, so its ports stay free for nodes
    that start again.

    Attributes:
        name: The address.
        claim: A bound socket that keeps others away.
        ports: Ports that nobody listens at yet.
    """

    def __init__(self):
        rng = random.SystemRandom()
        self.claim = socket.socket()
        self.name = ""
        while not self.name:
            name = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}.1"
            with contextlib.suppress(OSError):
                self.claim.bind((name, CLAIM_PORT))
                self.name = name
        self.ports = itertools.count(FIRST_PORT)

    def next_address(self):
        """Returns a free ``host:port``."""
        return f"{self.name}:{next(self.ports)}"

    def close(self):
        """Leaves the address to others."""
        self.claim.close()


class UnreliableStore:
    """The store's stand-in with answers that are late, lost or refused.

    Attributes:
        lost_share: Share of calls that are done but not answered.
        late_s: Most seconds by which a call is done late.
    """

    def __init__(self, store, nursery, rng):
        self.store = store
        self.nursery = nursery
        self.rng = rng
        self.lost_share = 0.0
        self.late_s = 0.0

    async def __call__(self, request):
        is_lost = self.rng.random() < self.lost_share
        if self.late_s:
            await trio.sleep(self.rng.uniform(0.0, self.late_s))
        if not is_lost:
            return await self.store(request)
        # The call is done even if its sender has given up by then.
        self.nursery.start_soon(self._do_later, request)
        await trio.sleep(10.0)
        return fakestore.json_response({}, 503)

    async def _do_later(self, request):
        await trio.sleep(self.rng.uniform(0.0, 2.0))
        await self.store(request)


class NodeProcess:
    """One node: its process, and the proxies on its ways."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.callers = world.host.next_address()
        self.readiness = world.host.next_address()
        self.peers = world.host.next_address()
        self.front = proxies.Proxy(self.callers, world.host.name)
        self.store = proxies.Proxy(world.store_address, world.host.name)
        self.cloud = proxies.Proxy(world.cloud_address, world.host.name)
        self.folder = world.folder / name
        self.folder.mkdir()
        self.offsets = self.folder / "offset"
        self.offsets.write_text("0", encoding="ascii")
        self.process = None
        self.starts = 0
        self.is_paused = False
        self.is_to_end = False

    def links(self):
        """Returns the proxies around the node."""
        return [self.front, self.store, self.cloud]

    def write_settings(self):
        """Writes the settings file and returns its path."""
        fields = {
            "node": self.name,
            "role": "node",
            "zone": self.zone,
            "listen.front": self.callers,
            "listen.ready": self.readiness,
            "listen.control": self.peers,
            "provider.address": self.store.address,
            "provider.ttlMinMs": "1000",
            "cloud.address": self.cloud.address,
            "cloud.duties": "metering",
            "bounds.leaseMs": "3000",
            "bounds.graceS": "8",
            "bounds.reportWindowS": "5",
        }
        path = self.folder / "settings"
        lines = [f"{name}={value}" for name, value in fields.items()]
        path.write_text("\n".join(lines) + "\n", encoding="ascii")
        return path

    def start(self):
        """Starts the process, with a log file of its own for each start."""
        self.starts += 1
        self.is_to_end = False
        log = (self.folder / f"log-{self.starts}").open("wb")
        words = [
            sys.executable,
            "-m",
            "tests.soak.node",
            str(self.offsets),
            "--settings",
            str(self.write_settings()),
        ]
        self.process = subprocess.Popen(words, stdout=log, stderr=log)
        log.close()

    def send(self, number):
        """Sends a signal to the process, if it is still there."""
        if self.process.poll() is None:
            self.is_to_end |= number in (signal.SIGTERM, signal.SIGKILL)
            os.kill(self.process.pid, number)

    def restart_ended(self):
        """Starts the process if it has ended; returns its code if unasked."""
        code = self.process.poll()
        if code is None:
            return None
        is_unasked = not self.is_to_end
        self.start()
        return code if is_unasked else None

    def pause(self, is_paused):
        """Stops the process or has it go on."""
        self.is_paused = is_paused
        self.send(signal.SIGSTOP if is_paused else signal.SIGCONT)

    async def wait(self, limit_s):
        """Returns the exit code; None if the process is still there."""
        with trio.move_on_after(limit_s):
            while self.process.poll() is None:
                await trio.sleep(0.05)
        return self.process.poll()

    def last_words(self):
        """Returns what the process has written beside its log."""
        path = self.folder / f"log-{self.starts}"
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if not line.startswith("{")][-6:]

    async def end(self):
        """Ends the process for good."""
        self.pause(False)
        self.send(signal.SIGTERM)
        code = await self.wait(EXIT_LIMIT_S)
        if code is None:
            self.process.kill()
            self.process.wait()
        return code


class World:
    """Everything that a soak runs: platform, nodes and links.

    Args:
        folder: Where settings and logs go.
        nursery: Runs the platform.
        rng: Decides what the platform does wrong.
    """

    def __init__(self, folder, nursery, rng):
        self.folder = pathlib.Path(folder)
        self.nursery = nursery
        self.rng = rng
        self.host = Host()
        self.store = fakestore.Store()
        self.unreliable = UnreliableStore(self.store, nursery, rng)
        self.violations = []
        self.runs = []
        self.orders = []
        self.servers = {}
        self.server_links = {}
        self.cloud = fakeservers.Cloud(self)
        self.nodes = []
        self.store_address = ""
        self.cloud_address = ""
        self.named_version = 1
        self.configurations = 1

    async def open(self):
        """Starts the platform and the nodes, and waits for them."""
        self.store_address = await self._serve(self.unreliable)
        self.cloud_address = await self._serve(self.cloud)
        for number in range(ENGINES + PLAIN_SERVERS):
            is_engine = number < ENGINES
            await self._add_server(
                f"e{number}",
                "engines" if is_engine else "plain",
                "ab"[number % 2],
                harness.MODEL if is_engine else "",
            )
        self.write_configuration(harness.make_configuration())
        for number in range(NODES):
            node = NodeProcess(self, f"n{number}", "ab"[number % 2])
            for link in node.links():
                await self.nursery.start(link.run)
            node.start()
            self.nodes.append(node)
        self.nursery.start_soon(self._beat)

    async def _serve(self, handler):
        async def never():
            await trio.sleep_forever()

        return await self.nursery.start(
            server.serve,
            handler,
            f"{self.host.name}:0",
            limits.constant(limits.Limits()),
            never,
        )

    async def _add_server(self, name, service, zone, model):
        added = fakeservers.Server(self, name, service, zone, model)
        added.length = 40
        link = proxies.Proxy(await self._serve(added), self.host.name)
        await self.nursery.start(link.run)
        added.address = link.address
        self.servers[name] = added
        self.server_links[name] = link
        added.register()

    async def _beat(self):
        """Has servers come back that the store has lost."""
        while True:
            await trio.sleep(1.0)
            for name, present in self.servers.items():
                if names.SERVERS_PREFIX + name not in self.store.items:
                    present.register()

    def write_configuration(self, configuration):
        """Writes a configuration as the operator does."""
        self.store.put(names.CONFIGURATION_KEY, orjson.dumps(configuration))

    def name_version(self):
        """Names the next weight version as the trainer does."""
        self.named_version += 1
        value = {"model": harness.MODEL, "version": self.named_version}
        self.store.put(
            names.VERSIONS_PREFIX + harness.MODEL, orjson.dumps(value)
        )

    def heal(self):
        """Ends all disturbances that do not end by themselves."""
        self.store.is_down = False
        self.unreliable.lost_share = 0.0
        self.unreliable.late_s = 0.0
        self.cloud.is_down = False
        links = [link for node in self.nodes for link in node.links()]
        for link in [*links, *self.server_links.values()]:
            link.heal()
        for node in self.nodes:
            node.pause(False)
            node.offsets.write_text("0", encoding="ascii")

    async def close(self):
        """Ends all processes; returns what each wrote that ended badly."""
        failed = {}

        async def end(node):
            code = await node.end()
            if code != 0:
                failed[node.name] = (code, node.last_words())

        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                nursery.start_soon(end, node)
        self.host.close()
        return failed


def make_rng(seed, purpose):
    """Returns random numbers of their own for one purpose."""
    return random.Random(f"{seed} {purpose}")
