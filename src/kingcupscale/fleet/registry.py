"""Tracks the backend servers that are registered in the store.

For each server, a node keeps the server's entry and what it has observed
itself: load, latency, failures and whether the server is about to shut down.
"""

from collections.abc import Callable
import enum
import math

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.fleet import evacuation
from kingcupscale.fleet import warmup

# After the store has recovered, servers have this long to register again before
# a missing entry means that they have stopped.
REREGISTRATION_S = 2.3
# A server that fails is ejected for this long; the time doubles with each
# consecutive failure.
MIN_EJECTION_S = 0.4
MAX_EJECTION_S = 5.0
# Weight of the newest response in the moving average of the relative latency.
LATENCY_WEIGHT = 0.15
# Failures and the latency lose their weight linearly within this time after the
# last response. A server that gets no calls cannot improve them.
OBSERVATION_DECAY_S = 4.0
# The reported load of other nodes decays linearly to zero within this time.
LOAD_DECAY_S = 1.0
# A reported slowness is valid for this long, because it changes that often.
SLOWNESS_VALID_S = 0.6
# Time constant of the decaying count of recent calls. It is about the age at
# which reports arrive, so it covers the calls that they do not contain yet.
RECENT_CALLS_S = 0.4
# After a server rejected a call for lack of room, one more call is tried after
# each of these intervals.
PROBE_S = 0.05
# A rejection limits the calls to a server for at most this long.
LIMIT_VALID_S = 1.0
# Most removed servers whose cold state or leaving notice is kept.
MAX_LEAVING_STARTS = 1000


class ServerState(enum.Enum):
    """Whether a server accepts new requests, as it reports itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class ServerEntry:
    """The entry that a backend server writes to the store about itself.

    Attributes:
        id: Its id.
        service: The service it belongs to.
        address: ``host:port``.
        zone: Its availability zone.
        state: Whether it accepts new requests.
        slots: Requests that it runs concurrently.
        start_ms: Start time in milliseconds since 1970. A different value
            under the same id means that the server has restarted.
        versions: Weight version by model.
        is_spot: Whether its VM is a spot VM, which may be reclaimed.
        warmup_s: Seconds for which it remains cold, as it reports itself; None
            if it does not. Any float, as nothing has checked the report.
    """

    id: str
    service: str
    address: str
    zone: str
    state: ServerState
    slots: int
    start_ms: int
    versions: dict[str, int] = attrs.field(factory=dict)
    is_spot: bool = False
    warmup_s: float | None = None


@attrs.frozen
class LoadReport:
    """The load that a server reports with a response.

    Attributes:
        running: Requests that it runs, from all nodes.
        waiting: Requests that wait on it for a slot.
        slots: Requests that it runs concurrently.
        slowness: How long work takes relative to normal; 1.0 is normal, 2.5
            is 2.5 times as long.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@attrs.define(eq=False)
class Server:
    """A backend server and its state as this node has observed it.

    Attributes:
        entry: Its own entry in the store.
        in_flight: Requests of this node that run there.
        other_requests: Requests of other nodes that run there, by the last
            response that reported a load.
        load_reported_at: Monotonic time of that response.
        reported_slowness: Slowness by that response; 1.0 is normal.
        recent_count: Calls that this node has sent there, decaying
            exponentially.
        recent_count_at: Monotonic time of the last of them.
        call_limit: Calls of this node that ran there when it rejected one for
            lack of room.
        limited_at: Monotonic time of that rejection.
        failures: Number of consecutive failures.
        ejected_until: Monotonic time before which it gets no requests.
        versions: Weight version by model, from entries, orders and responses.
        sequence: Number of orders that it has accepted since its start; None
            if not known.
        relative_latency: Mean latency relative to the other servers of its
            service; 1 is average.
        observed_at: Monotonic time of the last call that succeeded or failed
            there; None before the first.
        answered_at: Monotonic time of the last response to a call; negative
            before the first.
        is_restart_visible: Always true: a restart replaces the entry.
        no_samples_until: Monotonic time, by model, before which it accepts no
            samples of the model because it is loading weights for it.
        samples_held_until: Monotonic time, by model, before which it gets no
            samples of the model because it is cold.
        loading_until: Monotonic time until which requests may have to wait,
            because it is loading weights.
        is_leaving: Whether a response said that it is about to shut down. A
            later entry does not change that.
        is_removed: Whether its entry has been removed.
        removed_at: Monotonic time at which the entry went missing; None while
            it exists.
        evacuations: The evacuated zones; None if there can be none.
        cold: Until when it is cold; None if this is not tracked.
    """

    entry: ServerEntry
    in_flight: int = 0
    other_requests: int = 0
    load_reported_at: float = -1e9
    reported_slowness: float = 1.0
    recent_count: float = 0.0
    recent_count_at: float = 0.0
    call_limit: int = 0
    limited_at: float = -1e9
    failures: int = 0
    ejected_until: float = 0.0
    versions: dict[str, int] = attrs.field(factory=dict)
    sequence: int | None = None
    relative_latency: float = 1.0
    observed_at: float | None = None
    answered_at: float = -1e9
    is_restart_visible: bool = True
    no_samples_until: dict[str, float] = attrs.field(factory=dict)
    samples_held_until: dict[str, float] = attrs.field(factory=dict)
    loading_until: float = 0.0
    is_leaving: bool = False
    is_removed: bool = False
    removed_at: float | None = None
    evacuations: evacuation.Evacuations | None = None
    cold: warmup.ColdState | None = None

    @property
    def id(self) -> str:
        """Its id."""
        return self.entry.id

    @property
    def start_ms(self) -> int:
        """Start time of its process, as in its entry."""
        return self.entry.start_ms

    def is_usable(self, now: float) -> bool:
        """Returns whether requests may be sent to it at a monotonic time."""
        return (
            not self.is_removed
            and not self.is_leaving
            and self.entry.state is ServerState.READY
            and now >= self.ejected_until
            and not self.is_evacuated()
        )

    def is_evacuated(self) -> bool:
        """Returns whether its zone is evacuated, so that it gets no request.

        This includes orders and polls. Requests that run there finish.
        """
        return self.evacuations is not None and self.evacuations.is_evacuated(
            self.entry.zone
        )

    def load(self, now: float) -> float:
        """Returns the estimated number of requests on it from all nodes."""
        return self.in_flight + self.other_requests * self.report_weight(now)

    def report_weight(self, now: float) -> float:
        """Returns the weight of the last report: 1 if new, 0 if too old."""
        age_s = now - self.load_reported_at
        return min(1.0, max(0.0, 1 - age_s / LOAD_DECAY_S))

    def observation_weight(self, now: float) -> float:
        """Returns the weight of its failures and latency, from 1 to 0.

        It remains 1 during an ejection, and decays after it and after the last
        observed call.
        """
        if self.observed_at is None:
            return 1.0
        age_s = now - max(self.observed_at, self.ejected_until)
        return min(1.0, max(0.0, 1 - age_s / OBSERVATION_DECAY_S))

    def record_call(self, now: float) -> None:
        """Counts a call that this node sends there."""
        self.recent_count = self.recent_calls(now) + 1
        self.recent_count_at = now

    def recent_calls(self, now: float) -> float:
        """Returns the decayed number of calls that this node has sent there."""
        if not self.recent_count:
            return 0.0
        age_s = max(0.0, now - self.recent_count_at)
        return self.recent_count * math.exp(-age_s / RECENT_CALLS_S)

    def slowness(self, now: float) -> float:
        """Returns how long work on it takes; 1.0 is normal.

        Without a report within ``SLOWNESS_VALID_S`` it is assumed normal.
        """
        if now - self.load_reported_at > SLOWNESS_VALID_S:
            return 1.0
        return self.reported_slowness

    def record_full(self, now: float) -> None:
        """Records that it rejected a call, which is still in flight."""
        self.call_limit = max(0, self.in_flight - 1)
        self.limited_at = now

    def accepts_calls(self, now: float) -> bool:
        """Returns whether another call may have room, after a rejection."""
        age_s = now - self.limited_at
        if age_s >= LIMIT_VALID_S:
            return True
        return self.in_flight < self.call_limit + int(age_s / PROBE_S)

    def accepts_calls_at(self) -> float:
        """Returns from when it accepts calls if none of those there ends."""
        probes = max(0, self.in_flight - self.call_limit + 1)
        return self.limited_at + min(LIMIT_VALID_S, probes * PROBE_S)

    def update_load(self, report: LoadReport, now: float) -> None:
        """Records the load that a response reported."""
        total = report.running + report.waiting
        self.other_requests = max(0, total - self.in_flight)
        self.reported_slowness = report.slowness
        self.load_reported_at = now

    def update_relative_latency(self, ratio: float) -> None:
        """Records the latency of a response.

        Args:
            ratio: The latency divided by the expected latency.
        """
        self.relative_latency += LATENCY_WEIGHT * (
            min(ratio, 10.0) - self.relative_latency
        )

    def record_observation(self, now: float) -> None:
        """Records when a call last succeeded or failed there."""
        self.observed_at = now

    def record_success(self) -> None:
        """Records a success, which resets the failures and the ejection."""
        self.failures = 0
        self.ejected_until = 0.0

    def mark_leaving(self) -> None:
        """Records that a response announced the shutdown of the server.

        It gets no more requests. A server that restarts under the same id is
        a different server and gets requests again.
        """
        if not self.is_leaving:
            self.is_leaving = True
            events.log(events.Event.SERVER_LEAVING, server=self.id)

    def record_failure(self, now: float) -> None:
        """Records a failure and ejects the server for a while.

        Failures while it is ejected are not counted, because requests that
        were in flight together usually fail together.
        """
        self.record_observation(now)
        if now < self.ejected_until:
            return
        self.failures += 1
        pause_s = MIN_EJECTION_S * 2 ** min(self.failures - 1, 5)
        self.ejected_until = now + min(MAX_EJECTION_S, pause_s)
        events.log(
            events.Event.SERVER_EJECTED,
            server=self.id,
            failures=self.failures,
            pause_s=min(MAX_EJECTION_S, pause_s),
        )


class ServerRegistry:
    """The backend servers that are registered in the store.

    An entry that disappears removes its server only if the store is reachable
    and has been for a while: entries also expire while the store is out of
    reach, although their servers still run.

    Args:
        clock: The clock.
        recovered_at: Returns the monotonic time of the store's last recovery.
        is_store_unreachable: Returns whether the store is out of reach.
        evacuations: The evacuated zones; by default none.

    Attributes:
        on_registered: Called with the service of each entry.
        servers: The servers by id.
        leaving_starts: Start times of removed servers that were leaving, by
            id.
        services_seen_ms: Unix times in milliseconds at which the first server
            of each service was seen.
        past_colds: Start times and cold states of removed servers, by id.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        recovered_at: Callable[[], float],
        is_store_unreachable: Callable[[], bool],
        evacuations: evacuation.Evacuations | None = None,
    ) -> None:
        self.clock = clock
        self.evacuations = evacuations or evacuation.Evacuations(clock)
        self.recovered_at = recovered_at
        self.is_store_unreachable = is_store_unreachable
        self.on_registered: list[Callable[[str], None]] = []
        self.servers: dict[str, Server] = {}
        self.leaving_starts: dict[str, int] = {}
        self.services_seen_ms: dict[str, float] = {}
        self.past_colds: dict[str, tuple[int, warmup.ColdState | None]] = {}

    def register(self, entry: ServerEntry) -> None:
        """Adds a server, or updates it, by its entry in the store."""
        self._apply(entry)
        for notify in self.on_registered:
            notify(entry.service)

    def _apply(self, entry: ServerEntry) -> None:
        known = self.servers.get(entry.id)
        if known is None or known.entry.start_ms != entry.start_ms:
            cold = self._make_cold_state(entry, known)
            if known is not None:
                known.is_removed = True
            self.servers[entry.id] = Server(
                entry,
                versions=dict(entry.versions),
                is_leaving=self.leaving_starts.get(entry.id) == entry.start_ms,
                evacuations=self.evacuations,
                cold=cold,
            )
            events.log(
                events.Event.SERVER_ENTERED,
                server=entry.id,
                service=entry.service,
                zone=entry.zone,
                state=entry.state.value,
            )
            return
        if known.entry.state is not entry.state:
            events.log(
                events.Event.SERVER_STATE_CHANGED,
                server=entry.id,
                state=entry.state.value,
            )
        if known.cold is not None:
            known.cold.report(warmup.Source.ENTRY, entry.warmup_s)
        known.entry = entry
        known.removed_at = None
        known.is_removed = False
        for model, version in entry.versions.items():
            known.versions[model] = max(known.versions.get(model, 0), version)

    def _make_cold_state(
        self, entry: ServerEntry, known: Server | None
    ) -> warmup.ColdState:
        """Returns the state of a server that was not known or has restarted.

        Servers that are found by the first read of the store, or whose entry
        reappears, have not started just now, whatever this node's clock says.
        An entry that reappears gets its previous state. A restarted server
        gets the windows of the previous one: the requests of the last second
        arrived at the same address.

        Args:
            entry: Its entry.
            known: The server under this id that it replaces; None if there is
                none.
        """
        is_restart = known is not None
        past_start, past = self.past_colds.pop(entry.id, (None, None))
        is_known_start = past_start == entry.start_ms
        if is_known_start and not is_restart and past is not None:
            past.report(warmup.Source.ENTRY, entry.warmup_s)
            return past
        wall_s = self.clock.now().timestamp()
        seen_ms = self.services_seen_ms.setdefault(entry.service, 1000 * wall_s)
        started_at = None
        is_first_read = not self.evacuations.is_read()
        is_start = is_restart or entry.start_ms > seen_ms
        if is_start and not is_first_read and not is_known_start:
            started_at = warmup.estimate_start(
                entry.start_ms, wall_s, self.clock.monotonic(), is_restart
            )
        state = warmup.ColdState(entry.id, self.clock, started_at)
        previous = known.cold if known is not None else past
        if previous is not None:
            state.windows = previous.windows
        state.report(warmup.Source.ENTRY, entry.warmup_s)
        return state

    def remove(self, server_id: str) -> None:
        """Records that a server's entry has been removed from the store."""
        known = self.servers.get(server_id)
        if known is None:
            return
        now = self.clock.monotonic()
        known.removed_at = now
        is_settled = now - self.recovered_at() > REREGISTRATION_S
        if is_settled and not self.is_store_unreachable():
            self._drop(known)

    def remove_expired(self) -> None:
        """Removes servers that did not register again in time."""
        if self.is_store_unreachable():
            return
        now = self.clock.monotonic()
        for server in list(self.servers.values()):
            if server.removed_at is None:
                continue
            if now - self.recovered_at() > REREGISTRATION_S:
                self._drop(server)

    def _drop(self, server: Server) -> None:
        server.is_removed = True
        if server.is_leaving:
            self._keep_leaving_start(server)
        self.past_colds[server.id] = (server.entry.start_ms, server.cold)
        while len(self.past_colds) > MAX_LEAVING_STARTS:
            del self.past_colds[next(iter(self.past_colds))]
        self.servers.pop(server.id, None)
        events.log(events.Event.SERVER_GONE, server=server.id)

    def _keep_leaving_start(self, server: Server) -> None:
        """Keeps the start time of a leaving server.

        If its entry reappears with the same start time, the server is still
        leaving.
        """
        self.leaving_starts[server.id] = server.entry.start_ms
        while len(self.leaving_starts) > MAX_LEAVING_STARTS:
            del self.leaving_starts[next(iter(self.leaving_starts))]

    def list_servers(self, service: str) -> list[Server]:
        """Returns all servers of a service, whether usable or not."""
        return [s for s in self.servers.values() if s.entry.service == service]
