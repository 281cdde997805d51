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
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import worker


class Application:
    """An ASGI application that passes requests to one handler.

    If a client disconnects, the handler is cancelled, and with it the requests
    that it has sent to backend servers.

    Args:
        handler: Handles the requests.
        get_limits: Returns the limits in force.
    """

    def __init__(
        self, handler: message.Handler, get_limits: limits.LimitsProvider
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one ASGI scope: a request, or the lifespan of the server."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    async def _serve_request(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            request = await self._read_request(scope, receive)
        except errors.ServiceError as e:
            await _send_response(message.error_response(e), send)
            return
        response: message.Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, nursery, receive)
            handled = await run_handler(self.handler, request)
            await _send_all_but_last_chunk(handled, send)
            response = handled
            nursery.cancel_scope.cancel()
        # hypercorn also reports a disconnect when it completes a response, so
        # the last chunk is sent after the disconnect watcher is cancelled.
        if response is not None:
            await _send_body(send, response.body, more=False)

    async def _read_request(self, scope: Any, receive: Any) -> message.Request:
        request = message.Request(
            scope["method"],
            scope["raw_path"].decode("latin-1").partition("?")[0],
            scope["query_string"].decode("latin-1"),
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
        )
        self._check_header_size(scope)
        self._check_declared_length(request.headers)
        with trio.move_on_after(self.get_limits().body_timeout_s):
            request.body = await self._read_body(receive)
            return request
        raise errors.ServiceError(errors.ResultCode.BODY_TIMEOUT)

    def _check_header_size(self, scope: Any) -> None:
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        size += len(scope["raw_path"]) + len(scope["query_string"])
        if size > self.get_limits().header_bytes:
            raise errors.ServiceError(
                errors.ResultCode.HEADERS_TOO_LARGE,
                f"the headers exceed {self.get_limits().header_bytes} bytes",
            )

    def _check_declared_length(self, headers: dict[str, str]) -> None:
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.get_limits().body_bytes:
            raise self._make_too_large_error()

    async def _read_body(self, receive: Any) -> bytes:
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise errors.ServiceError(errors.ResultCode.BODY_MALFORMED)
            body += event.get("body", b"")
            if len(body) > self.get_limits().body_bytes:
                raise self._make_too_large_error()
            if not event.get("more_body", False):
                return bytes(body)

    def _make_too_large_error(self) -> errors.ServiceError:
        return errors.ServiceError(
            errors.ResultCode.BODY_TOO_LARGE,
            f"the body exceeds {self.get_limits().body_bytes} bytes",
        )


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


async def _send_response(response: message.Response, send: Any) -> None:
    await _send_all_but_last_chunk(response, send)
    await _send_body(send, response.body, more=False)


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
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a handler until shutdown, then completes the open requests.

    Args:
        handler: Handles the requests.
        bind: ``host:port``; with port 0 the system chooses a port.
        get_limits: Returns the limits in force.
        shutdown: Returns when the server has to shut down.
        graceful_timeout_s: Timeout of completing the open requests.
        task_status: Is started with the bound ``host:port``.
    """
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.errorlog = None
    # The worker closes idle connections itself, because it knows whether a
    # request is being read on them.
    config.keep_alive_timeout = math.inf
    config.graceful_timeout = graceful_timeout_s
    config.include_server_header = False
    config.include_date_header = False
    application = Application(handler, get_limits)
    server_worker = worker.Worker(application, config, get_limits)
    await server_worker.serve(shutdown, task_status)
