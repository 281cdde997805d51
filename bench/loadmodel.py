"""Replays how nodes distribute calls over servers, on virtual time.

Load pattern: every node sends calls to the same servers and learns their load
only from responses, so that its view of the load is old. Servers have slots and
a queue, some of them also work for others, and some are slow for a while.
"""

import collections
import heapq
import math
import random
import statistics
from typing import Any

import attrs

from bench import loadfleet
from kingcupscale.fleet import registry

# Age of a report when it arrives with a response.
MIN_REPORT_AGE_S = 0.05
MAX_REPORT_AGE_S = 0.6
# Call rate of a node: that of callers' calls, and of a node that scores.
MIN_CALLS_PER_S = 0.3
MAX_CALLS_PER_S = 20.0
# Share of the nodes that score samples.
SCORING_SHARE = 1 / 8
# Servers that also work for others: their share, most slots in use by others,
# and how long these stay in use.
SHARED_SHARE = 0.25
MAX_FOREIGN_SLOTS = 4
FOREIGN_PERIOD_S = 3.0
# Shortest and longest work of a call relative to the mean.
MIN_WORK = 0.5
MAX_WORK = 1.5
SAMPLE_S = 0.05
# Time at the start that is not measured.
WARM_UP_S = 5.0
# Nodes exchange messages about this often; they arrive this much later.
MESSAGE_PERIOD_S = 0.3
MESSAGE_DELAY_S = 0.1
# Weight of the newest response in a node's average latency.
LATENCY_WEIGHT = 0.05
ZONES = ("a", "b", "c")


@attrs.frozen
class Load:
    """What is replayed.

    Attributes:
        nodes: Number of nodes.
        servers: Number of servers.
        slots: Slots of each server.
        utilisation: Mean share of the available slots that is in use.
        seconds: Length of the replay, including the warm-up.
        reports: What the first third of the servers report: "usual",
            "missing", "frozen" (idle and normal), "wrong" (random numbers).
        late_nodes: Share of the nodes that start after half of the time.
        late_servers: Number of servers that start after half of the time.
    """

    nodes: int
    servers: int = 18
    slots: int = 6
    utilisation: float = 0.6
    seconds: float = 45.0
    reports: str = "usual"
    late_nodes: float = 0.0
    late_servers: int = 0


@attrs.frozen
class Figures:
    """What a replay measured after the warm-up.

    Attributes:
        calls: Number of completed calls.
        spread: Standard deviation over the servers of the requests per slot,
            mean over time.
        spread_p99: Its 99th percentile over time.
        longest_queue: Most requests that waited on one server.
        idle_share: Share of the time in which a server had nothing to do while
            requests waited on another.
        free_share: The same for a server with half of its slots free.
        latency_ms: Latency of a call by quantile.
        connections: New connections per 1,000 calls.
        history: Requests per slot of each server, at each sample.
    """

    calls: int
    spread: float
    spread_p99: float
    longest_queue: int
    idle_share: float
    free_share: float
    latency_ms: dict[str, float]
    connections: float
    history: list[list[float]] = attrs.field(repr=False)


class Replay:
    """One replay of a load under a strategy."""

    def __init__(
        self, load: Load, strategy: loadfleet.Strategy, seed: int
    ) -> None:
        self.what = load
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.choices = random.Random(seed + 1)
        half = load.seconds / 2
        self.servers = [
            loadfleet.Server(
                load.slots,
                half if index < load.late_servers else 0.0,
                load.seconds,
                self.rng,
            )
            for index in range(load.servers)
        ]
        self.nodes = [self._make_node(index) for index in range(load.nodes)]
        self.work_s = self._mean_work_s()
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.number = 0
        self.board: collections.deque[
            tuple[float, int, float, registry.LoadReport]
        ] = collections.deque()
        self.newest: dict[int, tuple[float, registry.LoadReport]] = {}
        self.latencies: list[float] = []
        self.new_connections = 0
        self.placed = 0
        self.history: list[list[float]] = []
        self.idle_samples = 0
        self.free_samples = 0
        self.longest_queue = 0

    def _make_node(self, index: int) -> loadfleet.Node:
        load, rng = self.what, self.rng
        is_scoring = index % round(1 / SCORING_SHARE) == 0
        low, high = math.log(MIN_CALLS_PER_S), math.log(MAX_CALLS_PER_S)
        rate = (
            MAX_CALLS_PER_S
            if is_scoring
            else math.exp(low + (high - low) * rng.random() ** 3)
        )
        is_late = index >= load.nodes * (1 - load.late_nodes)
        views = [
            registry.Server(
                registry.ServerEntry(
                    f"s{number}",
                    "service",
                    f"s{number}:1",
                    ZONES[number % len(ZONES)],
                    registry.ServerState.READY,
                    load.slots,
                    1,
                )
            )
            for number in range(load.servers)
        ]
        # Zones have unequal numbers of nodes.
        zone = rng.choices(ZONES, (3, 2, 1))[0]
        return loadfleet.Node(
            f"n{index}",
            zone,
            rate,
            load.seconds / 2 if is_late else 0.0,
            views,
            [[] for _ in range(load.servers)],
            {f"s{number}:1": number for number in range(load.servers)},
            random.Random(rng.random()),
        )

    def _mean_work_s(self) -> float:
        """Returns the work of a call that results in the utilisation."""
        load = self.what
        foreign = load.servers * SHARED_SHARE * MAX_FOREIGN_SLOTS / 2
        slots = load.servers * load.slots - foreign
        slowness = 1 + loadfleet.SLOW_SHARE * (loadfleet.SLOWNESS - 1)
        rate = sum(node.calls_per_s for node in self.nodes)
        return load.utilisation * slots / (rate * slowness)

    def run(self) -> Figures:
        """Replays the load and returns the figures."""
        for node in self.nodes:
            self._at(node.starts_at + self._gap(node), self._arrive, node)
            if self.strategy.shares_reports:
                start = self.rng.uniform(0, MESSAGE_PERIOD_S)
                self._at(start, self._exchange, node)
        shared = round(self.what.servers * SHARED_SHARE)
        for server in self.servers[-shared:] if shared else []:
            self._at(0.0, self._change_foreign, server)
        self._at(0.0, self._sample)
        now = 0.0
        while self.events and now < self.what.seconds:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        return self._figures()

    def _at(self, when: float, action: Any, *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, action, args))

    def _gap(self, node: loadfleet.Node) -> float:
        return node.rng.expovariate(node.calls_per_s)

    def _arrive(self, now: float, node: loadfleet.Node) -> None:
        self._at(now + self._gap(node), self._arrive, node)
        usable = [
            index
            for index, server in enumerate(self.servers)
            if server.starts_at <= now
        ]
        work_s = self.work_s * node.rng.uniform(MIN_WORK, MAX_WORK)
        index = self.strategy.choose(node, usable, now, self.choices)
        if node.idle_connections(index, now):
            node.idle[index].pop()
        elif now >= WARM_UP_S:
            self.new_connections += 1
        self.placed += now >= WARM_UP_S
        node.views[index].in_flight += 1
        server = self.servers[index]
        server.queue.append(loadfleet.Call(node, index, now, work_s))
        self._start_waiting(now, server)

    def _start_waiting(self, now: float, server: loadfleet.Server) -> None:
        while server.queue and server.running + server.foreign < server.slots:
            call = server.queue.popleft()
            server.running += 1
            ends_at = server.finish_at(now, call.work_s)
            self._at(ends_at, self._finish, call)
        server.note(now)

    def _finish(self, now: float, call: loadfleet.Call) -> None:
        server, node = self.servers[call.server], call.node
        server.running -= 1
        self._start_waiting(now, server)
        view = node.views[call.server]
        report = self._make_report(call.server, now)
        if report is not None:
            view.update_load(report, now)
            node.reports[call.server] = (now, report)
        view.in_flight -= 1
        elapsed_s = now - call.arrived_at
        expected_s = node.latency_s or elapsed_s
        node.latency_s = expected_s + LATENCY_WEIGHT * (elapsed_s - expected_s)
        view.update_relative_latency(elapsed_s / max(expected_s, 0.001))
        node.idle[call.server].append(now)
        if call.arrived_at >= WARM_UP_S:
            self.latencies.append(elapsed_s)

    def _make_report(self, index: int, now: float) -> Any:
        kind = self.what.reports
        age_s = self.rng.uniform(MIN_REPORT_AGE_S, MAX_REPORT_AGE_S)
        slots = self.what.slots
        if kind == "usual" or index >= self.what.servers / 3:
            return self.servers[index].report(now - age_s)
        if kind == "frozen":
            return registry.LoadReport(0, 0, slots)
        if kind == "wrong":
            running = self.rng.randint(0, slots)
            slowness = self.rng.uniform(0.25, 5)
            return registry.LoadReport(running, 0, slots, slowness)
        return None

    def _exchange(self, now: float, node: loadfleet.Node) -> None:
        """Sends a node's reports and receives those of the others."""
        self._at(now + MESSAGE_PERIOD_S, self._exchange, node)
        for index, (at, report) in node.reports.items():
            if now - at <= MESSAGE_PERIOD_S:
                self.board.append((now + MESSAGE_DELAY_S, index, at, report))
        while self.board and self.board[0][0] <= now:
            _, index, at, report = self.board.popleft()
            if index not in self.newest or self.newest[index][0] < at:
                self.newest[index] = (at, report)
        for index, (at, report) in self.newest.items():
            if at > node.views[index].load_reported_at:
                node.views[index].update_load(report, at)

    def _change_foreign(self, now: float, server: loadfleet.Server) -> None:
        """Changes how many slots of a server others use."""
        server.foreign = server.rng.randint(0, MAX_FOREIGN_SLOTS)
        self._start_waiting(now, server)
        gap_s = server.rng.uniform(0.5, 1.5) * FOREIGN_PERIOD_S
        self._at(now + gap_s, self._change_foreign, server)

    def _sample(self, now: float) -> None:
        self._at(now + SAMPLE_S, self._sample)
        if now < WARM_UP_S:
            return
        up = [server for server in self.servers if server.starts_at <= now]
        self.history.append([server.load() for server in up])
        longest = max(len(server.queue) for server in up)
        least = min(server.running + server.foreign for server in up)
        self.longest_queue = max(self.longest_queue, longest)
        self.idle_samples += longest > 0 and least == 0
        self.free_samples += longest > 0 and least <= self.what.slots / 2

    def _figures(self) -> Figures:
        spreads = sorted(statistics.pstdev(loads) for loads in self.history)
        latencies = sorted(self.latencies)
        samples = len(self.history)
        return Figures(
            len(latencies),
            statistics.mean(spreads),
            _quantile(spreads, 0.99),
            self.longest_queue,
            self.idle_samples / samples,
            self.free_samples / samples,
            {
                f"p{100 * q:g}": 1000 * _quantile(latencies, q)
                for q in (0.5, 0.99, 0.999)
            },
            1000 * self.new_connections / max(1, self.placed),
            self.history,
        )


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]
