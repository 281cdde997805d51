"""Streams response bodies to callers."""

from collections.abc import AsyncIterator
import contextlib

import trio

from kingcupscale import clock as clocks
from kingcupscale.fleet import serverclient

# Servers end their streams at the time limit by themselves. This margin covers
# the network latency of the last bytes.
STREAM_MARGIN_S = 0.1


async def stream_body(
    stack: contextlib.AsyncExitStack,
    start: bytes,
    answer: serverclient.ServerResponse,
    until: float,
    clock: clocks.Clock,
) -> AsyncIterator[bytes]:
    """Yields a response body until it is complete or its deadline passes.

    There is no idle timeout, because a slow server may still be healthy. The
    deadline is absolute, so a server that sends single bytes does not extend
    it.

    Args:
        stack: Resources to close after the body.
        start: The part of the body that has already been read.
        answer: The response that the body belongs to.
        until: Monotonic time by which the body has to be complete.
        clock: The clock.

    Raises:
        ServerError: If the body is not complete at the deadline.
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
                raise serverclient.ServerError(
                    "response body not complete at its deadline", True
                )
            if piece is None:
                return
            yield piece
