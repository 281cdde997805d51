"""The daemon: runs a node with its listeners for callers, operators and peers.

It also handles stop signals and opens the log.
"""

from collections.abc import Iterator
import contextlib
import functools
import gc
import pathlib
import random
import signal
import sys

import attrs
import eliot
import trio

from kingcupscale import clock as clocks
from kingcupscale import node as nodes
from kingcupscale import settings as node_settings
from kingcupscale.peering import grpctransport
from kingcupscale.peering import transport
from kingcupscale.web import clientguard
from kingcupscale.web import clientlimits
from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import server

# Allocations before a collection of the youngest generation. A request
# allocates thousands of objects that reference counting frees.
GC_THRESHOLD = 50_000
# Names of the listeners, as in log events.
CALLERS = "callers"
OPERATORS = "operators"


@attrs.frozen
class Addresses:
    """The bound addresses of a node's listeners, as ``host:port``."""

    callers: str
    operators: str
    peers: str


class Daemon:
    """A node with its listeners.

    Args:
        settings: The settings of the node.

    Attributes:
        node: The node, or None before the start.
        addresses: The addresses of its listeners, or None before the start.
    """

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self.settings = settings
        self.http_client = httpclient.PooledHttpClient()
        self.peers = grpctransport.GrpcPeerTransport()
        self.node: nodes.Node | None = None
        self.addresses: Addresses | None = None

    async def run(
        self, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the node until its planned stop has ended or it is cancelled.

        Args:
            task_status: Receives the addresses once the node listens.
        """
        service = transport.PeerService()
        async with trio.open_nursery() as nursery:
            peers = await nursery.start(
                grpctransport.serve, service, self.settings.listeners.peers
            )
            self.node = self._make_node(service, peers)
            await self._serve(self.node, task_status)
            nursery.cancel_scope.cancel()
        self.peers.close()
        await self.http_client.aclose()

    def _make_node(
        self, service: transport.PeerService, peers: str
    ) -> nodes.Node:
        dependencies = nodes.Dependencies(
            self.http_client,
            self.peers,
            clocks.SystemClock(),
            random.Random(),
            peers,
        )
        return nodes.Node(self.settings, dependencies, service)

    async def _serve(
        self, node: nodes.Node, task_status: trio.TaskStatus[Addresses]
    ) -> None:
        """Serves until the node has stopped and has sent all responses."""
        allowed = clientlimits.derive(memory_mb=self.settings.clients.memory_mb)
        guard = clientguard.ClientGuard(allowed, (CALLERS, OPERATORS))
        async with trio.open_nursery() as guarding:
            guarding.start_soon(guard.run)
            await self._serve_guarded(node, guard, task_status)
            guarding.cancel_scope.cancel()

    async def _serve_guarded(
        self,
        node: nodes.Node,
        guard: clientguard.ClientGuard,
        task_status: trio.TaskStatus[Addresses],
    ) -> None:
        """Serves with listeners that share a guard."""
        listeners = self.settings.listeners
        get_limits = limits.constant(
            limits.Limits(**attrs.asdict(self.settings.limits))
        )
        async with trio.open_nursery() as nursery:
            callers = await nursery.start(
                functools.partial(server.serve, guard=guard, listener=CALLERS),
                node.caller_api,
                listeners.callers,
                get_limits,
                node.stopped.wait,
            )
            operators = await nursery.start(
                functools.partial(
                    server.serve, guard=guard, listener=OPERATORS
                ),
                node.operators,
                listeners.operators,
                get_limits,
                node.stopped.wait,
            )
            peers = node.members.local_member.address
            self.addresses = Addresses(callers, operators, peers)
            task_status.started(self.addresses)
            await node.run()


async def run_until_signal(settings: node_settings.NodeSettings) -> None:
    """Runs a node; SIGTERM, SIGINT and SIGHUP begin its planned stop."""
    daemon = Daemon(settings)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    async with trio.open_nursery() as signal_nursery:
        async with trio.open_nursery() as nursery:
            addresses = await nursery.start(daemon.run)
            print(
                f"{settings.name}: callers {addresses.callers}, operators"
                f" {addresses.operators}, peers {addresses.peers}",
                flush=True,
            )
            signal_nursery.start_soon(_drain_on_signal, daemon)
        signal_nursery.cancel_scope.cancel()


async def _drain_on_signal(daemon: Daemon) -> None:
    """Begins the planned stop at a signal; further ones change nothing.

    Signals are received until the daemon has stopped: outside of the receiver
    each of them ends the process at once, with the requests still open.
    """
    if daemon.node is None:
        return
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for _ in signals:
            daemon.node.drain_requested.set()


@contextlib.contextmanager
def open_log(path: str) -> Iterator[None]:
    """Sends log events to a file, or to standard error for no path."""
    if not path:
        eliot.to_file(sys.stderr)
        yield
        return
    with pathlib.Path(path).open("ab", buffering=0) as file:
        eliot.to_file(file)
        yield
