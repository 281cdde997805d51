"""Starts and stops the ordered servers of a zone.

The zone scaler applies the scaling rule of each service, sends each order
through the journal so that it takes effect once, and keeps the configuration's
list of ordered servers equal to the provider's.
"""

from typing import Any

import attrs

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale.capacity import scaling
from kingcupscale.configuration import document
from kingcupscale.configuration import editor as editors
from kingcupscale.duties import journal as journals
from kingcupscale.duties import ordersender
from kingcupscale.providers import capacityprovider
from kingcupscale.serving import services

ORDER_KIND = "capacity"
# Time between marking a server as leaving and the order to stop it.
DRAIN_PERIOD_S = 10.0


class ZoneScaler:
    """Keeps the number of a zone's servers at what the scaling rules say.

    Args:
        zone: The availability zone.
        pools: The services and their server pools.
        provider: Accepts the orders.
        editor: Adds ordered servers to the configuration.
        order_sender: Records the orders in the journal and sends them.
        clock: The clock to use.

    Attributes:
        rules: The scaling rule of each service.
        draining: Monotonic time at which draining began, by server name.
    """

    def __init__(
        self,
        zone: str,
        pools: services.Services,
        provider: capacityprovider.CapacityProvider,
        editor: editors.Editor,
        order_sender: ordersender.OrderSender,
        clock: clocks.Clock,
    ) -> None:
        self.zone = zone
        self.pools = pools
        self.provider = provider
        self.editor = editor
        self.order_sender = order_sender
        self.clock = clock
        self.rules: dict[str, scaling.ScalingRule] = {}
        self.draining: dict[str, float] = {}

    async def run_once(self) -> None:
        """Starts, drains and stops servers of all services with scaling."""
        configured = self.pools.replica.document.services
        scaled = {n: s for n, s in configured.items() if s.scaling}
        if not scaled or self.zone not in self.pools.replica.document.zones:
            return
        listed = (await self.provider.list(self.zone)).servers
        await self._update_configuration(listed)
        for name, service in scaled.items():
            own_servers = [
                s for s in listed if s.service == name and not s.leaving
            ]
            await self._scale(name, service, own_servers)
        await self._stop_drained(listed)

    async def _scale(
        self,
        name: str,
        service: document.Service,
        servers: list[capacityprovider.OrderedServer],
    ) -> None:
        remaining = [s for s in servers if s.name not in self.draining]
        rule = self._find_rule(name, service)
        load = self._measure_load(name, len(remaining))
        wanted = rule.decide(load, self.clock.monotonic())
        if wanted > len(remaining) and service.scaling is not None:
            await self._start(name, service.scaling.cheap)
        elif wanted < len(remaining):
            self._drain(remaining[-1])

    def _find_rule(
        self, name: str, service: document.Service
    ) -> scaling.ScalingRule:
        replica = self.pools.replica
        if service.scaling is None:
            raise ValueError(
                f"expected scaling settings of service {name}, found none"
            )
        rule = self.rules.get(name)
        if rule is None or rule.scaling != service.scaling:
            zone = replica.document.zones[self.zone]
            cost = zone.server_cost_per_hour
            if service.scaling.cheap:
                cost = zone.cheap_cost_per_hour
            target = replica.document.classes[service.scaling.service_class]
            rule = scaling.ScalingRule(service.scaling, target, cost)
            self.rules[name] = rule
        return rule

    def _measure_load(self, name: str, ordered: int) -> scaling.ServiceLoad:
        pool = self.pools.pools[name]
        now = self.clock.monotonic()
        servers = [s for s in pool.router.servers.values() if not s.is_leaving]
        utilisation = sum(s.utilisation(now) for s in servers)
        rule = self.rules[name]
        return scaling.ServiceLoad(
            utilisation / max(1, len(servers)),
            pool.scheduler.expected_wait_s(rule.target),
            ordered,
        )

    async def _start(self, service: str, cheap: bool) -> None:
        order = capacityprovider.CapacityOrder(
            journals.new_order_id(),
            0,
            self.zone,
            service,
            capacityprovider.Action.START,
            cheap,
        )
        await self._order(order)

    def _drain(self, server: capacityprovider.OrderedServer) -> None:
        self.pools.replica.mark_leaving({server.address})
        self.draining[server.name] = self.clock.monotonic()

    async def _stop_drained(
        self, listed: list[capacityprovider.OrderedServer]
    ) -> None:
        now = self.clock.monotonic()
        for server in listed:
            since = self.draining.get(server.name)
            if since is None or now < since + DRAIN_PERIOD_S:
                continue
            order = capacityprovider.CapacityOrder(
                journals.new_order_id(),
                0,
                self.zone,
                server.service,
                capacityprovider.Action.STOP,
                server.cheap,
                server.name,
            )
            await self._order(order)
            del self.draining[server.name]

    async def _order(self, order: capacityprovider.CapacityOrder) -> None:
        entry = journals.JournalOrder(
            order.order_id,
            0,
            ORDER_KIND,
            order.service,
            codec.encode(order).decode(),
            self.clock.now(),
        )
        await self.order_sender.send_orders([entry], self.send)

    async def send(
        self, order: journals.JournalOrder, lease_check: ordersender.LeaseCheck
    ) -> ordersender.Outcome:
        """Sends one order from the journal to the capacity provider."""
        body = codec.decode(capacityprovider.CapacityOrder, order.detail)
        response = await self.provider.order(
            attrs.evolve(body, epoch=order.epoch), lease_check
        )
        text = response.server if response.accepted else response.reason
        return ordersender.Outcome(response.accepted, text)

    async def _update_configuration(
        self, listed: list[capacityprovider.OrderedServer]
    ) -> None:
        """Makes the configuration list exactly the servers that exist.

        Servers that are about to be reclaimed are marked as leaving first.
        """
        leaving = {s.address for s in listed if s.leaving}
        if leaving and self.pools.replica.mark_leaving(leaving):
            await self.editor.replicator.push()
        present = self.pools.replica.document.ordered
        wanted = {s.name: self._make_configuration_entry(s) for s in listed}
        removed = [
            name
            for name, entry in present.items()
            if entry.server.zone == self.zone and name not in wanted
        ]
        entries: dict[str, Any] = {
            f"{document.ORDERED_TABLE}/{name}": entry
            for name, entry in wanted.items()
            if name not in present
        }
        entries.update({f"{document.ORDERED_TABLE}/{n}": None for n in removed})
        if entries:
            await self.editor.propose(
                editors.Proposal(
                    entries,
                    self.pools.replica.revision,
                    editors.SYSTEM_OPERATOR,
                    f"servers of {self.zone} as ordered",
                )
            )

    def _make_configuration_entry(
        self, server: capacityprovider.OrderedServer
    ) -> dict[str, Any]:
        service = self.pools.replica.document.services.get(server.service)
        slots = 1
        if service is not None and service.scaling is not None:
            slots = service.scaling.slots
        return {
            "service": server.service,
            "server": {
                "address": server.address,
                "zone": server.zone,
                "slots": slots,
                "cheap": server.cheap,
            },
        }
