"""The system under soak test, on loopback.

Runs a fake store, fake backend servers and a fake usage reporting endpoint in
this process, and real node processes that reach them through fault-injecting
proxies. The store holds entries of other writers from the start.
"""

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
from kingcupscale.web import message
from kingcupscale.web import server
from tests.platform import fakeservers
from tests.platform import fakestore
from tests.platform import harness
from tests.platform import test_foreign_entries
from tests.soak import proxy as proxies

NODES = 4
ENGINES = 4
PLAIN_SERVERS = 2
# A server that has ended is replaced after a random time in this range. Its
# entry is removed after ENTRY_TIMEOUT_S, as its heartbeat has lapsed.
MIN_RESTART_S = 2.0
MAX_RESTART_S = 4.0
ENTRY_TIMEOUT_S = 3.6
# Time for the replacement to listen before its entry is written.
LISTENING_S = 0.1
EXIT_TIMEOUT_S = 15.0
# A world keeps RESERVED_PORT bound on its address until it is closed; its nodes
# listen from FIRST_PORT upwards. Both are below the ephemeral port range.
RESERVED_PORT = 12_000
FIRST_PORT = 12_001
READY_TIMEOUT_S = 20.0
# Lowered limits of a node, so that few uncontrolled clients reach them. The
# memory holds one body of the largest size, 4 MiB. The descriptors that clients
# cannot take are for files and the node's own connections.
CLIENT_MEMORY_MB = 5
CLIENT_CONNECTIONS = 80
MAX_FDS = 128


class Host:
    """A loopback address that no other world uses, in this or another process.

    Outgoing connections come from 127.0.0.1, so the ports of this address stay
    free for nodes that restart.

    Attributes:
        name: The address.
        reservation: A bound socket that stops other worlds from using the
            address.
        ports: Iterator over ports that are not assigned yet.
    """

    def __init__(self):
        rng = random.SystemRandom()
        self.reservation = socket.socket()
        self.name = ""
        while not self.name:
            name = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}.1"
            with contextlib.suppress(OSError):
                self.reservation.bind((name, RESERVED_PORT))
                self.name = name
        self.ports = itertools.count(FIRST_PORT)

    def next_address(self):
        """Returns the next unassigned ``host:port``."""
        return f"{self.name}:{next(self.ports)}"

    def close(self):
        """Releases the address."""
        self.reservation.close()


class UnreliableStore:
    """Wraps the fake store; delays requests and loses responses.

    Attributes:
        lost_response_rate: Fraction of requests that are applied but
            answered with 503, after 10 s.
        max_delay_s: Maximum delay of a request, in seconds.
    """

    def __init__(self, store, nursery, rng):
        self.store = store
        self.nursery = nursery
        self.rng = rng
        self.lost_response_rate = 0.0
        self.max_delay_s = 0.0

    async def __call__(self, request):
        is_lost = self.rng.random() < self.lost_response_rate
        if self.max_delay_s:
            await trio.sleep(self.rng.uniform(0.0, self.max_delay_s))
        if not is_lost:
            return await self.store(request)
        # The request is applied even if its sender has timed out by then.
        self.nursery.start_soon(self._apply_later, request)
        await trio.sleep(10.0)
        return fakestore.json_response({}, 503)

    async def _apply_later(self, request):
        await trio.sleep(self.rng.uniform(0.0, 2.0))
        await self.store(request)


class RecordedServer(fakeservers.Server):
    """A backend server that records each request that it receives."""

    async def handle(self, request):
        self.site.arrivals.append(
            (self.zone, self.id, request.path, trio.current_time())
        )
        return await super().handle(request)

    async def run(self, request):
        fatal = self.site.fatal_request
        if fatal is None or not fatal.matches(request):
            return await super().run(request)
        if self.site.end_server(self):
            fatal.check_try(request.headers[names.REQUEST_ID])
        # Its connections have been reset, so this reaches nobody.
        return message.Response(500)


class NodeProcess:
    """One node: its process and its proxies to callers, store and cloud.

    Peers connect to each other directly, without a proxy.
    """

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.caller_address = world.host.next_address()
        self.readiness_address = world.host.next_address()
        self.peer_address = world.host.next_address()
        self.caller_proxy = proxies.Proxy(self.caller_address, world.host.name)
        self.store_proxy = proxies.Proxy(world.store_address, world.host.name)
        self.cloud_proxy = proxies.Proxy(world.cloud_address, world.host.name)
        self.folder = world.folder / name
        self.folder.mkdir()
        self.clock_offset_file = self.folder / "offset"
        self.clock_offset_file.write_text("0", encoding="ascii")
        self.process = None
        self.starts = 0
        self.is_paused = False
        self.is_stop_requested = False

    def links(self):
        """Returns the proxies to the callers, the store and the cloud."""
        return [self.caller_proxy, self.store_proxy, self.cloud_proxy]

    def write_settings(self):
        """Writes the settings file and returns its path."""
        fields = {
            "node": self.name,
            "role": "node",
            "zone": self.zone,
            "listen.front": self.caller_address,
            "listen.ready": self.readiness_address,
            "listen.control": self.peer_address,
            "provider.address": self.store_proxy.address,
            "provider.ttlMinMs": "1000",
            "cloud.address": self.cloud_proxy.address,
            "cloud.duties": "metering",
            "bounds.leaseMs": "3000",
            "bounds.graceS": "8",
            "bounds.reportWindowS": "5",
            "clients.memoryMb": str(CLIENT_MEMORY_MB),
            "clients.connections": str(CLIENT_CONNECTIONS),
            "limits.maxFds": str(MAX_FDS),
        }
        path = self.folder / "settings"
        lines = [f"{name}={value}" for name, value in fields.items()]
        path.write_text("\n".join(lines) + "\n", encoding="ascii")
        return path

    def start(self):
        """Starts the process; each start has its own log file."""
        self.starts += 1
        self.is_stop_requested = False
        log = (self.folder / f"log-{self.starts}").open("wb")
        command = [
            sys.executable,
            "-m",
            "tests.soak.node",
            str(self.clock_offset_file),
            "--settings",
            str(self.write_settings()),
        ]
        self.process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def send(self, signal_number):
        """Sends a signal to the process if it is still running."""
        if self.process.poll() is None:
            self.is_stop_requested |= signal_number in (
                signal.SIGTERM,
                signal.SIGKILL,
            )
            os.kill(self.process.pid, signal_number)

    def restart_if_exited(self):
        """Restarts the process if it has exited.

        Returns the exit code if no signal had asked it to stop, else None.
        """
        code = self.process.poll()
        if code is None:
            return None
        is_unexpected = not self.is_stop_requested
        self.start()
        return code if is_unexpected else None

    def check_stop(self, code):
        """Records the exit code of a planned stop that did not succeed.

        SIGKILL may have come as well, and SIGTERM ends a process at once that
        has not started to serve.
        """
        if code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.world.failed_stops.append((self.name, code))

    def pause(self, is_paused):
        """Suspends or resumes the process."""
        self.is_paused = is_paused
        self.send(signal.SIGSTOP if is_paused else signal.SIGCONT)

    async def wait(self, timeout_s):
        """Returns the exit code, or None if the process is still running."""
        with trio.move_on_after(timeout_s):
            while self.process.poll() is None:
                await trio.sleep(0.05)
        return self.process.poll()

    def last_output_lines(self):
        """Returns the last six output lines that are not JSON log entries."""
        path = self.folder / f"log-{self.starts}"
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if not line.startswith("{")][-6:]

    async def shut_down(self):
        """Shuts the process down; kills it after ``EXIT_TIMEOUT_S``."""
        self.pause(False)
        self.send(signal.SIGTERM)
        code = await self.wait(EXIT_TIMEOUT_S)
        if code is None:
            self.process.kill()
            self.process.wait()
        return code


class World:
    """Everything that a soak test runs: fake services, nodes and proxies.

    Args:
        folder: Folder for settings and logs.
        nursery: Runs the fake services and the proxies.
        rng: Chooses the faults of the unreliable store.
        plain_servers: Number of plain servers.

    Attributes:
        fatal_request: The request under which plain servers end; None for none.
        violations: What backend servers received and must not receive.
        runs: All requests that backend servers have started to execute.
        arrivals: All requests to backend servers, each as (zone, server, path,
            time).
        orders: Orders that backend servers received, each with the server's id
            and the time.
        server_links: Proxies of the backend servers, by server id.
        published_version: Latest weight version.
        configuration_count: Number of configurations written.
        failed_stops: Names and exit codes of nodes that a planned stop should
            have ended with code 0.
    """

    def __init__(self, folder, nursery, rng, plain_servers=PLAIN_SERVERS):
        self.folder = pathlib.Path(folder)
        self.plain_servers = plain_servers
        self.fatal_request = None
        self.nursery = nursery
        self.rng = rng
        self.host = Host()
        self.store = fakestore.Store()
        self.unreliable_store = UnreliableStore(self.store, nursery, rng)
        self.violations = []
        self.runs = []
        self.arrivals = []
        self.orders = []
        self.servers = {}
        self.server_links = {}
        self.cloud = fakeservers.Cloud(self)
        self.nodes = []
        self.store_address = ""
        self.cloud_address = ""
        self.published_version = 1
        self.configuration_count = 1
        self.failed_stops = []

    async def open(self):
        """Starts the fake services, the proxies and the node processes."""
        self.store_address = await self._serve(self.unreliable_store)
        self.cloud_address = await self._serve(self.cloud)
        for number in range(ENGINES + self.plain_servers):
            is_engine = number < ENGINES
            await self._add_server(
                f"e{number}",
                "engines" if is_engine else "plain",
                "ab"[number % 2],
                harness.MODEL if is_engine else "",
            )
        for name, value in test_foreign_entries.VALUES.items():
            self.store.put(f"{names.SERVERS_PREFIX}x-{name}", value)
        self.write_configuration(harness.make_configuration())
        for number in range(NODES):
            node = NodeProcess(self, f"n{number}", "ab"[number % 2])
            for link in node.links():
                await self.nursery.start(link.run)
            node.start()
            self.nodes.append(node)
        self.nursery.start_soon(self._reregister_lost_servers)

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
        added = RecordedServer(self, name, service, zone, model)
        added.length = 40
        link = proxies.Proxy(await self._serve(added), self.host.name)
        await self.nursery.start(link.run)
        added.address = link.address
        self.servers[name] = added
        self.server_links[name] = link
        added.register()

    def end_server(self, ended):
        """Ends a server, which another one replaces at the same address.

        Returns whether it had not ended before.
        """
        if self.servers.pop(ended.id, None) is None:
            return False
        closed_s = self.rng.uniform(MIN_RESTART_S, MAX_RESTART_S)
        self.server_links[ended.id].close_for(closed_s)
        self.nursery.start_soon(self._remove_entry, ended.id)
        self.nursery.start_soon(self._replace, ended, closed_s)
        return True

    async def _remove_entry(self, name):
        await trio.sleep(ENTRY_TIMEOUT_S)
        self.store.remove(names.SERVERS_PREFIX + name)

    async def _replace(self, ended, closed_s):
        await trio.sleep(closed_s + LISTENING_S)
        link = self.server_links[ended.id]
        ended.id += "r"
        self.servers[ended.id] = ended
        self.server_links[ended.id] = link
        ended.register()

    async def _reregister_lost_servers(self):
        """Registers servers again whose entries are gone from the store."""
        while True:
            await trio.sleep(1.0)
            for name, backend_server in self.servers.items():
                if names.SERVERS_PREFIX + name not in self.store.items:
                    backend_server.register()

    def write_configuration(self, configuration):
        """Writes a configuration to the store, as an operator would."""
        self.store.put(names.CONFIGURATION_KEY, orjson.dumps(configuration))

    def publish_version(self):
        """Publishes the next weight version, as the trainer would."""
        self.published_version += 1
        value = {"model": harness.MODEL, "version": self.published_version}
        self.store.put(
            names.VERSIONS_PREFIX + harness.MODEL, orjson.dumps(value)
        )

    def heal(self):
        """Clears the faults of store, cloud, links and nodes."""
        self.store.is_down = False
        self.unreliable_store.lost_response_rate = 0.0
        self.unreliable_store.max_delay_s = 0.0
        self.cloud.is_down = False
        links = [link for node in self.nodes for link in node.links()]
        for link in [*links, *self.server_links.values()]:
            link.heal()
        for node in self.nodes:
            node.pause(False)
            node.clock_offset_file.write_text("0", encoding="ascii")

    async def close(self):
        """Shuts all nodes down.

        Returns the exit code and last output of each node that failed, by name.
        """
        failed_nodes = {}

        async def shut_down(node):
            code = await node.shut_down()
            if code != 0:
                failed_nodes[node.name] = (code, node.last_output_lines())

        async with trio.open_nursery() as nursery:
            for node in self.nodes:
                nursery.start_soon(shut_down, node)
        self.host.close()
        return failed_nodes


def make_rng(seed, purpose):
    """Returns a random generator that only one purpose uses."""
    return random.Random(f"{seed} {purpose}")
