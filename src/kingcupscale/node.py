"""A node: creates and connects all its components and runs its tasks.

The daemon adds the listeners.
"""

from collections.abc import Callable
import functools
import random

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import metrics
from kingcupscale import settings as node_settings
from kingcupscale.capacity import zone as zones
from kingcupscale.capacity import zonescaler
from kingcupscale.configuration import admission
from kingcupscale.configuration import editor
from kingcupscale.configuration import keys
from kingcupscale.configuration import log
from kingcupscale.configuration import replica
from kingcupscale.configuration import replication
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import lazytasks
from kingcupscale.duties import candidates
from kingcupscale.duties import journal
from kingcupscale.duties import lease
from kingcupscale.duties import ordersender
from kingcupscale.duties import runner
from kingcupscale.operating import api
from kingcupscale.operating import handover
from kingcupscale.operating import messages
from kingcupscale.peering import gossip
from kingcupscale.peering import members
from kingcupscale.peering import peer_pb2
from kingcupscale.peering import transport
from kingcupscale.providers import calls
from kingcupscale.providers import capacityprovider
from kingcupscale.providers import keyvalue
from kingcupscale.providers import usageintake
from kingcupscale.providers import vmlist
from kingcupscale.providers import weightstore
from kingcupscale.rollouts import activation
from kingcupscale.rollouts import publication
from kingcupscale.rollouts import service as rollouts
from kingcupscale.serving import callerapi
from kingcupscale.serving import claims
from kingcupscale.serving import completion
from kingcupscale.serving import crashgossip
from kingcupscale.serving import crashwatch
from kingcupscale.serving import generation
from kingcupscale.serving import plainexplainer
from kingcupscale.serving import plainservices
from kingcupscale.serving import services
from kingcupscale.serving import sessions
from kingcupscale.usage import counter
from kingcupscale.usage import counterreplication
from kingcupscale.usage import reporting
from kingcupscale.web import httpclient

# Interval at which a zone's lease holder runs the zone duty.
ZONE_DUTY_INTERVAL_S = 0.5
# Interval at which a shard's lease holder runs the usage duty.
USAGE_DUTY_INTERVAL_S = 1.0
# Interval at which the configuration is checked for new zones.
NEW_ZONE_INTERVAL_S = 2.0
DRAIN_POLL_INTERVAL_S = 0.1


@attrs.frozen
class Dependencies:
    """The external dependencies of a node.

    Attributes:
        http_client: Sends HTTP requests.
        peers: Sends calls to other nodes.
        clock: The clock to use.
        rng: Source of random choices.
        peer_address: ``host:port`` of this node's listener for peers.
    """

    http_client: httpclient.HttpClient
    peers: transport.PeerTransport
    clock: clocks.Clock
    rng: random.Random
    peer_address: str


class Node:
    """A node of the service.

    Args:
        settings: The settings of the node.
        dependencies: The external dependencies.
        peer_service: Registers the handlers for calls from other nodes.

    Attributes:
        incarnation: Start time in milliseconds; distinguishes restarts of a
            node.
        leases: The leases that the node campaigns for.
        started_zones: Zones whose duty has been started.
        drain_requested: Set to begin a planned stop.
        stopped: Set once a planned stop has ended.
        caller_api: Handles requests from callers and trainers.
        operators: Handles requests from operators.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dependencies: Dependencies,
        peer_service: transport.PeerService,
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.clock = dependencies.clock
        self.peer_service = peer_service
        self.incarnation = int(self.clock.now().timestamp() * 1000)
        self.leases: list[lease.Lease] = []
        self.started_zones: set[str] = set()
        self.drain_requested = trio.Event()
        self.stopped = trio.Event()
        self._make_platform_clients()
        self._make_membership()
        self._make_configuration()
        self._make_serving()
        self._make_operator_api()

    def _make_platform_clients(self) -> None:
        platform = self.settings.platform
        http_client = self.dependencies.http_client
        timeout_s = self.settings.timings.order_timeout_s
        self.store = keyvalue.HttpKeyValueStore(http_client, platform.key_value)
        self.directory = vmlist.HttpVmDirectory(http_client, platform.vm_list)
        self.intake = usageintake.HttpUsageIntake(
            http_client, platform.usage, timeout_s
        )
        self.provider = capacityprovider.HttpCapacityProvider(
            http_client, platform.capacity, timeout_s
        )

    def _make_membership(self) -> None:
        timings = self.settings.timings
        me = members.Member(
            self.settings.name,
            self.dependencies.peer_address,
            self.settings.zone,
            self.settings.region,
            self.incarnation,
        )
        self.members = members.Members(me, self.clock, timings.suspicion_s)
        self.gossip = gossip.Gossip(
            self.members,
            self.dependencies.peers,
            self.peer_service,
            list(self.settings.seeds),
            self.clock,
            gossip.GossipSettings(
                interval_s=timings.gossip_interval_s,
                suspicion_s=timings.suspicion_s,
            ),
            self.dependencies.rng,
        )

    def _make_configuration(self) -> None:
        self.replica = replica.Replica(self.settings.name)
        self.admission = admission.Admission(
            self.replica,
            self.members,
            self.clock,
            self.settings.timings.isolation_bound_s,
        )
        self.replicator = replication.ConfigurationReplicator(
            self.replica,
            self.admission,
            self.members,
            self.gossip,
            self.peer_service,
            log.ChangeLog(self.store),
            self.directory,
            self.clock,
            self.dependencies.rng,
        )
        self.editor = editor.Editor(self.replicator, self.clock)

    def _make_serving(self) -> None:
        http_client = self.dependencies.http_client
        name = f"{self.settings.name}/{self.incarnation}"
        self.metrics = metrics.Metrics(
            metrics.make_client(self.settings.statsd)
        )
        self.counters = counter.Counters(name)
        self.counter_replicator = counterreplication.CounterReplicator(
            self.counters,
            self.members,
            self.dependencies.peers,
            self.peer_service,
            self.clock,
        )
        self.pools = services.Services(
            self.replica, self.clock, self.dependencies.rng
        )
        self.crash_guard = guards.CrashGuard(
            crashwatch.HttpServerProbe(http_client),
            self.clock,
            functools.partial(crashgossip.makes_trials, self.members),
        )
        self.crash_gossip = crashgossip.CrashGossip(
            self.crash_guard,
            self.gossip,
            self.clock,
            self.dependencies.rng,
        )
        self.crash_tasks = lazytasks.LazyTasks(
            self.crash_guard.run, self.crash_gossip.run
        )
        self.crash_guard.on_active = self.crash_tasks.need
        key_ring = keys.KeyRing(self.replica)
        self.sessions = sessions.Sessions(key_ring)
        generator = generation.Generator(
            self.pools, http_client, self.counters, self.metrics
        )
        plain_service_client = plainservices.PlainServiceClient(
            self.pools,
            http_client,
            claims.ClaimStore(self.store, name),
            self.counters,
            self.metrics,
            self.crash_guard,
        )
        self.publications = publication.Publications(self.store, self.clock)
        self.rollouts = rollouts.RolloutService(
            self.replica,
            generator,
            plain_service_client,
            self.publications,
            weightstore.HttpWeightStore(
                http_client, self.settings.platform.weights
            ),
            self.metrics,
            self.clock,
        )
        self.caller_api = callerapi.CallerApi(
            key_ring,
            self.admission,
            self.sessions,
            completion.Completions(
                generator,
                self.sessions,
                self.clock,
                self.metrics,
                self.crash_guard,
            ),
            plain_service_client,
            self.rollouts,
        )

    def _make_operator_api(self) -> None:
        reporter = handover.HandoverReporter(
            self.replicator, self.pools, self.store, self.clock
        )
        self.operators = api.OperatorApi(
            self.settings.operators,
            self.editor,
            reporter,
            self.read_status,
            self.drain_requested.set,
            plainexplainer.PlainExplainer(
                self.settings, self.pools, self.admission, self.caller_api
            ).explain,
        )

    async def run(self) -> None:
        """Runs the node until a planned stop has ended, or it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(self.pools.run)
            nursery.start_soon(self.rollouts.run)
            nursery.start_soon(self.counter_replicator.run)
            self.crash_tasks.attach(nursery)
            nursery.start_soon(self._run_after_catch_up, nursery)
            await self.drain_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        self.stopped.set()

    async def _run_after_catch_up(self, nursery: trio.Nursery) -> None:
        await self.replicator.catch_up()
        events.log(
            events.Event.NODE_STARTED,
            node=self.settings.name,
            incarnation=self.incarnation,
            revision=self.replica.revision,
        )
        nursery.start_soon(self.replicator.run)
        nursery.start_soon(self.replicator.run_vm_list_polling)
        nursery.start_soon(self.editor.run_maintenance)
        for shard in range(self.settings.usage_shards):
            self._start_usage_duty(shard, nursery)
        while True:
            self._start_zone_duties(nursery)
            await self.clock.sleep(NEW_ZONE_INTERVAL_S)

    def _start_zone_duties(self, nursery: trio.Nursery) -> None:
        for zone in self.replica.document.zones:
            if zone not in self.started_zones:
                self.started_zones.add(zone)
                self._start_zone_duty(zone, nursery)

    def _start_zone_duty(self, zone: str, nursery: trio.Nursery) -> None:
        managed_lease = self._start_lease(f"zone/{zone}", zone, nursery)
        order_sender = ordersender.OrderSender(
            managed_lease, journal.Journal(self.store, managed_lease)
        )
        weights = activation.WeightActivator(
            zone,
            self.pools,
            self.publications,
            self.dependencies.http_client,
            order_sender,
            self.clock,
            self.settings.timings.order_timeout_s,
        )
        servers = zonescaler.ZoneScaler(
            zone,
            self.pools,
            self.provider,
            self.editor,
            order_sender,
            self.clock,
        )
        duty = zones.ZoneDuty(order_sender, weights, servers)
        nursery.start_soon(
            runner.DutyRunner(
                managed_lease, duty, self.clock, ZONE_DUTY_INTERVAL_S
            ).run
        )

    def _start_usage_duty(self, shard: int, nursery: trio.Nursery) -> None:
        managed_lease = self._start_lease(f"usage/{shard}", "", nursery)
        duty = reporting.UsageDuty(
            shard,
            self.settings.usage_shards,
            managed_lease,
            self.store,
            self.intake,
            self.counter_replicator,
            self.clock,
            self.settings.timings.usage_window_s,
        )
        nursery.start_soon(
            runner.DutyRunner(
                managed_lease, duty, self.clock, USAGE_DUTY_INTERVAL_S
            ).run
        )

    def _start_lease(
        self, name: str, zone: str, nursery: trio.Nursery
    ) -> lease.Lease:
        timings = self.settings.timings
        managed_lease = lease.Lease(
            self.store,
            name,
            self.settings.name,
            self.clock,
            lease.LeaseSettings(
                timings.lease_ttl_s,
                timings.lease_renew_s,
                timings.order_timeout_s,
            ),
        )
        self.leases.append(managed_lease)
        rule: Callable[[], bool] = functools.partial(
            candidates.is_candidate, name, self.members, zone
        )
        nursery.start_soon(
            lease.LeaseManager(managed_lease, rule, self.clock).run
        )
        return managed_lease

    async def _drain(self) -> None:
        """Stops the node after giving open requests time to finish.

        The node reports that it is not ready. After the drain notice, it
        refuses new requests, cancels its rollouts and waits for open requests,
        up to the drain limit. Then it releases its leases, replicates the usage
        counters and announces to its peers that it leaves.
        """
        timings = self.settings.timings
        events.log(events.Event.NODE_DRAINING, node=self.settings.name)
        self.caller_api.is_unready = True
        await self.clock.sleep(timings.drain_notice_s)
        self.caller_api.is_draining = True
        self.rollouts.cancel_all()
        with trio.move_on_after(timings.drain_limit_s):
            while self.caller_api.active or self.sessions.open_sessions:
                await self.clock.sleep(DRAIN_POLL_INTERVAL_S)
        await self._release_leases()
        await self.counter_replicator.replicate(own_only=False)
        await self.gossip.leave()
        events.log(events.Event.NODE_STOPPED, node=self.settings.name)

    async def _release_leases(self) -> None:
        for managed_lease in self.leases:
            try:
                await managed_lease.release()
            except calls.PlatformError as e:
                events.log(
                    events.Event.STORE_FAILED,
                    node=self.settings.name,
                    reason=e.reason,
                )

    def read_status(self) -> messages.StatusResponse:
        """Returns the status of the node."""
        now = self.clock.monotonic()
        return messages.StatusResponse(
            self.settings.name,
            self.settings.zone,
            self.incarnation,
            self.admission.is_admitting() and not self.caller_api.is_unready,
            self.caller_api.is_unready,
            self.replica.revision,
            self.admission.confirmed_age_s(),
            self.caller_api.active,
            {n: len(p.scheduler.queue) for n, p in self.pools.pools.items()},
            [
                messages.MemberLine(
                    m.name,
                    m.zone,
                    peer_pb2.Status.Name(m.status).lower(),
                    m.incarnation,
                )
                for m in self.members.entries.values()
            ],
            [
                messages.LeaseLine(h.name, h.epoch, round(h.deadline - now, 1))
                for h in self.leases
                if h.is_held()
            ],
            self.metrics.summaries(),
            self.metrics.counts,
        )
