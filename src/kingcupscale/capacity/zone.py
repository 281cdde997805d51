"""The duty of one availability zone: orders to its engines and servers."""

from kingcupscale import events
from kingcupscale.capacity import zonescaler
from kingcupscale.duties import ordersender
from kingcupscale.rollouts import activation


class ZoneDuty:
    """Sends the orders that only the holder of the zone's lease may send.

    Args:
        order_sender: Records the orders in the journal and sends them.
        weights: Loads weight versions into the engines.
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
        """Logs the open orders of earlier lease holders and resends them."""
        for order in await self.order_sender.journal.open():
            events.log(
                events.Event.ORDER_RECONCILED,
                node=self.order_sender.lease.node,
                lease=self.order_sender.lease.name,
                kind=order.kind,
                target=order.target,
                epoch=order.epoch,
            )
        await self._resend_open_orders()

    async def run_once(self) -> None:
        """Sends open orders again, then new orders to engines and servers."""
        await self._resend_open_orders()
        await self.weights.run_once()
        await self.servers.run_once()

    async def _resend_open_orders(self) -> None:
        """Sends open orders again with the same ids.

        Orders to an engine that still does not respond are marked as failed,
        since later runs read the state that engines report. Capacity orders
        stay open, since their server may exist.
        """
        pending = self.order_sender.journal.pending()
        engines = [o for o in pending if o.kind == activation.ORDER_KIND]
        others = [o for o in pending if o.kind == zonescaler.ORDER_KIND]
        if engines:
            results = await self.order_sender.send_orders(
                engines, self.weights.send
            )
            await self.order_sender.mark_failed(results)
        if others:
            await self.order_sender.send_orders(others, self.servers.send)
