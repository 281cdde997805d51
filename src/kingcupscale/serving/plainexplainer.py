"""Explains where a call to a plain service would be sent, without sending it.

It covers the first attempt of a call. Completions, rollouts and batches are not
covered: their server depends on the prompt and on the weights.
"""

from kingcupscale import errors
from kingcupscale import settings as node_settings
from kingcupscale.configuration import admission as admissions
from kingcupscale.configuration import document
from kingcupscale.fleet import exclusions
from kingcupscale.operating import explainquery
from kingcupscale.operating import explanations
from kingcupscale.serving import callerapi
from kingcupscale.serving import routing
from kingcupscale.serving import services

DECIMALS = 3
# A call to a plain service, which does not accept preemptible servers.
REQUIREMENTS = routing.ServerRequirements()


class PlainExplainer:
    """Explains a node's calls to plain services.

    Args:
        settings: The node's settings.
        pools: The services.
        admission: Decides whether the node admits requests.
        caller_api: The listener of the callers.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        pools: services.Services,
        admission: admissions.Admission,
        caller_api: callerapi.CallerApi,
    ) -> None:
        self.settings = settings
        self.pools = pools
        self.admission = admission
        self.caller_api = caller_api

    def explain(self, fields: dict[str, str]) -> explanations.CallExplanation:
        """Returns where a call would be sent.

        Args:
            fields: The parameters of the query.

        Raises:
            ServiceError: ``EXPLAIN_INVALID``; ``EXPLAIN_UNSUPPORTED`` if it is
                no call to a plain service.
        """
        name = _find_service(fields)
        pool = self.pools.pools.get(name)
        if pool is None or pool.service.kind is not document.ServiceKind.PLAIN:
            raise _make_unsupported()
        owner = fields.get("organisation", "")
        if owner and owner not in self.pools.replica.document.organisations:
            raise explainquery.make_invalid(
                "organisation: expected the name of a configured organisation,"
                " not its key"
            )
        priority = explainquery.decode_priority(fields.get("priority"))
        age_s = self.admission.confirmed_age_s()
        method = fields.get("method", "POST").upper()
        is_idempotent = pool.service.idempotent or method in ("GET", "HEAD")
        return explanations.CallExplanation(
            view=explanations.View(
                self.settings.name,
                self.settings.zone,
                self.pools.replica.revision,
                None if age_s is None else round(age_s, DECIMALS),
            ),
            route=callerapi.SERVICES_PREFIX + name,
            kind="idempotent" if is_idempotent else "non_idempotent",
            organisation=owner,
            priority=priority,
            zones=None,
            services=[_explain_pool(pool, priority)],
            rejection=self._find_rejection(),
            notes=[
                "the node picks two candidates at random and sends the call to"
                " the one with the lower cost, its utilisation"
            ],
        )

    def _find_rejection(self) -> explanations.Rejection | None:
        if self.caller_api.is_draining:
            return explanations.make_rejection(
                errors.ServiceError(
                    errors.ResultCode.DRAINING,
                    retry_after_s=callerapi.DRAIN_RETRY_AFTER_S,
                ),
                is_certain=True,
            )
        if self.admission.peek_admitting():
            return None
        return explanations.make_rejection(
            self.admission.make_rejection(), is_certain=True
        )


def _find_service(fields: dict[str, str]) -> str:
    """Returns the name of the plain service that is asked about.

    Raises:
        ServiceError: ``EXPLAIN_INVALID`` or ``EXPLAIN_UNSUPPORTED``.
    """
    if "batch" in fields or "item" in fields:
        raise _make_unsupported()
    path = fields.get("path", "")
    if not path and "service" not in fields:
        raise explainquery.make_invalid("path: expected a value")
    if not path:
        return fields["service"]
    name = path.removeprefix(callerapi.SERVICES_PREFIX).partition("/")[0]
    if not path.startswith(callerapi.SERVICES_PREFIX):
        raise _make_unsupported()
    if fields.get("service", name) != name:
        raise explainquery.make_invalid("service: expected that of the path")
    return name


def _make_unsupported() -> errors.ServiceError:
    return errors.ServiceError(
        errors.ResultCode.EXPLAIN_UNSUPPORTED,
        "this node explains only calls to a configured plain service:"
        f" {callerapi.SERVICES_PREFIX}NAME/",
    )


def _explain_pool(
    pool: services.ServicePool, priority: int | None
) -> explanations.Service:
    router, scheduler = pool.router, pool.scheduler
    now = router.clock.monotonic()
    found = {
        state.name: _find_exclusions(router, state, now)
        for state in router.servers.values()
    }
    free = [s for s in router.servers.values() if not found[s.name]]
    costs = {s.name: round(s.utilisation(now), DECIMALS) for s in free}
    ranks = {c: rank for rank, c in enumerate(sorted(set(costs.values())), 1)}
    servers = [
        _describe(state, now, costs.get(state.name), ranks, found[state.name])
        for state in router.servers.values()
    ]
    is_usable = bool(router.usable(REQUIREMENTS))
    return explanations.Service(
        name=pool.name,
        probability=1.0,
        expected_wait_s=_expected_wait_s(pool, priority, bool(free)),
        longest_wait_s=None,
        servers=sorted(
            servers, key=lambda s: (s.rank is None, s.rank or 0, s.id)
        ),
        rejection=explanations.make_rejection(
            scheduler.make_rejection(
                errors.ResultCode.DEADLINE_UNMET
                if is_usable
                else errors.ResultCode.NO_SERVER
            ),
            is_certain=not is_usable,
        ),
    )


def _expected_wait_s(
    pool: services.ServicePool, priority: int | None, is_free: bool
) -> float | None:
    """Returns the expected wait for a slot; None if it is not known.

    Args:
        pool: The service.
        priority: Priority of the call's class; None if it is not known, then
            all queued calls count.
        is_free: Whether a server has a free slot.
    """
    scheduler = pool.scheduler
    if not scheduler.queue:
        return 0.0 if is_free else None
    lowest = min(scheduler.queue.waiting, default=0)
    service_class = document.ServiceClass(
        lowest if priority is None else priority, latency_s=1.0
    )
    return round(scheduler.expected_wait_s(service_class), DECIMALS)


def _find_exclusions(
    router: routing.Router, state: routing.ServerState, now: float
) -> list[explanations.Exclusion]:
    reason = exclusions.Reason
    found = []
    if state.is_leaving:
        found.append(explanations.Exclusion(reason.LEAVING.value, "", None))
    elif state not in router.usable(REQUIREMENTS):
        found.append(
            explanations.Exclusion(
                reason.PREEMPTIBLE.value, "regular servers are left", None
            )
        )
    ejected_s = state.ejected_until - now
    if ejected_s > 0:
        found.append(
            explanations.Exclusion(
                reason.EJECTED.value,
                f"{state.failures} failures",
                round(ejected_s, DECIMALS),
            )
        )
    elif not router.has_free_slot(state, REQUIREMENTS, now):
        load = f"{state.load(now):.1f} of {state.slots()} slots"
        found.append(explanations.Exclusion(reason.FULL.value, load, None))
    return found


def _describe(
    state: routing.ServerState,
    now: float,
    cost: float | None,
    ranks: dict[float, int],
    excluded: list[explanations.Exclusion],
) -> explanations.Server:
    has_report = state.reported_at > 0
    return explanations.Server(
        id=state.name,
        zone=state.server.zone,
        rank=None if cost is None else ranks[cost],
        cost=cost,
        in_flight=state.in_flight,
        other_requests=state.other_requests,
        report_age_s=round(now - state.reported_at, DECIMALS)
        if has_report
        else None,
        slots=state.slots(),
        slowness=None,
        failures=state.failures,
        relative_latency=None,
        is_cold=False,
        version=None,
        excluded=excluded,
    )
