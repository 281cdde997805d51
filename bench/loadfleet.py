"""The nodes and servers of ``bench.loadmodel``."""

import bisect
import collections
import random
from typing import Protocol

import attrs

from kingcupscale.fleet import registry

# Slowness of a slow server, and how long it stays slow or normal.
SLOWNESS = 2.5
SLOWNESS_PERIOD_S = 0.6
SLOW_SHARE = 0.15
IDLE_CONNECTION_S = 8.0
# Most past states that a server keeps for reports.
MAX_STATES = 10_000


@attrs.define(eq=False)
class Call:
    """A call: its node, its server, its arrival and its work in seconds."""

    node: "Node"
    server: int
    arrived_at: float
    work_s: float


@attrs.define(eq=False)
class Node:
    """A node with its view of the servers.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        calls_per_s: Its call rate.
        starts_at: Time of its start.
        views: The servers as it sees them.
        idle: Times at which its connections became idle, by server.
        addresses: Index of each server, by its address.
        rng: Its calls, the same under all strategies.
        latency_s: Its average latency.
        reports: Time and content of the newest report, by server.
    """

    name: str
    zone: str
    calls_per_s: float
    starts_at: float
    views: list[registry.Server]
    idle: list[list[float]]
    addresses: dict[str, int]
    rng: random.Random
    latency_s: float = 0.0
    reports: dict[int, tuple[float, registry.LoadReport]] = attrs.field(
        factory=dict
    )

    def idle_connections(self, index: int, now: float) -> int:
        """Returns how many idle connections to a server have not expired."""
        idle = self.idle[index]
        while idle and now - idle[0] > IDLE_CONNECTION_S:
            idle.pop(0)
        return len(idle)


class Strategy(Protocol):
    """Chooses the server of each call.

    Attributes:
        shares_reports: Whether nodes send reports with their messages.
    """

    shares_reports: bool

    def choose(
        self, node: Node, usable: list[int], now: float, rng: random.Random
    ) -> int:
        """Returns the index of one of the usable servers."""
        ...


class Server:
    """A server with slots and a queue.

    Attributes:
        running: Number of calls that run.
        foreign: Slots in use by others.
        queue: Calls that wait for a slot.
        starts_at: Time of its start.
    """

    def __init__(
        self, slots: int, starts_at: float, seconds: float, rng: random.Random
    ) -> None:
        self.slots = slots
        self.starts_at = starts_at
        self.running = 0
        self.foreign = 0
        self.queue: collections.deque[Call] = collections.deque()
        self.rng = random.Random(rng.random())
        self.phase_s = rng.uniform(0, SLOWNESS_PERIOD_S)
        periods = int(3 * seconds / SLOWNESS_PERIOD_S) + 2
        self.slow = [rng.random() < SLOW_SHARE for _ in range(periods)]
        self.changed_at = [0.0]
        self.states = [(0, 0)]

    def slowness(self, now: float) -> float:
        """Returns how long work takes now; 1.0 is normal."""
        period = int((now + self.phase_s) / SLOWNESS_PERIOD_S)
        return SLOWNESS if self.slow[period % len(self.slow)] else 1.0

    def finish_at(self, now: float, work_s: float) -> float:
        """Returns when work that begins now ends."""
        while True:
            period = int((now + self.phase_s) / SLOWNESS_PERIOD_S)
            ends_at = (period + 1) * SLOWNESS_PERIOD_S - self.phase_s
            slowness = self.slowness(now)
            if now + work_s * slowness <= ends_at:
                return now + work_s * slowness
            work_s -= (ends_at - now) / slowness
            now = ends_at + 1e-9

    def load(self) -> float:
        """Returns the requests per slot."""
        return (self.running + self.foreign + len(self.queue)) / self.slots

    def note(self, now: float) -> None:
        """Keeps the state for reports."""
        self.changed_at.append(now)
        self.states.append((self.running + self.foreign, len(self.queue)))
        if len(self.states) > MAX_STATES:
            del self.changed_at[: MAX_STATES // 2]
            del self.states[: MAX_STATES // 2]

    def report(self, at: float) -> registry.LoadReport:
        """Returns the load report of a time in the past."""
        index = max(0, bisect.bisect_right(self.changed_at, at) - 1)
        running, waiting = self.states[index]
        return registry.LoadReport(
            running, waiting, self.slots, self.slowness(max(0.0, at))
        )
