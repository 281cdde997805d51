"""Deploys published weight versions to the engines of an availability zone.

Owns a zone's view of its engines and decides when each engine stages (loads)
and activates a version.
"""

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

MAX_CONCURRENT_STAGINGS = 4
STAGE_TIMEOUT_S = 60.0
STAGE_RETRY_S = 30.0
REFRESH_S = 30.0
QUARANTINE_S = 10.0
MAX_CONCURRENT_READS = 16
ORDER_KIND = "engine"


@attrs.frozen
class StagingOrder:
    """A version that an engine was ordered to stage, and when."""

    version: int
    ordered_at: float


@attrs.define
class EngineStatus:
    """The lease holder's view of one engine.

    Attributes:
        address: ``host:port``.
        state: The last state it reported; None if it does not respond.
        read_at: Monotonic time of the last read.
        staging: Pending staging orders by trainer.
        quarantined_until: Monotonic time until which it gets no orders.
    """

    address: str
    state: engine.EngineState | None = None
    read_at: float = float("-inf")
    staging: dict[str, StagingOrder] = attrs.field(factory=dict)
    quarantined_until: float = 0.0

    def active(self, trainer: str) -> int:
        """Returns a trainer's active version, 0 if there is none."""
        return self.state.active.get(trainer, 0) if self.state else 0

    def is_staging(self, trainer: str, version: int) -> bool:
        """Returns whether it was ordered to stage a version."""
        staging = self.staging.get(trainer)
        return staging is not None and staging.version == version

    def has_version(self, trainer: str, version: int) -> bool:
        """Returns whether it has staged a version or runs it or a newer one."""
        if self.state is None:
            return False
        is_staged = self.state.staged.get(trainer) == version
        return is_staged or self.active(trainer) >= version


class WeightActivator:
    """Stages and activates versions in one zone.

    Activation starts once every zone has recorded in the store that it staged
    the version, or after ``STAGE_TIMEOUT_S``. It takes only one small order
    per engine, so that all engines switch within seconds.

    Args:
        zone: The availability zone.
        pools: The services and their servers.
        publications: Published and staged versions.
        http_client: Sends the requests to the engines.
        order_sender: Sends the orders.
        clock: Source of the time.
        order_timeout_s: Maximum time that an order is in flight, in seconds.
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
        self.engines: dict[str, EngineStatus] = {}

    async def run_once(self) -> None:
        """Runs the next stage or activation of every published version."""
        state = await self.publications.read()
        for published in state.published.values():
            statuses = self._find_engines(published.service)
            await self._refresh(statuses, published)
            await self._stage(statuses, published)
            await self._report_staged(statuses, published, state)
            if self._can_activate(published, state):
                await self._activate(statuses, published)

    def _find_engines(self, service: str) -> list[EngineStatus]:
        pool = self.pools.pools.get(service)
        if pool is None:
            return []
        servers = pool.router.servers.values()
        addresses = sorted(
            s.server.address
            for s in servers
            if s.server.zone == self.zone and not s.is_leaving
        )
        return [self.engines.setdefault(a, EngineStatus(a)) for a in addresses]

    async def _refresh(
        self,
        statuses: list[EngineStatus],
        published: publication.PublishedVersion,
    ) -> None:
        now = self.clock.monotonic()
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_READS)
        async with trio.open_nursery() as nursery:
            for status in statuses:
                is_old = now - status.read_at > REFRESH_S
                is_waiting = published.trainer in status.staging
                if is_old or is_waiting:
                    nursery.start_soon(self._read, status, limiter)

    async def _read(
        self, status: EngineStatus, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            try:
                status.state = await engine.read_state(
                    self.http_client, status.address, self.order_timeout_s
                )
            except calls.PlatformError:
                status.state = None
            status.read_at = self.clock.monotonic()
        self._expire_staging(status)

    def _expire_staging(self, status: EngineStatus) -> None:
        """Drops staging orders that are completed or have to be sent again.

        They are sent again after ``STAGE_RETRY_S`` or if the engine did not
        respond.
        """
        oldest = self.clock.monotonic() - STAGE_RETRY_S
        status.staging = {
            trainer: staging
            for trainer, staging in status.staging.items()
            if status.state is not None
            and not status.has_version(trainer, staging.version)
            and staging.ordered_at > oldest
        }

    def _usable(self, statuses: Iterable[EngineStatus]) -> list[EngineStatus]:
        now = self.clock.monotonic()
        return [
            status
            for status in statuses
            if status.state is not None and now >= status.quarantined_until
        ]

    async def _stage(
        self,
        statuses: list[EngineStatus],
        published: publication.PublishedVersion,
    ) -> None:
        missing = [
            status
            for status in self._usable(statuses)
            if not status.has_version(published.trainer, published.version)
            and not status.is_staging(published.trainer, published.version)
        ]
        busy = sum(1 for status in statuses if status.staging)
        chosen = missing[: max(0, MAX_CONCURRENT_STAGINGS - busy)]
        await self._order(chosen, published, engine.OrderKind.STAGE)

    async def _order(
        self,
        statuses: list[EngineStatus],
        published: publication.PublishedVersion,
        kind: engine.OrderKind,
    ) -> None:
        if not statuses:
            return
        orders = [
            self._make_order(status, published, kind) for status in statuses
        ]
        for order in await self.order_sender.send_orders(orders, self.send):
            self._record_outcome(order, published, kind)

    def _make_order(
        self,
        status: EngineStatus,
        published: publication.PublishedVersion,
        kind: engine.OrderKind,
    ) -> journals.JournalOrder:
        order_id = journals.new_order_id()
        order = engine.EngineOrder(
            order_id, 0, kind, published.trainer, published.version
        )
        return journals.JournalOrder(
            order_id,
            0,
            ORDER_KIND,
            status.address,
            codec.encode(order).decode(),
            self.clock.now(),
        )

    async def send(
        self, order: journals.JournalOrder, lease_check: ordersender.LeaseCheck
    ) -> ordersender.Outcome:
        """Sends one order from the journal to its engine."""
        body = codec.decode(engine.EngineOrder, order.detail)
        state = await engine.send_order(
            self.http_client,
            order.target,
            attrs.evolve(body, epoch=order.epoch),
            self.order_timeout_s,
            lease_check,
        )
        status = self.engines.setdefault(
            order.target, EngineStatus(order.target)
        )
        status.state = state
        return ordersender.Outcome(state.accepted, state.reason)

    def _record_outcome(
        self,
        order: journals.JournalOrder,
        published: publication.PublishedVersion,
        kind: engine.OrderKind,
    ) -> None:
        status = self.engines[order.target]
        if order.state is not journals.OrderState.DONE:
            status.quarantined_until = self.clock.monotonic() + QUARANTINE_S
        elif kind is engine.OrderKind.STAGE:
            now = self.clock.monotonic()
            status.staging[published.trainer] = StagingOrder(
                published.version, now
            )

    async def _report_staged(
        self,
        statuses: list[EngineStatus],
        published: publication.PublishedVersion,
        state: publication.PublicationState,
    ) -> None:
        usable = self._usable(statuses)
        is_reported = (
            state.staged.get((published.trainer, self.zone))
            == published.version
        )
        if not usable or is_reported:
            return
        if all(
            status.has_version(published.trainer, published.version)
            for status in usable
        ):
            await self.publications.mark_staged(
                state, published.trainer, self.zone, published.version
            )

    def _can_activate(
        self,
        published: publication.PublishedVersion,
        state: publication.PublicationState,
    ) -> bool:
        age_s = (self.clock.now() - published.at).total_seconds()
        zones = self._zones_of(published.service)
        is_staged = all(
            state.staged.get((published.trainer, zone)) == published.version
            for zone in zones
        )
        return is_staged or age_s > STAGE_TIMEOUT_S

    def _zones_of(self, service: str) -> set[str]:
        configured = self.pools.replica.document.services.get(service)
        if configured is None:
            return set()
        is_engine = configured.kind is document.ServiceKind.ENGINE
        servers = configured.backend_servers.values() if is_engine else ()
        return {server.zone for server in servers}

    async def _activate(
        self,
        statuses: list[EngineStatus],
        published: publication.PublishedVersion,
    ) -> None:
        waiting = [
            status
            for status in self._usable(statuses)
            if status.active(published.trainer) < published.version
            and status.has_version(published.trainer, published.version)
        ]
        await self._order(waiting, published, engine.OrderKind.ACTIVATE)
        if waiting:
            events.log(
                events.Event.WEIGHTS_ACTIVATED,
                zone=self.zone,
                trainer=published.trainer,
                version=published.version,
                engines=len(waiting),
            )
