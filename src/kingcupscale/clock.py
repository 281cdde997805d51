"""The clock every part is given, so that tests can run on virtual time."""

import datetime
import time
from typing import Protocol

import trio


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
