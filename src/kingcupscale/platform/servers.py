"""HTTP client for backend servers."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools

import httpcore
import orjson

from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.fleet import warmup
from kingcupscale.platform import documents
from kingcupscale.platform import names
from kingcupscale.storage import locks
from kingcupscale.web import httpclient
from kingcupscale.web import message

# A server acknowledges an order before it executes it, so it answers quickly.
ORDER_TIMEOUT_S = 0.8
# Servers are in the same region and accept connections within milliseconds.
LISTENING_TIMEOUT_S = 0.25
# A report lists models and runs, with about ten bytes each.
MAX_REPORT_BYTES = 256 * 1024
# An event holds a few tokens. A longer one is assumed never to end.
MAX_EVENT_BYTES = 64 * 1024
# Valid numbers of requests and slots in a load report. A larger number would
# exclude the server from all calls.
MAX_REPORTED_REQUESTS = 100_000
# Valid slowness in percent. A smaller one would draw all calls to the server.
MIN_SLOWNESS_PERCENT = 25
MAX_SLOWNESS_PERCENT = 2000

_ORDER_OUTCOMES = {
    202: serverclient.OrderOutcome.ACCEPTED,
    200: serverclient.OrderOutcome.ALREADY_LOADED,
    409: serverclient.OrderOutcome.BUSY,
    412: serverclient.OrderOutcome.FENCED,
}


class PlatformServers:
    """A ``ServerClient`` over HTTP.

    Args:
        http_client: The HTTP client.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    def has_idle_connection(self, server: registry.Server) -> bool:
        """Returns whether an idle connection to a server can be used."""
        return self.http_client.has_idle_connection(server.entry.address)

    async def is_listening(self, server: registry.Server) -> bool | None:
        """Returns whether a server listens; None if that cannot be told."""
        if server.is_evacuated():
            return None
        return await self.http_client.is_listening(
            server.entry.address, LISTENING_TIMEOUT_S
        )

    @contextlib.asynccontextmanager
    async def run(
        self, server: registry.Server, call: serverclient.Call, connect_s: float
    ) -> AsyncIterator[serverclient.ServerResponse]:
        """Sends a request; leaving the context early cancels it."""
        request = message.Request(
            call.method,
            call.path,
            call.query,
            _encode_headers(server, call),
            call.body,
        )
        request.connect_timeout_s = connect_s
        if call.before_send is not None:
            request.before_send = call.before_send
        try:
            async with self.http_client.open(
                server.entry.address, request, call.timeout_s
            ) as response:
                _observe(server, response)
                answer = _decode_answer(response)
                echoed = response.headers.get(names.REQUEST_ID)
                # Every answer but a refusal must echo the request's id. One
                # that does not may belong to an earlier request.
                is_refusal_without_id = echoed is None and answer.not_executed
                if echoed != call.request_id and not is_refusal_without_id:
                    raise serverclient.ServerError(
                        f"answer has another request's id: {echoed}", True
                    )
                try:
                    yield answer
                finally:
                    if not answer.is_success:
                        # The request may be sent again under the same id. A
                        # late second copy of this answer would then be taken
                        # for the next one.
                        response.retire_connection()
        except httpclient.RequestError as e:
            _note_failure(server, e)
            raise serverclient.ServerError(
                e.reason,
                e.may_have_been_sent,
                e.is_connection_lost and e.may_have_been_sent,
            ) from e

    async def events(
        self, answer: serverclient.ServerResponse
    ) -> AsyncIterator[serverclient.StreamEvent]:
        """Yields the complete events of a streamed answer."""
        version = answer.version
        pending = b""
        async for piece in answer.body:
            pending += piece
            *blocks, pending = pending.split(b"\n\n")
            for block in blocks:
                event = _decode_event(block, version)
                version = event.version
                yield event
            if len(pending) > MAX_EVENT_BYTES:
                raise serverclient.ServerError("event exceeds size limit", True)
        if pending.strip():
            raise serverclient.ServerError("stream ends inside an event", True)

    async def order(
        self, server: registry.Server, order: serverclient.VersionOrder
    ) -> serverclient.OrderOutcome:
        """Sends an order to load a weight version and returns its outcome."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            # With "retain" runs continue on the new version, with "park" the
            # server waits until they have finished.
            "mode": "retain" if order.keeps_running_requests else "park",
            "holder": order.holder.node,
            "fence": order.holder.fencing_token,
            # The protocol calls the number of accepted orders a revision.
            "expectedRev": order.expected_sequence,
        }
        request = message.json_request(
            "/order", body, {names.EXPECT_SERVER: server.id}
        )
        request.before_send = order.holder.check
        response = await self._fetch(server, request)
        return _ORDER_OUTCOMES.get(
            response.status, serverclient.OrderOutcome.REFUSED
        )

    async def fetch_engine_status(
        self, server: registry.Server
    ) -> serverclient.EngineStatus:
        """Returns the status report of an engine."""
        request = message.Request(
            "GET", "/report", "", {names.EXPECT_SERVER: server.id}
        )
        response = await self._fetch(server, request)
        if response.status != 200:
            raise serverclient.ServerError(f"status {response.status}", False)
        try:
            fields = orjson.loads(response.body)
            return serverclient.EngineStatus(
                documents.decode_versions(fields["models"]),
                bool(fields["busy"]),
                documents.integer(fields, "sequence"),
            )
        except (ValueError, KeyError, TypeError, AttributeError) as e:
            raise serverclient.ServerError(f"report: {e!r}", False) from e

    async def _fetch(
        self, server: registry.Server, request: message.Request
    ) -> message.Response:
        request.headers["host"] = server.entry.address
        request.before_send = functools.partial(
            _check_zone, server, request.before_send
        )
        try:
            response = await httpclient.fetch(
                self.http_client,
                server.entry.address,
                request,
                ORDER_TIMEOUT_S,
                MAX_REPORT_BYTES,
            )
        except httpclient.RequestError as e:
            _note_failure(server, e)
            raise serverclient.ServerError(
                e.reason, e.may_have_been_sent
            ) from e
        except locks.DutyLostError as e:
            raise serverclient.ServerError("duty not held", False) from e
        if names.SIGNATURE in response.headers:
            # Servers sign only answers to callers' requests, so this is a late
            # copy of such an answer.
            raise serverclient.ServerError("answer to another request", True)
        _observe(server, response)
        return response


def _check_zone(
    server: registry.Server, before_send: Callable[[], None]
) -> None:
    """Blocks an order or a poll of a server whose zone is evacuated."""
    before_send()
    if server.is_evacuated():
        raise serverclient.IneligibleError("the server's zone is evacuated")


def _note_failure(
    server: registry.Server, error: httpclient.RequestError
) -> None:
    """Records that no connection to a server could be opened.

    Waiting too long for a place in this node's own pool says nothing of the
    server.
    """
    is_own_limit = isinstance(error.__cause__, httpcore.PoolTimeout)
    if server.cold is None or error.may_have_been_sent or is_own_limit:
        return
    server.cold.note_unreachable()


def _mark_leaving(server: registry.Server, response: message.Response) -> None:
    """Marks a server as leaving if its own answer says so.

    Another server may have been given the address. It answers 421 with its own
    id.
    """
    if response.headers.get(names.SERVER_LEAVING, "").strip() != "1":
        return
    answered_by = response.headers.get(names.SERVER_ID)
    if response.status != 421 or answered_by == server.id:
        server.mark_leaving()


def _observe(server: registry.Server, response: message.Response) -> None:
    """Records what an answer says of leaving and being cold."""
    _mark_leaving(server, response)
    is_own = response.status != 421
    if server.cold is not None and is_own:
        server.cold.note_response()
        server.cold.report(
            warmup.Source.RESPONSE,
            documents.parse_cold_s(response.headers.get(names.COLD_MS)),
        )


def _encode_headers(
    server: registry.Server, call: serverclient.Call
) -> dict[str, str]:
    headers = dict(call.headers)
    headers["host"] = call.host
    headers[names.REQUEST_ID] = call.request_id
    headers[names.DEADLINE_MS] = str(max(1, int(call.timeout_s * 1000)))
    headers[names.EXPECT_SERVER] = server.id
    if call.organisation is not None:
        headers[names.ORGANISATION] = call.organisation
    if call.expected_version is not None:
        headers[names.EXPECT_VERSION] = str(call.expected_version)
    if call.resume_after is not None:
        headers[names.RESUME_AFTER] = str(call.resume_after)
    if call.priority is not None:
        headers[names.PRIORITY] = str(call.priority)
    return headers


def _decode_answer(response: message.Response) -> serverclient.ServerResponse:
    headers = response.headers
    return serverclient.ServerResponse(
        status=response.status,
        headers={
            name: value
            for name, value in headers.items()
            if name not in names.CONNECTION_HEADERS
        },
        # Only this header, or the wrong server's 421, shows that nothing ran.
        not_executed=names.NOT_RUN in headers or response.status == 421,
        wrong_server=response.status == 421,
        signature=headers.get(names.SIGNATURE, ""),
        version=documents.parse_integer(headers.get(names.WEIGHT_VERSION)) or 0,
        load=_decode_load(headers.get(names.SERVER_LOAD)),
        body=response.chunks or _empty_body(),
    )


async def _empty_body() -> AsyncIterator[bytes]:
    return
    yield b""


def _decode_load(value: str | None) -> registry.LoadReport | None:
    """Decodes "running,waiting,slots" or "running,waiting,slots,PERCENT".

    Returns None if the numbers of requests or slots are invalid. An invalid
    slowness is ignored alone, because the other figures are still of use.
    """
    parts = (value or "").split(",")
    if len(parts) not in (3, 4):
        return None
    numbers = [documents.parse_integer(part) for part in parts]
    running, waiting, slots = (
        number if number is not None and number <= MAX_REPORTED_REQUESTS else -1
        for number in numbers[:3]
    )
    if running < 0 or waiting < 0 or slots < 1:
        return None
    percent = numbers[3] if len(numbers) == 4 else None
    if percent is None or not (
        MIN_SLOWNESS_PERCENT <= percent <= MAX_SLOWNESS_PERCENT
    ):
        percent = 100
    return registry.LoadReport(running, waiting, slots, percent / 100)


def _decode_event(block: bytes, version: int) -> serverclient.StreamEvent:
    number: int | None = None
    data: list[str] = []
    for line in block.decode("utf-8", "replace").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = documents.parse_integer(value)
        elif name == "data":
            data.append(value)
        elif name == names.WEIGHT_VERSION:
            version = documents.parse_integer(value) or version
    if number is None:
        raise serverclient.ServerError("event without a numeric id", True)
    return serverclient.StreamEvent(number, "\n".join(data), version)
