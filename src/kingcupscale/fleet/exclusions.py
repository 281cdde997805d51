"""Why a server gets no request now, computed without changing anything.

It states the same rules as ``registry.Server.is_usable`` and its
``accepts_calls``, ``eligibility`` and ``batches.placement.can_run``, which
decide. Tests compare the two.
"""

import enum

import attrs

from kingcupscale.fleet import eligibility as eligibilities
from kingcupscale.fleet import registry
from kingcupscale.fleet import residency


class Reason(enum.Enum):
    """Why a server gets no request."""

    REMOVED = "removed"
    DRAINING = "draining"
    LEAVING = "leaving"
    EJECTED = "ejected"
    EVACUATED = "zone_evacuated"
    REGION = "region_not_allowed"
    COLD = "cold_without_room"
    LOADING = "loading"
    PAUSED = "paused"
    VERSION = "wrong_version"
    FULL = "full"
    PREEMPTIBLE = "preemptible"


@attrs.frozen
class Exclusion:
    """A reason and what is known about it.

    Attributes:
        reason: The reason.
        detail: The figures behind it.
        seconds_left: Seconds until it ends by itself; None if that is not
            known.
    """

    reason: Reason
    detail: str = ""
    seconds_left: float | None = None


def find(
    eligibility: eligibilities.Eligibility,
    server: registry.Server,
    zones: frozenset[str] | None,
    sender: str = eligibilities.CALLS,
) -> list[Exclusion]:
    """Returns all reasons for which a server gets no request of a sender.

    Args:
        eligibility: The rules of this node.
        server: The server.
        zones: The allowed zones; None for all.
        sender: The sample's model; ``CALLS`` for a call.
    """
    now = eligibility.clock.monotonic()
    zone = server.entry.zone
    found = []
    if server.is_removed:
        found.append(Exclusion(Reason.REMOVED))
    if server.entry.state is registry.ServerState.DRAINING:
        found.append(Exclusion(Reason.DRAINING))
    if server.is_leaving:
        found.append(Exclusion(Reason.LEAVING))
    if now < server.ejected_until:
        found.append(
            Exclusion(
                Reason.EJECTED,
                f"{server.failures} failures",
                server.ejected_until - now,
            )
        )
    if server.is_evacuated():
        found.append(Exclusion(Reason.EVACUATED, zone))
    if not residency.allows(zones, zone):
        found.append(Exclusion(Reason.REGION, zone))
    return [*found, *_find_cold(eligibility, server, sender, now)]


def find_for_call(
    eligibility: eligibilities.Eligibility,
    server: registry.Server,
    zones: frozenset[str] | None,
) -> list[Exclusion]:
    """Returns all reasons for which a server gets no call.

    Args:
        eligibility: The rules of this node.
        server: The server.
        zones: The allowed zones; None for all.
    """
    now = eligibility.clock.monotonic()
    found = find(eligibility, server, zones)
    if not server.accepts_calls(now):
        found.append(
            Exclusion(
                Reason.FULL,
                f"rejected a call {now - server.limited_at:.2f} s ago",
                max(0.0, server.accepts_calls_at() - now),
            )
        )
    return found


def _find_cold(
    eligibility: eligibilities.Eligibility,
    server: registry.Server,
    sender: str,
    now: float,
) -> list[Exclusion]:
    until = eligibility.peek_cold_until(server)
    if until is None:
        return []
    ends, share = eligibility.peek_room(server, sender)
    if len(ends) < share:
        return []
    if share:
        until = min(until, ends[len(ends) - share])
    return [
        Exclusion(Reason.COLD, f"{len(ends)} of {share} requests", until - now)
    ]


def find_for_sample(
    eligibility: eligibilities.Eligibility,
    engine: registry.Server,
    zones: frozenset[str] | None,
    model: str,
    minimum_version: int,
) -> list[Exclusion]:
    """Returns all reasons for which an engine gets no sample of a model.

    Args:
        eligibility: The rules of this node.
        engine: The engine.
        zones: The allowed zones; None for all.
        model: The sample's model.
        minimum_version: Oldest weight version that may generate its text.
    """
    now = eligibility.clock.monotonic()
    found = find(eligibility, engine, zones, model)
    paused_s = engine.no_samples_until.get(model, 0.0) - now
    if paused_s > 0 and engine.loading_until > now:
        found.append(Exclusion(Reason.LOADING, "", paused_s))
    elif paused_s > 0:
        found.append(Exclusion(Reason.PAUSED, "", paused_s))
    version = engine.versions.get(model, 0)
    if version < minimum_version:
        found.append(
            Exclusion(
                Reason.VERSION, f"version {version}, needs {minimum_version}"
            )
        )
    load, slots = engine.load(now), engine.entry.slots
    if load >= slots:
        found.append(Exclusion(Reason.FULL, f"{load:.1f} of {slots} slots"))
    return found
