"""Runs a duty at intervals while its lease allows orders."""

from typing import Protocol

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.duties import journal as journals
from kingcupscale.duties import lease as leases
from kingcupscale.providers import calls


class Duty(Protocol):
    """Work that only the holder of a lease performs."""

    async def take_over(self) -> None:
        """Takes over the state and pending work of former holders."""
        ...

    async def run_once(self) -> None:
        """Performs one round of the duty."""
        ...


class DutyRunner:
    """Runs a round of a duty at intervals, if orders may be sent.

    A round that fails is tried again at the next interval. The duty takes over
    when the lease has a new epoch, and again after another holder has written
    its stored state.

    Args:
        lease: The duty's lease.
        duty: The duty.
        clock: The clock.
        interval_s: Seconds between rounds.

    Attributes:
        epoch: Epoch of the lease for which the duty took over last; 0 if it has
            to take over before the next round.
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
        """Runs rounds of the duty until cancelled."""
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
