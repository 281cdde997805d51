"""Everything around the nodes of one deployment, as stand-ins."""

from collections.abc import Callable
from typing import Any

import trio

from kingcupscale import clock as clocks
from kingcupscale.configuration import check
from kingcupscale.configuration import document
from kingcupscale.fakes import capacityprovider
from kingcupscale.fakes import engine
from kingcupscale.fakes import keyvalue
from kingcupscale.fakes import service
from kingcupscale.fakes import usageintake
from kingcupscale.fakes import vmlist
from kingcupscale.fakes import weightstore
from kingcupscale.providers import vmlist as vms
from kingcupscale.web import httpclient
from kingcupscale.web import message

VM_LIST_LAG_S = 1.0

Launcher = Callable[[str, message.Handler, str], str]


class World:
    """The platform and the backend servers of one deployment.

    Args:
        clock: Tells the time.
        tables: The operators' configuration; names the backend servers.
        http_client: How engines reach the weight store.
        weights_address: ``host:port`` of the weight store.
        launch: Serves a backend server that the platform starts; given its
            name, its handler and its zone, returns its ``host:port``.
        engine_settings: Speed and size of the engines.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        tables: dict[str, Any],
        http_client: httpclient.HttpClient,
        weights_address: str,
        launch: Launcher,
        engine_settings: engine.EngineSettings | None = None,
    ) -> None:
        self.clock = clock
        self.document = check.check(tables)
        self.http_client = http_client
        self.weights_address = weights_address
        self.launch = launch
        self.engine_settings = engine_settings or engine.EngineSettings()
        self.store = keyvalue.FakeKeyValueStore(clock)
        self.intake = usageintake.FakeUsageIntake()
        self.directory = vmlist.FakeVmList(clock, VM_LIST_LAG_S)
        self.weights = weightstore.FakeWeightStore(clock)
        self.capacity = capacityprovider.FakeCapacityProvider(
            clock, self._launch
        )
        self.engines: dict[str, engine.FakeEngine] = {}
        self.services: dict[str, service.FakeService] = {}
        self.nursery: trio.Nursery | None = None
        self._make_servers()

    def _make_servers(self) -> None:
        for configured in self.document.services.values():
            for name, server in configured.backend_servers.items():
                self._make_server(name, configured.kind)
                self.directory.add(
                    vms.Vm(server.address, server.zone, vms.VmState.LIVE)
                )

    def _make_server(
        self, name: str, kind: document.ServiceKind
    ) -> message.Handler:
        if kind is document.ServiceKind.PLAIN:
            self.services[name] = service.FakeService(self.clock)
            return self.services[name]
        self.engines[name] = engine.FakeEngine(
            self.clock,
            self.engine_settings,
            self.http_client,
            self.weights_address,
        )
        if self.nursery is not None:
            self.nursery.start_soon(self.engines[name].run)
        return self.engines[name]

    def _launch(self, name: str, service_name: str, zone: str) -> str:
        kind = self.document.services[service_name].kind
        handler = self._make_server(name, kind)
        return self.launch(name, handler, zone)

    def platform_handlers(self) -> dict[str, message.Handler]:
        """Returns the platform's handlers by name in the settings."""
        return {
            "key_value": self.store,
            "vm_list": self.directory,
            "capacity": self.capacity,
            "usage": self.intake,
            "weights": self.weights,
        }

    def server_handlers(self) -> dict[str, message.Handler]:
        """Returns the backend servers' handlers by name."""
        return {**self.engines, **self.services}

    async def run(self) -> None:
        """Runs the engines' background work until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for fake in list(self.engines.values()):
                nursery.start_soon(fake.run)
            await trio.sleep_forever()

    def headers_seen(self) -> set[str]:
        """Returns every header value that reached a backend server."""
        fakes = [*self.engines.values(), *self.services.values()]
        return set().union(*(fake.headers_seen for fake in fakes))
