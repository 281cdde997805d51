"""The state of one call across its attempts."""

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
        tried: Servers that have or may have executed it.
        unavailable: Servers that rejected it or were unreachable since the
            last poll.
        sent: Number of attempts that may have been executed.
        reason: Why the last attempt failed.
    """

    route: catalogue.Route
    organisation: catalogue.Organisation | None
    service: str
    deadline: float
    wait_until: float
    tried: set[str] = attrs.field(factory=set)
    unavailable: set[str] = attrs.field(factory=set)
    sent: int = 0
    reason: str = ""
