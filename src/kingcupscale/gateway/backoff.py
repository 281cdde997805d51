"""Computes the Retry-After time of rejected calls.

The time is the expected wait plus random jitter, so that callers that were
rejected together do not all retry at the same moment.
"""

import random

# Bounds of the expected wait, before jitter is added. Servers respond within
# tens of milliseconds, and a store outage usually ends within seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Largest jitter, as a share of the bounded wait.
MAX_JITTER = 0.5


def retry_after_s(
    expected_wait_s: float, time_left_s: float, rng: random.Random
) -> float:
    """Returns after how many seconds a caller should retry.

    Args:
        expected_wait_s: Seconds until a slot is expected to be free.
        time_left_s: Seconds until the caller's deadline. Callers honour a
            Retry-After of up to a third of this time, so the result is at
            most a quarter of it, or ``MIN_RETRY_AFTER_S`` if that is more.
        rng: Source of the jitter.
    """
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
    # The limit applies before the jitter. Otherwise, all callers whose expected
    # wait exceeds it would return at the same moment.
    limit_s = max(MIN_RETRY_AFTER_S, time_left_s / 4)
    wait_s = min(wait_s, limit_s / (1 + MAX_JITTER))
    return round(wait_s * (1 + MAX_JITTER * rng.random()), 3)
