"""What a node has tried for one call."""

import attrs

from kingcupscale.fleet import catalogue


@attrs.define
class CallState:
    """What has been tried for one call.

    Attributes:
        route: Its route.
        organisation: Its organisation; None on an open route.
        service: The service it goes to.
        deadline: Monotonic time of its end.
        wait_until: Monotonic time until which it waits for room.
        tried: Servers that ran it or may have.
        full: Servers that turned it away at the last look.
        sent: How many attempts may have run.
        reason: Why the last one failed.
    """

    route: catalogue.Route
    organisation: catalogue.Organisation | None
    service: str
    deadline: float
    wait_until: float
    tried: set[str] = attrs.field(factory=set)
    full: set[str] = attrs.field(factory=set)
    sent: int = 0
    reason: str = ""
