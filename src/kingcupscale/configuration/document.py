"""What operators configure, as typed tables."""

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
    """A class of work and its targets.

    Attributes:
        priority: Higher is served first.
        latency_s: Target for the first token or the whole plain answer.
        deadline_s: Longest wait for a server before the request is refused.
        queue: Most requests that wait on one node.
        freshness_versions: Oldest weights allowed, in versions behind the
            trainer's; None where any will do.
        cost_per_hour: Most that servers for this class may cost an hour.
        cheap: Whether it may run on servers that can be reclaimed.
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
    """A customer.

    Attributes:
        label: What backend servers and reports call it.
        streams: Most requests it may have open on one node.
    """

    label: codec.Name
    streams: codec.PositiveInt = codec.PositiveInt(64)


@attrs.frozen
class Key:
    """A caller's key, known only by its salted digest.

    Attributes:
        organisation: Whose key it is.
        service_class: Class of the work done with it.
        salt: Random hexadecimal salt.
        digest: Digest of salt and secret.
        trainer: The trainer it belongs to, or empty.
    """

    organisation: codec.Name
    service_class: codec.Name
    salt: str
    digest: str
    trainer: str = ""


class ServiceKind(enum.Enum):
    """What stands behind a service's name."""

    ENGINE = "engine"
    PLAIN = "plain"


@attrs.frozen
class BackendServer:
    """One backend server.

    Attributes:
        address: ``host:port``.
        zone: Availability zone.
        slots: Requests it serves well at the same time.
        cheap: Whether it may be reclaimed at a few seconds' notice.
    """

    address: str
    zone: codec.Name
    slots: codec.PositiveInt = codec.PositiveInt(16)
    cheap: bool = False


@attrs.frozen
class Scaling:
    """How many servers a zone may order for a service.

    Attributes:
        service_class: The class whose latency and cost targets decide.
        minimum: Servers always kept.
        maximum: Most servers.
        cheap: Whether to order cheap ones.
        slots: Slots of an ordered server.
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
        kind: Model engines or plain servers.
        backend_servers: By name.
        idempotent: Whether every call may be repeated. GET and HEAD always
            may.
        fenced: Whether its servers refuse orders with an old epoch.
        timeout_s: Longest time a plain call may take.
        scaling: Servers to order, or None for none.
    """

    kind: ServiceKind
    backend_servers: dict[codec.Name, BackendServer] = attrs.field(factory=dict)
    idempotent: bool = False
    fenced: bool = False
    timeout_s: codec.PositiveSeconds = codec.PositiveSeconds(10.0)
    scaling: Scaling | None = None


@attrs.frozen
class OpenRoute:
    """Paths of a plain service that need no key.

    Attributes:
        service: The plain service.
        path: Path prefix at the service.
        organisation: Whom the calls count for.
        service_class: Class of the work.
    """

    service: codec.Name
    path: str
    organisation: codec.Name
    service_class: codec.Name


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
        region: Region it lies in.
        server_cost_per_hour: Price of an ordinary server.
        cheap_cost_per_hour: Price of a cheap one.
    """

    region: codec.Name
    server_cost_per_hour: codec.PositiveSeconds = codec.PositiveSeconds(1.0)
    cheap_cost_per_hour: codec.PositiveSeconds = codec.PositiveSeconds(0.35)


@attrs.frozen
class Trainer:
    """A trainer.

    Attributes:
        organisation: Whose trainer it is.
        service: The engine service its rollouts run on.
        service_class: Class of its rollouts.
        scorer: Plain service that scores samples, or empty.
    """

    organisation: codec.Name
    service: codec.Name
    service_class: codec.Name
    scorer: str = ""


@attrs.frozen
class Node:
    """A node of the system, entered by the nodes themselves.

    Attributes:
        zone: Availability zone.
    """

    zone: codec.Name


@attrs.frozen
class OrderedServer:
    """A backend server that a zone's lease holder has ordered.

    Attributes:
        service: The service it is for.
        server: The server.
    """

    service: codec.Name
    server: BackendServer


@attrs.frozen
class Document:
    """The whole configuration, one attribute a table."""

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
    """Returns tables of named entries as one table by ``table/name``."""
    return {
        f"{table}/{name}": entry
        for table, entries in tables.items()
        for name, entry in entries.items()
    }


def unflatten(entries: Entries) -> dict[str, Any]:
    """Returns entries by ``table/name`` as tables of named entries."""
    tables: dict[str, Any] = {}
    for path, entry in entries.items():
        table, _, name = path.partition("/")
        tables.setdefault(table, {})[name] = entry
    return tables


def is_system_path(path: str) -> bool:
    """Tells whether an entry is kept by the nodes, not by operators."""
    return path.partition("/")[0] in SYSTEM_TABLES
