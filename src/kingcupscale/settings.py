"""A node's settings, read from TOML and checked in full."""

import pathlib
import tomllib
from typing import Any
from typing import TypeVar

import attrs

from kingcupscale import codec

T = TypeVar("T")


class SettingsError(Exception):
    """A file that cannot be used.

    Args:
        path: The file.
        problems: All that is wrong with it, a line each.
    """

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("\n".join([f"{path}:", *problems]))
        self.path = path
        self.problems = problems


@attrs.frozen
class Listeners:
    """Where a node listens, as ``host:port``; port 0 lets the system choose.

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
    """Addresses of what the platform gives, as ``host:port``."""

    key_value: str
    vm_list: str
    capacity: str
    usage: str
    weights: str


@attrs.frozen
class OperatorKey:
    """An operator's key, known only by its salted digest."""

    salt: str
    digest: str


@attrs.frozen
class Timings:
    """Intervals and bounds, in seconds.

    Attributes:
        gossip_interval_s: Between two exchanges with peers.
        suspicion_s: That a suspect has to refute.
        isolation_bound_s: Without confirmation before admission is in doubt.
        lease_ttl_s: A lease lasts.
        lease_renew_s: Between two renewals.
        order_timeout_s: An order may be under way.
        usage_window_s: A usage window lasts.
        drain_notice_s: Between readiness going off and the first refusal.
        drain_limit_s: Open requests get to end.
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
    """What a caller may send.

    Attributes:
        body_bytes: Largest body.
        header_bytes: Largest request head.
        body_timeout_s: Seconds for a body to arrive.
    """

    body_bytes: codec.PositiveInt = codec.PositiveInt(4 * 1024 * 1024)
    header_bytes: codec.PositiveInt = codec.PositiveInt(32 * 1024)
    body_timeout_s: codec.PositiveSeconds = codec.PositiveSeconds(10.0)


@attrs.frozen
class NodeSettings:
    """Everything a node is told.

    Attributes:
        name: Its name, the same after a restart and unique.
        zone: Its availability zone.
        region: The zone's region.
        listeners: Where it listens.
        platform: Where the platform is.
        seeds: Peer listeners to join by, as ``host:port``.
        operators: Operators' keys by operator.
        statsd: ``host:port`` for metrics; empty for none.
        log_file: Where log events go; empty for standard error.
        usage_shards: Into how many shares usage reports are split.
        timings: Intervals and bounds.
        limits: What a caller may send.
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


def read_toml(path: str) -> dict[str, Any]:
    """Returns the tables of a TOML file.

    Raises:
        SettingsError: If it cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as e:
        raise SettingsError(path, [f"  {e.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise SettingsError(path, [f"  not TOML: {e}"]) from None


def load(kind: type[T], path: str) -> T:
    """Returns a TOML file as typed settings.

    Args:
        kind: The attrs class to make.
        path: The file.

    Raises:
        SettingsError: With every mistake in the file.
    """
    try:
        return codec.structure_strictly(kind, read_toml(path))
    except codec.DecodeError as e:
        lines = [f"  {mistake}" for mistake in e.mistakes]
        raise SettingsError(path, lines) from None
