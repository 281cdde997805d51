"""Computes the Retry-After time of rejected calls.

The time is the expected wait plus random jitter, so that callers that were
rejected together do not all retry at the same moment.
"""

import random

# Bounds of the time, in seconds. Servers answer in tens of milliseconds, and a
# store that is out of reach usually recovers within seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0
# Largest jitter, as a share of the expected wait.
JITTER = 0.5


def retry_after_s(
    expected_wait_s: float, time_left_s: float, rng: random.Random
) -> float:
    """Returns after how many seconds a caller should retry.

    Args:
        expected_wait_s: Seconds until a slot is expected to be free.
        time_left_s: Seconds until the caller's deadline. Callers honour a
            Retry-After of up to a third of them.
        rng: Source of the jitter.
    """
    wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, expected_wait_s))
    wait_s *= 1 + JITTER * rng.random()
    return round(min(wait_s, max(MIN_RETRY_S, time_left_s / 4)), 3)
