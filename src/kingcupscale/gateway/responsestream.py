"""Passing bodies on to callers as they come."""

from collections.abc import AsyncIterator
import contextlib

import trio

from kingcupscale import clock as clocks
from kingcupscale.fleet import serverclient

# A sound server ends its stream at the time limit by itself; this is for the
# way back.
STREAM_MARGIN_S = 0.1


async def stream_body(
    stack: contextlib.AsyncExitStack,
    start: bytes,
    answer: serverclient.ServerResponse,
    until: float,
    clock: clocks.Clock,
) -> AsyncIterator[bytes]:
    """Yields a body until it ends or its time is up.

    Silence ends nothing sooner: a slow server may be sound. One that sends a
    byte now and then has no more time than others.

    Args:
        stack: What is to be closed behind the body.
        start: What has been read of it.
        answer: The answer that it belongs to.
        until: Monotonic time by which it has to be whole.
        clock: Tells the time.

    Raises:
        ServerError: If it is not whole by then, so that it is broken off.
    """
    async with stack:
        if start:
            yield start
        while True:
            piece = None
            left_s = max(0.0, until - clock.monotonic())
            with trio.move_on_after(left_s) as scope:
                piece = await anext(answer.body, None)
            if scope.cancelled_caught:
                raise serverclient.ServerError("body without end", True)
            if piece is None:
                return
            yield piece
