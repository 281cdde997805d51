"""Detects responses that a server has sent into each other.

A server that breaks off in a response, or that sends a second copy of it late,
may go on with another response on the same connection. HTTP has no framing by
which a client would notice that in every case.
"""

from collections.abc import AsyncIterator
import re

import httpcore

# The beginning of a status line, and of a head with at least one header.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
_HEAD = re.compile(
    rb"HTTP/[0-9]\.[0-9] [0-9]{3}[^\r\n]{0,100}\r\n[0-9A-Za-z-]{1,60}:"
)
_MAX_HEAD_START_BYTES = 200
# Headers of which a response has one, unless its body ends with the connection.
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class FramingError(Exception):
    """A response contains the head of another one."""


def check_head(response: httpcore.Response) -> None:
    """Checks that the head of a response is not made of two heads.

    If a server breaks off in a head and sends another response after it, the
    second status line becomes part of a header value or of the reason phrase.
    Status and headers would then come from different responses.

    Raises:
        FramingError: If the head contains a second status line.
    """
    values = [value for _, value in response.headers]
    values.append(response.extensions.get("reason_phrase", b""))
    if any(_STATUS_LINE.search(value) for value in values):
        raise FramingError("response head contains another one")


def read_body(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Returns the chunks of a response's body as they arrive.

    Raises:
        FramingError: If the body ends with the connection and contains the head
            of another response. Other bodies are not searched.
    """
    chunks = response.aiter_stream()
    if any(name.lower() in _FRAMING_HEADERS for name, _ in response.headers):
        return chunks
    return _search_for_heads(chunks)


async def _search_for_heads(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yields chunks until one of them completes the head of a response."""
    tail = b""
    async for chunk in chunks:
        # The border is searched apart, so that no copy of the chunk is held
        # while it is processed.
        border = tail + chunk[:_MAX_HEAD_START_BYTES]
        if _HEAD.search(border) or _HEAD.search(chunk):
            raise FramingError("response body contains another response")
        yield chunk
        tail = (tail + chunk[-_MAX_HEAD_START_BYTES:])[-_MAX_HEAD_START_BYTES:]
