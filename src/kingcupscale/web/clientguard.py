"""Guards a process against its clients, over all of its listeners."""

from collections.abc import Callable
from collections.abc import Iterable

import trio

from kingcupscale import events
from kingcupscale.web import clientlimits
from kingcupscale.web import connectionlimits
from kingcupscale.web import memorybudget

# Refusals and closed connections are logged together, at most this often.
LOG_INTERVAL_S = 1.0
# The name of the only listener of a server that is given no guard.
DEFAULT_LISTENER = "default"


class ClientGuard:
    """The memory budget and the connection limits of a process.

    Args:
        limits: The limits of the process.
        listeners: Names of the listeners.
        monotonic: Returns the monotonic time in seconds; None for the time of
            the event loop.
    """

    def __init__(
        self,
        limits: clientlimits.ClientLimits,
        listeners: Iterable[str] = (DEFAULT_LISTENER,),
        monotonic: Callable[[], float] | None = None,
    ) -> None:
        self.limits = limits
        self.budget = memorybudget.Budget(
            limits, monotonic or trio.current_time
        )
        self.connections = connectionlimits.ConnectionLimits(limits, listeners)
        self.logged_at = 0.0
        self.logged_refused = 0
        self.logged_closed = 0

    async def run(self) -> None:
        """Refuses requests that keep others from memory until cancelled."""
        while True:
            await trio.sleep(memorybudget.SWEEP_INTERVAL_S)
            self.budget.sweep()
            if trio.current_time() - self.logged_at >= LOG_INTERVAL_S:
                self.logged_at = trio.current_time()
                self._log()

    def _log(self) -> None:
        refused = self.budget.refused
        if refused.total() != self.logged_refused:
            self.logged_refused = refused.total()
            events.log(
                events.Event.MEMORY_SCARCE,
                held=self.budget.held,
                requests=len(self.budget.claims),
                refused={r.value: n for r, n in refused.items()},
            )
        closed = self.connections.closed
        number = closed[connectionlimits.Reason.TOO_MANY]
        number += closed[connectionlimits.Reason.NOT_READ]
        if number != self.logged_closed:
            self.logged_closed = number
            events.log(
                events.Event.CONNECTIONS_CLOSED,
                open=dict(self.connections.open),
                closed={r.value: n for r, n in closed.items()},
            )


def make_default() -> ClientGuard:
    """Returns a guard for one listener, with default limits."""
    return ClientGuard(clientlimits.derive())
