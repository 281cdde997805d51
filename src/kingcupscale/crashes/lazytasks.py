"""Background tasks that start when there is something to do."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio


class LazyTasks:
    """Starts tasks at the first need, so that an idle node schedules nothing.

    Args:
        tasks: The tasks; they run until cancelled.

    Attributes:
        nursery: Where the tasks run; None before the node runs.
        is_needed: Whether the tasks have been needed.
    """

    def __init__(self, *tasks: Callable[[], Awaitable[None]]) -> None:
        self.tasks = tasks
        self.nursery: trio.Nursery | None = None
        self.is_needed = False

    def attach(self, nursery: trio.Nursery) -> None:
        """Sets where the tasks run, and starts them if they are needed."""
        self.nursery = nursery
        if self.is_needed:
            self._start()

    def need(self) -> None:
        """Starts the tasks, unless they have been started before."""
        if not self.is_needed:
            self.is_needed = True
            self._start()

    def _start(self) -> None:
        if self.nursery is not None:
            for task in self.tasks:
                self.nursery.start_soon(task)
