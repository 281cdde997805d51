"""Serves callers: checks requests, forwards single calls, manages batches."""

from collections.abc import Callable

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import plannedstop
from kingcupscale.batches import batch as batches
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.fleet import catalogue
from kingcupscale.gateway import admission as admissions
from kingcupscale.gateway import forwarder
from kingcupscale.gateway import inboundrequest
from kingcupscale.web import message

# The response is sent this long before the caller's deadline, so that it
# arrives in time.
RESPONSE_MARGIN_S = 0.3
# Longest wait for the store when a batch is submitted or ended. Outages often
# end sooner, and a caller that was rejected would only retry at another node,
# which uses the same store.
STORE_TIMEOUT_S = 7.0


class CallerService:
    """Serves single calls and batches of authenticated callers.

    Args:
        admission: Finds routes and authenticates organisations.
        call_forwarder: Forwards single calls to backend servers.
        batch_cache: The batches.
        clock: The clock.
        find_not_ready_error: Returns why the node admits no requests now, or
            None.
        planned_stop: Limits requests in a planned stop.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        call_forwarder: forwarder.Forwarder,
        batch_cache: caches.BatchCache,
        clock: clocks.Clock,
        find_not_ready_error: Callable[[], errors.ServiceError | None],
        planned_stop: plannedstop.PlannedStop,
    ) -> None:
        self.admission = admission
        self.forwarder = call_forwarder
        self.batch_cache = batch_cache
        self.clock = clock
        self.find_not_ready_error = find_not_ready_error
        self.planned_stop = planned_stop

    def check_ready(self) -> None:
        """Checks that the node admits requests now.

        Raises:
            ServiceError: If it does not, with the reason.
        """
        error = self.find_not_ready_error()
        if error is not None:
            raise error

    def admit(
        self, inbound: inboundrequest.InboundRequest
    ) -> tuple[catalogue.Route, catalogue.Organisation | None]:
        """Returns a request's route and organisation.

        Raises:
            ServiceError: If the node is not ready, there is no route, or the
                key gives no access.
        """
        self.check_ready()
        return self.admission.admit(inbound)

    async def call(
        self, inbound: inboundrequest.InboundRequest
    ) -> message.Response:
        """Returns the response to a single call.

        Raises:
            ServiceError: If no backend server responds in time.
        """
        return await self.forwarder.forward(inbound)

    async def submit_batch(
        self, batch: batches.Batch, inbound: inboundrequest.InboundRequest
    ) -> None:
        """Stores a new batch; submitting it again changes nothing.

        Raises:
            ServiceError: If the batch is invalid, belongs to another
                organisation, or may not have been stored.
        """
        problem = batch.find_problem()
        if problem is not None:
            raise errors.ServiceError(errors.ResultCode.BODY_INVALID, problem)
        known = self.batch_cache.records.get(batch.id)
        if known and known.batch.organisation != batch.organisation:
            raise self.admission.make_refusal(errors.ResultCode.BATCH_UNKNOWN)
        if known is None:
            self._require_region(batch, inbound)
        timeout_s = self._store_timeout_s(inbound.timeout_s)
        is_new = await self.batch_cache.accept(batch, timeout_s)
        events.log(
            events.Event.BATCH_ACCEPTED,
            batch=batch.id,
            organisation=batch.organisation,
            step=batch.step,
            items=len(batch.items),
            is_new=is_new,
            took_s=round(self.clock.monotonic() - inbound.received_at, 3),
        )

    def _store_timeout_s(self, timeout_s: float) -> float:
        """Returns how long a request may wait for the store.

        Args:
            timeout_s: The caller's time limit.
        """
        return min(
            STORE_TIMEOUT_S,
            timeout_s - RESPONSE_MARGIN_S,
            self.planned_stop.requests_left_s(),
        )

    def _require_region(
        self, batch: batches.Batch, inbound: inboundrequest.InboundRequest
    ) -> None:
        """Checks that some engine may run a new batch.

        Raises:
            ServiceError: ``REGION_EXCLUDED``.
        """
        configured = self.admission.current_catalogue()
        route = configured and configured.find_route(inbound.host, inbound.path)
        if route:
            self.forwarder.eligibility.usable_shares(route, batch.organisation)

    async def find_batch(self, batch_id: str, key: str) -> records.Record:
        """Returns a batch that a key gives access to.

        Raises:
            ServiceError: If the node is not ready, there is no such batch, or
                the configuration may be too old to tell.
        """
        self.check_ready()
        organisation = self.admission.authenticate(None, key)
        name = organisation.name if organisation else ""
        # Determined before the batch is looked up, which may take a while: it
        # has to match the configuration by which the key was looked up.
        staleness_error = self.admission.find_staleness_error()
        try:
            return await self.batch_cache.find(batch_id, name)
        except errors.ServiceError as e:
            is_known = batch_id in self.batch_cache.records
            if (
                staleness_error
                and is_known
                and e.code is errors.ResultCode.BATCH_UNKNOWN
            ):
                raise staleness_error from None
            raise

    async def read_results(
        self, record: records.Record, after: int, wait_s: float
    ) -> list[batches.Result]:
        """Returns results from a position on, waiting for the first one."""
        return await self.batch_cache.read(record, after, wait_s)

    def find_item_body(self, record: records.Record, item_id: str) -> bytes:
        """Returns the body of an item of a batch that has not ended.

        Raises:
            ServiceError: ``ITEM_UNKNOWN``.
        """
        for item in record.batch.items:
            if item.id == item_id and not record.is_ended:
                return item.body
        raise errors.ServiceError(errors.ResultCode.ITEM_UNKNOWN)

    async def end_batch(self, record: records.Record, timeout_s: float) -> None:
        """Ends a batch.

        Raises:
            ServiceError: If the end may not have been stored.
        """
        await self.batch_cache.end(record, self._store_timeout_s(timeout_s))
        events.log(
            events.Event.BATCH_ENDED,
            batch=record.batch.id,
            step=record.batch.step,
            listed=len(record.results),
            total=len(record.batch.items),
        )
