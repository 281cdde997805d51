"""A single call as a caller sent it."""

from collections.abc import Callable

import attrs


@attrs.frozen
class InboundRequest:
    """A caller's request, decoded.

    Attributes:
        request_id: Identity that the caller gave it.
        method: Method.
        host: Host header.
        path: Path.
        query: Query.
        headers: Headers that may be passed on.
        body: The whole body.
        key: The caller's key; empty if it sent none.
        timeout_s: Seconds that the caller will wait, from ``received_at``.
        received_at: Monotonic time of arrival.
        resume_after: Number of the last event that the caller has.
        is_background: Whether nobody waits for it directly.
        before_send: Called right before it leaves for a server; raises
            ``serverclient.NotSentError`` to keep it here.
    """

    request_id: str
    method: str
    host: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    key: str
    timeout_s: float
    received_at: float
    resume_after: int | None = None
    is_background: bool = False
    before_send: Callable[[], None] | None = None
