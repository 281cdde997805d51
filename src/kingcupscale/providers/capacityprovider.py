"""The platform's interface for ordering backend servers by zone."""

from collections.abc import Callable
import enum
from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


class Action(enum.Enum):
    """What an order asks for."""

    START = "start"
    STOP = "stop"


@attrs.frozen
class CapacityOrder:
    """An order for one backend server.

    Attributes:
        order_id: The same at every sending, so that a repeat is harmless.
        epoch: Fencing number of the zone's lease.
        zone: Availability zone.
        service: Which service the server is for.
        action: Start or stop.
        cheap: Whether the server may be reclaimed at a few seconds' notice.
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
    """Whether the order was taken, and the server it is about."""

    accepted: bool
    server: str
    reason: str = ""


@attrs.frozen
class OrderedServer:
    """A backend server that exists by an order.

    Attributes:
        name: Name of the server.
        address: ``host:port``.
        zone: Availability zone.
        service: Which service it is for.
        cheap: Whether it may be reclaimed.
        order_id: The order that started it.
        leaving: Whether it is about to go.
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
    """Takes orders for backend servers."""

    async def order(
        self, order: CapacityOrder, before_send: Callable[[], None]
    ) -> OrderResponse:
        """Sends one order."""
        ...

    async def list(self, zone: str) -> ServerList:
        """Returns the ordered servers of a zone."""
        ...


class HttpCapacityProvider(calls.PlatformClient):
    """The capacity interface over HTTP."""

    async def order(
        self, order: CapacityOrder, before_send: Callable[[], None]
    ) -> OrderResponse:
        """Sends one order.

        Args:
            order: What to send.
            before_send: Raises if the order must not leave any more.
        """
        request = message.json_request("/capacity/orders", order)
        request.before_send = before_send
        return await self.call(request, OrderResponse)

    async def list(self, zone: str) -> ServerList:
        """Returns the ordered servers of a zone."""
        request = message.Request("GET", "/capacity/servers", f"zone={zone}")
        return await self.call(request, ServerList)
