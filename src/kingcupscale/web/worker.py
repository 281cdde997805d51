"""Accepting connections for an ASGI application, each one for itself.

Hypercorn's own worker ends as a whole when one connection ends with an error
that it does not expect; here such an error ends that connection only.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
from typing import Any

import hypercorn.app_wrappers
import hypercorn.config
import hypercorn.trio.tcp_server
import hypercorn.trio.worker_context
import hypercorn.typing
import trio

from kingcupscale import events
from kingcupscale.web import limits

# What still runs for a connection this long after its end waits for something
# that can't come, such as a pipelined request behind an answer to nobody.
GONE_S = 1.0
# A connection that was accepted right before a stop has this long to send its
# request, which its client may have sent already.
FIRST_REQUEST_S = 0.5
# Pause between two looks at connections that may have waited too long.
EXPIRY_PAUSE_S = 0.5
# The same while a stop waits for the last requests to end.
CLOSING_PAUSE_S = 0.1


class Worker:
    """Serves one application on one address.

    Args:
        application: The ASGI application.
        config: Hypercorn's settings; the first address in ``bind`` is used.
        get_limits: Returns how long clients may take.
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
        """Serves until told to stop, then ends the open connections.

        Args:
            shutdown: Returns when no connection is to be accepted any more.
            task_status: Told the bound ``host:port``.
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

        Hypercorn's own way is not used: it closes a connection also while a
        request on it is being read, at a stop as well as at a time-out.
        """
        for stream in list(self.streams):
            if stream.is_used:
                stream.close_if_idle()
        if self.streams:
            await trio.sleep(FIRST_REQUEST_S)
        while self.streams:
            for stream in list(self.streams):
                stream.close_if_idle()
            self._close_expired()
            await trio.sleep(CLOSING_PAUSE_S)

    async def _close_expired_forever(self) -> None:
        while True:
            await trio.sleep(EXPIRY_PAUSE_S)
            self._close_expired()

    def _close_expired(self) -> None:
        """Closes connections that are idle, or whose head comes, too long."""
        now, times = trio.current_time(), self.get_limits()
        for stream in list(self.streams):
            waited_s = now - stream.since
            if stream.has_bytes and waited_s > times.header_timeout_s:
                stream.close_unless_answering()
            elif waited_s > times.idle_s:
                stream.close_if_idle()

    async def _serve_connection(self, accepted: trio.SocketStream) -> None:
        """Serves one connection until it is done or gone."""
        stream = WatchedStream(accepted)
        self.streams.add(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run, stream, nursery.cancel_scope)
                await stream.gone.wait()
                await trio.sleep(GONE_S)
                nursery.cancel_scope.cancel()
        finally:
            self.streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def _answer(
        self, stream: "WatchedStream", scope: Any, receive: Any, send: Any
    ) -> None:
        """Answers one request, noting that the connection is in use."""
        stream.requests += 1
        try:
            await self.application(scope, receive, send)
        finally:
            stream.requests -= 1
            stream.note_answered()

    async def _run(
        self, stream: "WatchedStream", connection: trio.CancelScope
    ) -> None:
        """Runs hypercorn's server; what goes wrong ends only this one."""
        application = functools.partial(self._answer, stream)
        # What is read of a head before it is refused; the limit itself is
        # checked once the head is there.
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
            _log(e)
        except BaseExceptionGroup as group:
            failures, others = group.split(Exception)
            if failures is not None:
                _log(failures)
            if others is not None:
                raise others from None
        connection.cancel()


class WatchedStream(trio.abc.HalfCloseableStream):
    """A connection that tells when it is idle, closed or broken.

    Args:
        stream: The connection.

    Attributes:
        socket: Its socket.
        gone: Set once nothing can be sent any more.
        requests: Requests that are being answered.
        has_bytes: Whether bytes of a further request have been read.
        is_used: Whether a request has been answered.
        since: Time of the event loop since which it has been idle, or at which
            the first byte of a request came.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.socket = stream.socket
        self.gone = trio.Event()
        self.requests = 0
        self.has_bytes = False
        self.is_used = False
        self.since = trio.current_time()

    def note_answered(self) -> None:
        """Notes the end of a request: what comes next is another one's."""
        self.has_bytes = False
        self.is_used = True
        self.since = trio.current_time()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being read or answered."""
        if not self.has_bytes:
            self.close_unless_answering()

    def close_unless_answering(self) -> None:
        """Closes the connection unless a request is being answered."""
        if not self.requests:
            self.gone.set()
            self.socket.close()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns some received data; nothing at its end."""
        try:
            data = await self.stream.receive_some(max_bytes)
        except trio.ClosedResourceError:
            return b""
        if data and not self.has_bytes:
            self.has_bytes = True
            self.since = trio.current_time()
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all of the data."""
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.gone.set()
            raise

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until sending is likely to go on at once."""
        await self.stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Tells the other side that nothing more is sent."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Closes the connection."""
        self.gone.set()
        await self.stream.aclose()


def _log(error: Exception | BaseExceptionGroup) -> None:
    """Logs the innermost error of a connection."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    events.log(
        events.Event.CONNECTION_FAILED,
        kind=type(error).__name__,
        reason=str(error)[:200],
    )
