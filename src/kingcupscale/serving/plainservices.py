"""Calls to plain services: HTTP backends that generate no text.

Owns the retries. A non-idempotent call runs at most once.
"""

import uuid

import attrs
import trio

from kingcupscale import errors
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale import metrics as metric
from kingcupscale.configuration import document
from kingcupscale.configuration import keys
from kingcupscale.crashes import guard as guards
from kingcupscale.serving import claims
from kingcupscale.serving import crashwatch
from kingcupscale.serving import generation
from kingcupscale.serving import routing
from kingcupscale.serving import scheduler
from kingcupscale.serving import services
from kingcupscale.usage import counter
from kingcupscale.web import httpclient
from kingcupscale.web import message

SAFE_METHODS = ("GET", "HEAD")
FORWARDED_HEADERS = ("accept", "accept-language", "content-type")
IDEMPOTENCY_HEADER = "idempotency-key"
IDEMPOTENCY_KEY_MAX_CHARACTERS = 200
REQUEST_ID_HEADER = "x-request-id"
MAX_ATTEMPTS = 3
# Longest response of a server, which is held as a whole: four times the default
# limit of a request. With 16 slots, a faulty server takes up 256 MiB at most.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
LEAVING_STATUS = 503
LEAVING_HEADER = "x-leaving"


@attrs.frozen
class Call:
    """A call to a plain service.

    Attributes:
        service: Name of the service.
        path: Path at the service.
        request: The caller's request.
        grant: The access rights of the caller's key.
        is_background: Whether the call is part of a trainer's work. Such a call
            is owed and never refused because servers crash under it.
    """

    service: str
    path: str
    request: message.Request
    grant: keys.Grant
    is_background: bool = False


class PlainServiceClient:
    """Sends callers' requests to plain services.

    A failed call is retried only if it is idempotent or certainly did not run.

    Args:
        pools: The services.
        http_client: Sends the requests.
        claim_store: Claims Idempotency-Keys across nodes.
        counters: Usage counters.
        metrics: Histograms.
        crash_guard: Blocks calls under which servers crash.
    """

    def __init__(
        self,
        pools: services.Services,
        http_client: httpclient.HttpClient,
        claim_store: claims.ClaimStore,
        counters: counter.Counters,
        metrics: metric.Metrics,
        crash_guard: guards.CrashGuard[crashwatch.ServerRun],
    ) -> None:
        self.pools = pools
        self.http_client = http_client
        self.claim_store = claim_store
        self.counters = counters
        self.metrics = metrics
        self.crash_guard = crash_guard
        self.clock = pools.clock

    async def call(self, call: Call) -> message.Response:
        """Returns the complete response to one call.

        Raises:
            ServiceError: Its ``run`` says whether the call may have run.
        """
        pool = self.pools.get(call.service, document.ServiceKind.PLAIN)
        pool.retry_budget.record_request()
        started_at = self.clock.monotonic()
        response = await self._call_once(pool, call)
        total_ms = 1000 * (self.clock.monotonic() - started_at)
        self.metrics.record(
            call.grant.label,
            call.grant.service_class,
            metric.Measure.TOTAL_MS,
            total_ms,
        )
        return response

    async def _call_once(
        self, pool: services.ServicePool, call: Call
    ) -> message.Response:
        idempotency_key = call.request.headers.get(IDEMPOTENCY_HEADER, "")
        if len(idempotency_key) > IDEMPOTENCY_KEY_MAX_CHARACTERS:
            raise errors.ServiceError(
                errors.ResultCode.HEADER_INVALID,
                f"{IDEMPOTENCY_HEADER}: expected at most"
                f" {IDEMPOTENCY_KEY_MAX_CHARACTERS} characters",
            )
        if _is_idempotent(pool.service, call.request):
            return await self._route(pool, call, is_idempotent=True)
        if not idempotency_key:
            return await self._route(pool, call, is_idempotent=False)
        return await self._call_claimed(pool, call, idempotency_key)

    async def _call_claimed(
        self, pool: services.ServicePool, call: Call, idempotency_key: str
    ) -> message.Response:
        acquired = await self.claim_store.acquire(
            call.grant.organisation, idempotency_key, _fingerprint(call)
        )
        if isinstance(acquired, message.Response):
            return acquired
        # Complete the call and record its outcome even if the caller
        # disconnects meanwhile.
        with trio.CancelScope(shield=True):
            try:
                response = await self._route(pool, call, is_idempotent=False)
            except errors.ServiceError as e:
                if e.run is errors.Run.NOT_RUN:
                    await self.claim_store.release(acquired)
                raise
            await self.claim_store.store_response(acquired, response)
        return response

    async def _route(
        self, pool: services.ServicePool, call: Call, is_idempotent: bool
    ) -> message.Response:
        excluded: set[str] = set()
        watch = self._make_watch(call)
        for attempt in range(MAX_ATTEMPTS):
            await watch.check()
            if attempt and not pool.retry_budget.try_spend():
                break
            slot_request = self._make_slot_request(call, excluded)
            async with pool.scheduler.slot(slot_request) as state:
                try:
                    return await self._send(pool, call, state, watch)
                except httpclient.RequestError as e:
                    pool.router.record_failure(state)
                    watch.note_failure(state, e)
                    if e.may_have_been_sent and not is_idempotent:
                        raise _unknown_outcome(e.reason) from e
                    excluded = {*excluded, state.name}
            if not pool.router.usable(self._make_requirements(excluded)):
                excluded = set()
        run = errors.Run.UNKNOWN if is_idempotent else errors.Run.NOT_RUN
        raise errors.ServiceError(
            errors.ResultCode.BACKEND_REFUSED, run=run, retry_after_s=1
        )

    def _make_watch(self, call: Call) -> crashwatch.Watch:
        if call.is_background:
            return crashwatch.UNWATCHED
        content = crashwatch.CallContent(
            call.service,
            call.request.method,
            call.path,
            call.request.query,
            call.grant.organisation,
            call.request.body,
        )
        return crashwatch.CallWatch(
            self.crash_guard, content, errors.ResultCode.BACKEND_REFUSED
        )

    def _make_requirements(
        self, excluded: set[str]
    ) -> routing.ServerRequirements:
        return routing.ServerRequirements(excluded=frozenset(excluded))

    def _make_slot_request(
        self, call: Call, excluded: set[str]
    ) -> scheduler.SlotRequest:
        classes = self.pools.replica.document.classes
        return scheduler.SlotRequest(
            call.grant.organisation,
            classes[call.grant.service_class],
            1,
            self._make_requirements(excluded),
        )

    async def _send(
        self,
        pool: services.ServicePool,
        call: Call,
        state: routing.ServerState,
        watch: crashwatch.Watch,
    ) -> message.Response:
        request = _make_request(call)
        request.before_send = watch.check_and_send
        response = await httpclient.fetch(
            self.http_client,
            state.server.address,
            request,
            pool.service.timeout_s,
            MAX_RESPONSE_BYTES,
        )
        if _is_leaving_response(response):
            state.is_leaving = True
            raise httpclient.RequestError(
                "the server is draining", may_have_been_sent=False
            )
        expected = request.headers[REQUEST_ID_HEADER]
        if response.headers.get(REQUEST_ID_HEADER) != expected:
            events.log(
                events.Event.ANSWER_REJECTED,
                service=pool.name,
                server=state.name,
                reason="the response belongs to another request",
            )
            raise httpclient.RequestError(
                "the response belongs to another request",
                may_have_been_sent=True,
            )
        pool.router.record_success(state)
        watch.note_answer()
        self.counters.add(call.grant.label, call.grant.service_class, 1)
        headers = {
            name: response.headers[name]
            for name in ("content-type", REQUEST_ID_HEADER)
            if name in response.headers
        }
        return message.Response(response.status, headers, response.body)


def _is_idempotent(service: document.Service, request: message.Request) -> bool:
    return service.idempotent or request.method in SAFE_METHODS


def _is_leaving_response(response: message.Response) -> bool:
    """Returns whether a server refused the call because it is draining.

    Such a call did not run.
    """
    is_refusal = response.status == LEAVING_STATUS
    return is_refusal and LEAVING_HEADER in response.headers


def _unknown_outcome(reason: str) -> errors.ServiceError:
    return errors.ServiceError(
        errors.ResultCode.BACKEND_FAILED, reason, errors.Run.UNKNOWN
    )


def _make_request(call: Call) -> message.Request:
    headers = {
        name: call.request.headers[name]
        for name in FORWARDED_HEADERS
        if name in call.request.headers
    }
    headers[REQUEST_ID_HEADER] = uuid.uuid4().hex
    headers[generation.ORGANISATION_HEADER] = call.grant.label
    return message.Request(
        call.request.method,
        call.path,
        call.request.query,
        headers,
        call.request.body,
    )


def _fingerprint(call: Call) -> str:
    parts = (call.request.method, call.path, call.request.query)
    head = "\0".join(parts).encode()
    return hashing.hex128(head + b"\0" + call.request.body)
