"""A caller's request after decoding."""

from collections.abc import Callable

import attrs


@attrs.frozen
class InboundRequest:
    """A caller's request after decoding.

    Attributes:
        request_id: Identity that the caller gave it.
        method: Method.
        host: Host header.
        path: Path.
        query: Query.
        headers: Headers that may be passed on.
        body: The whole body.
        key: API key; empty if the caller sent none.
        timeout_s: Seconds, from ``received_at``, that the caller waits.
        received_at: Monotonic time of arrival.
        resume_after: Number of the last stream event that the caller has.
        is_background: Whether it is low-priority work, such as scoring, that
            no caller waits for directly.
        before_send: Called right before it is sent to a server; raises
            ``serverclient.NotSentError`` to prevent that.
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
