"""HTTP handler for callers: decodes requests and encodes responses."""

from collections.abc import Callable
import urllib.parse

import orjson

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.fleet import catalogue
from kingcupscale.gateway import callerservice
from kingcupscale.gateway import inboundrequest
from kingcupscale.platform import documents
from kingcupscale.platform import names
from kingcupscale.web import message

# For requests without a deadline header.
DEFAULT_DEADLINE_S = 10.0
# While a batch is decoded and stored, it takes up about seven times the size of
# its body: its values, their encoded forms and the copy from the store's watch.
BATCH_MEMORY_FACTOR = 6


class Frontend:
    """Handles the HTTP requests of callers.

    Args:
        service: Handles the decoded requests.
        clock: Source of time.
        is_draining: Returns whether responses should close connections.
        find_stop_refusal: Returns the error for a request that arrives too late
            in a planned stop, or None.
    """

    def __init__(
        self,
        service: callerservice.CallerService,
        clock: clocks.Clock,
        is_draining: Callable[[], bool],
        find_stop_refusal: Callable[[], errors.ServiceError | None],
    ) -> None:
        self.service = service
        self.clock = clock
        self.is_draining = is_draining
        self.find_stop_refusal = find_stop_refusal

    async def __call__(self, request: message.Request) -> message.Response:
        """Returns the response to one request."""
        try:
            self._check_stop(request)
            response = await self._answer(request)
        except errors.ServiceError as e:
            response = encode_error(e)
        if self.is_draining():
            response.headers["connection"] = "close"
        return response

    def _check_stop(self, request: message.Request) -> None:
        """Checks that a request has not arrived too late in a planned stop.

        Raises:
            ServiceError: ``DRAINING``.
        """
        error = self.find_stop_refusal()
        if error is not None:
            events.log(
                events.Event.CALL_REFUSED,
                request=request.headers.get(names.REQUEST_ID, ""),
                path=request.path,
                code=error.code.number,
                sent=0,
            )
            raise error

    async def _answer(self, request: message.Request) -> message.Response:
        if request.path.startswith(names.BATCHES_PATH):
            return await self._answer_batch(request)
        if request.path.startswith(names.ITEMS_PATH):
            return await self._answer_item(request)
        inbound = self._decode(request)
        route, organisation = self.service.admit(inbound)
        if route.kind is not catalogue.RouteKind.BATCH:
            return await self.service.call(inbound)
        if request.method != "POST":
            raise errors.ServiceError(errors.ResultCode.METHOD_NOT_ALLOWED)
        request.check_decoding(request.body)
        await request.reserve(BATCH_MEMORY_FACTOR * len(request.body))
        try:
            new = documents.decode_batch(
                inbound.request_id,
                organisation.name if organisation else "",
                route,
                request.body,
            )
        except ValueError as e:
            raise errors.ServiceError(
                errors.ResultCode.BODY_INVALID, str(e)
            ) from None
        await self.service.submit_batch(new, inbound)
        return message.Response(202)

    async def _answer_batch(self, request: message.Request) -> message.Response:
        batch_id = request.path.removeprefix(names.BATCHES_PATH)
        key = request.headers.get(names.KEY, "")
        record = await self.service.find_batch(batch_id, key)
        if request.method == "DELETE":
            await self.service.end_batch(record, _timeout_s(request))
            return message.json_response({})
        if request.method != "GET":
            raise errors.ServiceError(errors.ResultCode.METHOD_NOT_ALLOWED)
        after = _decode_position(_query(request, "after") or "0")
        wait_s = _milliseconds(request, names.WAIT_MS, 0.0)
        results = await self.service.read_results(
            record, after, min(wait_s, 1.0)
        )
        body = documents.encode_results(len(record.batch.items), results, after)
        return message.Response(200, {"content-type": "application/json"}, body)

    async def _answer_item(self, request: message.Request) -> message.Response:
        batch_id = request.path.removeprefix(names.ITEMS_PATH)
        key = request.headers.get(names.KEY, "")
        record = await self.service.find_batch(batch_id, key)
        if request.method != "GET":
            raise errors.ServiceError(errors.ResultCode.METHOD_NOT_ALLOWED)
        body = self.service.find_item_body(record, _query(request, "id"))
        return message.Response(
            200, {"content-type": "application/octet-stream"}, body
        )

    def _decode(
        self, request: message.Request
    ) -> inboundrequest.InboundRequest:
        request_id = request.headers.get(names.REQUEST_ID, "")
        if not request_id:
            raise errors.ServiceError(
                errors.ResultCode.HEADER_INVALID, "expected a request id header"
            )
        resume_after = request.headers.get(names.RESUME_AFTER)
        dropped = names.CONNECTION_HEADERS | names.OWN_REQUEST_HEADERS
        return inboundrequest.InboundRequest(
            request_id=request_id,
            method=request.method,
            host=request.headers.get("host", ""),
            path=request.path,
            query=request.query,
            headers={
                name: value
                for name, value in request.headers.items()
                if name not in dropped
            },
            body=request.body,
            key=request.headers.get(names.KEY, ""),
            timeout_s=_timeout_s(request),
            received_at=self.clock.monotonic(),
            resume_after=documents.parse_integer(resume_after),
        )


def _timeout_s(request: message.Request) -> float:
    return _milliseconds(request, names.DEADLINE_MS, DEFAULT_DEADLINE_S)


def _milliseconds(
    request: message.Request, name: str, default_s: float
) -> float:
    value = documents.parse_integer(request.headers.get(name))
    return default_s if value is None else value / 1000


def _query(request: message.Request, name: str) -> str:
    return urllib.parse.parse_qs(request.query).get(name, [""])[0]


def _decode_position(value: str) -> int:
    position = documents.parse_integer(value)
    if position is None:
        raise errors.ServiceError(
            errors.ResultCode.HEADER_INVALID,
            f"position: expected a number, found {value[:20]!r}",
        )
    return position


def encode_error(error: errors.ServiceError) -> message.Response:
    """Returns the response for an error."""
    response = message.Response(
        error.code.status,
        {"content-type": "application/json"},
        orjson.dumps(error.to_body()),
    )
    if error.code.status == 503:
        # The platform's callers accept fractions of a second.
        seconds = error.retry_after_s if error.retry_after_s else 0.5
        response.headers["retry-after"] = f"{seconds:g}"
    return response
