"""Serving handlers over HTTP with hypercorn."""

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
    """An ASGI application before one handler.

    A client that disconnects cancels the handler, and with it the work of
    backend servers.

    Args:
        handler: Answers the requests.
        get_limits: Returns what a client may send.
    """

    def __init__(
        self, handler: message.Handler, get_limits: limits.LimitsProvider
    ) -> None:
        self.handler = handler
        self.get_limits = get_limits

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one ASGI connection."""
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
            sending = await answer(self.handler, request)
            await _send_head(sending, send)
            response = sending
            nursery.cancel_scope.cancel()
        # hypercorn reports a disconnect while it ends a response in order, so
        # nobody may listen for one during the last piece.
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
        self._check_head(scope)
        self._check_declared_length(request.headers)
        with trio.move_on_after(self.get_limits().body_timeout_s):
            request.body = await self._read_body(receive)
            return request
        raise errors.ServiceError(errors.ResultCode.BODY_TIMEOUT)

    def _check_head(self, scope: Any) -> None:
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        size += len(scope["raw_path"]) + len(scope["query_string"])
        if size > self.get_limits().header_bytes:
            raise errors.ServiceError(
                errors.ResultCode.HEADERS_TOO_LARGE,
                f"the limit is {self.get_limits().header_bytes} bytes",
            )

    def _check_declared_length(self, headers: dict[str, str]) -> None:
        length = headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.get_limits().body_bytes:
            raise self._too_large()

    async def _read_body(self, receive: Any) -> bytes:
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise errors.ServiceError(errors.ResultCode.BODY_MALFORMED)
            body += event.get("body", b"")
            if len(body) > self.get_limits().body_bytes:
                raise self._too_large()
            if not event.get("more_body", False):
                return bytes(body)

    def _too_large(self) -> errors.ServiceError:
        return errors.ServiceError(
            errors.ResultCode.BODY_TOO_LARGE,
            f"the limit is {self.get_limits().body_bytes} bytes",
        )


async def answer(
    handler: message.Handler, request: message.Request
) -> message.Response:
    """Returns a handler's response, errors turned into numbered ones."""
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
                f"unexpected {type(e).__name__}",
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
    await _send_head(response, send)
    await _send_body(send, response.body, more=False)


async def _send_head(response: message.Response, send: Any) -> None:
    """Sends everything but the last piece of the body."""
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
    """Serves a handler until told to stop, then ends the open requests.

    Args:
        handler: Answers the requests.
        bind: ``host:port``; port 0 lets the system choose.
        get_limits: Returns what a client may send.
        shutdown: Returns when the server is to stop.
        graceful_timeout_s: Seconds that open requests get to end.
        task_status: Told the bound ``host:port``.
    """
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.errorlog = None
    # Idle connections are closed by the worker, which knows whether a request
    # is being read on them.
    config.keep_alive_timeout = math.inf
    config.graceful_timeout = graceful_timeout_s
    config.include_server_header = False
    config.include_date_header = False
    application = Application(handler, get_limits)
    serving = worker.Worker(application, config, get_limits)
    await serving.serve(shutdown, task_status)
