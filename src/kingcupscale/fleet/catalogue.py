"""The configuration that operators set: routes, services and organisations."""

import enum

import attrs


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    BATCH = "batch"


@attrs.frozen
class Share:
    """The share of a route's requests that one service gets.

    Attributes:
        service: Name of the service.
        weight: Weight of the service relative to the route's other shares.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Configuration of the requests to a host under a path prefix.

    Attributes:
        name: Name of the route.
        host: Host header, lower case.
        path_prefix: Path prefix; begins and ends with a slash.
        kind: Whether its requests may be repeated.
        shares: The services that get its requests, with their weights.
        timeout_s: Time limit of a request.
        target_latency_s: Target for the latency of a response.
        priority: Priority; 0 is the most urgent.
        max_attempts: Most attempts of one request.
        is_open: Whether requests need no key.
        is_streaming: Whether responses are event streams.
        is_resumable: Whether another server may resume a stream.
        max_age_s: Seconds after which an item of a batch may be dropped.
        due_s: Seconds after which a batch's results are due.
        single_version: Whether the whole text of an item must come from one
            weight version.
        allowed_regions: Regions of the servers that may get its requests;
            empty for all.
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
    allowed_regions: frozenset[str] = frozenset()

    def allows_retry(self) -> bool:
        """Returns whether a request may be sent more than once."""
        if self.is_streaming:
            return self.is_resumable
        return self.kind is not RouteKind.NON_IDEMPOTENT


@attrs.frozen
class Scaling:
    """Limits of autoscaling for a service in one zone.

    Attributes:
        minimum: Fewest servers.
        maximum: Most servers, spot and on-demand together.
        boot_s: Seconds from the order of a server until it serves requests.
        spot_price: Price of a spot server as a share of the on-demand price;
            None if there are no spot servers.
        zone_prices: Price per server and second, by zone.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float | None
    zone_prices: dict[str, float]


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the service.
        max_connections: Most connections that one server accepts.
        slots: Requests that a model engine runs concurrently; 0 for servers
            without a model.
        models: Names of the models that its engines serve.
        scaling: Limits of autoscaling; None if it is not autoscaled.
        cold_start_s: Seconds for which a server is cold after a start during
            traffic; 0 for never.
        cold_per_s: Requests per second that a cold server can handle; 0 for no
            limit.
    """

    name: str
    max_connections: int = 100
    slots: int = 0
    models: tuple[str, ...] = ()
    scaling: Scaling | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class Limits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Largest size of request line and headers.
        body_bytes: Largest request body.
        header_s: Timeout for receiving the headers.
        idle_s: Timeout of idle connections.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 32 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@attrs.frozen
class Organisation:
    """A customer and its API keys.

    Attributes:
        name: Its label. Backend servers may see it.
        keys: Its API keys. Backend servers must never see them.
        priority: Overrides the priority of the routes; None to keep theirs.
        allowed_regions: Regions of the servers that may get its requests;
            empty for all.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@attrs.frozen
class Catalogue:
    """One version of the configuration.

    Attributes:
        version: Version number, which only increases.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by name; empty if no keys are in use.
        limits: Limits on callers' requests.
        by_host: Routes by host, those with the longest prefix first.
        by_key: Organisations by API key.
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
        """Returns the route with the longest prefix that matches a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that a key belongs to."""
        return self.by_key.get(key)

    def routes_to(self, service: str) -> list[Route]:
        """Returns the routes that send requests to a service."""
        return [
            route
            for route in self.routes
            if any(share.service == service for share in route.shares)
        ]


def is_newer(candidate: Catalogue, present: Catalogue | None) -> bool:
    """Returns whether a configuration may replace the present one."""
    return present is None or candidate.version > present.version
