"""What operators have configured: routes, services, organisations' keys."""

import enum

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    BATCH = "batch"


@attrs.frozen
class Share:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests of a host under a path prefix.

    Attributes:
        name: The operator's name for it.
        host: Host header, lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        shares: The services its requests go to.
        timeout_s: Longest that a request may be kept waiting.
        target_latency_s: Time within which an answer is wanted.
        priority: Rank; 0 is the most urgent.
        max_attempts: Most servers that one request may be sent to.
        is_open: Whether requests need no key.
        is_streaming: Whether answers are event streams.
        is_resumable: Whether a stream may go on at another server.
        max_age_s: Seconds after which an item of a batch may be given up.
        due_s: Seconds after which a batch's results are due.
        single_version: Whether a text must come from one weight version.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float = 60.0
    target_latency_s: float = 1.0
    priority: int = 5
    max_attempts: int = 2
    is_open: bool = False
    is_streaming: bool = False
    is_resumable: bool = False
    max_age_s: float = 600.0
    due_s: float = 60.0
    single_version: bool = False

    def allows_retry(self) -> bool:
        """Tells whether a request may run more than once."""
        if self.is_streaming:
            return self.is_resumable
        return self.kind is not RouteKind.NON_IDEMPOTENT


@attrs.frozen
class Scaling:
    """Bounds of what may be ordered for a service in one zone.

    Attributes:
        minimum: Fewest servers.
        maximum: Most servers, of both kinds together.
        boot_s: Seconds until an ordered server serves.
        spot_price: Price of a reclaimable server, as a share of the price of
            a lasting one; None if there are none.
        zone_prices: Price of a server second by zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float | None
    zone_prices: dict[str, float]


@attrs.frozen
class Service:
    """Backend servers that can stand in for each other.

    Attributes:
        name: Its name.
        max_connections: Connections that one server accepts.
        slots: Requests that a model engine runs at once; 0 for plain servers.
        models: Names of the models that its engines hold.
        scaling: What may be ordered; None if nothing may be.
    """

    name: str
    max_connections: int = 100
    slots: int = 0
    models: tuple[str, ...] = ()
    scaling: Scaling | None = None


@attrs.frozen
class Limits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest body.
        header_s: Seconds for a head to arrive.
        idle_s: Seconds that a connection may stay idle.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class Organisation:
    """A customer and its keys.

    Attributes:
        name: Its label, which backend servers may see.
        keys: Its keys, which they may not.
        priority: Rank that overrides its routes'; None to leave theirs.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None


@attrs.frozen
class Catalogue:
    """One version of the configuration.

    Attributes:
        version: Its number, which only grows.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by name; empty if keys aren't in use.
        limits: What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation]
    limits: Limits = attrs.field(factory=Limits)
    by_host: dict[str, list[Route]] = attrs.field(init=False)
    by_key: dict[str, Organisation] = attrs.field(init=False)

    @by_host.default
    def _index_routes(self) -> dict[str, list[Route]]:
        index: dict[str, list[Route]] = {}
        for route in self.routes:
            index.setdefault(route.host, []).append(route)
        for routes in index.values():
            routes.sort(key=lambda r: -len(r.path_prefix))
        return index

    @by_key.default
    def _index_keys(self) -> dict[str, Organisation]:
        return {
            key: organisation
            for organisation in self.organisations.values()
            for key in organisation.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key."""
        return self.by_key.get(key)

    def routes_to(self, service: str) -> list[Route]:
        """Returns the routes that have a share at a service."""
        return [
            route
            for route in self.routes
            if any(share.service == service for share in route.shares)
        ]


def is_newer(candidate: Catalogue, present: Catalogue | None) -> bool:
    """Tells whether a configuration may replace the present one."""
    return present is None or candidate.version > present.version
