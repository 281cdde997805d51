"""Calls to plain services, each non-idempotent one run at most once."""

import uuid

import attrs
import trio

from kingcupscale import errors
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale import metrics as metric
from kingcupscale.configuration import document
from kingcupscale.configuration import keys
from kingcupscale.serving import claims
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
ATTEMPTS = 3
LEAVING_STATUS = 503
LEAVING_HEADER = "x-leaving"


@attrs.frozen
class Call:
    """A call to a plain service.

    Attributes:
        service: Name of the service.
        path: Path at the service.
        request: What the caller sent.
        grant: What the caller's key gives access to.
    """

    service: str
    path: str
    request: message.Request
    grant: keys.Grant


class PlainServiceClient:
    """Carries callers' requests to plain services.

    A call goes out again only when it is idempotent or nothing of it left.

    Args:
        pools: The services.
        http_client: Carries the requests.
        claimer: Makes Idempotency-Keys safe across nodes.
        counters: Counts the requests.
        metrics: Histograms.
    """

    def __init__(
        self,
        pools: services.Services,
        http_client: httpclient.HttpClient,
        claimer: claims.Claims,
        counters: counter.Counters,
        metrics: metric.Metrics,
    ) -> None:
        self.pools = pools
        self.http_client = http_client
        self.claimer = claimer
        self.counters = counters
        self.metrics = metrics
        self.clock = pools.clock

    async def call(self, call: Call) -> message.Response:
        """Returns the whole answer to one call.

        Raises:
            ServiceError: With ``run`` telling whether it may have run.
        """
        pool = self.pools.get(call.service, document.ServiceKind.PLAIN)
        pool.budget.note_request()
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
        text = call.request.headers.get(IDEMPOTENCY_HEADER, "")
        if len(text) > IDEMPOTENCY_KEY_MAX_CHARACTERS:
            raise errors.ServiceError(
                errors.ResultCode.HEADER_INVALID,
                f"{IDEMPOTENCY_HEADER} may have"
                f" {IDEMPOTENCY_KEY_MAX_CHARACTERS} characters",
            )
        if _is_idempotent(pool.service, call.request):
            return await self._route(pool, call, is_idempotent=True)
        if not text:
            return await self._route(pool, call, is_idempotent=False)
        return await self._call_claimed(pool, call, text)

    async def _call_claimed(
        self, pool: services.ServicePool, call: Call, text: str
    ) -> message.Response:
        held = await self.claimer.acquire(
            call.grant.organisation, text, _fingerprint(call)
        )
        if isinstance(held, message.Response):
            return held
        # A caller that disconnects must not leave the outcome unrecorded.
        with trio.CancelScope(shield=True):
            try:
                response = await self._route(pool, call, is_idempotent=False)
            except errors.ServiceError as e:
                if e.run is errors.Run.NOT_RUN:
                    await self.claimer.give_back(held)
                raise
            await self.claimer.finish(held, response)
        return response

    async def _route(
        self, pool: services.ServicePool, call: Call, is_idempotent: bool
    ) -> message.Response:
        excluded: set[str] = set()
        for attempt in range(ATTEMPTS):
            if attempt and not pool.budget.take():
                break
            ticket = self._make_ticket(call, excluded)
            async with pool.scheduler.slot(ticket) as state:
                try:
                    return await self._send(pool, call, state)
                except httpclient.RequestError as e:
                    pool.router.note_failure(state)
                    if e.may_have_been_sent and not is_idempotent:
                        raise _unknown(e.reason) from e
                    excluded = {*excluded, state.name}
            if not pool.router.usable(self._make_wish(excluded)):
                excluded = set()
        run = errors.Run.UNKNOWN if is_idempotent else errors.Run.NOT_RUN
        raise errors.ServiceError(
            errors.ResultCode.BACKEND_REFUSED, run=run, retry_after_s=1
        )

    def _make_wish(self, excluded: set[str]) -> routing.Wish:
        return routing.Wish(excluded=frozenset(excluded))

    def _make_ticket(self, call: Call, excluded: set[str]) -> scheduler.Ticket:
        classes = self.pools.replica.document.classes
        return scheduler.Ticket(
            call.grant.organisation,
            classes[call.grant.service_class],
            1,
            self._make_wish(excluded),
        )

    async def _send(
        self,
        pool: services.ServicePool,
        call: Call,
        state: routing.ServerState,
    ) -> message.Response:
        request = _make_request(call)
        response = await httpclient.fetch(
            self.http_client,
            state.server.address,
            request,
            pool.service.timeout_s,
        )
        if _says_leaving(response):
            state.is_leaving = True
            raise httpclient.RequestError("leaving", may_have_been_sent=False)
        expected = request.headers[REQUEST_ID_HEADER]
        if response.headers.get(REQUEST_ID_HEADER) != expected:
            events.log(
                events.Event.ANSWER_REJECTED,
                service=pool.name,
                server=state.name,
                reason="an answer to another request",
            )
            raise httpclient.RequestError(
                "crossed answer", may_have_been_sent=True
            )
        pool.router.note_success(state)
        self.counters.add(call.grant.label, call.grant.service_class, 1)
        headers = {
            name: response.headers[name]
            for name in ("content-type", REQUEST_ID_HEADER)
            if name in response.headers
        }
        return message.Response(response.status, headers, response.body)


def _is_idempotent(service: document.Service, request: message.Request) -> bool:
    return service.idempotent or request.method in SAFE_METHODS


def _says_leaving(response: message.Response) -> bool:
    """Tells a server's own refusal of new work, which has run nothing."""
    is_refusal = response.status == LEAVING_STATUS
    return is_refusal and LEAVING_HEADER in response.headers


def _unknown(reason: str) -> errors.ServiceError:
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
    return hashing.long(head + b"\0" + call.request.body)
