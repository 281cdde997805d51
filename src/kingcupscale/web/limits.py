"""What clients of a listener may send, and how long they may take."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Limits:
    """What a client may send.

    Attributes:
        body_bytes: Largest body.
        header_bytes: Largest request head.
        body_timeout_s: Seconds for a body to arrive.
        header_timeout_s: Seconds for a head to arrive, from its first byte.
        idle_s: Seconds that a connection may stay without a request.
    """

    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 32 * 1024
    body_timeout_s: float = 10.0
    header_timeout_s: float = 5.0
    idle_s: float = 15.0


# Returns the limits that hold now; a configuration may change them.
LimitsProvider = Callable[[], Limits]


def constant(limits: Limits) -> LimitsProvider:
    """Returns limits that never change."""
    return lambda: limits
