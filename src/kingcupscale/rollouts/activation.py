"""Bringing published weights to a zone's engines."""

from collections.abc import Iterable

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import events
from kingcupscale.configuration import document
from kingcupscale.duties import journal as journals
from kingcupscale.duties import ordersender
from kingcupscale.providers import calls
from kingcupscale.providers import engine
from kingcupscale.rollouts import publication
from kingcupscale.serving import services
from kingcupscale.web import httpclient

STAGES_AT_A_TIME = 4
STAGE_PATIENCE_S = 60.0
STAGE_RETRY_S = 30.0
REFRESH_S = 30.0
QUARANTINE_S = 10.0
READS_AT_A_TIME = 16
ORDER_KIND = "engine"


@attrs.frozen
class Staging:
    """A version that an engine was told to read, and when."""

    version: int
    ordered_at: float


@attrs.define
class EngineView:
    """What the holder knows of one engine.

    Attributes:
        address: ``host:port``.
        state: What it last said of itself; None if it does not answer.
        read_at: Monotonic time of that.
        staging: What it was told to read, by trainer.
        quarantined_until: Monotonic time before which nothing is tried.
    """

    address: str
    state: engine.EngineState | None = None
    read_at: float = float("-inf")
    staging: dict[str, Staging] = attrs.field(factory=dict)
    quarantined_until: float = 0.0

    def active(self, trainer: str) -> int:
        """Returns the version it runs for a trainer."""
        return self.state.active.get(trainer, 0) if self.state else 0

    def is_staging(self, trainer: str, version: int) -> bool:
        """Tells whether it was told to read a version."""
        staging = self.staging.get(trainer)
        return staging is not None and staging.version == version

    def holds(self, trainer: str, version: int) -> bool:
        """Tells whether it runs a version or is ready to."""
        if self.state is None:
            return False
        is_staged = self.state.staged.get(trainer) == version
        return is_staged or self.active(trainer) >= version


class Activation:
    """Stages and activates versions in one zone, a round at a time.

    All zones stage first; when each has said so in the store, each activates
    by one small order an engine, so that all switch within seconds.

    Args:
        zone: The availability zone.
        pools: The services.
        publications: What is published and staged.
        http_client: Reaches the engines.
        order_sender: Sends the orders.
        clock: Tells the time.
        order_timeout_s: Longest time an order may be under way.
    """

    def __init__(
        self,
        zone: str,
        pools: services.Services,
        publications: publication.Publications,
        http_client: httpclient.HttpClient,
        order_sender: ordersender.OrderSender,
        clock: clocks.Clock,
        order_timeout_s: float,
    ) -> None:
        self.zone = zone
        self.pools = pools
        self.publications = publications
        self.http_client = http_client
        self.order_sender = order_sender
        self.clock = clock
        self.order_timeout_s = order_timeout_s
        self.views: dict[str, EngineView] = {}

    async def round(self) -> None:
        """Does what is next for every published version."""
        board = await self.publications.read()
        for head in board.heads.values():
            views = self._find_engines(head.service)
            await self._refresh(views, head)
            await self._stage(views, head)
            await self._tell_staged(views, head, board)
            if self._may_activate(head, board):
                await self._activate(views, head)

    def _find_engines(self, service: str) -> list[EngineView]:
        pool = self.pools.pools.get(service)
        if pool is None:
            return []
        servers = pool.router.servers.values()
        addresses = sorted(
            s.server.address
            for s in servers
            if s.server.zone == self.zone and not s.is_leaving
        )
        return [self.views.setdefault(a, EngineView(a)) for a in addresses]

    async def _refresh(
        self, views: list[EngineView], head: publication.Head
    ) -> None:
        now = self.clock.monotonic()
        limiter = trio.CapacityLimiter(READS_AT_A_TIME)
        async with trio.open_nursery() as nursery:
            for view in views:
                is_old = now - view.read_at > REFRESH_S
                is_waiting = head.trainer in view.staging
                if is_old or is_waiting:
                    nursery.start_soon(self._read, view, limiter)

    async def _read(
        self, view: EngineView, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            try:
                view.state = await engine.read_state(
                    self.http_client, view.address, self.order_timeout_s
                )
            except calls.PlatformError:
                view.state = None
            view.read_at = self.clock.monotonic()
        self._forget_staging(view)

    def _forget_staging(self, view: EngineView) -> None:
        """Lets an engine that did not get the weights be told again."""
        oldest = self.clock.monotonic() - STAGE_RETRY_S
        view.staging = {
            trainer: staging
            for trainer, staging in view.staging.items()
            if view.state is not None
            and not view.holds(trainer, staging.version)
            and staging.ordered_at > oldest
        }

    def _usable(self, views: Iterable[EngineView]) -> list[EngineView]:
        now = self.clock.monotonic()
        return [
            view
            for view in views
            if view.state is not None and now >= view.quarantined_until
        ]

    async def _stage(
        self, views: list[EngineView], head: publication.Head
    ) -> None:
        lacking = [
            view
            for view in self._usable(views)
            if not view.holds(head.trainer, head.version)
            and not view.is_staging(head.trainer, head.version)
        ]
        busy = sum(1 for view in views if view.staging)
        chosen = lacking[: max(0, STAGES_AT_A_TIME - busy)]
        await self._order(chosen, head, engine.OrderKind.STAGE)

    async def _order(
        self,
        views: list[EngineView],
        head: publication.Head,
        kind: engine.OrderKind,
    ) -> None:
        if not views:
            return
        orders = [self._make_order(view, head, kind) for view in views]
        for order in await self.order_sender.send_orders(orders, self.send):
            self._note(order, head, kind)

    def _make_order(
        self,
        view: EngineView,
        head: publication.Head,
        kind: engine.OrderKind,
    ) -> journals.JournalOrder:
        order_id = journals.new_order_id()
        order = engine.EngineOrder(
            order_id, 0, kind, head.trainer, head.version
        )
        return journals.JournalOrder(
            order_id,
            0,
            ORDER_KIND,
            view.address,
            codec.encode(order).decode(),
            self.clock.now(),
        )

    async def send(
        self, order: journals.JournalOrder, lease_check: ordersender.LeaseCheck
    ) -> ordersender.Outcome:
        """Sends one journalled order to its engine."""
        body = codec.decode(engine.EngineOrder, order.detail)
        state = await engine.send_order(
            self.http_client,
            order.target,
            attrs.evolve(body, epoch=order.epoch),
            self.order_timeout_s,
            lease_check,
        )
        view = self.views.setdefault(order.target, EngineView(order.target))
        view.state = state
        return ordersender.Outcome(state.accepted, state.reason)

    def _note(
        self,
        order: journals.JournalOrder,
        head: publication.Head,
        kind: engine.OrderKind,
    ) -> None:
        view = self.views[order.target]
        if order.state is not journals.OrderState.DONE:
            view.quarantined_until = self.clock.monotonic() + QUARANTINE_S
        elif kind is engine.OrderKind.STAGE:
            now = self.clock.monotonic()
            view.staging[head.trainer] = Staging(head.version, now)

    async def _tell_staged(
        self,
        views: list[EngineView],
        head: publication.Head,
        board: publication.Board,
    ) -> None:
        usable = self._usable(views)
        is_told = board.staged.get((head.trainer, self.zone)) == head.version
        if not usable or is_told:
            return
        if all(view.holds(head.trainer, head.version) for view in usable):
            await self.publications.mark_staged(
                board, head.trainer, self.zone, head.version
            )

    def _may_activate(
        self, head: publication.Head, board: publication.Board
    ) -> bool:
        age_s = (self.clock.now() - head.at).total_seconds()
        zones = self._zones_of(head.service)
        is_staged = all(
            board.staged.get((head.trainer, zone)) == head.version
            for zone in zones
        )
        return is_staged or age_s > STAGE_PATIENCE_S

    def _zones_of(self, service: str) -> set[str]:
        configured = self.pools.replica.document.services.get(service)
        if configured is None:
            return set()
        is_engine = configured.kind is document.ServiceKind.ENGINE
        servers = configured.backend_servers.values() if is_engine else ()
        return {server.zone for server in servers}

    async def _activate(
        self, views: list[EngineView], head: publication.Head
    ) -> None:
        waiting = [
            view
            for view in self._usable(views)
            if view.active(head.trainer) < head.version
            and view.holds(head.trainer, head.version)
        ]
        await self._order(waiting, head, engine.OrderKind.ACTIVATE)
        if waiting:
            events.log(
                events.Event.WEIGHTS_ACTIVATED,
                zone=self.zone,
                trainer=head.trainer,
                version=head.version,
                engines=len(waiting),
            )
