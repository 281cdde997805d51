"""The clock interface and the system clock.

All code gets its clock as an argument, so that tests can run on virtual time.
"""

import datetime
import math
import time
from typing import Protocol

import trio

# Periodic tasks wake at multiples of this interval, so that the process wakes
# for all of them at most once per interval.
WAKE_INTERVAL_S = 0.1


class Clock(Protocol):
    """Returns the time and sleeps."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        ...

    def monotonic(self) -> float:
        """Returns monotonic seconds, including suspended time."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Sleeps for that many seconds."""
        ...

    async def sleep_aligned(self, seconds: float) -> None:
        """Sleeps for about that long, until a wake-up shared by all tasks.

        Periodic loops use it, so that the process wakes once for all of them.
        """
        ...


class SystemClock:
    """The system clock.

    ``monotonic`` reads ``CLOCK_BOOTTIME``, so that a lease expires for its
    holder even while the VM is suspended.
    """

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> float:
        """Returns the seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Sleeps for that many seconds."""
        await trio.sleep(seconds)

    async def sleep_aligned(self, seconds: float) -> None:
        """Sleeps for about that long, until a wake-up shared by all tasks."""
        await trio.sleep_until(next_wake_time(trio.current_time(), seconds))


def next_wake_time(now: float, seconds: float) -> float:
    """Returns the shared wake-up time that is closest to a later time.

    The result is always later than ``now``.

    Args:
        now: Present time in seconds.
        seconds: Seconds from ``now`` to the later time.
    """
    wakeup = max(
        round((now + seconds) / WAKE_INTERVAL_S),
        math.floor(now / WAKE_INTERVAL_S) + 1,
    )
    return wakeup * WAKE_INTERVAL_S
