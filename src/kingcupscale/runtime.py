"""A node of the service: wires its components and runs its lifecycle."""

from collections.abc import Iterable

import trio

from kingcupscale import announcing
from kingcupscale import candidates
from kingcupscale import clusterstate
from kingcupscale import dependencies
from kingcupscale import deployment
from kingcupscale import events
from kingcupscale import leadership
from kingcupscale import metrics
from kingcupscale import plannedstop
from kingcupscale import readiness
from kingcupscale import rendezvous
from kingcupscale import retirements
from kingcupscale import settling
from kingcupscale.batches import announced
from kingcupscale.batches import cache as caches
from kingcupscale.batches import maintenance
from kingcupscale.batches import record as records
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import lazytasks
from kingcupscale.crashes import sharing
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import coldshares
from kingcupscale.fleet import eligibility
from kingcupscale.fleet import evacuation
from kingcupscale.fleet import nodeentry
from kingcupscale.fleet import peers
from kingcupscale.fleet import registry
from kingcupscale.gateway import admission as admissions
from kingcupscale.gateway import callerservice
from kingcupscale.gateway import forwarder
from kingcupscale.peering import announcements
from kingcupscale.peering import commits
from kingcupscale.peering import counts
from kingcupscale.peering import crashreports
from kingcupscale.peering import polling
from kingcupscale.peering import relay
from kingcupscale.peering import replication
from kingcupscale.peering import weightloads
from kingcupscale.storage import changelog
from kingcupscale.storage import fallback
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from kingcupscale.storage import view as views
from kingcupscale.usage import countsender
from kingcupscale.usage import windows
from kingcupscale.web import limits
from kingcupscale.web import message

# Pause between two long polls of the store by a node that leads a service.
LEADER_POLL_INTERVAL_S = 0.1
# Long-polling another node is cheap, so a node with waiting readers or running
# samples pauses only this long.
ACTIVE_POLL_INTERVAL_S = 0.02
# Interval at which the configuration is checked for new services and models.
DUTY_START_INTERVAL_S = 0.2
# Lease length as a share of ``lease_s``, the time within which a duty must not
# alternate between holders. After a crash, another node takes over sooner if
# the lease is shorter.
LEASE_SHARE = 0.7
# The entry of a node without duties may outlive the node by this many leases,
# because other nodes notice sooner that it no longer answers.
REGISTRATION_LEASES = 4
SWEEP_INTERVAL_S = 0.25
INTEREST_INTERVAL_S = 0.1
USAGE_INTERVAL_S = 0.5


class Runtime:
    """One node: owns its components and background tasks.

    Args:
        settings: The node's settings.
        deps: Clients and utilities that the node uses.

    Attributes:
        candidates: Ranks the nodes for each duty.
        cluster_state: Configuration, servers and target weight versions.
        crash_guard: Blocks requests under which servers crash.
        crash_sharing: Shares the records of these requests between nodes.
        crash_tasks: Starts the tasks of both.
        eligibility: Excludes servers from requests.
        cold_senders: The nodes that share the requests to cold servers.
        readiness: Decides whether the node may accept requests.
        callers: Handles callers' requests.
        services: This node's duty for each service, by the service's name.
        models: This node's duty for each model, by the duty's name.
        is_draining: Whether a planned stop has begun.
        drain_requested: Set to begin a planned stop.
        planned_stop: Decides what the node still does during one.
        stopped: Set when the listeners should close.
    """

    def __init__(
        self,
        settings: deployment.ProcessSettings,
        deps: dependencies.Dependencies,
    ) -> None:
        self.settings = settings
        self.dependencies = deps
        self.clock = deps.clock
        self.metrics = metrics.Metrics()
        self.is_draining = False
        self.drain_requested = trio.Event()
        self.planned_stop = plannedstop.PlannedStop(
            self.clock, settings.bounds.grace_s
        )
        self.stopped = trio.Event()
        self.services: dict[str, leadership.ServiceDuty] = {}
        self.models: dict[str, leadership.ModelDuty] = {}
        self._make_storage()
        self._make_serving()

    def _make_storage(self) -> None:
        settings, deps = self.settings, self.dependencies
        self.mirror = mirrors.StoreMirror(
            deps.store,
            self.clock,
            settings.node,
            self._poll_interval_s,
            self._fetch_changes,
        )
        self.peers = peers.Peers(
            settings.node,
            deps.relay,
            deps.commits,
            self.clock,
            deps.rng,
            lambda: self.services,
        )
        self.peers.mirror = self.mirror
        self.view = views.View(
            self.mirror,
            self.clock,
            settings.node,
            settings.bounds.cancel_s,
            self.peers.peer_cut_off_at,
        )
        self.server_registry = registry.ServerRegistry(
            self.clock,
            lambda: self.mirror.recovered_at,
            lambda: self.mirror.is_unreachable,
            evacuation.Evacuations(
                self.clock,
                lambda: self.mirror.essential_at >= 0,
                settings.zone_regions.keys(),
            ),
        )
        self.cold_senders = coldshares.Senders(self.clock, settings.node)
        self.eligibility = eligibility.Eligibility(
            self.server_registry,
            self.cold_senders,
            self.current_catalogue,
            eligibility.ColdLimits(
                settings.bounds.cold_overage, settings.bounds.cold_slack
            ),
            settings.zone_regions,
        )
        self.batch_cache = caches.BatchCache(
            self.mirror,
            fallback.FallbackStore(deps.store, self.peers.commit),
            self.clock,
            settings.value_bytes,
            self._fetch_snapshot,
        )
        self.batch_cache.on_change = self._wake_coordinators
        self.announcer = announcing.Announcer(
            settings.node,
            deps.announcements,
            self.clock,
            self.metrics,
            self._find_runners,
        )
        self.batch_cache.on_accept = self.announcer.announce
        self.announcement_receiver = announcing.AnnouncementReceiver(
            announced.AnnouncedBatches(
                self.batch_cache, self.clock, self.view.max_age_s
            ),
            self.clock,
            self.metrics,
            self._is_running,
            lambda batch, sender: self.peers.fetch_snapshot(batch, [sender]),
        )
        self.relay = relay.RelayHandler(self.mirror, self.batch_cache)
        ttl_s = max(settings.min_lease_s, LEASE_SHARE * settings.bounds.lease_s)
        self.session = locks.LeaseSession(
            deps.store, self.clock, settings.node, ttl_s
        )
        self.registration = locks.NodeRegistration(
            deps.store,
            self.clock,
            settings.node,
            REGISTRATION_LEASES * ttl_s,
            nodeentry.encode(
                settings.peers, settings.capacity_cores, settings.memory_mb
            ),
        )
        self.settling = settling.Settling(
            self.clock,
            locks.NODES_PREFIX + settings.node,
            settings.capacity_cores is not None,
        )
        self.candidates = candidates.Candidates(self.mirror, settings.node)
        self.mirror.subscribe(locks.NODES_PREFIX, self._on_node_changed)
        self.cluster_state = clusterstate.ClusterState(
            self.mirror, self.server_registry, deps.keys, deps.decoders
        )
        self.readiness = readiness.Readiness(
            self.mirror,
            self.peers,
            self.clock,
            settings.bounds,
            self.current_catalogue,
        )

    def _make_serving(self) -> None:
        settings, deps = self.settings, self.dependencies
        self.reporter = windows.WindowReporter(
            locks.DutyLock(windows.DUTY, self.session, self.mirror, self.clock),
            self.mirror,
            deps.intake,
            self.clock,
            settings.bounds.window_s,
            settings.bounds.late_s,
        )
        self.count_sender = countsender.PeerCountSender(
            self.peers, self.reporter, deps.counts
        )
        self.usage = windows.WindowCounter(
            self.mirror,
            self.clock,
            settings.node,
            settings.bounds.window_s,
            self.count_sender,
        )
        admission = admissions.Admission(
            self.current_catalogue, self.readiness.staleness_error
        )
        self.crash_guard = guards.CrashGuard(
            deps.servers, self.clock, self._makes_trials
        )
        self.crash_sharing = sharing.CrashSharing(
            settings.node,
            self.crash_guard,
            self.peers,
            deps.crash_reports,
            deps.store,
            self.mirror,
            self.clock,
            deps.rng,
        )
        self.crash_tasks = lazytasks.LazyTasks(
            self.crash_guard.run, self.crash_sharing.run
        )
        self.crash_guard.on_active = self.crash_tasks.need
        self.forwarder = forwarder.Forwarder(
            admission,
            self.server_registry,
            deps.servers,
            self.usage,
            self.metrics,
            self.clock,
            deps.rng,
            settings.zone,
            self.eligibility,
            settings.node,
            settings.zone_regions,
            self.crash_guard,
            self.planned_stop,
        )
        self.callers = callerservice.CallerService(
            admission,
            self.forwarder,
            self.batch_cache,
            self.clock,
            self.readiness.admission_error,
            self.planned_stop,
        )
        self.retirements = retirements.Retirements(
            self.mirror, deps.keys, deps.decoders.retirement_state
        )

    async def handle_peer_request(
        self, request: message.Request
    ) -> message.Response:
        """Returns the response to a request of another node."""
        if request.path == commits.PATH:
            return await commits.handle(self.dependencies.store, request)
        if request.path == replication.PATH:
            return self._apply_copy(replication.decode(request.body))
        if request.path == counts.PATH:
            return self.count_sender.handle(request)
        if request.path == weightloads.PATH:
            self.apply_load_state(weightloads.decode(request.body))
            return message.Response(200)
        if request.path == announcements.PATH:
            self.announcement_receiver.receive(
                announcements.decode(request.body)
            )
            return message.Response(200)
        if request.path == crashreports.PATH:
            self.crash_sharing.receive(crashreports.decode(request.body))
            return message.Response(200)
        return await self.relay(request)

    def _apply_copy(
        self, copy: replication.ReplicationRequest
    ) -> message.Response:
        """Stores copied texts; the last copy also hands the samples over."""
        duty = self.services.get(copy.service)
        is_in_sync = duty is None or duty.coordinator.apply_copy(copy)
        model = self.models.get(
            leadership.model_duty_name(copy.service, copy.model)
        )
        if model is not None:
            model.record_copy(copy.sender)
        if not is_in_sync:
            return message.Response(replication.STATUS_OUT_OF_SYNC)
        if not copy.is_last:
            return message.Response(200)
        if model is None or self.is_draining:
            return message.Response(503)
        model.take_over(copy.sender)
        return message.Response(200)

    def apply_load_state(self, state: weightloads.WeightLoadState) -> None:
        """Applies the state of an engine's weight load."""
        server = self.server_registry.servers.get(state.server)
        if server is None:
            return
        now = self.clock.monotonic()
        server.versions[state.model] = state.version
        server.no_samples_until[state.model] = now + state.closed_s
        server.loading_until = now + state.loading_s
        self._wake_coordinators()

    def _wake_coordinators(self) -> None:
        for duty in self.services.values():
            duty.coordinator.wake()

    def current_catalogue(self) -> catalogue.Catalogue | None:
        """Returns the configuration in force; None before the first."""
        return self.cluster_state.catalogue

    def current_limits(self) -> limits.Limits:
        """Returns the limits on callers' requests from the configuration."""
        configured = self.current_catalogue()
        allowed = configured.limits if configured else catalogue.Limits()
        return limits.Limits(
            body_bytes=allowed.body_bytes,
            header_bytes=allowed.header_bytes,
            body_timeout_s=allowed.idle_s,
            header_timeout_s=allowed.header_s,
            idle_s=allowed.idle_s,
        )

    def count_open_items(self, service: str) -> int:
        """Returns how many items of a service's open batches lack a result."""
        configured = self.current_catalogue()
        if configured is None:
            return 0
        routes = {route.name for route in configured.routes_to(service)}
        return sum(
            len(record.batch.items) - len(record.results)
            for record in self.batch_cache.records.values()
            if record.is_open() and record.batch.route in routes
        )

    def count_held_duties(self) -> int:
        """Returns the number of duties that this node holds."""
        duties = [*self.services.values(), *self.models.values()]
        return sum(duty.lock.is_held() for duty in duties)

    def is_leader(self) -> bool:
        """Returns whether this node leads any service."""
        return any(d.lock.is_held() for d in self.services.values())

    async def _fetch_changes(
        self, position: changelog.Position
    ) -> changelog.Changes | None:
        """Returns the store's changes from another node, or None.

        They come from a leader, or from any node while the store does not
        answer. As long as it does, a leader gets None and reads it itself.
        """
        if self.is_leader() and not self.mirror.is_unreachable:
            return None
        return await self.peers.fetch_changes(
            position,
            self.batch_cache.interest,
            any_node=self.mirror.is_unreachable,
        )

    async def _fetch_snapshot(
        self, batch_id: str
    ) -> records.RecordSnapshot | None:
        """Returns a snapshot of a batch from a node that may hold it."""
        nodes = self.peers.leaders()
        model = self.batch_cache.model_of(batch_id)
        for service in self.services if model else []:
            duty = leadership.model_duty_name(service, model or "")
            nodes.append(self.peers.holder(duty))
        others = [n for n in dict.fromkeys(nodes) if n != self.settings.node]
        return await self.peers.fetch_snapshot(batch_id, others)

    def _find_runners(self, model: str) -> list[tuple[str, str]]:
        """Returns names and addresses of other nodes that run a model."""
        addresses = self.peers.addresses()
        holders = {
            self.peers.holder(leadership.model_duty_name(service, model))
            for service in self.services
        }
        return [(n, addresses[n]) for n in sorted(holders) if n in addresses]

    def _is_running(self, model: str) -> bool:
        """Returns whether this node runs a model's samples."""
        return any(
            duty.coordinator.is_active(model) for duty in self.services.values()
        )

    def _makes_trials(self, fingerprint: str) -> bool:
        """Returns whether this node makes the trials of a blocked request."""
        nodes = {self.settings.node, *self.peers.addresses()}
        return rendezvous.rank(fingerprint, nodes)[0] == self.settings.node

    async def _update_interest(self) -> None:
        """Keeps the set of batches up to date that this node's duties need."""
        while True:
            everything = self.is_leader() or leadership.is_small_fleet(self)
            models = {
                duty.model
                for duty in self.models.values()
                if duty.needs_batches()
            }
            self.batch_cache.set_interest(everything, frozenset(models))
            await self.clock.sleep_aligned(INTEREST_INTERVAL_S)

    def _poll_interval_s(self) -> float:
        if self.settling.left_s() > 0:
            return settling.POLL_INTERVAL_S
        if self.is_leader():
            return LEADER_POLL_INTERVAL_S
        is_needed = self.batch_cache.waiting_readers or any(
            duty.coordinator.active_models for duty in self.services.values()
        )
        if self.mirror.is_following and is_needed:
            return ACTIVE_POLL_INTERVAL_S
        return polling.idle_poll_interval_s(
            len(self.candidates.names()),
            min(self.settings.bounds.apply_s, self.settings.bounds.evacuate_s),
        )

    def is_ready(self) -> bool:
        """Returns whether load balancers should send callers here."""
        is_refusing = self.readiness.admission_error() is not None
        return not self.is_draining and not is_refusing

    def _on_node_changed(self, entry: stores.Entry) -> None:
        """Updates what depends on nodes; has this node's entry rewritten."""
        if entry.value is not None:
            self.settling.note_node(entry.key)
        self.cold_senders.note(
            entry.key.removeprefix(locks.NODES_PREFIX), entry.value is not None
        )
        is_own = entry.key == locks.NODES_PREFIX + self.settings.node
        if is_own and entry.value is None:
            self.registration.note_removed()

    async def run(self) -> None:
        """Runs the node until a planned stop is complete."""
        self.settling.begin()
        async with trio.open_nursery() as nursery:
            for task in (
                self.mirror.run,
                maintenance.CacheMaintainer(self.batch_cache, self.clock).run,
                self._update_interest,
                self.announcer.run,
                self.announcement_receiver.run,
                self.session.run,
                self.registration.run,
                self._remove_expired_servers,
                self._start_duties,
                self._share_usage,
                self._report_usage,
            ):
                nursery.start_soon(task)
            self.crash_tasks.attach(nursery)
            await self.drain_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Hands duties over and gives callers time to reconnect elsewhere."""
        events.log(events.Event.NODE_DRAINING, node=self.settings.node)
        self.is_draining = True
        self.planned_stop.begin()
        stop = self.planned_stop
        with trio.move_on_after(stop.notice_left_s()) as handover:
            for duty in self.models.values():
                await duty.hand_over()
        if handover.cancelled_caught:
            events.log(
                events.Event.COPY_FAILED,
                node=self.settings.node,
                reason="samples not handed over before the listeners close",
            )
        with trio.move_on_after(stop.requests_left_s()):
            await self.session.close()
            await self.registration.close()
            with trio.move_on_after(1.0):
                try:
                    await self.usage.flush(is_last=True)
                except stores.StoreError as e:
                    events.log(events.Event.STORE_FAILED, reason=e.reason)
        await self.clock.sleep(stop.notice_left_s())
        self.stopped.set()

    async def _remove_expired_servers(self) -> None:
        """Removes servers that have not registered again in time."""
        while True:
            self.server_registry.remove_expired()
            await self.clock.sleep_aligned(SWEEP_INTERVAL_S)

    async def _start_duties(self) -> None:
        """Starts the duties of services with engines and of their models."""
        async with trio.open_nursery() as nursery:
            while True:
                configured = self.current_catalogue()
                for name, service in (
                    configured.services.items() if configured else ()
                ):
                    if service.slots:
                        self._start_service(name, service.models, nursery)
                await self.clock.sleep_aligned(DUTY_START_INTERVAL_S)

    def _start_service(
        self, service: str, models: Iterable[str], nursery: trio.Nursery
    ) -> None:
        if service not in self.services:
            self.services[service] = leadership.ServiceDuty(self, service)
            nursery.start_soon(self.services[service].run)
        for model in models:
            duty = leadership.model_duty_name(service, model)
            if duty not in self.models:
                self.models[duty] = leadership.ModelDuty(
                    self, self.services[service], model
                )
                nursery.start_soon(self.models[duty].run)

    async def _share_usage(self) -> None:
        """Sends this node's usage counts to the node that reports them."""
        while True:
            await self.clock.sleep_aligned(USAGE_INTERVAL_S)
            try:
                await self.usage.flush()
            except stores.StoreError as e:
                events.log(
                    events.Event.STORE_FAILED,
                    node=self.settings.node,
                    reason=e.reason,
                )

    async def _report_usage(self) -> None:
        """Campaigns for the usage duty, and reports while holding it."""
        if not self.settings.reports_usage:
            return
        await self.settling.wait()
        await locks.run_while_held(
            self.reporter.duty_lock,
            self._run_usage_duty,
            lambda: leadership.rank(self, windows.DUTY),
            USAGE_INTERVAL_S,
        )

    async def _run_usage_duty(self) -> None:
        """Reports usage and responds to requests to retire VMs."""
        await self.reporter.step()
        await self.retirements.answer()
