"""Decides whether a call is refused instead of waiting in vain.

Load pattern: calls arrive faster than slots come free. A call that would leave
the queue without a server is refused on arrival, so that its caller can try
another node while there is time.
"""

import math

import attrs

# Time constant of the measured rate.
RATE_TIME_S = 1.0
# The rate counts as measured after this time with waiting calls, and this many
# slots that they got. Fewer would refuse calls at the start of each burst.
MIN_MEASURED_S = 0.2
MIN_SLOTS = 3


@attrs.define
class SlotRate:
    """The rate at which slots come free for the waiting calls of a service.

    It is measured only while calls wait. At other times the rate of calls that
    end tells how many arrive, not how many the servers could run.

    Attributes:
        waiting_since: Monotonic time since which calls wait; None if none do.
        slots: Slots that calls used while others waited, decaying
            exponentially.
        total: The same without decay.
        updated_at: Monotonic time of the last change.
    """

    waiting_since: float | None = None
    slots: float = 0.0
    total: int = 0
    updated_at: float = 0.0

    def update(self, is_waiting: bool, now: float) -> None:
        """Records whether calls wait now."""
        if not is_waiting:
            self.waiting_since = None
        elif self.waiting_since is None:
            self.waiting_since = now
            self.updated_at = now
            self.slots = 0.0
            self.total = 0

    def record_slot(self, now: float) -> None:
        """Records that a call uses a slot."""
        if self.waiting_since is None:
            return
        self.slots = self._decayed(now) + 1
        self.total += 1
        self.updated_at = now

    def per_second(self, now: float) -> float | None:
        """Returns the rate, or None if it has not been measured."""
        if self.waiting_since is None or self.total < MIN_SLOTS:
            return None
        elapsed_s = now - self.waiting_since
        if elapsed_s < MIN_MEASURED_S:
            return None
        span_s = RATE_TIME_S * (1 - math.exp(-elapsed_s / RATE_TIME_S))
        return self._decayed(now) / span_s

    def _decayed(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.slots * math.exp(-age_s / RATE_TIME_S)


def expected_wait_s(ahead: int, rate: SlotRate, now: float) -> float | None:
    """Returns the expected wait of a call, or None if it is not known.

    It is not known, and no call is refused, while no other call waits.

    Args:
        ahead: Number of waiting calls that get a slot earlier.
        rate: The rate at which slots come free.
        now: Monotonic time.
    """
    per_second = rate.per_second(now)
    if not per_second:
        return None
    return (ahead + 1) / per_second
