"""A node's part in leading services and running their models' samples."""

from typing import TYPE_CHECKING

import trio

from kingcupscale import candidates
from kingcupscale import events
from kingcupscale.batches import coordinator as coordinators
from kingcupscale.batches import copying
from kingcupscale.batches import loader as loaders
from kingcupscale.batches import retention
from kingcupscale.capacity import fleetsize
from kingcupscale.peering import calls
from kingcupscale.peering import loads
from kingcupscale.storage import store as stores
from kingcupscale.storage import tenure as tenures

if TYPE_CHECKING:
    from kingcupscale import runtime as runtimes

DUTY_PAUSE_S = 0.2
HOLDER_PAUSE_S = 0.1
# A batch is kept this much longer than it has to be readable.
RETENTION_SLACK_S = 60.0
FORGET_PAUSE_S = 5.0
# With fewer nodes, the one that leads a service runs all of its models: it
# then knows every sample on the engines. One node can't carry larger fleets'.
MIN_NODES_TO_DISTRIBUTE = 8
# A node that has stopped running samples gives its lease back within this
# time, also to a slow store.
TAKEOVER_S = 3.0
# The node that runs samples sends a copy every 0.3 s; one that missed two is
# asked whether it lives, and this often again.
OVERDUE_S = 0.8
PROBE_PAUSE_S = 0.3


class ServiceDuty:
    """Giving one service's engines orders, and ordering engines.

    Args:
        runtime: The node.
        service: The service.
    """

    def __init__(self, runtime: "runtimes.Runtime", service: str) -> None:
        deps = runtime.dependencies
        self.runtime = runtime
        self.service = service
        self.tenure = tenures.Tenure(
            service, runtime.session, runtime.feed, deps.clock
        )
        self.coordinator = coordinators.Coordinator(
            service,
            runtime.book,
            runtime.server_registry,
            deps.servers,
            runtime.forwarder,
            runtime.metrics,
            deps.clock,
            runtime.current_catalogue,
            runtime.view,
        )
        self.loader = loaders.Loader(
            self.tenure,
            runtime.server_registry,
            deps.servers,
            runtime.cluster_state.target_versions,
            deps.clock,
            runtime.current_catalogue,
            self._tell,
        )
        self.sizer = fleetsize.Sizer(
            self.tenure,
            runtime.server_registry,
            deps.provider,
            deps.clock,
            runtime.current_catalogue,
            lambda: runtime.count_open_items(service),
        )
        self.nursery: trio.Nursery | None = None
        self.retention = retention.Retention(runtime.book, deps.clock)
        self.forgot_at = 0.0

    async def run(self) -> None:
        """Contends for the service and leads it while held."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.coordinator.run)

            async def work() -> None:
                await self.loader.step(nursery)
                if self.runtime.settings.orders_servers:
                    await self.sizer.step()
                await self._forget_old_batches()

            await tenures.hold(
                self.tenure,
                work,
                lambda: rank(self.runtime, self.tenure.name),
                DUTY_PAUSE_S,
            )

    async def _forget_old_batches(self) -> None:
        now = self.runtime.clock.monotonic()
        if now - self.forgot_at < FORGET_PAUSE_S:
            return
        self.forgot_at = now
        retention_s = self.runtime.settings.bounds.retention_s
        await self.retention.forget_older_than(retention_s + RETENTION_SLACK_S)

    def _tell(self, state: loads.LoadState) -> None:
        """Takes over a load's state and passes it on to the model's node."""
        self.runtime.apply_load_state(state)
        peers = self.runtime.peers
        holder = peers.holder(model_duty_name(self.service, state.model))
        address = peers.addresses().get(holder)
        if address and self.nursery is not None:
            self.nursery.start_soon(self._send, address, state)

    async def _send(self, address: str, state: loads.LoadState) -> None:
        try:
            await self.runtime.dependencies.loads.send(address, state)
        except calls.PeerError as e:
            # The engine's own entry and its refusals tell the same, later.
            events.log(events.Event.PEER_SILENT, address=address, reason=str(e))


def is_small_fleet(runtime: "runtimes.Runtime") -> bool:
    """Tells whether one node can run all models of a service."""
    return len(runtime.candidates.names()) < MIN_NODES_TO_DISTRIBUTE


def rank(runtime: "runtimes.Runtime", duty: str) -> int:
    """Returns this node's place among the candidates for a duty."""
    found = runtime.candidates
    is_small = is_small_fleet(runtime)
    return found.place(
        found.ranking(duty) if is_small else found.idle_ranking(duty)
    )


def model_duty_name(service: str, model: str) -> str:
    """Returns the name of the duty of running a model's samples."""
    return f"{service}/{model}"


class ModelDuty:
    """Running one model's samples on one service's engines.

    Args:
        runtime: The node.
        leader: This node's part in leading the service.
        model: The model.
    """

    def __init__(
        self, runtime: "runtimes.Runtime", leader: ServiceDuty, model: str
    ) -> None:
        deps = runtime.dependencies
        self.runtime = runtime
        self.leader = leader
        self.service = leader.service
        self.model = model
        self.coordinator = leader.coordinator
        self.taken_from = ""
        self.taken_until = 0.0
        self.heard_from = ""
        self.heard_at = 0.0
        self.probed_at = 0.0
        self.tenure = tenures.Tenure(
            model_duty_name(leader.service, model),
            runtime.session,
            runtime.feed,
            deps.clock,
        )
        self.copier = copying.Copier(
            self.coordinator,
            model,
            deps.copies,
            deps.clock,
            runtime.settings.node,
            self._find_successor,
            runtime.peers.mark_send_failed,
        )

    def needs_batches(self) -> bool:
        """Tells whether this node runs the model's batches, or would next."""
        node = self.runtime.settings.node
        holder = self.runtime.peers.holder(self.tenure.name)
        others = [name for name in self._ranking() if name != holder]
        return (
            holder == node
            or others[:1] == [node]
            or self.coordinator.is_active(self.model)
            or bool(self.coordinator.unlisted_samples(self.model))
        )

    async def hand_over(self) -> None:
        """Has the next node go on with the samples and stops running them."""
        if self.coordinator.is_active(self.model):
            await self.copier.hand_over()
        self.coordinator.set_active(self.model, False)

    def take_over(self, sender: str) -> None:
        """Goes on with the samples of a node that stops running them.

        Its lease may last a moment longer: running samples needs none.
        """
        self.taken_from = sender
        self.taken_until = self.runtime.clock.monotonic() + TAKEOVER_S
        self.coordinator.set_active(self.model, True)

    def note_heard(self, sender: str) -> None:
        """Notes that the node that runs the samples has sent a copy."""
        self.runtime.peers.mark_responsive(sender)
        self.heard_from = sender
        self.heard_at = self.runtime.clock.monotonic()

    def _is_overdue(self, holder: str) -> bool:
        """Tells whether a copy of the samples' texts should have come."""
        now = self.runtime.clock.monotonic()
        if holder != self.heard_from or now - self.heard_at <= OVERDUE_S:
            return False
        return now - self.probed_at > PROBE_PAUSE_S and any(
            record.is_open() and record.batch.model == self.model
            for record in self.runtime.book.records.values()
        )

    def _find_successor(self) -> tuple[str, str] | None:
        """Returns the node that runs the samples next, if not this one."""
        peers_known = self.runtime.peers
        holder = peers_known.holder(self.tenure.name)
        ranking = self._ranking()
        if holder and not self.tenure.is_held():
            ranking = [holder, *ranking]
        return peers_known.first_reachable(ranking)

    async def run(self) -> None:
        """Contends for the model and runs its samples while held."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_holder)
            nursery.start_soon(self.copier.run)
            await tenures.hold(
                self.tenure, self._do_nothing, self._rank, DUTY_PAUSE_S
            )

    async def _do_nothing(self) -> None:
        """Holding the duty is enough; the samples run by themselves."""

    def _rank(self) -> int:
        """Prefers the node that runs the samples, then ones without duty."""
        if self.coordinator.is_active(self.model):
            return 0
        if is_small_fleet(self.runtime) and self.leader.tenure.is_held():
            return 0
        return 1 + self.runtime.candidates.place(self._ranking())

    def _ranking(self) -> list[str]:
        """Returns the candidates, the preferred one first."""
        if is_small_fleet(self.runtime):
            return self.runtime.candidates.ranking(self.service)
        return self.runtime.candidates.idle_ranking(self.tenure.name)

    def _is_surplus(self) -> bool:
        """Tells whether an idle node of a large fleet is to run the samples.

        Nodes that start first find a small fleet and take all duties.
        """
        if is_small_fleet(self.runtime) or self.runtime.feed.is_lost:
            return False
        found = self.runtime.candidates
        surplus = candidates.find_surplus_duty(
            [*self.runtime.services, *self.runtime.models],
            found.holders(),
            found.node,
            found.names(),
        )
        return surplus == self.tenure.name

    async def _pass_on(self) -> None:
        """Has an idle node go on with the samples and take the duty."""
        target = self._find_successor()
        holders = self.runtime.candidates.holders()
        if target is None or target[0] in holders.values():
            return
        if not await self.copier.hand_over():
            return
        self.coordinator.set_active(self.model, False)
        try:
            await self.tenure.give_up()
        except stores.StoreError as e:
            events.log(
                events.Event.STORE_FAILED,
                duty=self.tenure.name,
                reason=e.reason,
            )

    async def _watch_holder(self) -> None:
        """Runs samples while holding the duty, or for a silent holder.

        A planned stop hands them over, and none are taken up from then on.
        """
        while not self.runtime.is_draining:
            holder = self.runtime.peers.holder(self.tenure.name)
            if self.tenure.is_held():
                self.coordinator.set_active(self.model, True)
                if self._is_surplus():
                    await self._pass_on()
            elif holder and holder != self.runtime.settings.node:
                if self._is_overdue(holder):
                    await self.runtime.peers.probe(holder)
                    self.probed_at = self.runtime.clock.monotonic()
                await self._follow_holder(holder)
            await self.runtime.clock.rest(HOLDER_PAUSE_S)

    async def _follow_holder(self, holder: str) -> None:
        if self._stands_in_for(holder):
            self.coordinator.set_active(self.model, True)
        elif self.coordinator.is_active(self.model):
            await self.hand_over()

    def _stands_in_for(self, holder: str) -> bool:
        """Tells whether this node runs the samples of a silent holder.

        Items may run twice, so this needs no lease; orders do.
        """
        now = self.runtime.clock.monotonic()
        if holder == self.taken_from and now < self.taken_until:
            return True
        if not self.runtime.peers.is_unresponsive(holder):
            return False
        others = [
            name
            for name in self._ranking()
            if name != holder and not self.runtime.peers.is_unresponsive(name)
        ]
        return others[:1] == [self.runtime.settings.node]
