"""A stand-in for the interface that starts and stops backend servers."""

from collections.abc import Callable

import attrs

from kingcupscale import clock as clocks
from kingcupscale.providers import capacityprovider
from kingcupscale.web import httprouter
from kingcupscale.web import message


@attrs.frozen
class ReceivedOrder:
    """An order as it arrived.

    Attributes:
        at: Monotonic seconds.
        order: The order.
        accepted: Whether it was taken.
    """

    at: float
    order: capacityprovider.CapacityOrder
    accepted: bool


class FakeCapacityProvider:
    """Starts and stops servers, each order id once.

    Args:
        clock: Tells the time.
        launch: Makes a server exist and returns its ``host:port``; given the
            server's name, its service and its zone.
        fenced: Whether an order with an older epoch is refused.

    Attributes:
        orders: All arrivals in order.
        unavailable: Zones in which cheap servers cannot be had.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        launch: Callable[[str, str, str], str],
        fenced: bool = True,
    ) -> None:
        self.clock = clock
        self.launch = launch
        self.fenced = fenced
        self.orders: list[ReceivedOrder] = []
        self.servers: dict[str, capacityprovider.OrderedServer] = {}
        self.answers: dict[str, capacityprovider.OrderResponse] = {}
        self.epochs: dict[str, int] = {}
        self.unavailable: set[str] = set()
        self.routes = httprouter.HttpRouter()
        self.routes.add("POST", "/capacity/orders", self._order)
        self.routes.add("GET", "/capacity/servers", self._list)

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers one call."""
        return await self.routes(request)

    async def _list(self, request: message.Request) -> message.Response:
        zone = request.query.removeprefix("zone=")
        servers = [s for s in self.servers.values() if s.zone == zone]
        return message.json_response(capacityprovider.ServerList(servers))

    async def _order(self, request: message.Request) -> message.Response:
        order = request.parse(capacityprovider.CapacityOrder)
        answer = self._decide(order)
        received = ReceivedOrder(self.clock.monotonic(), order, answer.accepted)
        self.orders.append(received)
        return message.json_response(answer)

    def _decide(
        self, order: capacityprovider.CapacityOrder
    ) -> capacityprovider.OrderResponse:
        newest = max(order.epoch, self.epochs.get(order.zone, 0))
        self.epochs[order.zone] = newest
        if self.fenced and order.epoch < newest:
            return capacityprovider.OrderResponse(False, "", "old epoch")
        if order.order_id not in self.answers:
            self.answers[order.order_id] = self._carry_out(order)
        return self.answers[order.order_id]

    def _carry_out(
        self, order: capacityprovider.CapacityOrder
    ) -> capacityprovider.OrderResponse:
        if order.action is capacityprovider.Action.STOP:
            self.servers.pop(order.server, None)
            return capacityprovider.OrderResponse(True, order.server)
        if order.cheap and order.zone in self.unavailable:
            return capacityprovider.OrderResponse(False, "", "none to be had")
        name = f"{order.service}-ordered-{len(self.answers) + 1}"
        self.servers[name] = capacityprovider.OrderedServer(
            name,
            self.launch(name, order.service, order.zone),
            order.zone,
            order.service,
            order.cheap,
            order.order_id,
        )
        return capacityprovider.OrderResponse(True, name)

    def announce_reclaim(self, name: str) -> None:
        """Marks a cheap server as about to go."""
        server = self.servers[name]
        self.servers[name] = attrs.evolve(server, leaving=True)

    def reclaim(self, name: str) -> None:
        """Takes a cheap server away."""
        self.servers.pop(name, None)
