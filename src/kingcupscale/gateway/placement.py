"""Load balancing of single calls over the servers of a service.

Load pattern: many nodes send calls to the same servers. A node learns the load
of a server only from its responses, so every view is up to a second old, and a
node with few calls has almost none. Nodes that follow the lowest reported load
choose the same servers at the same time, and the load oscillates.

Each node therefore gives reports only part of their weight, counts the calls
that it has sent since, and prefers servers that other nodes do not prefer:
those to which it has an open connection, and a subset by rendezvous hashing,
in its own availability zone first. docs/design/even-load.md has the figures.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import math
import random

import attrs
import xxhash

from kingcupscale.fleet import registry

# Cost of a server in another zone, as a share of its slots. It must be this
# much less busy to be worth the traffic between zones.
OTHER_ZONE_COST = 0.15
# Cost of each consecutive failure of a server, in latencies of an average idle
# server.
FAILURE_COST = 0.5
# Cost of a new connection that is used once, in latencies of an average idle
# server.
CONNECTION_COST = 0.6
# Cost of a server outside of the node's subset, in the same unit.
OUTSIDE_COST = 0.2
# Weight of a new report. The rest of the load is assumed to be the mean of the
# service, to which the load has moved partly by the time the report arrives.
REPORT_WEIGHT = 0.5
# Reports of an idle server that are added to the mean. Without them, a node
# with the report of one busy server would assume that all are as busy.
ASSUMED_REPORTS = 1.0
# Load of each recent call of this node, in requests. Reports do not contain
# these calls yet.
RECENT_WEIGHT = 0.5
# The subset is so small that each of its servers gets this many calls within
# the time for which an idle connection stays open.
CALLS_PER_CONNECTION = 8
MIN_SUBSET = 2
# Time for which servers keep idle connections open, about.
CONNECTION_IDLE_S = 8.0
# Time constant of the measured call rate.
RATE_TIME_S = 10.0


@attrs.define
class CallRate:
    """The rate of a node's calls to one service.

    Attributes:
        count: Number of calls, decaying exponentially.
        updated_at: Monotonic time of the last call.
    """

    count: float = 0.0
    updated_at: float = 0.0

    def record(self, now: float) -> None:
        """Counts a call."""
        self.count = self._decayed(now) + 1
        self.updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the mean rate of about the last ``RATE_TIME_S``."""
        return self._decayed(now) / RATE_TIME_S

    def _decayed(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.count * math.exp(-age_s / RATE_TIME_S)


class CallPlacement:
    """Chooses the servers for a node's calls.

    Args:
        node: Name of this node.
        zone: Availability zone of this node.
        has_idle_connection: Returns whether the node holds an idle connection
            to a server.
        rng: Breaks ties.
        regions: Region by zone; a zone may be missing.

    Attributes:
        rates: The node's call rate, by service.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        has_idle_connection: Callable[[registry.Server], bool],
        rng: random.Random,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        self.node = node
        self.zone = zone
        self.has_idle_connection = has_idle_connection
        self.rng = rng
        self.regions = regions or {}
        self.rates: dict[str, CallRate] = {}

    def record_call(self, server: registry.Server, now: float) -> None:
        """Records that a call is sent to a server."""
        server.record_call(now)
        rate = self.rates.setdefault(server.entry.service, CallRate())
        rate.record(now)

    def choose(
        self, servers: Iterable[registry.Server], now: float
    ) -> registry.Server | None:
        """Returns the server for a call, or None if there is no candidate.

        Args:
            servers: Usable candidates of one service.
            now: Monotonic time.
        """
        candidates = list(servers)
        if not candidates:
            return None
        costs = self.costs(candidates, now)
        return min(
            candidates, key=lambda server: (costs[server.id], self.rng.random())
        )

    def costs(
        self, servers: Sequence[registry.Server], now: float
    ) -> dict[str, float]:
        """Returns the cost of choosing each server, by id.

        Args:
            servers: Usable candidates of one service.
            now: Monotonic time.
        """
        rate = self.rates.get(servers[0].entry.service, CallRate())
        calls = rate.per_second(now) * CONNECTION_IDLE_S
        # A node with many calls uses each new connection many times.
        connection = CONNECTION_COST / max(1.0, calls / len(servers))
        subset = self.subset(servers, math.ceil(calls / CALLS_PER_CONNECTION))
        mean = _mean_other_utilisation(servers, now)
        costs = {}
        for server in servers:
            load = estimate_load(server, mean, now)
            slots = max(1, server.entry.slots)
            total = cost(server, self.zone, now, load)
            total += max(0.0, load + 1 - slots) / slots
            if not self.has_idle_connection(server):
                total += connection
            if server.id not in subset:
                total += OUTSIDE_COST
            costs[server.id] = total
        return costs

    def subset(self, servers: Sequence[registry.Server], size: int) -> set[str]:
        """Returns the ids of the servers that this node prefers.

        Other nodes prefer others. A server that joins or leaves changes the
        subset by at most one server.

        Args:
            servers: The candidates.
            size: Wanted number of servers, at least ``MIN_SUBSET``.
        """
        size = max(MIN_SUBSET, size)
        if size >= len(servers):
            return {server.id for server in servers}
        ranked = sorted(
            servers,
            key=lambda s: (
                self._distance(s.entry.zone),
                _rendezvous_hash(self.node, s.id),
            ),
        )
        return {server.id for server in ranked[:size]}

    def _distance(self, zone: str) -> int:
        """Returns 0 for the own zone, 1 for the own region, otherwise 2."""
        if zone == self.zone:
            return 0
        region = self.regions.get(zone)
        is_near = region is not None and region == self.regions.get(self.zone)
        return 1 if is_near else 2


def estimate_load(
    server: registry.Server, mean_other: float, now: float
) -> float:
    """Returns the estimated number of requests on a server.

    A server without a recent report is assumed to be as busy as the others.

    Args:
        server: The server.
        mean_other: Mean utilisation of the service by other nodes.
        now: Monotonic time.
    """
    weight = REPORT_WEIGHT * server.report_weight(now)
    own = server.in_flight + RECENT_WEIGHT * server.recent_calls(now)
    assumed = mean_other * server.entry.slots
    return own + weight * server.other_requests + (1 - weight) * assumed


def _mean_other_utilisation(
    servers: Sequence[registry.Server], now: float
) -> float:
    """Returns the mean utilisation by other nodes, weighted by report age."""
    weighted = total = 0.0
    for server in servers:
        weight = server.report_weight(now)
        total += weight
        slots = max(1, server.entry.slots)
        weighted += weight * server.other_requests / slots
    return weighted / (total + ASSUMED_REPORTS)


@functools.lru_cache(maxsize=4096)
def _rendezvous_hash(node: str, server_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}\n{server_id}".encode())


def cost(
    server: registry.Server,
    zone: str,
    now: float,
    load: float | None = None,
) -> float:
    """Returns the cost of choosing a server.

    It is the expected latency relative to an average idle server, plus the
    costs of recent failures and of another zone. Failures and latencies that
    were observed some time ago count less.

    Args:
        server: The server.
        zone: Availability zone of this node.
        now: Monotonic time.
        load: Requests on the server; None for its own estimate.
    """
    if load is None:
        load = server.load(now)
    utilisation = load / max(1, server.entry.slots)
    weight = server.observation_weight(now)
    relative = 1.0 + weight * (server.relative_latency - 1.0)
    latency = relative * server.slowness(now)
    total = (1.0 + utilisation) * latency
    total += FAILURE_COST * weight * server.failures
    return total if server.entry.zone == zone else total + OTHER_ZONE_COST


def choose(
    servers: Iterable[registry.Server],
    zone: str,
    now: float,
    rng: random.Random,
) -> registry.Server | None:
    """Returns the server with the lowest cost.

    It follows every report at once; tests and ``bench.loadreplay`` compare
    ``CallPlacement`` with it.

    Args:
        servers: Usable candidates.
        zone: Availability zone of this node.
        now: Monotonic time.
        rng: Breaks ties.
    """
    return min(
        servers,
        key=lambda server: (cost(server, zone, now), rng.random()),
        default=None,
    )


def choose_random(
    servers: Iterable[registry.Server],
    zone: str,
    now: float,
    rng: random.Random,
) -> registry.Server | None:
    """Returns a random server; tests compare ``choose`` against it."""
    candidates = sorted(servers, key=lambda server: server.id)
    return rng.choice(candidates) if candidates else None
