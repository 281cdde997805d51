"""Chooses the backend server for a request.

Owns a node's view of each server: its load, its failures and whether it is
leaving. A choice considers load, prefix affinity, health and cost.
"""

from collections.abc import Iterable
import random

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import rendezvous
from kingcupscale.configuration import document

# Time over which a load report loses its weight.
LOAD_DECAY_S = 2.0
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Fraction of a regular server's slots for requests that accept cheap servers.
CHEAP_SLOT_FRACTION = 0.75
MAX_AFFINITY_CANDIDATES = 2
# Servers above this multiple of the mean utilisation get no requests by
# affinity.
BOUNDED_LOAD_FACTOR = 1.25


@attrs.define(eq=False)
class ServerState:
    """A node's view of one backend server.

    Attributes:
        name: Name of the server.
        server: Configuration of the server.
        in_flight: Number of this node's requests running on the server.
        other_requests: Number of other nodes' requests in the server's last
            load report.
        reported_at: Monotonic time of the last load report.
        failures: Number of consecutive failures.
        ejected_until: Monotonic time until which it gets no requests.
        is_leaving: Whether it gets no new requests because it is draining or
            was removed from the configuration.
        answered_at: Monotonic time of its last success; negative before the
            first.
    """

    name: str
    server: document.BackendServer
    in_flight: int = 0
    other_requests: int = 0
    reported_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    is_leaving: bool = False
    answered_at: float = -1e9

    def load(self, now: float) -> float:
        """Returns the estimated number of running requests.

        The weight of the last report falls to zero over ``LOAD_DECAY_S``.
        """
        age_s = now - self.reported_at
        weight = max(0.0, 1.0 - age_s / LOAD_DECAY_S)
        return self.in_flight + self.other_requests * weight

    def slots(self) -> int:
        """Returns the number of usable slots.

        After a failure it is one, until a request succeeds.
        """
        return 1 if self.failures else self.server.slots

    def utilisation(self, now: float) -> float:
        """Returns the load divided by the number of slots."""
        return self.load(now) / self.server.slots


@attrs.frozen
class ServerRequirements:
    """A request's constraints and preferences in the choice of a server.

    Attributes:
        affinity: Digest; requests with the same digest prefer the same
            servers. Empty for no preference.
        cheap: Whether a server that the provider may reclaim is acceptable.
        excluded: Names of servers on which this request has failed.
    """

    affinity: str = ""
    cheap: bool = False
    excluded: frozenset[str] = frozenset()


class Router:
    """The servers of one service, as seen by one node.

    Args:
        node: Name of the node, for the log.
        clock: Source of the time.
        rng: Random source for the choice among servers.
    """

    def __init__(
        self, node: str, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self.node = node
        self.clock = clock
        self.rng = rng
        self.servers: dict[str, ServerState] = {}

    def update(
        self, servers: dict[str, document.BackendServer], leaving: set[str]
    ) -> None:
        """Applies the configured servers and the addresses of leaving ones.

        A leaving server gets requests again only if it is removed and added
        again or changes its address.
        """
        for name in self.servers.keys() - servers.keys():
            self.servers.pop(name).is_leaving = True
        for name, server in servers.items():
            known = self.servers.get(name)
            if known is None or known.server.address != server.address:
                self.servers[name] = ServerState(name, server)
            else:
                known.server = server
            is_leaving = server.address in leaving
            self.servers[name].is_leaving |= is_leaving

    def usable(self, requirements: ServerRequirements) -> list[ServerState]:
        """Returns the servers that meet the requirements.

        Includes busy and ejected servers. A request that does not accept cheap
        servers gets them only if no regular server is left.
        """
        servers = [
            state
            for state in self.servers.values()
            if not state.is_leaving and state.name not in requirements.excluded
        ]
        if not requirements.cheap:
            regular = [s for s in servers if not s.server.cheap]
            return regular or servers
        return servers

    def choose(self, requirements: ServerRequirements) -> ServerState | None:
        """Returns a server with a free slot for a request, or None.

        Requests that accept cheap servers prefer them.
        """
        now = self.clock.monotonic()
        free = [
            s
            for s in self.usable(requirements)
            if self.has_free_slot(s, requirements, now)
        ]
        if not free:
            return None
        if requirements.cheap:
            free = [s for s in free if s.server.cheap] or free
        if requirements.affinity:
            return self._choose_by_affinity(free, requirements.affinity, now)
        return self._choose_less_loaded(free, now)

    def has_free_slot(
        self, state: ServerState, requirements: ServerRequirements, now: float
    ) -> bool:
        """Returns whether a server is not ejected and has a slot to give."""
        if now < state.ejected_until:
            return False
        slots = state.slots()
        if requirements.cheap and not state.server.cheap and slots > 1:
            slots = max(1, int(slots * CHEAP_SLOT_FRACTION))
        return state.load(now) < slots

    def _choose_by_affinity(
        self, free: list[ServerState], affinity: str, now: float
    ) -> ServerState:
        """Returns a server that probably caches the prefix.

        Falls back to the less loaded of two random servers if the preferred
        ones exceed ``BOUNDED_LOAD_FACTOR`` times the mean utilisation.
        """
        by_name = {state.name: state for state in free}
        mean = sum(s.utilisation(now) for s in free) / len(free)
        bound = BOUNDED_LOAD_FACTOR * mean
        for name in rendezvous.rank(affinity, by_name)[
            :MAX_AFFINITY_CANDIDATES
        ]:
            if by_name[name].utilisation(now) <= bound:
                return by_name[name]
        return self._choose_less_loaded(free, now)

    def _choose_less_loaded(
        self, free: Iterable[ServerState], now: float
    ) -> ServerState:
        """Returns the less loaded of two random servers."""
        servers = list(free)
        pair = self.rng.sample(servers, min(2, len(servers)))
        return min(pair, key=lambda state: state.utilisation(now))

    def record_load(self, state: ServerState, running: int) -> None:
        """Records a server's report of the number of its running requests."""
        state.other_requests = max(0, running - state.in_flight)
        state.reported_at = self.clock.monotonic()

    def record_success(self, state: ServerState) -> None:
        """Resets a server's failure count after a success."""
        state.failures = 0
        state.answered_at = self.clock.monotonic()

    def record_failure(self, state: ServerState) -> None:
        """Ejects a server, twice as long after each consecutive failure."""
        state.failures += 1
        pause_s = min(
            MAX_EJECTION_S, MIN_EJECTION_S * 2 ** (state.failures - 1)
        )
        state.ejected_until = self.clock.monotonic() + pause_s
        events.log(
            events.Event.SERVER_EJECTED,
            node=self.node,
            server=state.name,
            seconds=pause_s,
        )
