"""The services a node routes to, kept as the configuration says."""

import random

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.configuration import document
from kingcupscale.configuration import replica as replicas
from kingcupscale.serving import retrybudget
from kingcupscale.serving import routing
from kingcupscale.serving import scheduler


class ServicePool:
    """One service on one node.

    Attributes:
        name: The service's name.
        service: Its configuration.
        router: Chooses servers.
        scheduler: Gives requests their turn.
        budget: Bounds the retries.
    """

    def __init__(
        self, name: str, node: str, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self.name = name
        self.service = document.Service(document.ServiceKind.PLAIN)
        self.router = routing.Router(node, clock, rng)
        self.scheduler = scheduler.Scheduler(self.router, clock)
        self.budget = retrybudget.RetryBudget(clock)


class Services:
    """All services on one node.

    Args:
        replica: The node's configuration.
        clock: Tells the time.
        rng: Chooses among equals.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.replica = replica
        self.clock = clock
        self.rng = rng
        self.pools: dict[str, ServicePool] = {}
        replica.listeners.append(self.update)

    def update(self) -> None:
        """Takes over the configuration in force."""
        services = self.replica.document.services
        for name in self.pools.keys() - services.keys():
            self.pools.pop(name).router.update({}, set())
        for name, service in services.items():
            if name not in self.pools:
                self.pools[name] = ServicePool(
                    name, self.replica.node, self.clock, self.rng
                )
            pool = self.pools[name]
            pool.service = service
            pool.router.update(self._servers(name), self.replica.leaving)
            pool.scheduler.dispatch()

    def _servers(self, name: str) -> dict[str, document.BackendServer]:
        configured = dict(self.replica.document.services[name].backend_servers)
        for server, entry in self.replica.document.ordered.items():
            if entry.service == name:
                configured[server] = entry.server
        return configured

    def get(self, name: str, kind: document.ServiceKind) -> ServicePool:
        """Returns a service of a kind.

        Raises:
            ServiceError: ``ROUTE_UNKNOWN`` if there is none by that name.
        """
        pool = self.pools.get(name)
        if pool is None or pool.service.kind is not kind:
            raise errors.ServiceError(
                errors.ResultCode.ROUTE_UNKNOWN,
                f"no {kind.value} service named {name[:64]!r}",
            )
        return pool

    async def run(self) -> None:
        """Runs the queues of all services until cancelled."""
        while True:
            await self.clock.sleep(scheduler.TICK_S)
            for pool in list(self.pools.values()):
                pool.scheduler.dispatch()
