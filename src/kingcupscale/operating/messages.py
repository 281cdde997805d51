"""Messages of the operator API."""

import datetime
from typing import Any

import attrs

from kingcupscale import codec
from kingcupscale import metrics


@attrs.frozen
class ApplyRequest:
    """A request to apply new tables of the configuration.

    Attributes:
        tables: The new tables, as in the TOML file; other tables stay
            unchanged.
        if_revision: The revision that the change is based on.
        reason: Why the operator makes the change.
        without_majority: Accept the change although most nodes are
            unreachable.
    """

    tables: dict[str, Any]
    if_revision: codec.NaturalInt
    reason: str
    without_majority: bool = False


@attrs.frozen
class DiffRequest:
    """A request for the changes that new tables would make."""

    tables: dict[str, Any]


@attrs.frozen
class DiffResponse:
    """The changes that new tables would make, one line per entry."""

    revision: int
    lines: list[str]


@attrs.frozen
class GrantRequest:
    """A request to add a key, which the operator's client created.

    Attributes:
        key_id: The key's id.
        key: The key's configuration entry, with salt and digest.
        reason: Why the operator adds the key.
    """

    key_id: codec.Name
    key: dict[str, Any]
    reason: str


@attrs.frozen
class WithdrawRequest:
    """A request to withdraw a key.

    Attributes:
        key_id: The key's id.
        reason: Why the operator withdraws the key.
        emergency: Withdraw it without the store, during a store outage.
    """

    key_id: codec.Name
    reason: str
    emergency: bool = False


@attrs.frozen
class ConfigurationResponse:
    """The configuration in force, without salts and digests of keys."""

    revision: int
    tables: dict[str, Any]


@attrs.frozen
class MemberLine:
    """A member, as known to the responding node."""

    name: str
    zone: str
    status: str
    incarnation: int


@attrs.frozen
class LeaseLine:
    """A lease that the responding node holds."""

    name: str
    epoch: int
    seconds_left: float


@attrs.frozen
class StatusResponse:
    """Status of one node.

    Attributes:
        node: The node's name.
        zone: The node's availability zone.
        incarnation: Start time of the node's process, in milliseconds.
        admitting: Whether the node admits requests.
        draining: Whether the node is in a planned stop.
        revision: Revision of the configuration in force.
        confirmed_age_s: Age of the last confirmation that this revision is the
            newest, in seconds; None before the first.
        active_requests: Number of requests in progress.
        queued: Number of queued requests by service.
        members: All members that the node knows.
        leases: Leases that the node holds.
        histograms: Summaries of the recorded histograms.
        counts: Counters by name.
    """

    node: str
    zone: str
    incarnation: int
    admitting: bool
    draining: bool
    revision: int
    confirmed_age_s: float | None
    active_requests: int
    queued: dict[str, int]
    members: list[MemberLine]
    leases: list[LeaseLine]
    histograms: list[metrics.Summary]
    counts: dict[str, int]


@attrs.frozen
class ChangeLine:
    """A configuration change in a handover report."""

    revision: int
    at: datetime.datetime
    operator: str
    reason: str
    lines: list[str]


@attrs.frozen
class HandoverResponse:
    """A handover report.

    Attributes:
        at: Time of the report, in UTC.
        node: Name of the node that created the report.
        revision: Revision of the configuration in force.
        changes: The latest changes by operators, the newest first.
        half_done: Orders without an outcome, emergency withdrawals not yet
            in the configuration, and leaving backend servers.
        leases: Holder and epoch of each lease.
        alarms: Conditions that operators should check.
        unreported_usage: Usage windows that the usage intake has not accepted
            yet.
    """

    at: datetime.datetime
    node: str
    revision: int
    changes: list[ChangeLine]
    half_done: list[str]
    leases: list[str]
    alarms: list[str]
    unreported_usage: list[str]
