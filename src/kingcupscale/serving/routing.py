"""Choosing a backend server: load, prefix affinity, health, leaving."""

from collections.abc import Iterable
import random

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import rendezvous
from kingcupscale.configuration import document

REPORT_DECAY_S = 2.0
EJECT_FIRST_S = 1.0
EJECT_LONGEST_S = 30.0
CHEAP_SHARE = 0.75
AFFINITY_CANDIDATES = 2
BOUNDED_LOAD = 1.25


@attrs.define(eq=False)
class ServerState:
    """What a node knows of one backend server.

    Attributes:
        name: Its name.
        server: Its configuration.
        in_flight: Requests of this node that run on it.
        others: Requests of other nodes that ran on it at the last report.
        reported_at: Monotonic time of that report.
        failures: Failures in a row.
        ejected_until: Monotonic time before which it gets nothing.
        is_leaving: Whether it is about to go.
    """

    name: str
    server: document.BackendServer
    in_flight: int = 0
    others: int = 0
    reported_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0
    is_leaving: bool = False

    def load(self, now: float) -> float:
        """Returns requests that run on it, as far as known."""
        age_s = now - self.reported_at
        weight = max(0.0, 1.0 - age_s / REPORT_DECAY_S)
        return self.in_flight + self.others * weight

    def slots(self) -> int:
        """Returns how many requests it may get; one while on probation."""
        return 1 if self.failures else self.server.slots

    def utilisation(self, now: float) -> float:
        """Returns its load as a share of its slots."""
        return self.load(now) / self.server.slots


@attrs.frozen
class Wish:
    """What a request asks of a server.

    Attributes:
        affinity: Digest that draws like requests to the same servers; empty
            for none.
        cheap: Whether a server that can be reclaimed will do.
        excluded: Names of servers that have failed this request.
    """

    affinity: str = ""
    cheap: bool = False
    excluded: frozenset[str] = frozenset()


class Router:
    """The servers of one service as one node sees them.

    Args:
        node: The node's name, for the log.
        clock: Tells the time.
        rng: Chooses among equals.
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
        """Takes over the configured servers and which of them are leaving."""
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

    def usable(self, wish: Wish) -> list[ServerState]:
        """Returns servers that may ever take the request, busy or not."""
        servers = [
            state
            for state in self.servers.values()
            if not state.is_leaving and state.name not in wish.excluded
        ]
        if not wish.cheap:
            lasting = [s for s in servers if not s.server.cheap]
            return lasting or servers
        return servers

    def choose(self, wish: Wish) -> ServerState | None:
        """Returns a server with room for a request, or None."""
        now = self.clock.monotonic()
        free = [s for s in self.usable(wish) if self._has_room(s, wish, now)]
        if not free:
            return None
        if wish.cheap:
            free = [s for s in free if s.server.cheap] or free
        if wish.affinity:
            return self._choose_near(free, wish.affinity, now)
        return self._choose_light(free, now)

    def _has_room(self, state: ServerState, wish: Wish, now: float) -> bool:
        if now < state.ejected_until:
            return False
        slots = state.slots()
        if wish.cheap and not state.server.cheap and slots > 1:
            slots = max(1, int(slots * CHEAP_SHARE))
        return state.load(now) < slots

    def _choose_near(
        self, free: list[ServerState], affinity: str, now: float
    ) -> ServerState:
        """Prefers the servers that hold the prefix unless they are loaded."""
        by_name = {state.name: state for state in free}
        mean = sum(s.utilisation(now) for s in free) / len(free)
        bound = BOUNDED_LOAD * mean
        for name in rendezvous.rank(affinity, by_name)[:AFFINITY_CANDIDATES]:
            if by_name[name].utilisation(now) <= bound:
                return by_name[name]
        return self._choose_light(free, now)

    def _choose_light(
        self, free: Iterable[ServerState], now: float
    ) -> ServerState:
        servers = list(free)
        pair = self.rng.sample(servers, min(2, len(servers)))
        return min(pair, key=lambda state: state.utilisation(now))

    def note_load(self, state: ServerState, running: int) -> None:
        """Takes in a server's own report of how many requests it runs."""
        state.others = max(0, running - state.in_flight)
        state.reported_at = self.clock.monotonic()

    def note_success(self, state: ServerState) -> None:
        """Ends a server's probation."""
        state.failures = 0

    def note_failure(self, state: ServerState) -> None:
        """Keeps work from a server for a while, longer each time."""
        state.failures += 1
        pause_s = min(
            EJECT_LONGEST_S, EJECT_FIRST_S * 2 ** (state.failures - 1)
        )
        state.ejected_until = self.clock.monotonic() + pause_s
        events.log(
            events.Event.SERVER_EJECTED,
            node=self.node,
            server=state.name,
            seconds=pause_s,
        )
