"""Virtual time: hours of a session in moments, the same at every run."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import Any
from typing import TypeVar

import trio
from trio._core import _run
import trio.testing

from kingcupscale import clock as clocks

T = TypeVar("T")

NOON = datetime.datetime(2026, 12, 4, 12, 0, tzinfo=datetime.UTC)


class VirtualClock:
    """A clock on trio's own time, which a test run moves by itself.

    Args:
        start: Wall-clock time at the beginning.

    Attributes:
        skew_s: Seconds by which the wall clock is off.
    """

    def __init__(self, start: datetime.datetime = NOON) -> None:
        self.start = start
        self.skew_s = 0.0

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        seconds = trio.current_time() + self.skew_s
        return self.start + datetime.timedelta(seconds=seconds)

    def monotonic(self) -> float:
        """Returns seconds since the beginning."""
        return trio.current_time()

    async def sleep(self, seconds: float) -> None:
        """Waits for that many virtual seconds."""
        await trio.sleep(seconds)

    async def sleep_aligned(self, seconds: float) -> None:
        """Waits about that long, until a beat that all tasks share."""
        await trio.sleep_until(
            clocks.next_wake_time(trio.current_time(), seconds)
        )


def run(function: Callable[..., Awaitable[T]], *args: Any, seed: int = 0) -> T:
    """Runs a function on virtual time, with tasks in a repeatable order.

    Args:
        function: The async function.
        *args: Its arguments.
        seed: Chooses the order of tasks.
    """
    # trio shuffles tasks on purpose and offers no public way to fix the order.
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)
