"""Decides what a node still does during a planned stop.

SIGTERM begins the stop and SIGKILL ends the process after the grace. All times
count from SIGTERM, so that the stop ends by itself before SIGKILL, however long
a step of it takes.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import trio

from kingcupscale import clock as clocks
from kingcupscale import errors

# After the signal to stop, the node first reports itself as not ready and has
# callers reconnect elsewhere. After this time the listeners close, and the rest
# of the grace period is left to open requests.
DRAIN_NOTICE_S = 3.0
# The notice takes at most this share of the grace.
MAX_NOTICE_SHARE = 0.5
# Requests that are open at this share of the grace end with an error, which
# callers prefer to a lost connection. Callers expect an answer from servers
# that have finished by five sixths of the grace.
REQUESTS_END_SHARE = 7 / 8
# Connections end at this share. Between the two, the last answers are sent.
CONNECTIONS_END_SHARE = 15 / 16
# Short, because other nodes accept what this one refuses.
RETRY_AFTER_S = 0.1
# A scope ends this much later, so that its limit has passed on the node's clock
# as well, which rounds differently.
CLOCK_MARGIN_S = 0.001


class PlannedStop:
    """The planned stop of a node; before it begins, nothing is limited.

    Args:
        clock: Source of time.
        grace_s: Time from the stop signal to the end of the process.

    Attributes:
        begun_at: Monotonic time at which it began; None before.
        scopes: The open scopes that a stop limits, each with the function that
            returns the time left.
    """

    def __init__(
        self, clock: clocks.Clock, grace_s: float = float("inf")
    ) -> None:
        self.clock = clock
        self.grace_s = grace_s
        self.begun_at: float | None = None
        self.scopes: dict[trio.CancelScope, Callable[[], float]] = {}

    def begin(self) -> None:
        """Begins the stop; limits the scopes that are open."""
        if self.begun_at is None:
            self.begun_at = self.clock.monotonic()
            for scope, left_s in self.scopes.items():
                _limit_scope(scope, left_s())

    def notice_left_s(self) -> float:
        """Returns the time until requests are refused; infinite before."""
        notice_s = min(DRAIN_NOTICE_S, MAX_NOTICE_SHARE * self.grace_s)
        return self._left_s(notice_s)

    def requests_left_s(self) -> float:
        """Returns the time until open requests end; infinite before."""
        return self._left_s(REQUESTS_END_SHARE * self.grace_s)

    def connections_left_s(self) -> float:
        """Returns the time until connections end; infinite before the stop."""
        return self._left_s(CONNECTIONS_END_SHARE * self.grace_s)

    def _left_s(self, limit_s: float) -> float:
        if self.begun_at is None:
            return float("inf")
        return max(0.0, self.begun_at + limit_s - self.clock.monotonic())

    def limit(self, deadline: float) -> float:
        """Returns a deadline that is not after the end of open requests."""
        return min(deadline, self.clock.monotonic() + self.requests_left_s())

    def find_refusal(self) -> errors.ServiceError | None:
        """Returns the error for a request that arrives now, or None.

        After the notice every request is refused. The node no longer follows
        the store then, nobody knows whether a request will end within the
        grace, and another node can run one that is refused.
        """
        if self.notice_left_s() > 0:
            return None
        return errors.ServiceError(
            errors.ResultCode.DRAINING, retry_after_s=RETRY_AFTER_S
        )

    @contextlib.contextmanager
    def move_on_after(
        self, timeout_s: float, left_s: Callable[[], float]
    ) -> Iterator[trio.CancelScope]:
        """Cancels its block after a timeout, or earlier in a planned stop.

        Args:
            timeout_s: The timeout.
            left_s: Returns the time left in a planned stop, which may begin
                during the block.
        """
        with trio.move_on_after(timeout_s) as scope:
            _limit_scope(scope, left_s())
            self.scopes[scope] = left_s
            try:
                yield scope
            finally:
                del self.scopes[scope]


def _limit_scope(scope: trio.CancelScope, left_s: float) -> None:
    end = trio.current_time() + left_s + CLOCK_MARGIN_S
    scope.deadline = min(scope.deadline, end)
