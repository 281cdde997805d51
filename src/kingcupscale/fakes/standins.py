"""Serving the stand-ins over HTTP on loopback."""

from typing import Any

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import settings
from kingcupscale.fakes import engine
from kingcupscale.fakes import world as worlds
from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server

ANY_PORT = "127.0.0.1:0"
SPARES = 8
LIMITS = limits.constant(limits.Limits(body_bytes=16 * 1024 * 1024))


@attrs.frozen
class StandinSettings:
    """Where the stand-ins of the platform listen.

    Attributes:
        platform: Addresses of the platform's interfaces.
        configuration: TOML file that names the backend servers.
    """

    platform: settings.Platform
    configuration: str


class _Deferred:
    """A listener's handler, known only after the listener's address."""

    def __init__(self) -> None:
        self.handler: message.Handler | None = None

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers one request."""
        if self.handler is None:
            raise errors.ServiceError(errors.ResultCode.NOT_READY)
        return await self.handler(request)


class Standins:
    """A world served over HTTP.

    Args:
        tables: The configuration. A backend server with port 0 gets one from
            the system, and the tables are changed to name it.
        platform: Where the platform listens; None lets the system choose.
        engine_settings: Speed and size of the engines.

    Attributes:
        world: The stand-ins, once they run.
        platform: Where the platform listens, once it does.
    """

    def __init__(
        self,
        tables: dict[str, Any],
        platform: settings.Platform | None = None,
        engine_settings: engine.EngineSettings | None = None,
    ) -> None:
        self.tables = tables
        self.platform = platform
        self.engine_settings = engine_settings
        self.http_client = httpclient.PooledHttpClient()
        self.clock = clocks.SystemClock()
        self.scopes: dict[str, trio.CancelScope] = {}
        self.listeners: dict[str, _Deferred] = {}
        self.spares: list[tuple[str, str]] = []
        self.world: worlds.World | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            await self._listen(nursery)
            self.world = self._make_world()
            handlers = {
                **self.world.platform_handlers(),
                **self.world.server_handlers(),
            }
            for name, handler in handlers.items():
                self.listeners[name].handler = handler
            nursery.start_soon(self.world.run)
            task_status.started()

    async def _listen(self, nursery: trio.Nursery) -> None:
        binds = dict.fromkeys(attrs.fields_dict(settings.Platform), ANY_PORT)
        if self.platform is not None:
            binds = attrs.asdict(self.platform)
        for name in binds:
            binds[name] = await nursery.start(self._serve, name, binds[name])
        self.platform = settings.Platform(**binds)
        for service in self.tables["services"].values():
            for name, server_ in service.get("backend_servers", {}).items():
                server_["address"] = await nursery.start(
                    self._serve, name, server_["address"]
                )
        for number in range(SPARES):
            name = f"spare-{number}"
            address = await nursery.start(self._serve, name, ANY_PORT)
            self.spares.append((name, address))

    async def _serve(
        self, name: str, bind: str, task_status: trio.TaskStatus[str]
    ) -> None:
        self.listeners[name] = _Deferred()
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            await server.serve(
                self.listeners[name],
                bind,
                LIMITS,
                trio.sleep_forever,
                task_status=task_status,
            )

    def _make_world(self) -> worlds.World:
        if self.platform is None:
            raise RuntimeError("the stand-ins do not listen yet")
        return worlds.World(
            self.clock,
            self.tables,
            self.http_client,
            self.platform.weights,
            self._launch,
            self.engine_settings,
        )

    def _launch(self, name: str, handler: message.Handler, zone: str) -> str:
        spare, address = self.spares.pop()
        self.listeners[spare].handler = handler
        return address

    def crash(self, name: str) -> None:
        """Ends a backend server without warning."""
        self.scopes[name].cancel()
