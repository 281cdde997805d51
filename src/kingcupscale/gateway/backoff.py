"""Computes the Retry-After time of rejected calls.

The time is the expected wait plus random jitter, so that callers that were
rejected together do not all retry at the same moment.
"""

import random

# Least and most that a caller is asked to wait, in seconds. Servers answer in
# tens of milliseconds, and a store that is out comes back within seconds.
LEAST_S = 0.05
MOST_S = 2.0
# Largest jitter, as a share of the expected wait.
SPREAD = 0.5


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
    wait_s = min(MOST_S, max(LEAST_S, expected_wait_s))
    wait_s *= 1 + SPREAD * rng.random()
    return round(min(wait_s, max(LEAST_S, time_left_s / 4)), 3)
