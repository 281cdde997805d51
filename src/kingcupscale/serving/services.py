"""The services that a node routes to, updated from the configuration."""

import random

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.configuration import document
from kingcupscale.configuration import replica as replicas
from kingcupscale.serving import retrybudget
from kingcupscale.serving import routing
from kingcupscale.serving import scheduler


class ServicePool:
    """Routing state of one service on one node.

    Attributes:
        name: Name of the service.
        service: Configuration of the service.
        router: Chooses the servers.
        scheduler: Queues the requests.
        retry_budget: Limits the retries.
    """

    def __init__(
        self, name: str, node: str, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self.name = name
        self.service = document.Service(document.ServiceKind.PLAIN)
        self.router = routing.Router(node, clock, rng)
        self.scheduler = scheduler.Scheduler(self.router, clock)
        self.retry_budget = retrybudget.RetryBudget(clock)


class Services:
    """All services on one node.

    Args:
        replica: The node's replica of the configuration.
        clock: Source of the time.
        rng: Random source for the choice among servers.
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
        """Applies the current configuration."""
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
        """Returns the service of a name and kind.

        Raises:
            ServiceError: ``ROUTE_UNKNOWN`` if there is none.
        """
        pool = self.pools.get(name)
        if pool is None or pool.service.kind is not kind:
            raise errors.ServiceError(
                errors.ResultCode.ROUTE_UNKNOWN,
                f"no {kind.value} service named {name[:64]!r}",
            )
        return pool

    async def run(self) -> None:
        """Dispatches queued requests of all services until cancelled.

        Runs at an interval because a server can also become usable with time
        alone, when its ejection ends or a load report loses its weight.
        """
        while True:
            await self.clock.sleep(scheduler.DISPATCH_INTERVAL_S)
            for pool in list(self.pools.values()):
                pool.scheduler.dispatch()
