"""A budget for retries, so that they cannot become a storm."""

from kingcupscale import clock as clocks

RETRY_SHARE = 0.2
LEAST_PER_S = 2.0
LARGEST = 50.0


class RetryBudget:
    """Allows retries as a share of the requests, and a few besides.

    Args:
        clock: Tells the time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.balance = LARGEST / 2
        self.filled_at = clock.monotonic()

    def note_request(self) -> None:
        """Earns a share of a retry."""
        self.balance = min(LARGEST, self.balance + RETRY_SHARE)

    def take(self) -> bool:
        """Spends one retry if the budget allows it."""
        now = self.clock.monotonic()
        earned = LEAST_PER_S * (now - self.filled_at)
        self.balance = min(LARGEST, self.balance + earned)
        self.filled_at = now
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
