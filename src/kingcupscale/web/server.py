"""Serves HTTP handlers with hypercorn."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import traceback
from typing import Any

import hypercorn.config
import trio

from kingcupscale import errors
from kingcupscale import events
from kingcupscale.web import bodyreader
from kingcupscale.web import clientguard
from kingcupscale.web import limits
from kingcupscale.web import memorybudget
from kingcupscale.web import message
from kingcupscale.web import worker

# After a refusal, the rest of the body is read and discarded for this long, and
# up to this size, before the connection is closed.
REFUSAL_READ_S = 0.25
MAX_DISCARDED_BYTES = 256 * 1024


class Application:
    """An ASGI application that passes requests to one handler.

    If a client disconnects, the handler is cancelled, and with it the requests
    that it has sent to backend servers.

    Args:
        handler: Handles the requests.
        get_limits: Returns the limits in force.
        budget: The memory for requests.
    """

    def __init__(
        self,
        handler: message.Handler,
        get_limits: limits.LimitsProvider,
        budget: memorybudget.Budget,
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits
        self.budget = budget

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one ASGI scope: a request, or the lifespan of the server."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            address = (scope.get("client") or ("",))[0]
            holder = bodyreader.Holder(self.budget, address)
            try:
                await self._serve_request(holder, scope, receive, send)
            finally:
                holder.release()

    async def _serve_request(
        self, holder: bodyreader.Holder, scope: Any, receive: Any, send: Any
    ) -> None:
        refusal: message.Response | None = None
        try:
            request = await self._read_request(holder, scope, receive)
        except errors.ServiceError as e:
            refusal = message.error_response(e)
        # Not in the handler, because the error's traceback holds the body.
        if refusal is not None:
            holder.discard_body()
            await _send_refusal(refusal, receive, send)
            return
        response: message.Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, nursery, receive)
            handled = await run_handler(self.handler, request)
            if handled.chunks is None:
                request.body = b""
                holder.hold_response(len(handled.body))
            await _send_all_but_last_chunk(handled, send)
            response = handled
            nursery.cancel_scope.cancel()
        # hypercorn also reports a disconnect when it completes a response, so
        # the last chunk is sent after the disconnect watcher is cancelled.
        if response is not None:
            await _send_body(send, response.body, more=False)

    async def _read_request(
        self, holder: bodyreader.Holder, scope: Any, receive: Any
    ) -> message.Request:
        request = message.Request(
            scope["method"],
            scope["raw_path"].decode("latin-1").partition("?")[0],
            scope["query_string"].decode("latin-1"),
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            check_decoding=holder.check_decoding,
            reserve=holder.reserve,
        )
        self._check_header_size(scope)
        allowed = self.get_limits()
        _check_declared_length(request.headers, allowed.body_bytes)
        request.body = await holder.read_body(
            receive, allowed.body_bytes, allowed.body_timeout_s
        )
        return request

    def _check_header_size(self, scope: Any) -> None:
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        size += len(scope["raw_path"]) + len(scope["query_string"])
        if size > self.get_limits().header_bytes:
            raise errors.ServiceError(
                errors.ResultCode.HEADERS_TOO_LARGE,
                f"the headers exceed {self.get_limits().header_bytes} bytes",
            )


def _check_declared_length(headers: dict[str, str], max_bytes: int) -> None:
    length = headers.get("content-length", "0")
    if length.isdigit() and int(length) > max_bytes:
        raise bodyreader.make_too_large_error(max_bytes)


async def run_handler(
    handler: message.Handler, request: message.Request
) -> message.Response:
    """Returns a handler's response; errors become error responses."""
    try:
        return await handler(request)
    except errors.ServiceError as e:
        return message.error_response(e)
    except Exception as e:
        events.log(
            events.Event.REQUEST_FAILED,
            kind=type(e).__name__,
            trace=traceback.format_tb(e.__traceback__),
        )
        return message.error_response(
            errors.ServiceError(
                errors.ResultCode.INTERNAL,
                f"the handler raised {type(e).__name__}",
                errors.Run.UNKNOWN,
            )
        )


async def _serve_lifespan(receive: Any, send: Any) -> None:
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _cancel_on_disconnect(nursery: trio.Nursery, receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    nursery.cancel_scope.cancel()


async def _send_refusal(
    response: message.Response, receive: Any, send: Any
) -> None:
    """Sends a response to a request whose body has not been read.

    The rest of the body is discarded meanwhile. Otherwise hypercorn would wait
    forever for room in its queue, and never close the connection. A client that
    is still sending gets some time to read the response, because closing the
    connection before it has read it may destroy the response.
    """
    async with trio.open_nursery() as nursery:
        discarded = trio.Event()
        nursery.start_soon(_discard_body, receive, discarded)
        await _send_all_but_last_chunk(response, send)
        with trio.move_on_after(REFUSAL_READ_S):
            await discarded.wait()
        await _send_body(send, response.body, more=False)
        nursery.cancel_scope.cancel()


async def _discard_body(receive: Any, discarded: trio.Event) -> None:
    """Discards a body; sets the event at its end or after a large part."""
    size = 0
    while True:
        event = await receive()
        size += len(event.get("body", b""))
        if not event.get("more_body", False) or size > MAX_DISCARDED_BYTES:
            discarded.set()


async def _send_all_but_last_chunk(
    response: message.Response, send: Any
) -> None:
    """Sends the headers and, if the body is streamed, its chunks.

    The caller sends the last chunk: the whole body if it is not streamed, or
    an empty chunk.
    """
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers.items()
    ]
    if response.chunks is None:
        length = str(len(response.body)).encode()
        headers.append((b"content-length", length))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    if response.chunks is not None:
        async with contextlib.aclosing(response.chunks) as chunks:
            async for chunk in chunks:
                await _send_body(send, chunk, more=True)


async def _send_body(send: Any, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def serve(
    handler: message.Handler,
    bind: str,
    get_limits: limits.LimitsProvider,
    shutdown: Callable[[], Awaitable[None]],
    graceful_timeout_s: float = 60.0,
    time_left: Callable[[], float] = lambda: math.inf,
    guard: clientguard.ClientGuard | None = None,
    listener: str = clientguard.DEFAULT_LISTENER,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a handler until shutdown, then completes the open requests.

    Args:
        handler: Handles the requests.
        bind: ``host:port``; with port 0 the system chooses a port.
        get_limits: Returns the limits in force.
        shutdown: Returns when the server has to shut down.
        graceful_timeout_s: Timeout of completing the open requests.
        time_left: Returns the time in seconds that the process has left for
            that once the listener is closed.
        guard: The memory budget and connection limits that the listeners of
            the process share; None for a separate one with default limits.
        listener: Name of the listener; the guard must know it.
        task_status: Is started with the bound ``host:port``.
    """
    if guard is None:
        guard = clientguard.make_default()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(guard.run)
            await serve(
                handler,
                bind,
                get_limits,
                shutdown,
                graceful_timeout_s,
                time_left,
                guard,
                task_status=task_status,
            )
            nursery.cancel_scope.cancel()
        return
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.errorlog = None
    # The worker closes idle connections itself, because it knows whether a
    # request is being read on them.
    config.keep_alive_timeout = math.inf
    config.graceful_timeout = graceful_timeout_s
    config.include_server_header = False
    config.include_date_header = False
    # The events that hypercorn queues for the application: the last chunk of a
    # body and its end, so that a small body does not take another task switch.
    config.max_app_queue_size = 2
    application = Application(handler, get_limits, guard.budget)
    server_worker = worker.Worker(
        application, config, get_limits, guard, listener, time_left
    )
    await server_worker.serve(shutdown, task_status)
