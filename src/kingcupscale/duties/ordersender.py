"""Sending orders under a lease, each recorded before and after."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import trio

from kingcupscale import errors
from kingcupscale import events
from kingcupscale.duties import journal as journals
from kingcupscale.duties import lease as leases
from kingcupscale.providers import calls

LeaseCheck = Callable[[], None]


@attrs.frozen
class Outcome:
    """What a receiver answered to an order."""

    accepted: bool
    text: str


Send = Callable[[journals.JournalOrder, LeaseCheck], Awaitable[Outcome]]


class OrderSender:
    """Sends the orders of one duty.

    An order whose answer was lost stays open in the journal and is sent
    again with the same id, by this holder or the next.

    Args:
        lease: The duty's lease.
        journal: The duty's journal.
    """

    def __init__(self, lease: leases.Lease, journal: journals.Journal) -> None:
        self.lease = lease
        self.journal = journal

    async def send_orders(
        self, orders: list[journals.JournalOrder], send: Send
    ) -> list[journals.JournalOrder]:
        """Records orders, sends them side by side, records the outcomes.

        Args:
            orders: New orders, or open ones of an earlier epoch.
            send: Sends one order; calls the lease_check right before its first
                byte leaves.

        Returns:
            The orders with the state they have now.
        """
        epoch = self.lease.epoch
        orders = [attrs.evolve(order, epoch=epoch) for order in orders]
        await self.journal.record_intended(orders)
        events.log(
            events.Event.ORDER_INTENDED,
            node=self.lease.node,
            lease=self.lease.name,
            epoch=epoch,
            orders=len(orders),
        )
        settled: list[journals.JournalOrder] = []
        async with trio.open_nursery() as nursery:
            for order in orders:
                nursery.start_soon(self._send, order, send, settled)
        await self.journal.record_outcomes(settled)
        self._log_settled(settled)
        return settled

    async def mark_failed(self, orders: list[journals.JournalOrder]) -> None:
        """Records those orders that are still open as failed."""
        lost = [
            attrs.evolve(order, state=journals.OrderState.FAILED)
            for order in orders
            if order.state is journals.OrderState.INTENDED
        ]
        if lost:
            await self.journal.record_outcomes(lost)

    async def _send(
        self,
        order: journals.JournalOrder,
        send: Send,
        settled: list[journals.JournalOrder],
    ) -> None:
        def lease_check() -> None:
            self.lease.check_order(order.epoch)

        try:
            outcome = await send(order, lease_check)
        except (calls.PlatformError, errors.ServiceError) as e:
            settled.append(attrs.evolve(order, outcome=str(e)))
            return
        state = (
            journals.OrderState.DONE
            if outcome.accepted
            else journals.OrderState.FAILED
        )
        settled.append(attrs.evolve(order, state=state, outcome=outcome.text))

    def _log_settled(self, orders: list[journals.JournalOrder]) -> None:
        for order in orders:
            events.log(
                events.Event.ORDER_SETTLED,
                node=self.lease.node,
                lease=self.lease.name,
                kind=order.kind,
                target=order.target,
                state=order.state.value,
            )
