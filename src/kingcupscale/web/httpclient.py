"""Sending requests: the interface, and the client by httpcore."""

from collections.abc import AsyncIterator
import contextlib
import socket
import struct
from typing import Any
from typing import Protocol

import attrs
import httpcore
import trio

from kingcupscale.web import message


class RequestError(Exception):
    """An exchange that brought no whole answer.

    Args:
        reason: What went wrong.
        may_have_been_sent: Whether a byte of the request may have left.
    """

    def __init__(self, reason: str, may_have_been_sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_been_sent = may_have_been_sent


class HttpClient(Protocol):
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
            RequestError: If no answer comes, or it breaks off.
        """
        ...


async def fetch(
    http_client: HttpClient,
    address: str,
    request: message.Request,
    timeout_s: float,
    max_bytes: int | None = None,
) -> message.Response:
    """Sends a request and returns the whole answer.

    Args:
        http_client: What carries the request.
        address: ``host:port``.
        request: What to send.
        timeout_s: Seconds for the whole exchange.
        max_bytes: Longest body that makes sense; None for any.

    Raises:
        RequestError: If no whole answer comes in time.
    """
    with trio.move_on_after(timeout_s):
        async with http_client.open(address, request, timeout_s) as response:
            if not await response.read_at_most(max_bytes):
                raise RequestError("body too long", may_have_been_sent=True)
            return response
    raise RequestError("no whole answer in time", may_have_been_sent=True)


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


class PooledHttpClient:
    """Sends requests over HTTP/1.1 with pooled connections.

    Each address has a pool of its own, as a pool looks at all of its
    connections at each request. A peer that goes silent is noticed by the
    kernel: unacknowledged bytes and unanswered keep-alive probes end the
    connection. An exchange that is given up resets its connection, so that
    nothing of it arrives later.

    Args:
        max_connections: The most connections to one address at a time.
        idle_s: Seconds after which an idle connection is not used again, and
            the pool of an address that nothing is sent to is closed.
        backend: Opens connections; None for the one of the event loop.

    Attributes:
        pools: The pool of each address that was of use lately.
    """

    def __init__(
        self,
        max_connections: int = 1024,
        idle_s: float = 30.0,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.max_connections = max_connections
        self.idle_s = idle_s
        self.backend = backend
        self.pools: dict[str, AddressPool] = {}
        self.swept_at = 0.0

    async def aclose(self) -> None:
        """Closes all connections."""
        pools, self.pools = self.pools, {}
        for kept in pools.values():
            await kept.pool.aclose()

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> AsyncIterator[message.Response]:
        """Sends a request over a pooled connection."""
        await self._sweep()
        kept = self.pools.get(address)
        if kept is None:
            kept = self.pools[address] = AddressPool(
                make_pool(self.max_connections, self.idle_s, self.backend)
            )
        kept.exchanges += 1
        try:
            async with send(kept.pool, address, request, timeout_s) as response:
                yield response
        finally:
            kept.exchanges -= 1
            kept.used_at = trio.current_time()

    async def _sweep(self) -> None:
        """Closes pools of addresses that nothing was sent to for long."""
        now = trio.current_time()
        if now - self.swept_at < self.idle_s:
            return
        self.swept_at = now
        for address, kept in list(self.pools.items()):
            is_idle = now - kept.used_at > self.idle_s
            if is_idle and not kept.exchanges:
                del self.pools[address]
                await kept.pool.aclose()


@attrs.define
class AddressPool:
    """The connections to one address.

    Attributes:
        pool: Keeps them.
        exchanges: Exchanges under way.
        used_at: Time of the event loop at which the last one ended.
    """

    pool: httpcore.AsyncConnectionPool
    exchanges: int = 0
    used_at: float = 0.0


def make_pool(
    max_connections: int,
    idle_s: float,
    backend: httpcore.AsyncNetworkBackend | None = None,
) -> httpcore.AsyncConnectionPool:
    """Returns a pool whose connections notice silent peers.

    Args:
        max_connections: The most connections open at a time.
        idle_s: Seconds after which an idle connection is not used again.
        backend: Opens connections; None for the one of the event loop.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=idle_s,
        socket_options=_SOCKET_OPTIONS,
        network_backend=backend,
    )


@contextlib.asynccontextmanager
async def send(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    request: message.Request,
    timeout_s: float,
) -> AsyncIterator[message.Response]:
    """Sends a request over a connection of a pool.

    Raises:
        RequestError: If no answer comes, or it breaks off.
    """
    stream = pool.stream(
        request.method,
        _url(address, request),
        headers=list(request.headers.items()),
        content=request.body,
        extensions=_extensions(request, timeout_s),
    )
    connect_s = request.connect_timeout_s or timeout_s
    try:
        async with contextlib.AsyncExitStack() as stack:
            # Each read has its time; heads that never end need one as well.
            with trio.move_on_after(connect_s + timeout_s) as scope:
                answer = await stack.enter_async_context(stream)
            if scope.cancelled_caught:
                raise RequestError("no head in time", may_have_been_sent=True)
            yield message.Response(
                answer.status,
                _decode_headers(answer.headers),
                chunks=answer.aiter_stream(),
            )
    except _NOT_SENT as e:
        raise RequestError(repr(e), may_have_been_sent=False) from e
    except _HTTP_ERRORS as e:
        raise RequestError(repr(e), may_have_been_sent=True) from e


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
