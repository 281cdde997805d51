"""The tables of the configuration, as typed classes and as flat entries.

A flat entry is the value of one table entry under the path ``table/name``.
"""

import enum
from typing import Any

import attrs

from kingcupscale import codec

TABLES = (
    "classes",
    "organisations",
    "keys",
    "services",
    "open_routes",
    "zones",
    "trainers",
)
NODES_TABLE = "nodes"
ORDERED_TABLE = "ordered"
SYSTEM_TABLES = (NODES_TABLE, ORDERED_TABLE)

Entries = dict[str, Any]


@attrs.frozen
class ServiceClass:
    """A service class: the priority, targets and limits of its requests.

    Attributes:
        priority: Requests of a higher priority are served first.
        latency_s: Target latency of the first token, or of a plain service's
            whole response, in seconds.
        deadline_s: Longest time in the queue before a request is refused, in
            seconds.
        queue: Maximum number of queued requests on one node.
        freshness_versions: How many versions the weights may be behind the
            trainer's newest; None for no limit.
        cost_per_hour: Maximum hourly cost of the servers for this class;
            None for no limit.
        cheap: Whether it may run on preemptible servers.
    """

    priority: int
    latency_s: codec.PositiveSeconds
    deadline_s: codec.PositiveSeconds = codec.PositiveSeconds(30.0)
    queue: codec.PositiveInt = codec.PositiveInt(256)
    freshness_versions: codec.NaturalInt | None = None
    cost_per_hour: codec.PositiveSeconds | None = None
    cheap: bool = False


@attrs.frozen
class Organisation:
    """A customer organisation.

    Attributes:
        label: Its name towards backend servers and in usage reports.
        streams: Maximum number of open requests on one node.
    """

    label: codec.Name
    streams: codec.PositiveInt = codec.PositiveInt(64)


@attrs.frozen
class Key:
    """A caller's API key, stored as a salted digest.

    Attributes:
        organisation: The organisation that the key belongs to.
        service_class: Service class of requests with this key.
        salt: Random hexadecimal salt.
        digest: Digest of the salted key, in hexadecimal.
        trainer: The trainer that the key belongs to, or empty.
    """

    organisation: codec.Name
    service_class: codec.Name
    salt: str
    digest: str
    trainer: str = ""


class ServiceKind(enum.Enum):
    """Kind of a service's backend servers."""

    ENGINE = "engine"
    PLAIN = "plain"


@attrs.frozen
class BackendServer:
    """A backend server.

    Attributes:
        address: ``host:port``.
        zone: Availability zone.
        slots: Number of requests it can serve concurrently.
        cheap: Whether it is preemptible, with a few seconds' notice.
    """

    address: str
    zone: codec.Name
    slots: codec.PositiveInt = codec.PositiveInt(16)
    cheap: bool = False


@attrs.frozen
class Scaling:
    """Limits on the servers to order for a service in each zone.

    Attributes:
        service_class: The service class whose latency and cost targets apply.
        minimum: Minimum number of servers.
        maximum: Maximum number of servers.
        cheap: Whether to order preemptible servers.
        slots: Number of slots of an ordered server.
    """

    service_class: codec.Name
    minimum: codec.NaturalInt = codec.NaturalInt(0)
    maximum: codec.NaturalInt = codec.NaturalInt(0)
    cheap: bool = True
    slots: codec.PositiveInt = codec.PositiveInt(16)


@attrs.frozen
class Service:
    """A service and its backend servers.

    Attributes:
        kind: Whether the servers are model engines or plain HTTP servers.
        backend_servers: By name.
        idempotent: Whether every call may be retried. GET and HEAD always
            may.
        fenced: Whether its servers refuse orders with an outdated epoch
            (fencing token).
        timeout_s: Timeout of a call to a plain service, in seconds.
        scaling: Limits for ordering servers; None to order none.
    """

    kind: ServiceKind
    backend_servers: dict[codec.Name, BackendServer] = attrs.field(factory=dict)
    idempotent: bool = False
    fenced: bool = False
    timeout_s: codec.PositiveSeconds = codec.PositiveSeconds(10.0)
    scaling: Scaling | None = None


@attrs.frozen
class OpenRoute:
    """Paths of a plain service that can be called without a key.

    Attributes:
        service: The plain service.
        path: Path prefix at the service.
        organisation: The organisation to which the calls are charged.
        service_class: Service class of the calls.
    """

    service: codec.Name
    path: str
    organisation: codec.Name
    service_class: codec.Name


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
        region: Region of the zone.
        server_cost_per_hour: Hourly price of a regular server.
        cheap_cost_per_hour: Hourly price of a preemptible server.
    """

    region: codec.Name
    server_cost_per_hour: codec.PositiveSeconds = codec.PositiveSeconds(1.0)
    cheap_cost_per_hour: codec.PositiveSeconds = codec.PositiveSeconds(0.35)


@attrs.frozen
class Trainer:
    """A trainer, which requests rollouts.

    Attributes:
        organisation: The organisation that the trainer belongs to.
        service: The engine service that runs its rollouts.
        service_class: Service class of its rollouts.
        scorer: Plain service that scores samples, or empty.
    """

    organisation: codec.Name
    service: codec.Name
    service_class: codec.Name
    scorer: str = ""


@attrs.frozen
class Node:
    """A node of the system, registered by the nodes themselves.

    Attributes:
        zone: Availability zone.
    """

    zone: codec.Name


@attrs.frozen
class OrderedServer:
    """A backend server that a zone's lease holder has ordered.

    Attributes:
        service: The service that it was ordered for.
        server: The configuration of the ordered server.
    """

    service: codec.Name
    server: BackendServer


@attrs.frozen
class Document:
    """The whole configuration, with one attribute per table."""

    classes: dict[codec.Name, ServiceClass] = attrs.field(factory=dict)
    organisations: dict[codec.Name, Organisation] = attrs.field(factory=dict)
    keys: dict[codec.Name, Key] = attrs.field(factory=dict)
    services: dict[codec.Name, Service] = attrs.field(factory=dict)
    open_routes: dict[codec.Name, OpenRoute] = attrs.field(factory=dict)
    zones: dict[codec.Name, Zone] = attrs.field(factory=dict)
    trainers: dict[codec.Name, Trainer] = attrs.field(factory=dict)
    nodes: dict[codec.Name, Node] = attrs.field(factory=dict)
    ordered: dict[codec.Name, OrderedServer] = attrs.field(factory=dict)


def flatten(tables: dict[str, Any]) -> Entries:
    """Returns the entries of all tables in one dict by ``table/name``."""
    return {
        f"{table}/{name}": entry
        for table, entries in tables.items()
        for name, entry in entries.items()
    }


def unflatten(entries: Entries) -> dict[str, Any]:
    """Returns entries by ``table/name`` as a dict of tables."""
    tables: dict[str, Any] = {}
    for path, entry in entries.items():
        table, _, name = path.partition("/")
        tables.setdefault(table, {})[name] = entry
    return tables


def is_system_path(path: str) -> bool:
    """Returns whether nodes, not operators, maintain an entry."""
    return path.partition("/")[0] in SYSTEM_TABLES
