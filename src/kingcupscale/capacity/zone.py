"""The duty of one availability zone: its engines' and servers' orders."""

from kingcupscale import events
from kingcupscale.capacity import zonescaler
from kingcupscale.duties import ordersender
from kingcupscale.rollouts import activation


class ZoneDuty:
    """Everything that only the zone's lease holder may order.

    Args:
        order_sender: Sends and records the orders.
        weights: Brings weights to the engines.
        servers: Starts and stops servers.
    """

    def __init__(
        self,
        order_sender: ordersender.OrderSender,
        weights: activation.WeightActivator,
        servers: zonescaler.ZoneScaler,
    ) -> None:
        self.order_sender = order_sender
        self.weights = weights
        self.servers = servers

    async def take_over(self) -> None:
        """Settles the orders that a former holder left open."""
        for order in await self.order_sender.journal.open():
            events.log(
                events.Event.ORDER_RECONCILED,
                node=self.order_sender.lease.node,
                lease=self.order_sender.lease.name,
                kind=order.kind,
                target=order.target,
                epoch=order.epoch,
            )
        await self._settle_open()

    async def run_once(self) -> None:
        """Does one round."""
        await self._settle_open()
        await self.weights.run_once()
        await self.servers.run_once()

    async def _settle_open(self) -> None:
        """Sends open orders again with the same ids.

        An engine that still does not answer is given up, since the next
        rounds work from what engines say of themselves; a capacity order is
        not, since its server may exist.
        """
        pending = self.order_sender.journal.pending()
        engines = [o for o in pending if o.kind == activation.ORDER_KIND]
        others = [o for o in pending if o.kind == zonescaler.ORDER_KIND]
        if engines:
            settled = await self.order_sender.send_orders(
                engines, self.weights.send
            )
            await self.order_sender.mark_failed(settled)
        if others:
            await self.order_sender.send_orders(others, self.servers.send)
