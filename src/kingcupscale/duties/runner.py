"""Running a duty while its lease is held."""

from typing import Protocol

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.duties import journal as journals
from kingcupscale.duties import lease as leases
from kingcupscale.providers import calls


class Duty(Protocol):
    """Work for the holder of a lease."""

    async def take_over(self) -> None:
        """Settles what a former holder left open."""
        ...

    async def run_once(self) -> None:
        """Does one round."""
        ...


class DutyRunner:
    """Calls a duty at every tick at which orders may be sent.

    Args:
        lease: The duty's lease.
        duty: The work.
        clock: Tells the time.
        interval_s: Seconds between rounds.
    """

    def __init__(
        self,
        lease: leases.Lease,
        duty: Duty,
        clock: clocks.Clock,
        interval_s: float,
    ) -> None:
        self.lease = lease
        self.duty = duty
        self.clock = clock
        self.interval_s = interval_s
        self.epoch = 0

    async def run(self) -> None:
        """Runs the duty until cancelled."""
        while True:
            if self.lease.can_send_orders():
                await self._run_round()
            await self.clock.sleep(self.interval_s)

    async def _run_round(self) -> None:
        epoch = self.lease.epoch
        try:
            if self.epoch != epoch:
                await self.duty.take_over()
                self.epoch = epoch
            await self.duty.run_once()
        except journals.JournalError:
            self.epoch = 0
        except (calls.PlatformError, errors.ServiceError) as e:
            events.log(
                events.Event.STORE_FAILED, node=self.lease.node, reason=str(e)
            )
