"""What operators send and get."""

import datetime
from typing import Any

import attrs

from kingcupscale import codec
from kingcupscale import metrics


@attrs.frozen
class ApplyRequest:
    """Asks for a new configuration.

    Attributes:
        tables: The tables as in the TOML file; tables not named stay.
        if_revision: The revision the operator saw.
        reason: Why.
        without_majority: Accept although most nodes are out of reach.
    """

    tables: dict[str, Any]
    if_revision: codec.NaturalInt
    reason: str
    without_majority: bool = False


@attrs.frozen
class DiffRequest:
    """Asks what a new configuration would change."""

    tables: dict[str, Any]


@attrs.frozen
class DiffResponse:
    """What would change, a line an entry."""

    revision: int
    lines: list[str]


@attrs.frozen
class GrantRequest:
    """Enters a key that the operator's side has made.

    Attributes:
        key_id: The key's id.
        key: Its entry, with salt and digest.
        reason: Why.
    """

    key_id: codec.Name
    key: dict[str, Any]
    reason: str


@attrs.frozen
class WithdrawRequest:
    """Withdraws a key.

    Attributes:
        key_id: The key's id.
        reason: Why.
        emergency: Do it without the store, which cannot be reached.
    """

    key_id: codec.Name
    reason: str
    emergency: bool = False


@attrs.frozen
class ConfigurationResponse:
    """The configuration in force, keys without salt and digest."""

    revision: int
    tables: dict[str, Any]


@attrs.frozen
class MemberLine:
    """One member as the answering node sees it."""

    name: str
    zone: str
    status: str
    incarnation: int


@attrs.frozen
class LeaseLine:
    """One lease that the answering node holds."""

    name: str
    epoch: int
    seconds_left: float


@attrs.frozen
class StatusResponse:
    """How one node stands.

    Attributes:
        node: Its name.
        zone: Its availability zone.
        incarnation: Of this run.
        admitting: Whether it takes requests.
        draining: Whether it is stopping.
        revision: Of the configuration in force.
        confirmed_age_s: Seconds since the time as of which that revision is
            known to be the newest.
        active_requests: Requests being answered.
        queued: Waiting requests by service.
        members: All members it knows.
        leases: Leases it holds.
        histograms: By organisation and class.
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
    """One change in a handover."""

    revision: int
    at: datetime.datetime
    operator: str
    reason: str
    lines: list[str]


@attrs.frozen
class HandoverResponse:
    """What the pair that leaves gives to the next.

    Attributes:
        at: When it was made, in UTC.
        node: Which node made it.
        revision: Of the configuration in force.
        changes: The latest changes, the newest first.
        half_done: Orders without an outcome, emergency withdrawals not yet
            in the configuration, drains under way.
        leases: Who holds what.
        alarms: What needs a look.
        unreported_usage: Windows not yet taken by the intake.
    """

    at: datetime.datetime
    node: str
    revision: int
    changes: list[ChangeLine]
    half_done: list[str]
    leases: list[str]
    alarms: list[str]
    unreported_usage: list[str]
