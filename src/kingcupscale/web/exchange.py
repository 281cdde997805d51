"""Sending requests: the interface, and the client by httpcore."""

from collections.abc import AsyncIterator
import contextlib
import socket
import struct
from typing import Any
from typing import Protocol

import httpcore
import trio

from kingcupscale.web import message


class ExchangeError(Exception):
    """An exchange that brought no whole answer.

    Args:
        reason: What went wrong.
        request_left: Whether a byte of the request may have left.
    """

    def __init__(self, reason: str, request_left: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.request_left = request_left


class Exchanger(Protocol):
    """Carries requests to an address and brings answers back."""

    def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[message.Response]:
        """Sends a request; leaving the context early abandons the answer.

        Args:
            address: ``host:port``.
            request: What to send.
            timeout_s: Seconds for the connection and for each read.

        Raises:
            ExchangeError: If no answer comes, or it breaks off.
        """
        ...


async def fetch(
    exchanger: Exchanger,
    address: str,
    request: message.Request,
    timeout_s: float,
) -> message.Response:
    """Sends a request and returns the whole answer.

    Args:
        exchanger: What carries the request.
        address: ``host:port``.
        request: What to send.
        timeout_s: Seconds for the whole exchange.

    Raises:
        ExchangeError: If no whole answer comes in time.
    """
    with trio.move_on_after(timeout_s):
        async with exchanger.open(address, request, timeout_s) as response:
            await response.read()
            return response
    raise ExchangeError("no whole answer in time", request_left=True)


_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError)
_HTTP_ERRORS = (*_NOT_SENT, *_BROKEN, httpcore.TimeoutException)


# How long sent bytes may stay unacknowledged before the connection ends.
SILENCE_MS = 1500
PROBE_AFTER_S = 1
PROBES = 2
# Every close is a reset: bytes of an abandoned request that a partition holds
# up must not reach the peer once it ends, when nobody wants them any more.
_RESET = struct.pack("ii", 1, 0)
_SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
]


class HttpExchanger:
    """Sends requests over HTTP/1.1 with pooled connections.

    A peer that goes silent is noticed by the kernel: unacknowledged bytes and
    unanswered keep-alive probes end the connection. An exchange that is given
    up resets its connection, so that nothing of it arrives later.

    Args:
        max_connections: The most connections open at a time.
        idle_s: Seconds after which an idle connection is not used again.
    """

    def __init__(
        self, max_connections: int = 1024, idle_s: float = 30.0
    ) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            keepalive_expiry=idle_s,
            socket_options=_SOCKET_OPTIONS,
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self.pool.aclose()

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> AsyncIterator[message.Response]:
        """Sends a request over a pooled connection."""
        stream = self.pool.stream(
            request.method,
            _url(address, request),
            headers=list(request.headers.items()),
            content=request.body,
            extensions=_extensions(request, timeout_s),
        )
        try:
            async with stream as answer:
                yield message.Response(
                    answer.status,
                    _decode_headers(answer.headers),
                    chunks=answer.aiter_stream(),
                )
        except _NOT_SENT as e:
            raise ExchangeError(repr(e), request_left=False) from e
        except _HTTP_ERRORS as e:
            raise ExchangeError(repr(e), request_left=True) from e


def _url(address: str, request: message.Request) -> str:
    query = f"?{request.query}" if request.query else ""
    return f"http://{address}{request.path}{query}"


def _extensions(request: message.Request, timeout_s: float) -> dict[str, Any]:
    phases = ("connect", "read", "write", "pool")
    extensions: dict[str, Any] = {"timeout": dict.fromkeys(phases, timeout_s)}
    if request.connect_timeout_s is not None:
        extensions["timeout"]["connect"] = request.connect_timeout_s
    if request.before_send is message.allow_send:
        return extensions

    async def trace(event: str, _: dict[str, Any]) -> None:
        if event == "http11.send_request_headers.started":
            request.before_send()

    extensions["trace"] = trace
    return extensions


def _decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in headers
    }
