"""Streams response bodies from backend servers to callers."""

from collections.abc import AsyncIterator
import contextlib

import trio

from kingcupscale import clock as clocks
from kingcupscale.fleet import serverclient

# Servers end their streams at the time limit by themselves. This margin covers
# the time that the last bytes take to arrive.
STREAM_MARGIN_S = 0.1


async def stream_body(
    stack: contextlib.AsyncExitStack,
    received: bytes,
    response: serverclient.ServerResponse,
    until: float,
    clock: clocks.Clock,
) -> AsyncIterator[bytes]:
    """Yields a response body until it is complete or its deadline passes.

    There is no idle timeout, because a slow server may still be healthy. The
    deadline is absolute, so a server that sends single bytes does not extend
    it.

    Args:
        stack: Resources to close after the body.
        received: The part of the body that has already been read.
        response: The response that the body belongs to.
        until: Monotonic time by which the body has to be complete.
        clock: The clock.

    Raises:
        ServerError: If the body is not complete at the deadline.
    """
    async with stack:
        if received:
            yield received
            # It would take up memory until the end of the stream.
            received = b""
        while True:
            chunk = None
            left_s = max(0.0, until - clock.monotonic())
            with trio.move_on_after(left_s) as scope:
                chunk = await anext(response.body, None)
            if scope.cancelled_caught:
                raise serverclient.ServerError(
                    "response body not complete at its deadline", True
                )
            if chunk is None:
                return
            yield chunk
