"""Accepts connections for an ASGI application and isolates their errors.

Hypercorn's own worker stops as a whole when a connection raises an unexpected
error. Here, such an error closes only the connection that raised it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import math
from typing import Any

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import hypercorn.typing
import trio

from kingcupscale import events
from kingcupscale.web import clientguard
from kingcupscale.web import connectionlimits
from kingcupscale.web import limits
from kingcupscale.web import watchedstream

# Tasks of a closed connection are cancelled after this time. A task that still
# runs then waits for something that never happens; for example, a pipelined
# request waits behind a response that nobody reads.
CLOSED_TASKS_TIMEOUT_S = 1.0
# On shutdown, a connection without requests so far stays open for this long,
# because its client may already have sent its first request.
FIRST_REQUEST_TIMEOUT_S = 0.5
# Interval between checks for expired connections.
EXPIRY_CHECK_INTERVAL_S = 0.5
# The same interval during shutdown.
SHUTDOWN_CHECK_INTERVAL_S = 0.1

# Versions of HTTP that are served. A connection of HTTP/2 carries many requests
# at once, so the limits on connections would not bound them.
HTTP_VERSIONS = ("1.0", "1.1")


class Worker:
    """Serves one application on one address.

    Args:
        application: The ASGI application.
        config: Hypercorn's settings; the first address in ``bind`` is used.
        get_limits: Returns the limits in force.
        guard: The limits that the listeners of the process share.
        listener: Name of the listener.
        time_left: Returns the time in seconds that the process has left for
            open connections once the listener is closed.

    Attributes:
        streams: The open connections.
    """

    def __init__(
        self,
        application: hypercorn.typing.ASGIFramework,
        config: hypercorn.config.Config,
        get_limits: limits.LimitsProvider,
        guard: clientguard.ClientGuard,
        listener: str,
        time_left: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.application = application
        self.config = config
        self.get_limits = get_limits
        self.guard = guard
        self.listener = listener
        self.time_left = time_left
        self.context = hypercorn.trio.worker_context.WorkerContext(None)
        self.streams: set[watchedstream.WatchedStream] = set()

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
            limit_s = min(self.config.graceful_timeout, self.time_left())
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
        closed = self.guard.connections.closed
        for stream in list(self.streams):
            if stream.close_if_not_read(self.guard.limits.send_stall_s):
                closed[connectionlimits.Reason.NOT_READ] += 1
                continue
            waited_s = now - stream.waiting_since
            if stream.has_bytes and waited_s > allowed.header_timeout_s:
                if stream.close_unless_handling():
                    closed[connectionlimits.Reason.HEADER_TIMEOUT] += 1
            elif waited_s > allowed.idle_s and stream.close_if_idle():
                closed[connectionlimits.Reason.IDLE] += 1

    def _make_room(self, address: str) -> bool:
        """Closes a connection if a new one is one too many.

        Returns:
            Whether the new one may stay open.
        """
        connections = self.guard.connections
        if not connections.is_full_for(self.listener, address):
            return True
        connections.closed[connectionlimits.Reason.TOO_MANY] += 1
        streams = {
            stream.candidate(): stream
            for stream in self.streams
            if not stream.closed.is_set()
            and (
                stream.address == address
                or not connections.is_address_full(address)
            )
        }
        victim = connectionlimits.choose_victim(
            list(streams), trio.current_time()
        )
        if victim is None:
            return False
        streams[victim].evict()
        return True

    async def _serve_connection(self, accepted: trio.SocketStream) -> None:
        """Serves one connection until it is complete or closed."""
        stream = watchedstream.WatchedStream(accepted)
        if not self._make_room(stream.address):
            await trio.aclose_forcefully(accepted)
            return
        self.streams.add(stream)
        self.guard.connections.add(self.listener, stream.address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._run_hypercorn, stream, nursery.cancel_scope
                )
                try:
                    await stream.closed.wait()
                except trio.Cancelled:
                    # Hypercorn shields its sending from cancellation, so only
                    # closing the socket ends it if the client does not read.
                    stream.reset_on_close()
                    stream.socket.close()
                    raise
                if not stream.is_evicted:
                    await trio.sleep(CLOSED_TASKS_TIMEOUT_S)
                nursery.cancel_scope.cancel()
        finally:
            self.streams.discard(stream)
            self.guard.connections.remove(self.listener, stream.address)
            await trio.aclose_forcefully(stream)

    async def _handle_request(
        self,
        stream: watchedstream.WatchedStream,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Handles one request and marks the connection as in use meanwhile."""
        if scope.get("http_version") not in HTTP_VERSIONS:
            stream.evict()
            return
        stream.mark_started()

        async def receive_and_note() -> Any:
            stream.mark_awaiting_body()
            event = await receive()
            stream.is_awaiting_body = False
            if not event.get("more_body", False):
                stream.is_reading_body = False
            return event

        try:
            await self.application(scope, receive_and_note, send)
        except BaseException:
            if scope.get("http_version") == "1.0":
                stream.reset_on_close()
            raise
        finally:
            stream.mark_handled()

    async def _run_hypercorn(
        self,
        stream: watchedstream.WatchedStream,
        connection: trio.CancelScope,
    ) -> None:
        """Runs hypercorn's server; an error closes only this connection."""
        application = functools.partial(self._handle_request, stream)
        # Most bytes of incomplete headers that hypercorn reads. The application
        # checks the limit itself when the headers are complete.
        self.config.h11_max_incomplete_size = 2 * self.get_limits().header_bytes
        server = _Http1Server(
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


class _Http1Server(hypercorn.trio.tcp_server.TCPServer):
    """Hypercorn's server for a connection, without HTTP/2.

    Hypercorn has no setting for that. A request that offers an upgrade to
    HTTP/2 is answered as any other.
    """

    async def _read_data(self) -> None:
        self.protocol.protocol._check_protocol = _keep_protocol
        await super()._read_data()


async def _keep_protocol(_: Any) -> None:
    """Stands for hypercorn's check whether to switch to HTTP/2."""


def _log_error(error: Exception | BaseExceptionGroup) -> None:
    """Logs the innermost error of a connection."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    events.log(
        events.Event.CONNECTION_FAILED,
        kind=type(error).__name__,
        reason=str(error)[:200],
    )
