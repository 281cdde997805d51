"""HTTP requests and responses, independent of the transport."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import io
from typing import Any
from typing import Protocol
from typing import TypeVar

import attrs
import orjson

from kingcupscale import codec
from kingcupscale import errors

T = TypeVar("T")


def allow_send() -> None:
    """Allows every request; the default of ``Request.before_send``."""


def allow_decoding(body: bytes) -> None:
    """Allows every body; the default of ``Request.check_decoding``."""


async def reserve_nothing(size: int) -> None:
    """Reserves nothing; the default of ``Request.reserve``."""


def keep_connection() -> None:
    """Leaves a connection as it is; the default of ``retire_connection``."""


@attrs.define
class Request:
    """An HTTP request.

    Attributes:
        method: Upper-case method.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Header values by lower-case name.
        body: The whole body.
        before_send: Called after the connection is open and right before the
            first byte is sent; raises to prevent that.
        connect_timeout_s: Timeout of opening the connection; None for the
            timeout that the request is sent with.
        check_decoding: Called with a JSON body before it is decoded; raises a
            ``ServiceError`` if the values would take up too much memory.
        reserve: Waits for a number of bytes of memory that the request needs
            besides its body; raises a ``ServiceError`` if there are none.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    before_send: Callable[[], None] = allow_send
    connect_timeout_s: float | None = None
    check_decoding: Callable[[bytes], None] = allow_decoding
    reserve: Callable[[int], Awaitable[None]] = reserve_nothing

    def parse(self, kind: type[T]) -> T:
        """Decodes the body as a typed message.

        Raises:
            ServiceError: ``BODY_MALFORMED`` or ``BODY_INVALID``, or as by
                ``check_decoding``.
        """
        self.check_decoding(self.body)
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
    """An HTTP response with a complete or a streamed body.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: The whole body if ``chunks`` is None.
        chunks: Chunks of the body as they arrive.
        signature: The backend server's signature; empty if it gave none.
        retire_connection: Has the connection that the response came on carry
            no further request.
    """

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    chunks: AsyncIterator[bytes] | None = None
    signature: str = ""
    retire_connection: Callable[[], None] = keep_connection

    async def read(self) -> bytes:
        """Reads and returns the whole body."""
        await self.read_at_most(None)
        return self.body

    async def read_at_most(self, max_bytes: int | None) -> bool:
        """Reads the body up to a limit; returns whether it is complete.

        Args:
            max_bytes: Reading stops when the body is longer than this; None
                for no limit.
        """
        if self.chunks is None:
            return True
        # A list would hold an object of 40 bytes and more for each chunk.
        # Unlike a bytearray, it gives its content away without a copy.
        body = io.BytesIO()
        size = body.write(self.body)
        async for chunk in self.chunks:
            size += body.write(chunk)
            if max_bytes is not None and size > max_bytes:
                self.body = body.getvalue()
                return False
        self.body = body.getvalue()
        self.chunks = None
        return True


class Handler(Protocol):
    """Handles requests."""

    async def __call__(self, request: Request) -> Response:
        """Returns the response to one request."""
        ...


def json_response(value: Any, status: int = 200) -> Response:
    """Returns a response with a typed message or plain data as JSON."""
    return Response(
        status, {"content-type": "application/json"}, codec.encode(value)
    )


def error_response(error: errors.ServiceError) -> Response:
    """Returns the response that reports an error."""
    response = json_response(error.to_body(), error.code.status)
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        response.headers["retry-after"] = str(seconds)
    return response


def json_request(
    path: str, value: Any, headers: dict[str, str] | None = None
) -> Request:
    """Returns a POST request with a typed message or plain data as JSON."""
    fields = {"content-type": "application/json", **(headers or {})}
    return Request("POST", path, "", fields, codec.encode(value))
