"""The HTTP client: its interface, and an implementation with httpcore."""

from collections.abc import AsyncIterator
import contextlib
import functools
import re
import socket
import struct
from typing import Any
from typing import Protocol

import attrs
import httpcore
import trio

from kingcupscale.web import framing
from kingcupscale.web import keepalive
from kingcupscale.web import message

# Longest response body that is held as a whole, unless the caller gives another
# limit: 32 values of one megabyte, encoded as base64, as between nodes. Without
# one, a server that sends on and on fills the memory before the timeout ends.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Most headers of a response. The libraries limit only the bytes of a head, of
# which thousands of small headers take up a multiple.
MAX_HEADERS = 256


class RequestError(Exception):
    """A request that got no complete response.

    Args:
        reason: What went wrong.
        may_have_been_sent: Whether any byte of the request may have been sent.
        is_connection_lost: Whether the peer closed the connection, or it broke,
            before the response was complete.
    """

    def __init__(
        self,
        reason: str,
        may_have_been_sent: bool,
        is_connection_lost: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_been_sent = may_have_been_sent
        self.is_connection_lost = is_connection_lost


class HttpClient(Protocol):
    """Sends HTTP requests and returns their responses."""

    def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[message.Response]:
        """Sends a request; leaving the context early aborts the response.

        Args:
            address: ``host:port``.
            request: The request.
            timeout_s: Timeout of opening the connection and of each read.

        Raises:
            RequestError: If no response arrives, or it is cut off.
        """
        ...

    def has_idle_connection(self, address: str) -> bool:
        """Returns whether an idle connection to an address can be used."""
        ...

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Returns whether a process listens on an address.

        It opens a connection and sends nothing.

        Args:
            address: ``host:port``.
            timeout_s: Timeout of opening the connection.

        Returns:
            False if the connection is refused; None if that cannot be told.
        """
        ...


async def fetch(
    http_client: HttpClient,
    address: str,
    request: message.Request,
    timeout_s: float,
    max_bytes: int = MAX_BODY_BYTES,
) -> message.Response:
    """Sends a request and returns the response with its whole body.

    Args:
        http_client: The client that sends the request.
        address: ``host:port``.
        request: The request.
        timeout_s: Timeout of the whole request.
        max_bytes: Longest valid response body.

    Raises:
        RequestError: If no complete response arrives in time, or its body is
            too long.
    """
    with trio.move_on_after(timeout_s):
        async with http_client.open(address, request, timeout_s) as response:
            if not await response.read_at_most(max_bytes):
                raise RequestError(
                    "response body too long", may_have_been_sent=True
                )
            return response
    raise RequestError("no complete response in time", may_have_been_sent=True)


# Errors after which no byte of the request has been sent.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)
# Errors of a connection that was closed or broke after a request was sent. An
# invalid response is such an error, too.
_LOST_ERRORS = (httpcore.NetworkError, httpcore.RemoteProtocolError)
_HTTP_ERRORS = (
    *_NOT_SENT_ERRORS,
    *_CONNECTION_ERRORS,
    httpcore.TimeoutException,
)


_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535

# A connection is closed if sent bytes stay unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# TCP keep-alive: seconds until the first probe and between probes, and number
# of unanswered probes after which the connection is closed.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# SO_LINGER with timeout 0 closes every connection with a TCP reset. Otherwise,
# bytes of an aborted request that a network partition delays would still reach
# the peer when the partition ends.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


class PooledHttpClient:
    """Sends requests over HTTP/1.1 with pooled connections.

    Each address has its own connection pool, because a pool iterates over all
    of its connections at each request. The kernel detects unresponsive peers:
    unacknowledged bytes and unanswered keep-alive probes close the connection.
    A request that is aborted resets its connection, so that none of its bytes
    arrive later.

    Args:
        max_connections: Most connections to one address.
        idle_s: Timeout of idle connections. The pool of an address that got
            no requests for this long is closed.
        backend: Opens connections; None for the default of the event loop.
        follows_keep_alive: Whether a server's ``Keep-Alive`` header sets the
            timeout of the idle connections to it.

    Attributes:
        pools: The pools of recently used addresses, by address.
        checked_at: Time of the event loop of the last check for idle pools.
    """

    def __init__(
        self,
        max_connections: int = 1024,
        idle_s: float = 30.0,
        backend: httpcore.AsyncNetworkBackend | None = None,
        follows_keep_alive: bool = False,
    ) -> None:
        self.max_connections = max_connections
        self.follows_keep_alive = follows_keep_alive
        self.idle_s = idle_s
        self.backend = backend
        self.pools: dict[str, AddressPool] = {}
        self.checked_at = 0.0

    async def aclose(self) -> None:
        """Closes all connections."""
        pools, self.pools = self.pools, {}
        for address_pool in pools.values():
            await address_pool.pool.aclose()

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> AsyncIterator[message.Response]:
        """Sends a request over a connection of the address's pool."""
        await self._close_idle_pools()
        address_pool = self.pools.get(address)
        if address_pool is None:
            address_pool = self.pools[address] = AddressPool(
                make_pool(self.max_connections, self.idle_s, self.backend)
            )
        address_pool.active_requests += 1
        try:
            async with send(
                address_pool.pool, address, request, timeout_s
            ) as response:
                if self.follows_keep_alive:
                    address_pool.follow_keep_alive(response)
                yield response
        finally:
            address_pool.active_requests -= 1
            address_pool.used_at = trio.current_time()

    def has_idle_connection(self, address: str) -> bool:
        """Returns whether an idle connection to an address can be used."""
        address_pool = self.pools.get(address)
        return (
            address_pool is not None and address_pool.pool.has_idle_connection()
        )

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Returns whether a process listens on an address."""
        host, _, port = address.rpartition(":")
        with (
            trio.move_on_after(timeout_s),
            trio.socket.socket() as sock,
        ):
            try:
                await sock.connect((host, int(port)))
            except ConnectionRefusedError:
                return False
            except (OSError, ValueError, OverflowError):
                # A connection that is reset was accepted before. A port that is
                # too large raises ``OverflowError``.
                return None
            return True
        return None

    async def _close_idle_pools(self) -> None:
        """Closes the pools of addresses that have been idle for too long."""
        now = trio.current_time()
        if now - self.checked_at < self.idle_s:
            return
        self.checked_at = now
        for address, address_pool in list(self.pools.items()):
            idle_s = address_pool.pool.max_idle_s
            is_idle = now - address_pool.used_at > idle_s
            if is_idle and not address_pool.active_requests:
                del self.pools[address]
                await address_pool.pool.aclose()


@attrs.define
class AddressPool:
    """The connection pool of one address.

    Attributes:
        pool: The connections.
        active_requests: Number of requests in progress.
        used_at: Time of the event loop at which the last request ended.
    """

    pool: keepalive.KeepAlivePool
    active_requests: int = 0
    used_at: float = 0.0

    def follow_keep_alive(self, response: message.Response) -> None:
        """Sets the idle timeout by the ``Keep-Alive`` header, if any."""
        idle_s = keepalive.parse_idle_s(response.headers.get("keep-alive"))
        if idle_s is not None:
            self.pool.set_idle_s(idle_s)


def make_pool(
    max_connections: int,
    idle_s: float,
    backend: httpcore.AsyncNetworkBackend | None = None,
) -> keepalive.KeepAlivePool:
    """Returns a connection pool that detects unresponsive peers.

    Args:
        max_connections: Most open connections.
        idle_s: Timeout of idle connections.
        backend: Opens connections; None for the default of the event loop.
    """
    return keepalive.KeepAlivePool(
        max_connections, idle_s, _SOCKET_OPTIONS, backend
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
        RequestError: If no response arrives, or it is cut off.
    """
    try:
        url = _url(address, request)
        headers = _encode_headers(request.headers)
    except ValueError as e:
        reason = f"invalid address, path or header: {e}"
        raise RequestError(reason, may_have_been_sent=False) from e
    stream = pool.stream(
        request.method,
        url,
        headers=headers,
        content=request.body,
        extensions=_extensions(request, timeout_s),
    )
    connect_s = request.connect_timeout_s or timeout_s
    try:
        async with contextlib.AsyncExitStack() as stack:
            # The timeout of each read does not limit headers that never end,
            # so the headers as a whole need one.
            with trio.move_on_after(connect_s + timeout_s) as scope:
                response = await _open_stream(stack, stream)
            if scope.cancelled_caught:
                raise RequestError(
                    "no response headers in time", may_have_been_sent=True
                )
            if len(response.headers) > MAX_HEADERS:
                # The response is referenced until its connection is closed.
                response.headers.clear()
                raise RequestError(
                    "response has too many headers", may_have_been_sent=True
                )
            framing.check_head(response)
            yield message.Response(
                response.status,
                _decode_headers(response.headers),
                chunks=framing.read_body(response),
                retire_connection=functools.partial(_retire, response),
            )
    except _NOT_SENT_ERRORS as e:
        raise RequestError(repr(e), may_have_been_sent=False) from e
    except framing.FramingError as e:
        raise RequestError(str(e), may_have_been_sent=True) from e
    except _HTTP_ERRORS as e:
        raise RequestError(
            repr(e),
            may_have_been_sent=True,
            is_connection_lost=isinstance(e, _LOST_ERRORS),
        ) from e


async def _open_stream(
    stack: contextlib.AsyncExitStack,
    stream: contextlib.AbstractAsyncContextManager[httpcore.Response],
) -> httpcore.Response:
    """Sends a request and returns the response once its headers are read.

    Raises:
        RequestError: If the name of the host or the response's headers have a
            form that the libraries cannot process.
    """
    try:
        return await stack.enter_async_context(stream)
    except ValueError as e:
        raise RequestError(repr(e), may_have_been_sent=True) from e


def _retire(response: httpcore.Response) -> None:
    """Shuts the connection of a response down.

    The pool closes an idle connection whose peer seems to have closed it.
    """
    stream = response.extensions.get("network_stream")
    sock = stream.get_extra_info("socket") if stream else None
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def _url(address: str, request: message.Request) -> httpcore.URL:
    """Returns the URL of a request.

    Its parts are not parsed from a text, which would change some paths: the
    parser drops parameters of the last segment and everything after a "#".

    Raises:
        ValueError: If the address is no ``host:port``, or the path cannot be
            sent.
    """
    host, _, port = address.rpartition(":")
    if not host or not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{address[:60]!r} is not a host and a port")
    query = f"?{request.query}" if request.query else ""
    return httpcore.URL(
        scheme=b"http",
        host=host.strip("[]").encode("ascii"),
        port=int(port),
        target=(request.path + query).encode("latin-1"),
    )


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


def _encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Returns headers as they were decoded: values may be outside of ASCII."""
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


def _decode_headers(headers: list[tuple[bytes, bytes]]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in headers
    }
