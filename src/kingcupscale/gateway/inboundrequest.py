"""The decoded form of a caller's single call."""

from collections.abc import Callable

import attrs


@attrs.frozen
class InboundRequest:
    """A caller's request, decoded from HTTP, or a scoring call of this node.

    Attributes:
        request_id: Id that its sender gave it.
        method: HTTP method.
        host: Host header.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Headers to forward, lower case.
        body: The whole body.
        key: API key; empty if the caller sent none.
        timeout_s: Seconds, from ``received_at``, that the caller waits.
        received_at: Monotonic time of arrival.
        resume_after: Number of the last stream event that the caller has
            received; None for the whole stream.
        is_background: Whether it is low-priority work, such as scoring, that
            no caller waits for directly.
        on_behalf_of: Organisation whose text a scoring call is for; empty if
            its own key names the organisation.
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
    on_behalf_of: str = ""
    before_send: Callable[[], None] | None = None
