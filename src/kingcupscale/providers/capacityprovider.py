"""Client of the platform's service for ordering backend servers by zone."""

from collections.abc import Callable
import enum
from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


class Action(enum.Enum):
    """The action that an order requests."""

    START = "start"
    STOP = "stop"


@attrs.frozen
class CapacityOrder:
    """An order for one backend server.

    Attributes:
        order_id: Idempotency key; the same each time the order is sent.
        epoch: Fencing token of the zone's lease.
        zone: Availability zone.
        service: The service that the server belongs to.
        action: Whether to start or stop a server.
        cheap: Whether to start a spot server, which the platform may reclaim
            at a few seconds' notice.
        server: Name of the server to stop; empty for a start.
    """

    order_id: str
    epoch: int
    zone: str
    service: str
    action: Action
    cheap: bool
    server: str = ""


@attrs.frozen
class OrderResponse:
    """The response to an order.

    Attributes:
        accepted: Whether the order was accepted.
        server: Name of the server started or stopped.
        reason: Why the order was rejected.
    """

    accepted: bool
    server: str
    reason: str = ""


@attrs.frozen
class OrderedServer:
    """A backend server that was started by an order.

    Attributes:
        name: Name of the server.
        address: ``host:port``.
        zone: Availability zone.
        service: The service that the server belongs to.
        cheap: Whether it is a spot server.
        order_id: The order that started it.
        leaving: Whether the platform is about to reclaim it.
    """

    name: str
    address: str
    zone: str
    service: str
    cheap: bool
    order_id: str
    leaving: bool = False


@attrs.frozen
class ServerList:
    """All ordered servers of a zone."""

    servers: list[OrderedServer]


class CapacityProvider(Protocol):
    """Accepts orders for backend servers."""

    async def order(
        self, order: CapacityOrder, before_send: Callable[[], None]
    ) -> OrderResponse:
        """Sends one order."""
        ...

    async def list(self, zone: str) -> ServerList:
        """Returns the ordered servers of a zone."""
        ...


class HttpCapacityProvider(calls.PlatformClient):
    """The HTTP client of the capacity service."""

    async def order(
        self, order: CapacityOrder, before_send: Callable[[], None]
    ) -> OrderResponse:
        """Sends one order.

        Args:
            order: The order.
            before_send: Called just before the order is sent; raises an error
                if it must not be sent any more.
        """
        request = message.json_request("/capacity/orders", order)
        request.before_send = before_send
        return await self.call(request, OrderResponse)

    async def list(self, zone: str) -> ServerList:
        """Returns the ordered servers of a zone."""
        request = message.Request("GET", "/capacity/servers", f"zone={zone}")
        return await self.call(request, ServerList)
