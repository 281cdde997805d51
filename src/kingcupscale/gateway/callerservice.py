"""What callers ask of a node: single calls and batches."""

from collections.abc import Callable

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch as batches
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.fleet import catalogue
from kingcupscale.gateway import admission as admissions
from kingcupscale.gateway import forwarder
from kingcupscale.gateway import inboundrequest
from kingcupscale.web import message

# A sender is answered this long before it stops waiting.
ANSWER_MARGIN_S = 0.3
# The longest that a batch waits for the store; outages often end sooner, and
# its sender would only come back to another node before the same store.
STORE_PATIENCE_S = 7.0


class CallerService:
    """Answers callers.

    Args:
        admission: Finds routes and organisations.
        forward: Passes single calls on.
        batch_cache: The batches.
        clock: Tells the time.
        find_refusal: Returns why the node takes nothing now, or None.
    """

    def __init__(
        self,
        admission: admissions.Admission,
        forward: forwarder.Forwarder,
        batch_cache: caches.BatchCache,
        clock: clocks.Clock,
        find_refusal: Callable[[], errors.ServiceError | None],
    ) -> None:
        self.admission = admission
        self.forwarder = forward
        self.batch_cache = batch_cache
        self.clock = clock
        self.find_refusal = find_refusal

    def check_admission(self) -> None:
        """Refuses everything while the node may not take work.

        Raises:
            ServiceError: With the reason.
        """
        refusal = self.find_refusal()
        if refusal is not None:
            raise refusal

    def admit(
        self, inbound: inboundrequest.InboundRequest
    ) -> tuple[catalogue.Route, catalogue.Organisation | None]:
        """Returns a request's route and organisation.

        Raises:
            ServiceError: If the node, the route or the key do not allow it.
        """
        self.check_admission()
        return self.admission.admit(inbound)

    async def call(
        self, inbound: inboundrequest.InboundRequest
    ) -> message.Response:
        """Returns the answer to a single call.

        Raises:
            ServiceError: If there is none.
        """
        return await self.forwarder.forward(inbound)

    async def submit_batch(
        self, new: batches.Batch, inbound: inboundrequest.InboundRequest
    ) -> None:
        """Keeps a batch for good.

        Raises:
            ServiceError: If it is of no use, or not surely kept.
        """
        problem = new.find_problem()
        if problem is not None:
            raise errors.ServiceError(errors.ResultCode.BODY_INVALID, problem)
        known = self.batch_cache.records.get(new.id)
        if known and known.batch.organisation != new.organisation:
            raise self.admission.make_refusal(errors.ResultCode.BATCH_UNKNOWN)
        patience_s = min(STORE_PATIENCE_S, inbound.timeout_s - ANSWER_MARGIN_S)
        is_new = await self.batch_cache.accept(new, patience_s)
        events.log(
            events.Event.BATCH_ACCEPTED,
            batch=new.id,
            organisation=new.organisation,
            step=new.step,
            items=len(new.items),
            is_new=is_new,
            took_s=round(self.clock.monotonic() - inbound.received_at, 3),
        )

    async def find_batch(self, batch_id: str, key: str) -> records.Record:
        """Returns a batch that a key gives access to.

        Raises:
            ServiceError: If there is none, or that cannot be known.
        """
        self.check_admission()
        organisation = self.admission.authenticate(None, key)
        name = organisation.name if organisation else ""
        # As of when the key was looked up, not of when the batch was found.
        doubt = self.admission.find_staleness_error()
        try:
            return await self.batch_cache.find(batch_id, name)
        except errors.ServiceError as e:
            is_there = batch_id in self.batch_cache.records
            if doubt and is_there and e.code is errors.ResultCode.BATCH_UNKNOWN:
                raise doubt from None
            raise

    async def read_results(
        self, record: records.Record, after: int, wait_s: float
    ) -> list[batches.Result]:
        """Returns results from a position on, waiting for the first."""
        return await self.batch_cache.read(record, after, wait_s)

    def find_item_body(self, record: records.Record, item_id: str) -> bytes:
        """Returns the body of an item, until its batch is ended.

        Raises:
            ServiceError: ``ITEM_UNKNOWN``.
        """
        for item in record.batch.items:
            if item.id == item_id and not record.is_ended:
                return item.body
        raise errors.ServiceError(errors.ResultCode.ITEM_UNKNOWN)

    async def end_batch(
        self, record: records.Record, patience_s: float
    ) -> None:
        """Ends a batch.

        Raises:
            ServiceError: If that is not surely known to the store.
        """
        patience_s = min(STORE_PATIENCE_S, patience_s - ANSWER_MARGIN_S)
        await self.batch_cache.end(record, patience_s)
        events.log(
            events.Event.BATCH_ENDED,
            batch=record.batch.id,
            step=record.batch.step,
            listed=len(record.results),
            total=len(record.batch.items),
        )
