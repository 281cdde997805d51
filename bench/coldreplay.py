"""Replays nodes that choose at once over cold servers, without a network.

``python -m bench.coldreplay`` compares ways to share a cold server's requests
among the nodes. The tests replay single cases.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import datetime
import heapq
import itertools
import random
from typing import Any

import attrs

from kingcupscale.fleet import catalogue
from kingcupscale.fleet import coldshares
from kingcupscale.fleet import eligibility
from kingcupscale.fleet import evacuation
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.fleet import warmup
from kingcupscale.gateway import placement

NODES = 31
# Calls per second of all nodes together.
CALLS_PER_S = 186.0
COLD_S = 10.0
PER_S = 3.0
LIMIT = eligibility.ColdLimits().limit(PER_S)
SERVICE = "plain"
MODELS = ("alpha", "beta", "gamma")
# Unix time at the start of a replay's clock.
EPOCH_S = 1_000_000
# Load of a server that is not cold.
BUSY_LOAD = 4
# Longest time until a connection is open, and until a request arrives.
MAX_CONNECT_S = 0.1
MAX_TRANSIT_S = 0.1
# Time at which a replay's servers become cold; the nodes are settled by then.
START_S = 106.0
FLEETS = (3, 31, 55, 380)


class SteppedClock:
    """A clock that its owner sets.

    Attributes:
        seconds: The monotonic time.
    """

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time."""
        return datetime.datetime.fromtimestamp(
            EPOCH_S + self.seconds, datetime.UTC
        )

    def monotonic(self) -> float:
        """Returns the monotonic time."""
        return self.seconds


def make_catalogue(
    kinds: Sequence[catalogue.RouteKind] = (catalogue.RouteKind.IDEMPOTENT,),
    per_s: float = PER_S,
) -> catalogue.Catalogue:
    """Returns a configuration with one service and a route of each kind."""
    shares = (catalogue.Share(SERVICE, 1.0),)
    routes = tuple(
        catalogue.Route(kind.value, "h", f"/{kind.value}/", kind, shares)
        for kind in kinds
    )
    service = catalogue.Service(
        SERVICE, models=MODELS, cold_start_s=COLD_S, cold_per_s=per_s
    )
    return catalogue.Catalogue(1, routes, {SERVICE: service}, {})


def make_entry(
    name: str, zone: str, started_at: float = 0.0
) -> registry.ServerEntry:
    """Returns a server's entry; its start is a time of ``SteppedClock``."""
    return registry.ServerEntry(
        name,
        SERVICE,
        f"{name}:1",
        zone,
        registry.ServerState.READY,
        8,
        int(1000 * (EPOCH_S + started_at)),
    )


class EvenSenders(coldshares.Senders):
    """Gives each node of the list the same share, for comparison.

    With more nodes than requests, a node may send one request in several
    windows, which does not keep several nodes from choosing the same window.
    """

    def share(self, server: str, budget: int) -> int:
        """Returns one request while the node's turn lasts, else none."""
        nodes = len(self.present_since.keys() - self.removed_at.keys())
        if nodes <= budget:
            return budget // nodes
        period_s = warmup.WINDOW_S * nodes / budget
        phase_s = random.Random(f"{server} {self.node}").uniform(0, period_s)
        is_turn = (self.clock.monotonic() + phase_s) % period_s
        return int(is_turn < warmup.WINDOW_S)


class Node:
    """A node's view and choices.

    Args:
        replay: The replay.
        name: Name of the node.
        senders: Its share of cold servers; None for no limit.

    Attributes:
        lag_s: Age of its view of the store in seconds.
        is_cut: Whether it learns of no more changes.
    """

    def __init__(
        self, replay: "Replay", name: str, senders: coldshares.Senders | None
    ) -> None:
        self.replay = replay
        self.name = name
        self.lag_s = replay.rng.uniform(*replay.lag_s)
        self.is_cut = False
        self.servers = registry.ServerRegistry(
            replay.clock,
            lambda: 0.0,
            lambda: False,
            evacuation.Evacuations(replay.clock),
        )
        self.senders = senders or coldshares.Senders(replay.clock, name)
        self.eligibility = eligibility.Eligibility(
            self.servers, senders, lambda: replay.configured
        )

    def choose(self, excluded: Collection[str]) -> registry.Server | None:
        """Returns the server of the next call; cold ones have no load."""
        now = self.replay.clock.seconds
        usable = [
            s
            for s in self.servers.list_servers(SERVICE)
            if s.is_usable(now) and s.id not in excluded
        ]
        for server in usable:
            is_cold = server.id in self.replay.cold_from
            load = 0 if is_cold else BUSY_LOAD
            server.update_load(
                registry.LoadReport(load, 0, server.entry.slots), now
            )
        usable = self.eligibility.filter(usable)
        return placement.choose(usable, "a", now, self.replay.rng)


@attrs.frozen
class Arrival:
    """A request that has arrived at a server, at a time in seconds."""

    server: str
    zone: str
    at: float
    node: str


class Replay:
    """Runs nodes that send calls, and changes of the store.

    Args:
        seed: Seed of all random choices.
        nodes: Number of nodes.
        make_senders: Makes the share of a node; None for no limit.
        lag_s: Range of the ages of the nodes' views in seconds.
        calls_per_s: Calls per second of each node.

    Attributes:
        cold_from: Times at which servers became cold, by id.
        arrivals: The requests that servers have received.
        unserved: Number of calls without a server.
        blocked: Number of requests blocked at their first byte.
    """

    def __init__(
        self,
        seed: int,
        nodes: int = NODES,
        make_senders: Callable[..., Any] | None = coldshares.Senders,
        lag_s: tuple[float, float] = (0.05, 0.15),
        calls_per_s: float = CALLS_PER_S / NODES,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = SteppedClock()
        self.make_senders = make_senders
        self.lag_s = lag_s
        self.calls_per_s = calls_per_s
        self.configured = make_catalogue()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.arrivals: list[Arrival] = []
        self.unserved = 0
        self.blocked = 0
        self.cold_from: dict[str, float] = {}
        self.nodes: list[Node] = []
        for number in range(nodes):
            self.add_node(f"n{number}")

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Runs an action at a time."""
        heapq.heappush(self.queue, (seconds, next(self.order), action))

    def add_node(self, name: str) -> None:
        """Starts a node, which first reads the present state."""
        make = self.make_senders
        node = Node(self, name, make and make(self.clock, name))
        for other in self.nodes:
            node.senders.note(other.name, True)
        for server in (
            self.nodes[0].servers.servers.values() if self.nodes else ()
        ):
            # A server that started before this node reports that it is cold.
            cold_until = self.cold_from.get(server.id, -COLD_S) + COLD_S
            left_s = max(0.0, cold_until - self.clock.seconds)
            node.servers.register(attrs.evolve(server.entry, warmup_s=left_s))
        self.nodes.append(node)
        self.publish(lambda n: n.senders.note(name, True))
        self.at(self.clock.seconds + self.rng.random(), lambda: self.call(node))

    def remove_entry(self, name: str) -> None:
        """Removes a node's entry; the node goes on."""
        self.publish(lambda n: n.senders.note(name, False))

    def publish(self, change: Callable[[Node], None]) -> None:
        """Applies a change of the store to each node that is not cut off."""
        for node in self.nodes:

            def apply(node: Node = node) -> None:
                if not node.is_cut:
                    change(node)

            self.at(self.clock.seconds + node.lag_s, apply)

    def start_server(self, name: str, zone: str, is_cold: bool = True) -> None:
        """Registers a server that has just started, or long ago."""
        started_at = self.clock.seconds if is_cold else 0.0
        if is_cold:
            self.cold_from[name] = started_at
        entry = make_entry(name, zone, started_at)
        self.publish(lambda node: node.servers.register(entry))

    def evacuate(self, zone: str) -> None:
        """Evacuates a zone."""
        self.publish(lambda node: node.servers.evacuations.begin(zone))

    def reopen(self, zone: str) -> None:
        """Ends an evacuation; the zone's servers are cold then."""
        for server in self.nodes[0].servers.servers.values():
            if server.entry.zone == zone:
                self.cold_from[server.id] = self.clock.seconds
        self.publish(lambda node: node.servers.evacuations.end(zone))

    def call(self, node: Node) -> None:
        """Begins a call, and plans the node's next one."""
        pause_s = self.rng.expovariate(self.calls_per_s)
        self.at(self.clock.seconds + pause_s, lambda: self.call(node))
        self._connect(node, frozenset())

    def _connect(self, node: Node, excluded: frozenset[str]) -> None:
        server = node.choose(excluded)
        if server is None:
            self.unserved += 1
            return
        node.eligibility.reserve(server)
        check = node.eligibility.guard(server)
        self.at(
            self.clock.seconds + self.rng.uniform(0.002, MAX_CONNECT_S),
            lambda: self._send(node, server, check, excluded),
        )

    def _send(
        self,
        node: Node,
        server: registry.Server,
        check: Callable[[], None],
        excluded: frozenset[str],
    ) -> None:
        try:
            check()
        except serverclient.IneligibleError:
            self.blocked += 1
            self._connect(node, excluded | {server.id})
            return
        at = self.clock.seconds + self.rng.uniform(0.001, MAX_TRANSIT_S)
        self.arrivals.append(
            Arrival(server.id, server.entry.zone, at, node.name)
        )

    def run_until(self, seconds: float) -> None:
        """Runs all actions until a time."""
        while self.queue and self.queue[0][0] <= seconds:
            self.clock.seconds, _, action = heapq.heappop(self.queue)
            action()
        self.clock.seconds = seconds

    def times(self, server: str, start: float, end: float) -> list[float]:
        """Returns when requests arrived at a server within a time."""
        return sorted(
            a.at
            for a in self.arrivals
            if a.server == server and start <= a.at < end
        )


def worst_second(times: Sequence[float]) -> int:
    """Returns the most requests in any second, not only in whole ones."""
    worst, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def start(seed: int, **options: Any) -> Replay:
    """Returns a replay with five warm servers, run until ``START_S``."""
    replay = Replay(seed, **options)
    for number in range(5):
        replay.start_server(f"w{number}", "c", is_cold=False)
    replay.run_until(START_S)
    replay.unserved = 0
    return replay


def main() -> None:
    """Prints what a new server receives, by way of sharing and fleet."""
    ways = {
        "no limit": None,
        "equal shares of the list": EvenSenders,
        "few nodes by rendezvous": coldshares.Senders,
    }
    print("way, nodes, cut off: worst second, requests in 10 s, unserved")
    for nodes, (way, make), is_cut in itertools.product(
        FLEETS, ways.items(), (False, True)
    ):
        replay = start(
            1, nodes=nodes, make_senders=make, calls_per_s=CALLS_PER_S / nodes
        )
        replay.start_server("new", "c")
        replay.run_until(START_S + 0.5)
        for node in replay.nodes[: nodes // 2] if is_cut else ():
            node.is_cut = True
            replay.remove_entry(node.name)
        replay.run_until(START_S + COLD_S)
        times = replay.times("new", START_S, START_S + COLD_S)
        print(
            f"{way}, {nodes}, {'half' if is_cut else 'none'}:"
            f" {worst_second(times)}, {len(times)}, {replay.unserved}"
        )


if __name__ == "__main__":
    main()
