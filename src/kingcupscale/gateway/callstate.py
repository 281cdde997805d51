"""The state that a forwarder keeps of one call until it is completed."""

import attrs

from kingcupscale.fleet import catalogue


@attrs.define
class CallState:
    """The state of one call across its attempts.

    Attributes:
        route: Its route.
        organisation: Its organisation; None on an open route.
        service: The service it goes to.
        deadline: Monotonic time at which the call times out.
        wait_until: Monotonic time until which it waits for a free slot.
        tried: Servers that executed it or may have.
        unavailable: Servers that rejected it or were unreachable since
            it last waited for a server.
        sent_at: Monotonic time at which its last attempt began, which is
            before the deadline.
        attempts: Number of attempts that a server executed or may have.
        failure_reason: Why the last failed attempt failed; empty if none has
            failed, or if the server cannot have executed that attempt.
        is_background: Whether it is work for this service itself.
        fingerprint: Fingerprint of the request; empty until it is needed.
        is_trial: Whether it is sent to find out whether servers still crash
            under it.
    """

    route: catalogue.Route
    organisation: catalogue.Organisation | None
    service: str
    deadline: float
    wait_until: float
    tried: set[str] = attrs.field(factory=set)
    unavailable: set[str] = attrs.field(factory=set)
    sent_at: float = 0.0
    attempts: int = 0
    failure_reason: str = ""
    is_background: bool = False
    fingerprint: str = ""
    is_trial: bool = False
