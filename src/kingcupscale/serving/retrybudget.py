"""A budget for retries that prevents retry storms."""

from kingcupscale import clock as clocks

RETRY_RATIO = 0.2
MIN_RETRIES_PER_S = 2.0
MAX_BALANCE = 50.0


class RetryBudget:
    """Limits retries to a ratio of the requests plus a minimum rate.

    The budget is a token bucket: each request adds ``RETRY_RATIO`` and each
    second ``MIN_RETRIES_PER_S``, up to ``MAX_BALANCE``; a retry costs one.

    Args:
        clock: Source of the time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.balance = MAX_BALANCE / 2
        self.refilled_at = clock.monotonic()

    def record_request(self) -> None:
        """Adds the retry ratio of one request to the budget."""
        self.balance = min(MAX_BALANCE, self.balance + RETRY_RATIO)

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns whether it was available."""
        now = self.clock.monotonic()
        earned = MIN_RETRIES_PER_S * (now - self.refilled_at)
        self.balance = min(MAX_BALANCE, self.balance + earned)
        self.refilled_at = now
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
