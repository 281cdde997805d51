"""Accepts connections for an ASGI application and isolates their errors.

Hypercorn's own worker stops as a whole when a connection raises an unexpected
error. Here, such an error closes only the connection that raised it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import socket
import struct
from typing import Any

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import hypercorn.typing
import trio

from kingcupscale import events
from kingcupscale.web import limits

# Tasks of a closed connection are cancelled after this time. A task that still
# runs then waits for something that never happens; for example, a pipelined
# request waits behind a response that nobody reads.
CLOSED_TASKS_TIMEOUT_S = 1.0
# On shutdown, a connection without requests so far stays open for this long,
# because its client may already have sent its first request.
FIRST_REQUEST_TIMEOUT_S = 0.5
# SO_LINGER with timeout 0 closes a connection with a TCP reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Interval between checks for expired connections.
EXPIRY_CHECK_INTERVAL_S = 0.5
# The same interval during shutdown.
SHUTDOWN_CHECK_INTERVAL_S = 0.1


class Worker:
    """Serves one application on one address.

    Args:
        application: The ASGI application.
        config: Hypercorn's settings; the first address in ``bind`` is used.
        get_limits: Returns the limits in force.

    Attributes:
        streams: The open connections.
    """

    def __init__(
        self,
        application: hypercorn.typing.ASGIFramework,
        config: hypercorn.config.Config,
        get_limits: limits.LimitsProvider,
    ) -> None:
        self.application = application
        self.config = config
        self.get_limits = get_limits
        self.context = hypercorn.trio.worker_context.WorkerContext(None)
        self.streams: set[WatchedStream] = set()

    async def serve(
        self,
        shutdown: Callable[[], Awaitable[None]],
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until shutdown, then closes the open connections.

        Args:
            shutdown: Returns when no more connections are to be accepted.
            task_status: Is started with the bound ``host:port``.
        """
        host, _, port = self.config.bind[0].rpartition(":")
        (listener,) = await trio.open_tcp_listeners(
            int(port), host=host, backlog=self.config.backlog
        )
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    functools.partial(
                        trio.serve_listeners,
                        self._serve_connection,
                        [listener],
                        handler_nursery=connections,
                    )
                )
                accepting.start_soon(self._close_expired_forever)
                bound = listener.socket.getsockname()
                task_status.started(f"{bound[0]}:{bound[1]}")
                await shutdown()
                accepting.cancel_scope.cancel()
            limit_s = self.config.graceful_timeout
            connections.cancel_scope.deadline = trio.current_time() + limit_s
            await self._close_idle_connections()

    async def _close_idle_connections(self) -> None:
        """Closes connections on which no request has begun to arrive.

        Hypercorn's own method is not used, because on shutdown and on timeouts
        it also closes connections on which a request is being read.
        """
        for stream in list(self.streams):
            if stream.is_used:
                stream.close_if_idle()
        if self.streams:
            await trio.sleep(FIRST_REQUEST_TIMEOUT_S)
        while self.streams:
            for stream in list(self.streams):
                stream.close_if_idle()
            self._close_expired()
            await trio.sleep(SHUTDOWN_CHECK_INTERVAL_S)

    async def _close_expired_forever(self) -> None:
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            self._close_expired()

    def _close_expired(self) -> None:
        """Closes connections whose idle or header timeout has passed."""
        now, allowed = trio.current_time(), self.get_limits()
        for stream in list(self.streams):
            waited_s = now - stream.waiting_since
            if stream.has_bytes and waited_s > allowed.header_timeout_s:
                stream.close_unless_handling()
            elif waited_s > allowed.idle_s:
                stream.close_if_idle()

    async def _serve_connection(self, accepted: trio.SocketStream) -> None:
        """Serves one connection until it is complete or closed."""
        stream = WatchedStream(accepted)
        self.streams.add(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._run_hypercorn, stream, nursery.cancel_scope
                )
                await stream.closed.wait()
                await trio.sleep(CLOSED_TASKS_TIMEOUT_S)
                nursery.cancel_scope.cancel()
        finally:
            self.streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def _handle_request(
        self, stream: "WatchedStream", scope: Any, receive: Any, send: Any
    ) -> None:
        """Handles one request and marks the connection as in use meanwhile."""
        stream.requests += 1
        try:
            await self.application(scope, receive, send)
        except BaseException:
            if scope.get("http_version") == "1.0":
                stream.reset_on_close()
            raise
        finally:
            stream.requests -= 1
            stream.mark_handled()

    async def _run_hypercorn(
        self, stream: "WatchedStream", connection: trio.CancelScope
    ) -> None:
        """Runs hypercorn's server; an error closes only this connection."""
        application = functools.partial(self._handle_request, stream)
        # Most bytes of incomplete headers that hypercorn reads. The application
        # checks the limit itself when the headers are complete.
        self.config.h11_max_incomplete_size = 2 * self.get_limits().header_bytes
        server = hypercorn.trio.tcp_server.TCPServer(
            hypercorn.app_wrappers.ASGIWrapper(application),
            self.config,
            self.context,
            hypercorn.typing.ConnectionState({}),
            stream,
        )
        try:
            await server.run()
        except Exception as e:
            _log_error(e)
        except BaseExceptionGroup as group:
            failures, others = group.split(Exception)
            if failures is not None:
                _log_error(failures)
            if others is not None:
                raise others from None
        connection.cancel()


class WatchedStream(trio.abc.HalfCloseableStream):
    """A connection that tracks whether it is idle, closed or broken.

    Args:
        stream: The connection.

    Attributes:
        socket: The connection's socket.
        closed: Set when nothing can be sent any more.
        requests: Number of requests being handled.
        has_bytes: Whether bytes of a further request have been read.
        is_used: Whether any request has been handled.
        is_reset_on_close: Whether closing it is a reset.
        waiting_since: Time of the event loop at which it became idle, or at
            which the first byte of a request arrived.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.socket = stream.socket
        self.closed = trio.Event()
        self.requests = 0
        self.has_bytes = False
        self.is_used = False
        self.is_reset_on_close = False
        self.waiting_since = trio.current_time()

    def mark_handled(self) -> None:
        """Records the end of a request; later bytes belong to the next one."""
        self.has_bytes = False
        self.is_used = True
        self.waiting_since = trio.current_time()

    def reset_on_close(self) -> None:
        """Has the connection reset when it is closed.

        A response to a client of HTTP/1.0 ends with its connection, so it would
        look complete if the connection were closed in order.
        """
        self.is_reset_on_close = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being read or handled."""
        if not self.has_bytes:
            self.close_unless_handling()

    def close_unless_handling(self) -> None:
        """Closes the connection unless a request is being handled."""
        if not self.requests:
            self.closed.set()
            self.socket.close()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns received data; empty at the end of the stream."""
        try:
            data = await self.stream.receive_some(max_bytes)
        except trio.ClosedResourceError:
            return b""
        if data and not self.has_bytes:
            self.has_bytes = True
            self.waiting_since = trio.current_time()
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all of the data."""
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.set()
            raise

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until sending is likely not to block."""
        await self.stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Closes the sending side, unless the connection is to be reset."""
        if not self.is_reset_on_close:
            await self.stream.send_eof()

    async def aclose(self) -> None:
        """Closes the connection."""
        self.closed.set()
        await self.stream.aclose()


def _log_error(error: Exception | BaseExceptionGroup) -> None:
    """Logs the innermost error of a connection."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    events.log(
        events.Event.CONNECTION_FAILED,
        kind=type(error).__name__,
        reason=str(error)[:200],
    )
