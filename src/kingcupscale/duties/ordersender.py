"""Sends the orders of a duty under its lease.

Each order is recorded in the journal before it is sent, and its outcome after.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import trio

from kingcupscale import errors
from kingcupscale import events
from kingcupscale.duties import journal as journals
from kingcupscale.duties import lease as leases
from kingcupscale.providers import calls

# Raises ``ServiceError`` if the lease does not allow the order now.
LeaseCheck = Callable[[], None]


@attrs.frozen
class Outcome:
    """A receiver's answer to an order.

    Attributes:
        accepted: Whether the receiver accepted the order.
        text: The answer as text, such as the reason of a rejection.
    """

    accepted: bool
    text: str


Send = Callable[[journals.JournalOrder, LeaseCheck], Awaitable[Outcome]]


class OrderSender:
    """Sends the orders of one duty.

    An order without an answer stays pending in the journal and is resent with
    the same id, by this holder or a later one.

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
        """Records orders, sends them concurrently and records the outcomes.

        Args:
            orders: New orders, or pending ones of an earlier epoch.
            send: Sends one order; calls the lease check right before the
                first byte.

        Returns:
            The orders with their resulting state; orders without an answer are
            still pending, with the error as their outcome.
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
        results: list[journals.JournalOrder] = []
        async with trio.open_nursery() as nursery:
            for order in orders:
                nursery.start_soon(self._send, order, send, results)
        await self.journal.record_outcomes(results)
        self._log_results(results)
        return results

    async def mark_failed(self, orders: list[journals.JournalOrder]) -> None:
        """Records the orders that are still pending as failed."""
        failed = [
            attrs.evolve(order, state=journals.OrderState.FAILED)
            for order in orders
            if order.state is journals.OrderState.INTENDED
        ]
        if failed:
            await self.journal.record_outcomes(failed)

    async def _send(
        self,
        order: journals.JournalOrder,
        send: Send,
        results: list[journals.JournalOrder],
    ) -> None:
        def lease_check() -> None:
            self.lease.check_order(order.epoch)

        try:
            outcome = await send(order, lease_check)
        except (calls.PlatformError, errors.ServiceError) as e:
            results.append(attrs.evolve(order, outcome=str(e)))
            return
        state = (
            journals.OrderState.DONE
            if outcome.accepted
            else journals.OrderState.FAILED
        )
        results.append(attrs.evolve(order, state=state, outcome=outcome.text))

    def _log_results(self, orders: list[journals.JournalOrder]) -> None:
        for order in orders:
            events.log(
                events.Event.ORDER_SETTLED,
                node=self.lease.node,
                lease=self.lease.name,
                kind=order.kind,
                target=order.target,
                state=order.state.value,
            )
