"""A whole deployment in memory, on virtual time."""

from collections.abc import AsyncIterator
import contextlib
import random
from typing import Any

import attrs
import trio

from kingcupscale import codec
from kingcupscale import node as nodes
from kingcupscale import settings
from kingcupscale.configuration import keys
from kingcupscale.fakes import callers
from kingcupscale.fakes import engine
from kingcupscale.fakes import faults
from kingcupscale.fakes import judge
from kingcupscale.fakes import network as networks
from kingcupscale.fakes import tables as sample
from kingcupscale.fakes import virtualtime
from kingcupscale.fakes import world as worlds
from kingcupscale.peering import transport
from kingcupscale.rollouts import trainer as trainers
from kingcupscale.web import httpclient
from kingcupscale.web import message

OUTSIDE = "outside"
SEEDS = 4
START_LIMIT_S = 120.0
RESTART_AFTER_S = 8.0


@attrs.frozen
class ClusterSettings:
    """Size and speed of a cluster.

    Attributes:
        nodes: How many nodes.
        engines: How many model engines.
        servers: How many plain servers.
        organisations: How many customers.
        trainers: How many trainers.
        window_s: Length of a usage window in seconds.
        store_down_s: How long the store is down when a fault says so.
        seed: Chooses everything random.
        zones: Availability zones the nodes are spread over.
        engine_speed: Speed and size of the engines.
        scaling: The engine service's scaling, or None.
        scorer: The trainers' scoring service, or empty.
    """

    nodes: int = 3
    engines: int = 2
    servers: int = 2
    organisations: int = 2
    trainers: int = 1
    window_s: float = 10.0
    store_down_s: float = 40.0
    seed: int = 1
    zones: int = 2
    engine_speed: engine.EngineSettings = attrs.field(
        factory=lambda: engine.EngineSettings(swap_s=0.1)
    )
    scaling: dict[str, Any] | None = None
    scorer: str = ""


@attrs.define
class RunningNode:
    """A node in memory.

    Attributes:
        node: The node.
        scope: Ends it without warning.
    """

    node: nodes.Node
    scope: trio.CancelScope


class Cluster:
    """Nodes, stand-ins and people of one deployment.

    Args:
        nursery: Runs everything.
        size: How large it is.
        plan: Where faults strike.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        size: ClusterSettings,
        plan: faults.FaultPlan,
    ) -> None:
        self.nursery = nursery
        self.size = size
        self.plan = plan
        self.clock = virtualtime.VirtualClock()
        self.rng = random.Random(size.seed)
        self.network = networks.Network(nursery, plan)
        self.network.on_store_down = self.take_store_down
        self.network.on_crash = self._restart_soon
        self.http_client = networks.MemoryHttpClient(self.network, OUTSIDE)
        self.record = judge.Record(sample.FRESHNESS_VERSIONS)
        self.operator_key = keys.make_key("operator")
        self.nodes: dict[str, RunningNode] = {}
        self.issued: list[sample.Issued] = []
        self.trainer_keys: list[sample.Issued] = []
        self.balancer = callers.Balancer([])
        self.tables = self._make_tables()
        self.world = self._make_world()

    def _make_tables(self) -> dict[str, Any]:
        size = self.size
        tables = sample.make_tables(
            {
                f"plume-{i + 1}": f"plume-{i + 1}:80"
                for i in range(size.engines)
            },
            {f"shop-{i + 1}": f"shop-{i + 1}:80" for i in range(size.servers)},
            size.zones,
        )
        if size.scaling is not None:
            engines = tables["services"][sample.ENGINE_SERVICE]
            engines["scaling"] = size.scaling
        for number in range(size.organisations):
            name = f"customer-{number + 1}"
            issued = sample.add_organisation(tables, name, "customer")
            self.issued.append(issued)
        for number in range(size.trainers):
            name = f"trainer-{number + 1}"
            issued = sample.add_trainer(tables, name, "customer-1", size.scorer)
            self.trainer_keys.append(issued)
        everyone = [*self.issued, *self.trainer_keys]
        self.record.secrets = [issued.text for issued in everyone]
        return tables

    def _make_world(self) -> worlds.World:
        world = worlds.World(
            self.clock,
            self.tables,
            networks.MemoryHttpClient(self.network, "engines"),
            "weights:80",
            self._launch,
            self.size.engine_speed,
        )
        for name, handler in world.platform_handlers().items():
            self.network.serve(name, f"{name}:80", handler)
        for name, handler in world.server_handlers().items():
            self.network.serve(name, f"{name}:80", handler)
        return world

    def _launch(self, name: str, handler: message.Handler, zone: str) -> str:
        address = f"{name}:80"
        self.network.serve(name, address, handler)
        return address

    def take_store_down(self) -> None:
        """Takes the key-value service down for a while."""
        if not self.world.store.down:
            self.world.store.down = True
            self.nursery.start_soon(self._bring_store_up)

    async def _bring_store_up(self) -> None:
        await trio.sleep(self.size.store_down_s)
        self.world.store.down = False

    def node_names(self) -> list[str]:
        """Returns the names of all nodes, running or not."""
        return [f"node-{number + 1}" for number in range(self.size.nodes)]

    def _make_settings(self, name: str) -> settings.NodeSettings:
        number = int(name.rpartition("-")[2]) - 1
        platform = {
            field: f"{field}:80"
            for field in attrs.fields_dict(settings.Platform)
        }
        key = settings.OperatorKey(
            self.operator_key.salt, self.operator_key.digest
        )
        return settings.NodeSettings(
            codec.Name(name),
            codec.Name(sample.ZONES[number % self.size.zones]),
            codec.Name(sample.REGION),
            settings.Listeners(
                f"{name}:callers", f"{name}:operators", f"{name}:peers"
            ),
            settings.Platform(**platform),
            [f"{other}:peers" for other in self.node_names()[:SEEDS]],
            {codec.Name("anna"): key, codec.Name("ben"): key},
            timings=settings.Timings(
                usage_window_s=codec.PositiveSeconds(self.size.window_s),
                drain_notice_s=codec.PositiveSeconds(1.0),
            ),
        )

    def start_node(self, name: str) -> None:
        """Starts or restarts a node."""
        scope = trio.CancelScope()
        service = transport.PeerService()
        dependencies = nodes.Dependencies(
            networks.MemoryHttpClient(self.network, name),
            networks.MemoryPeerTransport(self.network, name),
            self.clock,
            random.Random(f"{self.size.seed}/{name}"),
            f"{name}:peers",
        )
        node = nodes.Node(self._make_settings(name), dependencies, service)
        self.nodes[name] = RunningNode(node, scope)
        self.network.add(name, scope.cancel)
        self._serve(name, "callers", node.caller_api)
        self._serve(name, "operators", node.operators)
        self.network.serve_peers(name, f"{name}:peers", service)
        self.nursery.start_soon(_run_in, scope, node)

    def _serve(
        self, name: str, listener: str, handler: message.Handler
    ) -> None:
        async def gated(request: message.Request) -> message.Response:
            await self.network.gate(name)
            response = await handler(request)
            await self.network.gate(name)
            return response

        self.network.serve(name, f"{name}:{listener}", gated)

    async def start(self) -> None:
        """Starts everything and brings the configuration into force."""
        self.nursery.start_soon(self.world.run)
        for name in self.node_names():
            self.start_node(name)
        self.balancer.nodes = [
            callers.NodeAddress(name, f"{name}:callers")
            for name in self.node_names()
        ]
        with trio.fail_after(START_LIMIT_S):
            while not self._is_joined():
                await trio.sleep(0.5)
            while not await self._apply_all():
                await trio.sleep(1.0)
            while not self._is_entered():
                await trio.sleep(0.5)

    def _is_joined(self) -> bool:
        return all(
            len(running.node.members.alive()) == self.size.nodes
            and running.node.admission.ready
            for running in self.nodes.values()
        )

    async def _apply_all(self) -> bool:
        try:
            operator = self.operator("node-1")
            response = await operator.apply(self.tables, "first day")
        except (httpclient.RequestError, ValueError):
            return False
        return response.status == 200

    def _is_entered(self) -> bool:
        return all(
            len(running.node.replica.document.nodes) == self.size.nodes
            and running.node.replica.document.keys
            for running in self.nodes.values()
        )

    def operator(self, name: str) -> callers.Operator:
        """Returns an operator at one node."""
        return callers.Operator(
            self.http_client,
            f"{name}:operators",
            self.operator_key.text,
            self.record,
            self.clock,
        )

    def caller(self, number: int) -> callers.Caller:
        """Returns a caller of one organisation."""
        return callers.Caller(
            self.http_client,
            self.balancer,
            self.issued[number],
            self.record,
            self.clock,
            self.rng,
        )

    def trainer(self, number: int) -> trainers.TrainerClient:
        """Returns a trainer's client."""
        return trainers.TrainerClient(
            self.http_client,
            [node.address for node in self.balancer.nodes],
            self.trainer_keys[number].text,
            self.clock,
        )

    def _restart_soon(self, name: str) -> None:
        self.nursery.start_soon(self._restart, name)

    async def _restart(self, name: str) -> None:
        await trio.sleep(RESTART_AFTER_S)
        if name in self.nodes:
            self.start_node(name)
            return
        self.network.processes[name].is_up = True
        if name in self.world.engines:
            self.world.engines[name].restart()

    def broken(self) -> list[str]:
        """Returns a line for every promise found broken."""
        return judge.broken(self.record, self.world)


async def _run_in(scope: trio.CancelScope, node: nodes.Node) -> None:
    with scope:
        await node.run()


@contextlib.asynccontextmanager
async def running(
    size: ClusterSettings, plan: faults.FaultPlan | None = None
) -> AsyncIterator[Cluster]:
    """Runs a cluster for the length of a block."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, size, plan or faults.FaultPlan())
        await cluster.start()
        yield cluster
        nursery.cancel_scope.cancel()
