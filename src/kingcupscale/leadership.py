"""Duties: roles that one node holds at a time, under a lease in the store.

The holder of a ``ServiceDuty`` leads a service: it orders the service's engines
to load weights, orders servers and deletes expired batches. The holder of a
``ModelDuty`` runs the samples of one model on these engines.
"""

from typing import TYPE_CHECKING

import trio

from kingcupscale import candidates
from kingcupscale import events
from kingcupscale.batches import coordinator as coordinators
from kingcupscale.batches import loader as loaders
from kingcupscale.batches import retention
from kingcupscale.batches import samplereplication
from kingcupscale.capacity import autoscaler
from kingcupscale.peering import calls
from kingcupscale.peering import weightloads
from kingcupscale.storage import locks
from kingcupscale.storage import store as stores

if TYPE_CHECKING:
    from kingcupscale import runtime as runtimes

DUTY_INTERVAL_S = 0.2
HOLDER_CHECK_INTERVAL_S = 0.1
# A batch is stored this much longer than it must stay readable.
RETENTION_MARGIN_S = 60.0
RETENTION_INTERVAL_S = 5.0
# With fewer nodes, the leader of a service runs all of its models, so that it
# knows every sample on the engines. One node cannot carry the load of a larger
# fleet, so there the duties are distributed.
MIN_NODES_TO_DISTRIBUTE = 8
# A node that has stopped running samples releases its lease within this time,
# even if the store is slow.
TAKEOVER_S = 3.0
# The node that runs samples sends a copy of their texts every 0.3 s. After two
# missed copies the node is probed, then again at this interval.
COPY_TIMEOUT_S = 0.8
PROBE_INTERVAL_S = 0.3


class ServiceDuty:
    """A node's part in leading one service.

    Every node has one per service and campaigns for the duty. It owns the
    service's coordinator, which runs samples. Only the leader uses its loader,
    which sends load orders to engines, and its autoscaler, which orders
    servers.

    Args:
        runtime: The node.
        service: Name of the service.
    """

    def __init__(self, runtime: "runtimes.Runtime", service: str) -> None:
        deps = runtime.dependencies
        self.runtime = runtime
        self.service = service
        self.lock = locks.DutyLock(
            service, runtime.session, runtime.mirror, deps.clock
        )
        self.coordinator = coordinators.Coordinator(
            service,
            runtime.batch_cache,
            runtime.server_registry,
            deps.servers,
            runtime.forwarder,
            runtime.metrics,
            deps.clock,
            runtime.current_catalogue,
            runtime.view,
        )
        self.loader = loaders.Loader(
            self.lock,
            runtime.server_registry,
            deps.servers,
            runtime.cluster_state.target_versions,
            deps.clock,
            runtime.current_catalogue,
            self._publish_load_state,
            lambda: runtime.batch_cache.records.values(),
        )
        self.autoscaler = autoscaler.Autoscaler(
            self.lock,
            runtime.server_registry,
            deps.provider,
            deps.clock,
            runtime.current_catalogue,
            lambda: runtime.count_open_items(service),
        )
        self.nursery: trio.Nursery | None = None
        self.retention = retention.Retention(runtime.batch_cache, deps.clock)
        self.retention_ran_at = 0.0

    async def run(self) -> None:
        """Campaigns for the duty, and leads the service while holding it."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.coordinator.run)
            nursery.start_soon(self._order_loads, nursery)

            async def work() -> None:
                if self.runtime.settings.orders_servers:
                    await self.autoscaler.run_once()
                await self._delete_expired_batches()

            await self.runtime.settling.wait()
            await locks.run_while_held(
                self.lock,
                work,
                lambda: rank(self.runtime, self.lock.name),
                DUTY_INTERVAL_S,
            )

    async def _order_loads(self, nursery: trio.Nursery) -> None:
        """Orders loads while the duty is held.

        Engines without the newest weights run no samples, so loads do not wait
        for server orders and deletions, which may take seconds.
        """
        while True:
            if self.lock.is_held():
                await self.loader.step(nursery)
            await self.runtime.clock.sleep_aligned(DUTY_INTERVAL_S)

    async def _delete_expired_batches(self) -> None:
        now = self.runtime.clock.monotonic()
        if now - self.retention_ran_at < RETENTION_INTERVAL_S:
            return
        self.retention_ran_at = now
        retention_s = self.runtime.settings.bounds.retention_s
        await self.retention.remove_older_than(retention_s + RETENTION_MARGIN_S)

    def _publish_load_state(self, state: weightloads.WeightLoadState) -> None:
        """Applies a load's state here and sends it to the model's node."""
        self.runtime.apply_load_state(state)
        peers = self.runtime.peers
        holder = peers.holder(model_duty_name(self.service, state.model))
        address = peers.addresses().get(holder)
        if address and self.nursery is not None:
            self.nursery.start_soon(self._send_load_state, address, state)

    async def _send_load_state(
        self, address: str, state: weightloads.WeightLoadState
    ) -> None:
        try:
            await self.runtime.dependencies.loads.send(address, state)
        except calls.PeerError as e:
            # The node learns the same later, from the engine's entry in the
            # store and from the requests that the engine refuses.
            events.log(events.Event.PEER_SILENT, address=address, reason=str(e))


def is_small_fleet(runtime: "runtimes.Runtime") -> bool:
    """Returns whether one node can run all models of a service."""
    return len(runtime.candidates.names()) < MIN_NODES_TO_DISTRIBUTE


def rank(runtime: "runtimes.Runtime", duty: str) -> int:
    """Returns this node's position among the candidates for a duty."""
    nodes = runtime.candidates
    is_small = is_small_fleet(runtime)
    return nodes.position(
        nodes.ranking(duty) if is_small else nodes.idle_ranking(duty)
    )


def model_duty_name(service: str, model: str) -> str:
    """Returns the name of the duty to run a model's samples."""
    return f"{service}/{model}"


class ModelDuty:
    """A node's part in running one model's samples on a service's engines.

    Every node has one per model and campaigns for the duty. A node also runs
    the samples without holding the duty if the holder fails or hands over.

    Args:
        runtime: The node.
        leader: This node's duty for the service.
        model: Name of the model.
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
        self.takeover_source = ""
        self.takeover_until = 0.0
        self.last_copy_from = ""
        self.last_copy_at = 0.0
        self.last_probe_at = 0.0
        self.lock = locks.DutyLock(
            model_duty_name(leader.service, model),
            runtime.session,
            runtime.mirror,
            deps.clock,
        )
        self.replicator = samplereplication.SampleReplicator(
            self.coordinator,
            model,
            deps.copies,
            deps.clock,
            runtime.settings.node,
            self._find_successor,
            runtime.peers.mark_send_failed,
        )

    def needs_batches(self) -> bool:
        """Returns whether this node must keep the model's batches.

        It must while it runs them, has results of them to save, or is the
        first candidate to run them next.
        """
        node = self.runtime.settings.node
        holder = self.runtime.peers.holder(self.lock.name)
        others = [name for name in self._ranking() if name != holder]
        return (
            holder == node
            or others[:1] == [node]
            or self.coordinator.is_active(self.model)
            or bool(self.coordinator.unsaved_samples(self.model))
        )

    async def hand_over(self) -> None:
        """Hands the samples over to the next node and stops running them."""
        if self.coordinator.is_active(self.model):
            await self.replicator.hand_over()
        self.coordinator.set_active(self.model, False)

    def take_over(self, sender: str) -> None:
        """Continues the samples of a node that stops running them.

        The sender may still hold the duty's lease for a moment. Running
        samples needs no lease.
        """
        self.takeover_source = sender
        self.takeover_until = self.runtime.clock.monotonic() + TAKEOVER_S
        self.coordinator.set_active(self.model, True)

    def record_copy(self, sender: str) -> None:
        """Records that the node that runs the samples has sent a copy."""
        self.runtime.peers.mark_responsive(sender)
        self.last_copy_from = sender
        self.last_copy_at = self.runtime.clock.monotonic()

    def _is_overdue(self, holder: str) -> bool:
        """Returns whether to probe the holder because its copies have stopped.

        A holder sends copies only while batches of the model are open.
        """
        now = self.runtime.clock.monotonic()
        if (
            holder != self.last_copy_from
            or now - self.last_copy_at <= COPY_TIMEOUT_S
        ):
            return False
        return now - self.last_probe_at > PROBE_INTERVAL_S and any(
            record.is_open() and record.batch.model == self.model
            for record in self.runtime.batch_cache.records.values()
        )

    def _find_successor(self) -> tuple[str, str] | None:
        """Returns name and address of the node to run the samples next.

        None if no other node can be reached.
        """
        peers = self.runtime.peers
        holder = peers.holder(self.lock.name)
        ranking = self._ranking()
        if holder and not self.lock.is_held():
            ranking = [holder, *ranking]
        return peers.first_reachable(ranking)

    async def run(self) -> None:
        """Campaigns for the duty, and runs the samples while holding it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor_holder)
            nursery.start_soon(self.replicator.run)
            await self.runtime.settling.wait()
            await locks.run_while_held(
                self.lock, self._do_nothing, self._rank, DUTY_INTERVAL_S
            )

    async def _do_nothing(self) -> None:
        """Does nothing: the coordinator runs the samples."""

    def _rank(self) -> int:
        """Returns this node's position among the candidates.

        The node that runs the samples comes first. In a small fleet the
        service's leader does too.
        """
        if self.coordinator.is_active(self.model):
            return 0
        if is_small_fleet(self.runtime) and self.leader.lock.is_held():
            return 0
        return 1 + self.runtime.candidates.position(self._ranking())

    def _ranking(self) -> list[str]:
        """Returns the candidates, best first.

        In a small fleet they are ranked for the service, so that the same node
        is the best candidate for all of its duties.
        """
        if is_small_fleet(self.runtime):
            return self.runtime.candidates.ranking(self.service)
        return self.runtime.candidates.idle_ranking(self.lock.name)

    def _is_surplus(self) -> bool:
        """Returns whether this duty should move to a node without a duty.

        The nodes of a large fleet that start first see a small fleet and take
        all duties, which are distributed once the others have started.
        """
        if is_small_fleet(self.runtime) or self.runtime.mirror.is_unreachable:
            return False
        nodes = self.runtime.candidates
        surplus = candidates.find_surplus_duty(
            [*self.runtime.services, *self.runtime.models],
            nodes.holders(),
            nodes.node,
            nodes.names(),
        )
        return surplus == self.lock.name

    async def _transfer(self) -> None:
        """Transfers the duty to a node without one that ranks before this one.

        The samples are handed over first.
        """
        target, ranking = self._find_successor(), self._ranking()
        nodes = self.runtime.candidates
        if target is None or target[0] in nodes.holders().values():
            return
        if nodes.position(ranking) < ranking.index(target[0]):
            return
        if not await self.replicator.hand_over():
            return
        self.coordinator.set_active(self.model, False)
        try:
            await self.lock.release()
        except stores.StoreError as e:
            events.log(
                events.Event.STORE_FAILED,
                duty=self.lock.name,
                reason=e.reason,
            )

    async def _monitor_holder(self) -> None:
        """Runs the samples while holding the duty or in place of its holder.

        Ends when a planned stop begins, which hands the samples over.
        """
        while not self.runtime.is_draining:
            holder = self.runtime.peers.holder(self.lock.name)
            if self.lock.is_held():
                self.coordinator.set_active(self.model, True)
                if self._is_surplus():
                    await self._transfer()
            elif holder and holder != self.runtime.settings.node:
                if self._is_overdue(holder):
                    await self.runtime.peers.probe(holder)
                    self.last_probe_at = self.runtime.clock.monotonic()
                await self._start_or_stop(holder)
            await self.runtime.clock.sleep_aligned(HOLDER_CHECK_INTERVAL_S)

    async def _start_or_stop(self, holder: str) -> None:
        """Runs the samples in place of the holder, or hands them back to it."""
        if self._should_run_for(holder):
            self.coordinator.set_active(self.model, True)
        elif self.coordinator.is_active(self.model):
            await self.hand_over()

    def _should_run_for(self, holder: str) -> bool:
        """Returns whether this node runs samples in place of the duty's holder.

        It does after a handover, and if the holder does not answer and this
        node is the first candidate that does. No lease is needed, because an
        item may run twice; orders to engines do need one.
        """
        now = self.runtime.clock.monotonic()
        if holder == self.takeover_source and now < self.takeover_until:
            return True
        if not self.runtime.peers.is_unresponsive(holder):
            return False
        others = [
            name
            for name in self._ranking()
            if name != holder and not self.runtime.peers.is_unresponsive(name)
        ]
        return others[:1] == [self.runtime.settings.node]
