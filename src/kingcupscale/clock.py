"""The clock every part is given, so that tests can run on virtual time."""

import datetime
import math
import time
from typing import Protocol

import trio

# Tasks that work at a pace wake the process together, this often at most.
WAKE_INTERVAL_S = 0.1


class Clock(Protocol):
    """Tells the time and waits."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        ...

    def monotonic(self) -> float:
        """Returns seconds that never go back and count suspended time."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Waits for that many seconds."""
        ...

    async def sleep_aligned(self, seconds: float) -> None:
        """Waits about that long, until a beat that all tasks share.

        For loops that look after something at a pace: the process wakes once
        for all of them.
        """
        ...


class SystemClock:
    """The clock of the machine.

    ``monotonic`` reads ``CLOCK_BOOTTIME``, so that a lease lapses for its
    holder even while the VM is suspended.
    """

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> float:
        """Returns seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Waits for that many seconds."""
        await trio.sleep(seconds)

    async def sleep_aligned(self, seconds: float) -> None:
        """Waits about that long, until a beat that all tasks share."""
        await trio.sleep_until(next_wake_time(trio.current_time(), seconds))


def next_wake_time(now: float, seconds: float) -> float:
    """Returns the beat that is nearest to a time ahead, but not past yet.

    Args:
        now: Present time in seconds.
        seconds: How far ahead.
    """
    beat = max(
        round((now + seconds) / WAKE_INTERVAL_S),
        math.floor(now / WAKE_INTERVAL_S) + 1,
    )
    return beat * WAKE_INTERVAL_S
