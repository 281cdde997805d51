"""How many servers a service should have in each availability zone.

Answers load that comes in steps while servers may be reclaimed a whole zone
at a time: a few spare servers cost little, a missing one costs whole steps,
so the number is held above the need and what a zone loses is ordered in the
others at once.
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

# Pause after a refused order before the same zone is asked again.
REFUSED_PAUSE_S = 2.0
FAILED_PAUSE_S = 0.7
# Peaks are remembered for this long, so that the number does not follow each
# step of a trainer.
MEMORY_S = 60.0
# Percentage of the samples at a peak that find a slot at once.
PEAK_PERCENT = 80


class OrderState(enum.Enum):
    """What became of an order."""

    ACCEPTED = "taken"
    REFUSED = "refused"


class OrderError(Exception):
    """An order whose fate is not known."""


@attrs.frozen
class Order:
    """A number of servers for a service in a zone.

    Attributes:
        service: The service.
        zone: The availability zone.
        number: How many there should be of this kind.
        is_spot: Whether they may be reclaimed.
    """

    service: str
    zone: str
    number: int
    is_spot: bool = False


class Provider(Protocol):
    """Takes orders for servers."""

    async def order(self, order: Order, holder: locks.Holder) -> OrderState:
        """Orders servers.

        Raises:
            OrderError: If the order's fate is not known.
        """
        ...


def wanted_by_zone(
    scaling: catalogue.Scaling, total: int, closed: set[str]
) -> dict[str, int]:
    """Spreads a number of servers over zones, the cheapest ones first.

    Args:
        scaling: Bounds and prices.
        total: How many servers there should be in all.
        closed: Zones that have none to give at the moment.
    """
    zones = sorted(
        scaling.zone_prices, key=lambda z: (scaling.zone_prices[z], z)
    )
    wanted = dict.fromkeys(zones, scaling.minimum)
    is_room = True
    while sum(wanted.values()) < total and is_room:
        is_room = False
        for zone in zones:
            has_room = wanted[zone] < scaling.maximum and zone not in closed
            if has_room and sum(wanted.values()) < total:
                wanted[zone] += 1
                is_room = True
    return wanted


@attrs.define
class Demand:
    """The most that was asked of a service within a while.

    Attributes:
        readings: Recent readings as (monotonic time, samples).
    """

    readings: list[tuple[float, int]] = attrs.field(factory=list)

    def record(self, now: float, samples: int) -> None:
        """Adds a reading and drops old ones."""
        self.readings.append((now, samples))
        oldest = now - MEMORY_S
        self.readings = [r for r in self.readings if r[0] >= oldest]

    def required_servers(self, slots: int) -> int:
        """Returns how many servers the peak asks for."""
        peak = max((samples for _, samples in self.readings), default=0)
        return -(-peak * PEAK_PERCENT // (100 * max(1, slots)))


class Autoscaler:
    """Keeps a service at the size that its peaks need, while it is ours.

    Args:
        duty_lock: The duty of ordering for the service.
        servers: The backend servers.
        provider: Takes the orders.
        clock: Tells the time.
        catalogue_now: Returns the configuration in force.
        demand_now: Returns how many samples are to be generated.
    """

    def __init__(
        self,
        duty_lock: locks.DutyLock,
        servers: registry.ServerRegistry,
        provider: Provider,
        clock: clocks.Clock,
        catalogue_now: Callable[[], catalogue.Catalogue | None],
        demand_now: Callable[[], int],
    ) -> None:
        self.demand_now = demand_now
        self.demand = Demand()
        self.duty_lock = duty_lock
        self.servers = servers
        self.provider = provider
        self.clock = clock
        self.catalogue_now = catalogue_now
        self.ordered: dict[str, int] = {}
        self.not_before: dict[str, float] = {}
        self.initial = 0

    async def run_once(self) -> None:
        """Orders what is missing."""
        configured = self.catalogue_now()
        service = configured and configured.services.get(self.duty_lock.name)
        if not service or service.scaling is None:
            return
        now = self.clock.monotonic()
        present = [
            server
            for server in self.servers.list_servers(service.name)
            if server.entry.state is registry.ServerState.READY
        ]
        self.demand.record(now, self.demand_now())
        if not self.initial:
            self.initial = len(present)
        total = max(self.initial, self.demand.required_servers(service.slots))
        closed = {z for z, until in self.not_before.items() if until > now}
        wanted = wanted_by_zone(service.scaling, total, closed)
        for zone, number in wanted.items():
            here = sum(server.entry.zone == zone for server in present)
            is_known = self.ordered.get(zone, here) == number
            if zone not in closed and not (is_known and here >= number):
                await self._order(Order(service.name, zone, number))

    async def _order(self, order: Order) -> None:
        if self.ordered.get(order.zone) == order.number:
            return
        if not self.duty_lock.is_held():
            return
        now = self.clock.monotonic()
        try:
            state = await self.provider.order(order, self.duty_lock.holder())
        except OrderError as e:
            self.not_before[order.zone] = now + FAILED_PAUSE_S
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
            self.not_before[order.zone] = now + REFUSED_PAUSE_S
        events.log(
            events.Event.SERVERS_ORDERED,
            order=attrs.asdict(order),
            fence=self.duty_lock.fencing_token,
            outcome=state.value,
        )
