"""Decides to which servers a request may be sent.

It is consulted when a server is chosen and again right before the first byte of
the request, because the state may change while a connection is opened.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import functools

import attrs

from kingcupscale import errors
from kingcupscale import events
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import coldshares
from kingcupscale.fleet import registry
from kingcupscale.fleet import residency
from kingcupscale.fleet import serverclient

# Sender of single calls and scoring calls. Other senders are models: one node
# sends all samples of a model.
CALLS = ""
# Samples of a model are held back from a cold server for this long, then its
# share is computed again.
HOLD_S = 0.05

Zones = frozenset[str] | None | Callable[[], frozenset[str] | None]


@attrs.frozen
class ColdLimits:
    """How many requests a cold server may get in a second.

    Attributes:
        overage: Factor of the requests per second that it can handle.
        slack: Constant that is added.
    """

    overage: float = 1.5
    slack: float = 5.0

    def limit(self, per_s: float) -> float:
        """Returns the limit of a service's cold servers."""
        return per_s * self.overage + self.slack


class Eligibility:
    """Applies the rules that exclude servers from requests.

    Args:
        servers: Registry of the backend servers.
        senders: The nodes among which a cold server's requests are shared;
            None if cold servers are not limited.
        current_catalogue: Returns the configuration in force.
        limits: Limits of cold servers.
        zone_regions: The region of each zone.

    Attributes:
        zones: Cached zones that requests may be sent to, by route and
            organisation.
        budgets: Cached requests to a cold server for calls and for samples, by
            service.
        cached_for: The configuration that the caches belong to.
    """

    def __init__(
        self,
        servers: registry.ServerRegistry,
        senders: coldshares.Senders | None = None,
        current_catalogue: Callable[[], catalogue.Catalogue | None] = lambda: (
            None
        ),
        limits: ColdLimits | None = None,
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        self.residency = residency.Residency(zone_regions or {})
        self.zones: dict[tuple[str, str], frozenset[str] | None] = {}
        self.budgets: dict[str, tuple[int, int]] = {}
        self.cached_for: catalogue.Catalogue | None = None
        self.servers = servers
        self.senders = senders
        self.current_catalogue = current_catalogue
        self.limits = limits or ColdLimits()
        self.clock = servers.clock

    def allowed_zones(
        self, route: catalogue.Route, organisation: str
    ) -> frozenset[str] | None:
        """Returns the zones that a request may be sent to; None for all.

        Args:
            route: Its route. The present configuration of that name counts.
            organisation: Name of its organisation; empty if it has none.
        """
        self._refresh_caches()
        key = (route.name, organisation)
        if key not in self.zones:
            self.zones[key] = self.residency.allowed_zones(
                *self._allowed_regions(route, organisation)
            )
        return self.zones[key]

    def peek_zones(
        self, route: catalogue.Route, organisation: str
    ) -> frozenset[str] | None:
        """Returns as ``allowed_zones``, but changes and logs nothing."""
        return self.residency.peek_zones(
            *self._allowed_regions(route, organisation)
        )

    def _allowed_regions(
        self, route: catalogue.Route, organisation: str
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Returns the lists of the present route and of the organisation."""
        configured = self.current_catalogue()
        routes = configured.routes if configured else ()
        present = next((r for r in routes if r.name == route.name), route)
        owner = configured and configured.organisations.get(organisation)
        return (
            present.allowed_regions,
            owner.allowed_regions if owner else frozenset(),
        )

    def usable_shares(
        self, route: catalogue.Route, organisation: str
    ) -> tuple[catalogue.Share, ...]:
        """Returns the shares of a route that have a server in allowed regions.

        All of them if no server is known.

        Raises:
            ServiceError: ``REGION_EXCLUDED`` if there are servers, but none in
                an allowed region.
        """
        return self.shares_within(
            route, self.allowed_zones(route, organisation)
        )

    def shares_within(
        self, route: catalogue.Route, zones: frozenset[str] | None
    ) -> tuple[catalogue.Share, ...]:
        """Returns as ``usable_shares`` for given zones; changes nothing."""
        if zones is None:
            return route.shares
        used = [s for s in route.shares if s.weight > 0] or list(route.shares)
        found = {
            share.service: {
                s.entry.zone for s in self.servers.list_servers(share.service)
            }
            for share in used
        }
        if not any(found.values()):
            return route.shares
        usable = tuple(s for s in used if found[s.service] & zones)
        if not usable:
            raise errors.ServiceError(errors.ResultCode.REGION_EXCLUDED)
        return usable

    def filter(
        self,
        servers: Iterable[registry.Server],
        zones: frozenset[str] | None = None,
    ) -> list[registry.Server]:
        """Returns the servers to which a call may be sent.

        Args:
            servers: The candidates.
            zones: The allowed zones; None for all.
        """
        return [
            s
            for s in servers
            if residency.allows(zones, s.entry.zone)
            and not s.is_evacuated()
            and self._has_room(s, CALLS)
        ]

    def hold_samples(self, service: str, models: Iterable[str]) -> None:
        """Keeps samples off the cold servers that have no room for them."""
        if self._limited(service) is None:
            return
        for server in self.servers.list_servers(service):
            for model in models:
                self._hold_if_full(server, model)

    def _hold_if_full(self, server: registry.Server, model: str) -> None:
        if not self._has_room(server, model):
            # Not in ``no_samples_until``, where a change by others than
            # ``rejections`` means news of a load.
            server.samples_held_until[model] = self.clock.monotonic() + HOLD_S

    def reserve(self, server: registry.Server, sender: str = CALLS) -> None:
        """Records that a request was placed on a server and is sent soon."""
        if server.cold is None or self._limited(server.entry.service) is None:
            return
        server.cold.window(sender).reserve(self.clock.monotonic())
        if sender != CALLS:
            self._hold_if_full(server, sender)

    def refund(self, server: registry.Server, sender: str = CALLS) -> None:
        """Records that another server has answered the latest request."""
        if server.cold is not None:
            server.cold.window(sender).refund()

    def guard(
        self,
        server: registry.Server,
        before_send: Callable[[], None] | None = None,
        sender: str = CALLS,
        zones: Zones = None,
    ) -> Callable[[], None]:
        """Returns the check right before the first byte of a request.

        Args:
            server: The server that the request goes to.
            before_send: Another check that comes first; None for none.
            sender: The sample's model; ``CALLS`` for a call.
            zones: The allowed zones, or a function that returns them at the
                time of the check; None for all.

        Returns:
            A function that raises ``IneligibleError`` if the server may not
            be sent the request any more, and else counts the request.
        """
        return functools.partial(
            self._check, server, before_send, sender, zones
        )

    def _check(
        self,
        server: registry.Server,
        before_send: Callable[[], None] | None,
        sender: str,
        zones: Zones,
    ) -> None:
        if before_send is not None:
            before_send()
        if server.is_removed:
            # Another server may have its id and address.
            raise serverclient.IneligibleError("the server was removed")
        if server.is_evacuated():
            raise serverclient.IneligibleError("the server's zone is evacuated")
        allowed = zones() if callable(zones) else zones
        if not residency.allows(allowed, server.entry.zone):
            raise serverclient.IneligibleError("the region is not allowed")
        if server.cold is None or self._limited(server.entry.service) is None:
            return
        now = self.clock.monotonic()
        window = server.cold.window(sender)
        if self.is_cold(server) and window.count_sent(now) >= self._share(
            server, sender
        ):
            raise serverclient.IneligibleError("the server is cold")
        # Counted while the server is warm too: when it turns out to be cold,
        # the requests of the last second are known.
        window.send(now)

    def is_cold(self, server: registry.Server) -> bool:
        """Returns whether the requests to a server are limited at present."""
        service = self._limited(server.entry.service)
        if service is None or server.cold is None:
            return False
        until = server.cold.cold_until(
            service.cold_start_s, self._reopened_at(server)
        )
        is_cold = self.clock.monotonic() < until
        if is_cold != server.cold.was_cold:
            server.cold.was_cold = is_cold
            events.log(events.Event.SERVER_COLD, server=server.id, cold=is_cold)
        return is_cold

    def peek_cold_until(self, server: registry.Server) -> float | None:
        """Returns until when a server is cold; changes and logs nothing.

        Returns:
            Monotonic time; None if it is not cold.
        """
        service = self._limited(server.entry.service)
        if service is None or server.cold is None:
            return None
        until = server.cold.peek_cold_until(
            service.cold_start_s, self._reopened_at(server)
        )
        return until if self.clock.monotonic() < until else None

    def peek_room(
        self, server: registry.Server, sender: str
    ) -> tuple[list[float], int]:
        """Returns what counts against a sender's share of a cold server.

        Changes nothing.

        Returns:
            The monotonic times at which its requests stop to count, ascending,
            and its share. It may send one more if the share is greater than
            their number.
        """
        window = server.cold and server.cold.windows.get(sender)
        ends = window.ends(self.clock.monotonic()) if window else []
        configured = self.current_catalogue()
        service = self._limited(server.entry.service)
        if configured is None or service is None or self.senders is None:
            return ends, 0
        calls, samples = self._split_budget(configured, service)
        if sender == CALLS:
            return ends, self.senders.peek_share(server.id, calls)
        return ends, coldshares.share(
            server.id, service.models, sender, samples
        )

    def _reopened_at(self, server: registry.Server) -> float | None:
        return self.servers.evacuations.ended_at.get(server.entry.zone)

    def _has_room(self, server: registry.Server, sender: str) -> bool:
        if server.cold is None or not self.is_cold(server):
            return True
        return server.cold.window(sender).has_room(
            self._share(server, sender), self.clock.monotonic()
        )

    def _limited(self, name: str) -> catalogue.Service | None:
        """Returns a service whose cold servers are limited, or None."""
        configured = self.current_catalogue()
        if configured is None or self.senders is None:
            return None
        service = configured.services.get(name)
        if service is None or service.cold_per_s <= 0:
            return None
        return service

    def _refresh_caches(self) -> catalogue.Catalogue | None:
        """Returns the configuration; clears the caches if it has changed."""
        configured = self.current_catalogue()
        if configured is not self.cached_for:
            self.cached_for = configured
            self.zones.clear()
            self.budgets.clear()
        return configured

    def _share(self, server: registry.Server, sender: str) -> int:
        """Returns how many requests this node may send to a cold server."""
        configured = self._refresh_caches()
        service = self._limited(server.entry.service)
        if configured is None or service is None or self.senders is None:
            return 0
        if service.name not in self.budgets:
            self.budgets[service.name] = self._split_budget(configured, service)
        calls, samples = self.budgets[service.name]
        if sender == CALLS:
            return self.senders.share(server.id, calls)
        return coldshares.share(server.id, service.models, sender, samples)

    def _split_budget(
        self, configured: catalogue.Catalogue, service: catalogue.Service
    ) -> tuple[int, int]:
        """Returns the requests to a cold server for calls and for samples."""
        kinds = {r.kind for r in configured.routes_to(service.name)}
        return coldshares.split(
            self.limits.limit(service.cold_per_s),
            bool(kinds - {catalogue.RouteKind.BATCH}),
            catalogue.RouteKind.BATCH in kinds,
        )
