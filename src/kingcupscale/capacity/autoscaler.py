"""Orders backend servers for a service, by availability zone.

The autoscaler tracks peak demand, distributes the required servers over the
zones and sends orders to the provider. Load comes in training steps, and all
spot servers of a zone may be reclaimed at once. A few spare servers cost
little, while a missing one delays whole steps. So more servers are kept than
the present demand requires, and after a failed order in a zone the servers
missing there are ordered in the other zones without delay.
"""

from collections.abc import Callable
import enum
from typing import Protocol

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.storage import locks

# Delay before the next order for a zone after a refused one.
REFUSED_RETRY_DELAY_S = 2.0
# Delay before the next order for a zone after one whose outcome is unknown.
FAILED_RETRY_DELAY_S = 0.7
# Length of the sliding window for the peak. It spans several training steps,
# so that the number of servers does not change with each step.
PEAK_WINDOW_S = 60.0
# Percentage of the samples at the peak for which there is a slot.
PEAK_PERCENT = 80


class OrderState(enum.Enum):
    """The provider's response to an order."""

    ACCEPTED = "taken"
    REFUSED = "refused"


class OrderError(Exception):
    """The outcome of an order is unknown."""


@attrs.frozen
class Order:
    """The desired number of servers of a service in a zone.

    Attributes:
        service: The service.
        zone: The availability zone.
        number: The desired number of servers of this kind, spot or not.
        is_spot: Whether the provider may reclaim the servers.
    """

    service: str
    zone: str
    number: int
    is_spot: bool = False


class Provider(Protocol):
    """Accepts orders for servers."""

    async def order(self, order: Order, holder: locks.Holder) -> OrderState:
        """Sends an order on behalf of the holder of the duty.

        Raises:
            OrderError: If the outcome of the order is unknown.
        """
        ...


def wanted_by_zone(
    scaling: catalogue.Scaling, total: int, unavailable: set[str]
) -> dict[str, int]:
    """Distributes servers over the zones, the cheapest zones first.

    Each zone gets the minimum, also an unavailable one. The rest is added in
    turn, one server per available zone, up to the maximum.

    Args:
        scaling: Minimum and maximum per zone, and the zones' prices.
        total: Desired number of servers in all zones.
        unavailable: Zones in which no servers can be ordered at present.

    Returns:
        The desired number of servers by zone.
    """
    zones = sorted(
        scaling.zone_prices, key=lambda z: (scaling.zone_prices[z], z)
    )
    wanted = dict.fromkeys(zones, scaling.minimum)
    has_grown = True
    while sum(wanted.values()) < total and has_grown:
        has_grown = False
        for zone in zones:
            can_grow = (
                wanted[zone] < scaling.maximum and zone not in unavailable
            )
            if can_grow and sum(wanted.values()) < total:
                wanted[zone] += 1
                has_grown = True
    return wanted


@attrs.define
class Demand:
    """The peak demand for a service within the last ``PEAK_WINDOW_S``.

    Attributes:
        readings: Recent readings as (monotonic time, number of samples).
    """

    readings: list[tuple[float, int]] = attrs.field(factory=list)

    def record(self, now: float, samples: int) -> None:
        """Adds a reading and removes expired ones."""
        self.readings.append((now, samples))
        oldest = now - PEAK_WINDOW_S
        self.readings = [r for r in self.readings if r[0] >= oldest]

    def required_servers(self, slots: int) -> int:
        """Returns the number of servers required for the peak.

        Args:
            slots: Samples that one server runs at once.
        """
        peak = max((samples for _, samples in self.readings), default=0)
        return -(-peak * PEAK_PERCENT // (100 * max(1, slots)))


class Autoscaler:
    """Keeps enough servers ordered for the peak demand of a service.

    Orders are sent only while this node holds the duty for the service.

    Args:
        duty_lock: The lock for the duty of leading the service.
        servers: The registry of backend servers.
        provider: Accepts the orders.
        clock: The clock to use.
        get_catalogue: Returns the configuration in force, if any.
        get_demand: Returns the number of samples yet to be generated.

    Attributes:
        demand: Recent demand for the service.
        ordered: Number in the last accepted order, by zone; absent after a
            refused order.
        retry_at: Monotonic time from which a zone may get orders again.
        initial_servers: Number of ready servers when the first were found; the
            total does not fall below it.
    """

    def __init__(
        self,
        duty_lock: locks.DutyLock,
        servers: registry.ServerRegistry,
        provider: Provider,
        clock: clocks.Clock,
        get_catalogue: Callable[[], catalogue.Catalogue | None],
        get_demand: Callable[[], int],
    ) -> None:
        self.get_demand = get_demand
        self.demand = Demand()
        self.duty_lock = duty_lock
        self.servers = servers
        self.provider = provider
        self.clock = clock
        self.get_catalogue = get_catalogue
        self.ordered: dict[str, int] = {}
        self.retry_at: dict[str, float] = {}
        self.initial_servers = 0

    async def run_once(self) -> None:
        """Records the present demand and orders missing servers."""
        configured = self.get_catalogue()
        service = configured and configured.services.get(self.duty_lock.name)
        if not service or service.scaling is None:
            return
        now = self.clock.monotonic()
        present = [
            server
            for server in self.servers.list_servers(service.name)
            if server.entry.state is registry.ServerState.READY
        ]
        self.demand.record(now, self.get_demand())
        if not self.initial_servers:
            self.initial_servers = len(present)
        total = max(
            self.initial_servers, self.demand.required_servers(service.slots)
        )
        unavailable = {z for z, until in self.retry_at.items() if until > now}
        unavailable |= self.servers.evacuations.zones()
        wanted = wanted_by_zone(service.scaling, total, unavailable)
        for zone, number in wanted.items():
            present_in_zone = sum(
                server.entry.zone == zone for server in present
            )
            is_ordered = self.ordered.get(zone, present_in_zone) == number
            if zone not in unavailable and not (
                is_ordered and present_in_zone >= number
            ):
                await self._order(Order(service.name, zone, number))

    async def _order(self, order: Order) -> None:
        if self.ordered.get(order.zone) == order.number:
            return
        is_evacuated = self.servers.evacuations.is_evacuated(order.zone)
        if is_evacuated or not self.duty_lock.is_held():
            return
        now = self.clock.monotonic()
        try:
            state = await self.provider.order(order, self.duty_lock.holder())
        except OrderError as e:
            self.retry_at[order.zone] = now + FAILED_RETRY_DELAY_S
            events.log(
                events.Event.SERVERS_ORDERED,
                order=attrs.asdict(order),
                fence=self.duty_lock.fencing_token,
                outcome=str(e),
            )
            return
        if state is OrderState.ACCEPTED:
            self.ordered[order.zone] = order.number
        else:
            self.ordered.pop(order.zone, None)
            self.retry_at[order.zone] = now + REFUSED_RETRY_DELAY_S
        events.log(
            events.Event.SERVERS_ORDERED,
            order=attrs.asdict(order),
            fence=self.duty_lock.fencing_token,
            outcome=state.value,
        )
