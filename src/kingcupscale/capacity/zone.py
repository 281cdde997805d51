"""The duty of one availability zone: its engines' and servers' orders."""

from kingcupscale import events
from kingcupscale.capacity import ordering
from kingcupscale.duties import orders as orderdesk
from kingcupscale.rollouts import activation


class ZoneDuty:
    """Everything that only the zone's lease holder may order.

    Args:
        desk: Sends and records the orders.
        weights: Brings weights to the engines.
        servers: Starts and stops servers.
    """

    def __init__(
        self,
        desk: orderdesk.OrderDesk,
        weights: activation.Activation,
        servers: ordering.Ordering,
    ) -> None:
        self.desk = desk
        self.weights = weights
        self.servers = servers

    async def take_over(self) -> None:
        """Settles the orders that a former holder left open."""
        for order in await self.desk.journal.open():
            events.log(
                events.Event.ORDER_RECONCILED,
                node=self.desk.lease.node,
                lease=self.desk.lease.name,
                kind=order.kind,
                target=order.target,
                epoch=order.epoch,
            )
        await self._settle_open()

    async def work(self) -> None:
        """Does one round."""
        await self._settle_open()
        await self.weights.round()
        await self.servers.round()

    async def _settle_open(self) -> None:
        """Sends open orders again with the same ids.

        An engine that still does not answer is given up, since the next
        rounds work from what engines say of themselves; a capacity order is
        not, since its server may exist.
        """
        pending = self.desk.journal.pending()
        engines = [o for o in pending if o.kind == activation.ORDER_KIND]
        others = [o for o in pending if o.kind == ordering.ORDER_KIND]
        if engines:
            settled = await self.desk.carry_out(engines, self.weights.send)
            await self.desk.give_up(settled)
        if others:
            await self.desk.carry_out(others, self.servers.send)
