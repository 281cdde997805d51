"""Explains where a request would be sent now, without sending anything.

It reads the node's state and calls the functions that decide, but those only
that change nothing: no counters, reservations or random choices.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random

import attrs

from kingcupscale import errors
from kingcupscale import runtime as runtimes
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import exclusions
from kingcupscale.fleet import registry
from kingcupscale.gateway import backoff
from kingcupscale.gateway import forwarder
from kingcupscale.gateway import refusal
from kingcupscale.operating import explanations

# Time limit of a call without a deadline, as for callers that send none.
DEFAULT_DEADLINE_S = 10.0
DECIMALS = 3


@attrs.frozen
class Question:
    """The request to explain.

    Attributes:
        method: HTTP method.
        host: Host header.
        path: Path without the query.
        organisation: Name of the organisation, never its key; empty for none.
        priority: Class priority in place of the configured one; None for that.
        service: Only this service of the route; empty for all.
    """

    method: str
    host: str
    path: str
    organisation: str = ""
    priority: int | None = None
    service: str = ""


def call_costs(
    calls: forwarder.Forwarder, servers: Sequence[registry.Server], now: float
) -> Mapping[str, float]:
    """Returns the cost by which the forwarder ranks each server, by id."""
    return calls.placement.costs(servers, now)


def explain_call(
    runtime: runtimes.Runtime, question: Question
) -> explanations.CallExplanation:
    """Returns where a request would be sent.

    Raises:
        ServiceError: ``EXPLAIN_INVALID`` if the organisation or the service
            does not exist.
    """
    configured = runtime.current_catalogue()
    organisation = find_organisation(configured, question.organisation)
    route = configured and configured.find_route(question.host, question.path)
    if configured is None or route is None:
        return _explain_unrouted(runtime, question)
    zones = runtime.eligibility.peek_zones(route, question.organisation)
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    if question.priority is not None:
        priority = question.priority
    is_batch = route.kind is catalogue.RouteKind.BATCH
    notes = []
    if is_batch:
        notes.append(
            "samples are placed by the node that holds their model's duty;"
            " name a batch to see the engines for it"
        )
    return explanations.CallExplanation(
        view=make_view(runtime),
        route=route.name,
        kind=route.kind.value,
        organisation=question.organisation,
        priority=priority,
        zones=list_zones(zones),
        services=_explain_services(runtime, route, zones, question.service),
        rejection=_find_rejection(runtime, route, question, zones),
        notes=notes,
    )


def _explain_unrouted(
    runtime: runtimes.Runtime, question: Question
) -> explanations.CallExplanation:
    error = runtime.readiness.admission_error() or _refusal(
        runtime, errors.ResultCode.ROUTE_UNKNOWN
    )
    return explanations.CallExplanation(
        view=make_view(runtime),
        route="",
        kind="",
        organisation=question.organisation,
        priority=question.priority,
        zones=None,
        services=[],
        rejection=explanations.make_rejection(error, is_certain=True),
        notes=[],
    )


def find_organisation(
    configured: catalogue.Catalogue | None, name: str
) -> catalogue.Organisation | None:
    """Returns the organisation of a name; None if the name is empty.

    Raises:
        ServiceError: ``EXPLAIN_INVALID`` if there is none. The error does not
            repeat the name, which may be a key by mistake.
    """
    if not name:
        return None
    found = configured.organisations.get(name) if configured else None
    if found is None:
        raise errors.ServiceError(
            errors.ResultCode.EXPLAIN_INVALID,
            "organisation: expected the name of a configured organisation,"
            " not its key",
        )
    return found


def _find_rejection(
    runtime: runtimes.Runtime,
    route: catalogue.Route,
    question: Question,
    zones: frozenset[str] | None,
) -> explanations.Rejection | None:
    """Returns why a request would be rejected before a server is chosen."""
    error = runtime.readiness.admission_error()
    configured = runtime.current_catalogue()
    needs_key = configured and configured.organisations and not route.is_open
    if error is None and needs_key and not question.organisation:
        error = _refusal(runtime, errors.ResultCode.KEY_REFUSED)
    is_batch = route.kind is catalogue.RouteKind.BATCH
    if error is None and is_batch and question.method != "POST":
        error = errors.ServiceError(errors.ResultCode.METHOD_NOT_ALLOWED)
    if error is None:
        try:
            runtime.eligibility.shares_within(route, zones)
        except errors.ServiceError as e:
            error = e
    return (
        explanations.make_rejection(error, is_certain=True) if error else None
    )


def _refusal(
    runtime: runtimes.Runtime, code: errors.ResultCode
) -> errors.ServiceError:
    return runtime.readiness.staleness_error() or errors.ServiceError(code)


def make_view(runtime: runtimes.Runtime) -> explanations.View:
    """Returns how recent the node's view is."""
    configured = runtime.current_catalogue()
    return explanations.View(
        runtime.settings.node,
        runtime.settings.zone,
        configured.version if configured else 0,
        round_seconds(runtime.mirror.essential_age_s()),
    )


def round_seconds(seconds: float) -> float | None:
    """Returns a time for a message; None if it is infinite."""
    return None if seconds == float("inf") else round(seconds, DECIMALS)


def list_zones(zones: frozenset[str] | None) -> list[str] | None:
    """Returns allowed zones for a message."""
    return None if zones is None else sorted(zones)


def _explain_services(
    runtime: runtimes.Runtime,
    route: catalogue.Route,
    zones: frozenset[str] | None,
    only: str,
) -> list[explanations.Service]:
    shares = {share.service: share.weight for share in route.shares}
    if only and only not in shares:
        raise errors.ServiceError(
            errors.ResultCode.EXPLAIN_INVALID,
            f"service: the route {route.name} leads to"
            f" {', '.join(sorted(shares))}",
        )
    try:
        usable = runtime.eligibility.shares_within(route, zones)
    except errors.ServiceError:
        usable = ()
    probabilities = _probabilities(usable)
    return [
        _explain_service(
            runtime, route, zones, name, probabilities.get(name, 0.0)
        )
        for name in shares
        if only in ("", name)
    ]


def _probabilities(shares: Sequence[catalogue.Share]) -> dict[str, float]:
    """Returns how likely the forwarder picks each service."""
    total = sum(share.weight for share in shares)
    if total <= 0:
        return {share.service: 1.0 for share in shares[:1]}
    return {share.service: share.weight / total for share in shares}


def _explain_service(
    runtime: runtimes.Runtime,
    route: catalogue.Route,
    zones: frozenset[str] | None,
    name: str,
    probability: float,
) -> explanations.Service:
    now = runtime.clock.monotonic()
    excluded = {
        server: exclusions.find_for_call(runtime.eligibility, server, zones)
        for server in runtime.server_registry.list_servers(name)
    }
    candidates = [server for server, found in excluded.items() if not found]
    costs = call_costs(runtime.forwarder, candidates, now) if candidates else {}
    is_batch = route.kind is catalogue.RouteKind.BATCH
    longest_s = forwarder.QUEUE_WAIT_FACTOR * route.target_latency_s
    return explanations.Service(
        name=name,
        probability=round(probability, DECIMALS),
        expected_wait_s=_queue_wait_s(runtime.forwarder, name, now)
        or expected_wait_s(excluded.values()),
        longest_wait_s=None if is_batch else longest_s,
        servers=list_servers(runtime, excluded, costs),
        rejection=None
        if is_batch
        else _explain_unserved(runtime, route, name, now),
    )


def _explain_unserved(
    runtime: runtimes.Runtime, route: catalogue.Route, service: str, now: float
) -> explanations.Rejection:
    """Returns how a call ends that no server accepts within its wait."""
    servers = runtime.server_registry.list_servers(service)
    has_usable = any(s.is_usable(now) for s in servers)
    error = errors.ServiceError(
        errors.ResultCode.DEADLINE_UNMET
        if has_usable
        else errors.ResultCode.NO_SERVER
    )
    latency_s = runtime.forwarder.latency_s.get(service, 0.1)
    waited_s = forwarder.QUEUE_WAIT_FACTOR * route.target_latency_s
    left_s = max(0.0, DEFAULT_DEADLINE_S - min(waited_s, route.timeout_s))
    bounds = [
        backoff.retry_after_s(latency_s, left_s, _FixedJitter(share))
        for share in (0.0, 1.0)
    ]
    return explanations.make_rejection(error, False, (bounds[0], bounds[1]))


class _FixedJitter(random.Random):
    """Returns the same number always, for the bounds of a random time."""

    def __init__(self, share: float) -> None:
        super().__init__(0)
        self.share = share

    def random(self) -> float:
        return self.share


def _queue_wait_s(
    calls: forwarder.Forwarder, service: str, now: float
) -> float | None:
    """Returns the expected wait behind the calls that wait; None if unknown."""
    queue = calls.waits.queues.get(service)
    if queue is None or not queue.waiters:
        return None
    wait_s = refusal.expected_wait_s(len(queue.waiters), queue.rate, now)
    return None if wait_s is None else round(wait_s, DECIMALS)


def expected_wait_s(
    excluded: Iterable[Sequence[exclusions.Exclusion]],
) -> float | None:
    """Returns the seconds until a server is a candidate; None if not known.

    Args:
        excluded: The exclusions of each server.
    """
    waits = []
    for found in excluded:
        seconds = [exclusion.seconds_left for exclusion in found]
        known = [s for s in seconds if s is not None]
        if len(known) == len(seconds):
            waits.append(max(known, default=0.0))
    return round(min(waits), DECIMALS) if waits else None


def list_servers(
    runtime: runtimes.Runtime,
    excluded: Mapping[registry.Server, Sequence[exclusions.Exclusion]],
    costs: Mapping[str, float],
    model: str | None = None,
) -> list[explanations.Server]:
    """Returns servers in the order in which they would be chosen.

    Args:
        runtime: The node.
        excluded: The exclusions by server; empty for candidates.
        costs: The cost of each candidate, by id.
        model: The model whose weight version is shown; None for none.
    """
    ranks = {
        cost: rank for rank, cost in enumerate(sorted(set(costs.values())), 1)
    }
    found = [
        _describe(runtime, server, reasons, costs, ranks, model)
        for server, reasons in excluded.items()
    ]
    return sorted(
        found, key=lambda s: (s.rank is None, s.rank or 0, s.cost or 0.0, s.id)
    )


def _describe(
    runtime: runtimes.Runtime,
    server: registry.Server,
    reasons: Sequence[exclusions.Exclusion],
    costs: Mapping[str, float],
    ranks: Mapping[float, int],
    model: str | None,
) -> explanations.Server:
    now = runtime.clock.monotonic()
    cost = costs.get(server.id)
    has_report = server.load_reported_at >= 0
    return explanations.Server(
        id=server.id,
        zone=server.entry.zone,
        rank=None if cost is None else ranks[cost],
        cost=None if cost is None else round(cost, DECIMALS),
        in_flight=server.in_flight,
        other_requests=server.other_requests,
        report_age_s=round(now - server.load_reported_at, DECIMALS)
        if has_report
        else None,
        slots=server.entry.slots,
        slowness=server.slowness(now),
        failures=server.failures,
        relative_latency=round(server.relative_latency, DECIMALS),
        is_cold=runtime.eligibility.peek_cold_until(server) is not None,
        version=None if model is None else server.versions.get(model, 0),
        excluded=[
            explanations.Exclusion(
                exclusion.reason.value,
                exclusion.detail,
                None
                if exclusion.seconds_left is None
                else round(exclusion.seconds_left, DECIMALS),
            )
            for exclusion in reasons
        ],
    )
