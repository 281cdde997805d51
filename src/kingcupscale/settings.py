"""The settings of a node, read from a TOML file.

All problems of a file are reported together.
"""

import pathlib
import tomllib
from typing import Any
from typing import TypeVar

import attrs

from kingcupscale import codec

T = TypeVar("T")


class SettingsError(Exception):
    """An unreadable or invalid settings file.

    Args:
        path: Path of the file.
        problems: A line for each problem found.
    """

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("\n".join([f"{path}:", *problems]))
        self.path = path
        self.problems = problems


@attrs.frozen
class Listeners:
    """Addresses that a node listens on, as ``host:port``.

    For port 0 the system chooses a free port.

    Attributes:
        callers: For callers and trainers.
        operators: For operators.
        peers: For other nodes.
    """

    callers: str
    operators: str
    peers: str


@attrs.frozen
class Platform:
    """Addresses of the platform's services, as ``host:port``."""

    key_value: str
    vm_list: str
    capacity: str
    usage: str
    weights: str


@attrs.frozen
class OperatorKey:
    """The salted digest of an operator's key."""

    salt: str
    digest: str


@attrs.frozen
class Timings:
    """Intervals and time limits, in seconds.

    Attributes:
        gossip_interval_s: Interval between gossip exchanges with peers.
        suspicion_s: Time that a suspected node has to refute the suspicion.
        isolation_bound_s: Time without a confirmation that the configuration
            is the newest, after which a node admits requests only while it has
            contact with a majority of the nodes.
        lease_ttl_s: Time to live of a lease.
        lease_renew_s: Interval between renewals of a lease.
        order_timeout_s: Longest time that an order or a usage report may be in
            flight.
        usage_window_s: Length of a usage window.
        drain_notice_s: Time from the node reporting that it is not ready to
            the first refused request.
        drain_limit_s: Time that open requests have to finish in a drain.
    """

    gossip_interval_s: codec.PositiveSeconds = codec.PositiveSeconds(1.0)
    suspicion_s: codec.PositiveSeconds = codec.PositiveSeconds(4.0)
    isolation_bound_s: codec.PositiveSeconds = codec.PositiveSeconds(12.0)
    lease_ttl_s: codec.PositiveSeconds = codec.PositiveSeconds(9.0)
    lease_renew_s: codec.PositiveSeconds = codec.PositiveSeconds(3.0)
    order_timeout_s: codec.PositiveSeconds = codec.PositiveSeconds(2.0)
    usage_window_s: codec.PositiveSeconds = codec.PositiveSeconds(60.0)
    drain_notice_s: codec.PositiveSeconds = codec.PositiveSeconds(2.0)
    drain_limit_s: codec.PositiveSeconds = codec.PositiveSeconds(120.0)


@attrs.frozen
class RequestLimits:
    """Limits on requests from callers.

    Attributes:
        body_bytes: Largest body, in bytes.
        header_bytes: Largest request line with headers, in bytes.
        body_timeout_s: Time for the whole body to arrive, in seconds.
    """

    body_bytes: codec.PositiveInt = codec.PositiveInt(4 * 1024 * 1024)
    header_bytes: codec.PositiveInt = codec.PositiveInt(32 * 1024)
    body_timeout_s: codec.PositiveSeconds = codec.PositiveSeconds(10.0)


@attrs.frozen
class ClientMemory:
    """The memory that the limits on clients follow from.

    Attributes:
        memory_mb: Memory of the VM, in MB.
    """

    memory_mb: codec.PositiveInt = codec.PositiveInt(512)


@attrs.frozen
class NodeSettings:
    """The settings of a node.

    Attributes:
        name: Unique name of the node; it stays the same after a restart.
        zone: Availability zone of the node.
        region: Region of the zone.
        listeners: Addresses that the node listens on.
        platform: Addresses of the platform's services.
        seeds: Peer listeners to contact in order to join, as ``host:port``.
        operators: Operator keys by name of the operator.
        statsd: ``host:port`` of the statsd server; empty for none.
        log_file: Path of the log file; empty for standard error.
        usage_shards: Number of shards that usage reports are split into.
        timings: Intervals and time limits.
        limits: Limits on requests from callers.
        clients: The memory that the limits on clients follow from.
    """

    name: codec.Name
    zone: codec.Name
    region: codec.Name
    listeners: Listeners
    platform: Platform
    seeds: list[str] = attrs.field(factory=list)
    operators: dict[codec.Name, OperatorKey] = attrs.field(factory=dict)
    statsd: str = ""
    log_file: str = ""
    usage_shards: codec.PositiveInt = codec.PositiveInt(1)
    timings: Timings = attrs.field(factory=Timings)
    limits: RequestLimits = attrs.field(factory=RequestLimits)
    clients: ClientMemory = attrs.field(factory=ClientMemory)


def read_toml(path: str) -> dict[str, Any]:
    """Returns the tables of a TOML file.

    Raises:
        SettingsError: If the file cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as e:
        raise SettingsError(path, [f"  {e.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise SettingsError(path, [f"  not TOML: {e}"]) from None


def load(kind: type[T], path: str) -> T:
    """Returns the settings in a TOML file.

    Args:
        kind: The attrs class of the settings.
        path: Path of the file.

    Raises:
        SettingsError: If the file cannot be read or has invalid settings.
    """
    try:
        return codec.structure_strictly(kind, read_toml(path))
    except codec.DecodeError as e:
        lines = [f"  {mistake}" for mistake in e.mistakes]
        raise SettingsError(path, lines) from None
