"""The backend servers that take work, as one node sees them."""

from collections.abc import Callable
import enum

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events

# After the store's return, servers have this long to enter themselves again
# before a missing entry means that they are gone.
REENTRY_S = 2.3
# A server that failed is left alone for a moment, longer each time in a row.
EJECT_FIRST_S = 0.4
EJECT_MOST_S = 5.0
# Weight of the newest answer in the mean of a server's pace.
PACE_WEIGHT = 0.15
# What an answer told of other nodes' requests fades within this time.
LOAD_VALID_S = 1.0
# Servers that are remembered to be leaving, by their start.
LEAVING_KEPT = 1000


class ServerState(enum.Enum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class ServerEntry:
    """What a backend server says of itself.

    Attributes:
        id: Its identity.
        service: The service it belongs to.
        address: ``host:port``.
        zone: Its availability zone.
        state: Whether it takes work.
        slots: Requests it runs at once.
        born: When it started, in milliseconds since 1970; tells a restart.
        versions: Weight version by model.
        is_spot: Whether it may be reclaimed.
        cold_s: Seconds for which it stays slow after its start.
    """

    id: str
    service: str
    address: str
    zone: str
    state: ServerState
    slots: int
    born: int
    versions: dict[str, int] = attrs.field(factory=dict)
    is_spot: bool = False
    cold_s: float = 0.0


@attrs.define(eq=False)
class Server:
    """A backend server and what this node has learnt of it.

    Attributes:
        entry: What it says of itself.
        in_flight: Requests of this node that run there.
        others: Requests of other nodes there when it last answered.
        told_at: Monotonic time of that answer.
        failures: Failures in a row.
        ejected_until: Monotonic time before which it gets nothing.
        versions: Weight version by model, from entries, orders and answers.
        sequence: Orders that it has accepted since its start; None if not
            known.
        pace: How slow it is against others of its service; 1 is average.
        closed: Monotonic time, by model, before which it takes no samples of
            the model, because it is loading weights for it.
        loading_until: Monotonic time until which runs may have to wait,
            because it is loading weights.
        is_leaving: Whether an answer said that it is about to end; what its
            entry says later does not change that.
        is_gone: Whether its entry has been removed.
        removed_at: Monotonic time at which the entry went missing.
    """

    entry: ServerEntry
    in_flight: int = 0
    others: int = 0
    told_at: float = -1e9
    failures: int = 0
    ejected_until: float = 0.0
    versions: dict[str, int] = attrs.field(factory=dict)
    sequence: int | None = None
    pace: float = 1.0
    closed: dict[str, float] = attrs.field(factory=dict)
    loading_until: float = 0.0
    is_leaving: bool = False
    is_gone: bool = False
    removed_at: float | None = None

    @property
    def id(self) -> str:
        """Its identity."""
        return self.entry.id

    def is_usable(self, now: float) -> bool:
        """Tells whether it may get work at a monotonic time."""
        return (
            not self.is_gone
            and not self.is_leaving
            and self.entry.state is ServerState.READY
            and now >= self.ejected_until
        )

    def load(self, now: float) -> float:
        """Returns requests that it probably has, of all nodes."""
        age_s = now - self.told_at
        return self.in_flight + self.others * max(0.0, 1 - age_s / LOAD_VALID_S)

    def note_load(self, load: int, now: float) -> None:
        """Takes over how many requests an answer said to be there."""
        self.others = max(0, load - self.in_flight)
        self.told_at = now

    def note_pace(self, ratio: float) -> None:
        """Takes over how long an answer took against what was expected."""
        self.pace += PACE_WEIGHT * (min(ratio, 10.0) - self.pace)

    def note_success(self) -> None:
        """Ends a row of failures."""
        self.failures = 0
        self.ejected_until = 0.0

    def note_leaving(self) -> None:
        """Gives the server no more work, as an answer said that it leaves.

        A restart under the same id is another server and takes work again.
        """
        if not self.is_leaving:
            self.is_leaving = True
            events.log(events.Event.SERVER_LEAVING, server=self.id)

    def note_failure(self, now: float) -> None:
        """Leaves the server alone for a while, longer each time in a row.

        Calls that were under way together fail together; they count once.
        """
        if now < self.ejected_until:
            return
        self.failures += 1
        pause_s = EJECT_FIRST_S * 2 ** min(self.failures - 1, 5)
        self.ejected_until = now + min(EJECT_MOST_S, pause_s)
        events.log(
            events.Event.SERVER_EJECTED,
            server=self.id,
            failures=self.failures,
            pause_s=min(EJECT_MOST_S, pause_s),
        )


class Roster:
    """All backend servers that are entered in the store.

    Args:
        clock: Tells the time.
        regained_at: Tells when the store last came back, monotonic.
        is_store_lost: Tells whether the store is out of reach.

    Attributes:
        servers: The servers by id.
        leaving: Starts of dropped servers that were leaving, by id.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        regained_at: Callable[[], float],
        is_store_lost: Callable[[], bool],
    ) -> None:
        self.clock = clock
        self.regained_at = regained_at
        self.is_store_lost = is_store_lost
        self.servers: dict[str, Server] = {}
        self.leaving: dict[str, int] = {}

    def enter(self, entry: ServerEntry) -> None:
        """Takes over what a server says of itself."""
        known = self.servers.get(entry.id)
        if known is None or known.entry.born != entry.born:
            if known is not None:
                known.is_gone = True
            self.servers[entry.id] = Server(
                entry,
                versions=dict(entry.versions),
                is_leaving=self.leaving.get(entry.id) == entry.born,
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
        known.entry = entry
        known.removed_at = None
        known.is_gone = False
        for model, version in entry.versions.items():
            known.versions[model] = max(known.versions.get(model, 0), version)

    def remove(self, server_id: str) -> None:
        """Notes that a server's entry has been removed."""
        known = self.servers.get(server_id)
        if known is None:
            return
        now = self.clock.monotonic()
        known.removed_at = now
        is_settled = now - self.regained_at() > REENTRY_S
        if is_settled and not self.is_store_lost():
            self._drop(known)

    def sweep(self) -> None:
        """Drops servers that did not enter themselves again in time."""
        if self.is_store_lost():
            return
        now = self.clock.monotonic()
        for server in list(self.servers.values()):
            if server.removed_at is None:
                continue
            if now - self.regained_at() > REENTRY_S:
                self._drop(server)

    def _drop(self, server: Server) -> None:
        server.is_gone = True
        if server.is_leaving:
            self._remember_leaving(server)
        self.servers.pop(server.id, None)
        events.log(events.Event.SERVER_GONE, server=server.id)

    def _remember_leaving(self, server: Server) -> None:
        """Keeps a leaving server's start, as its entry may come again."""
        self.leaving[server.id] = server.entry.born
        while len(self.leaving) > LEAVING_KEPT:
            del self.leaving[next(iter(self.leaving))]

    def of_service(self, service: str) -> list[Server]:
        """Returns the servers of a service, usable or not."""
        return [s for s in self.servers.values() if s.entry.service == service]
