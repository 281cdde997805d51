"""When a refused caller should come back.

Answers callers that are turned away together: told one time they would
return together, so each gets the expected wait with a spread.
"""

import random

# Least and most that a caller is asked to wait, in seconds. Servers answer in
# tens of milliseconds, and a store that is out comes back within seconds.
LEAST_S = 0.05
MOST_S = 2.0
SPREAD = 0.5


def retry_after_s(
    expected_wait_s: float, time_left_s: float, rng: random.Random
) -> float:
    """Returns after how many seconds a caller should ask again.

    Args:
        expected_wait_s: When room is expected.
        time_left_s: That the caller still has; it honours a third of it.
        rng: Spreads callers.
    """
    wait_s = min(MOST_S, max(LEAST_S, expected_wait_s))
    wait_s *= 1 + SPREAD * rng.random()
    return round(min(wait_s, max(LEAST_S, time_left_s / 4)), 3)
