"""Size limits and timeouts of HTTP requests and connections."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Limits:
    """Limits of the requests and connections of a listener.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest size of request line and headers.
        body_timeout_s: Timeout for receiving the body.
        header_timeout_s: Timeout for receiving the headers, from their first
            byte.
        idle_s: Timeout of idle connections.
    """

    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 32 * 1024
    body_timeout_s: float = 10.0
    header_timeout_s: float = 5.0
    idle_s: float = 15.0


# Returns the limits in force; a new configuration may change them.
LimitsProvider = Callable[[], Limits]


def constant(limits: Limits) -> LimitsProvider:
    """Returns a provider of limits that never change."""
    return lambda: limits
