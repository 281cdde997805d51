"""HTTP requests and responses, the same in memory and on the wire."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

import attrs
import orjson

from kingcupscale import codec
from kingcupscale import errors

T = TypeVar("T")


def allow_send() -> None:
    """Lets a request leave; the default of ``Request.before_send``."""


@attrs.define
class Request:
    """A request.

    Attributes:
        method: Upper-case method.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Header values by lower-case name.
        body: The whole body.
        before_send: Called after the connection is open and right before the
            first byte leaves; raises to keep the request from leaving.
        connect_timeout_s: Seconds for the connection alone; None for the
            timeout of the whole exchange.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    before_send: Callable[[], None] = allow_send
    connect_timeout_s: float | None = None

    def parse(self, kind: type[T]) -> T:
        """Reads the body as a typed message.

        Raises:
            ServiceError: ``BODY_MALFORMED`` or ``BODY_INVALID``.
        """
        try:
            return codec.decode_strictly(kind, self.body)
        except codec.DecodeError as e:
            raise errors.ServiceError(
                errors.ResultCode.BODY_INVALID, str(e)
            ) from None
        except orjson.JSONDecodeError as e:
            raise errors.ServiceError(
                errors.ResultCode.BODY_MALFORMED, str(e)
            ) from None


@attrs.define
class Response:
    """A response, either whole or streamed.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: The whole body when ``chunks`` is None.
        chunks: The body's pieces as they come.
        signature: The backend server's signature, where it gave one.
    """

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    chunks: AsyncIterator[bytes] | None = None
    signature: str = ""

    async def read(self) -> bytes:
        """Returns the whole body, waiting for the last piece."""
        await self.read_at_most(None)
        return self.body

    async def read_at_most(self, max_bytes: int | None) -> bool:
        """Reads the body as far as it may go; whether that is all of it.

        Args:
            max_bytes: Bytes after which no more is read; None for no bound.
        """
        if self.chunks is None:
            return True
        pieces = [self.body]
        size = len(self.body)
        async for piece in self.chunks:
            pieces.append(piece)
            size += len(piece)
            if max_bytes is not None and size > max_bytes:
                self.body = b"".join(pieces)
                return False
        self.body = b"".join(pieces)
        self.chunks = None
        return True


class Handler(Protocol):
    """Answers requests."""

    async def __call__(self, request: Request) -> Response:
        """Returns the response to one request."""
        ...


def json_response(value: Any, status: int = 200) -> Response:
    """Returns a response with a typed message or plain data as JSON."""
    return Response(
        status, {"content-type": "application/json"}, codec.encode(value)
    )


def error_response(error: errors.ServiceError) -> Response:
    """Returns the response that shows an error."""
    response = json_response(error.to_body(), error.code.status)
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        response.headers["retry-after"] = str(seconds)
    return response


def json_request(
    path: str, value: Any, headers: dict[str, str] | None = None
) -> Request:
    """Returns a POST with a typed message or plain data as JSON."""
    fields = {"content-type": "application/json", **(headers or {})}
    return Request("POST", path, "", fields, codec.encode(value))
