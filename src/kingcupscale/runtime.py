"""A node on the platform: its parts wired together, and its lifecycle."""

from collections.abc import Callable
import random

import attrs
import orjson
import trio

from kingcupscale import clock as clocks
from kingcupscale import deployment
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import leading
from kingcupscale import metrics
from kingcupscale import rendezvous
from kingcupscale.batches import book as books
from kingcupscale.batches import record as records
from kingcupscale.capacity import fleetsize
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import peers
from kingcupscale.fleet import roster
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import callers
from kingcupscale.gateway import forwarder
from kingcupscale.peering import commits
from kingcupscale.peering import handover
from kingcupscale.peering import loads
from kingcupscale.peering import relay
from kingcupscale.storage import changelog
from kingcupscale.storage import detour
from kingcupscale.storage import feed as feeds
from kingcupscale.storage import store as stores
from kingcupscale.storage import tenure as tenures
from kingcupscale.usage import windows
from kingcupscale.web import message

# Pause between two watches: a node that leads a service reads new batches
# sooner than one that only answers readers.
LEADER_PAUSE_S = 0.1
FOLLOWER_PAUSE_S = 0.35
# A followed mirror costs little, so a node whose readers or samples wait for
# news asks at once again.
NEEDED_PAUSE_S = 0.02
LEAD_PAUSE_S = 0.2
# Share of the time within which holders must not take turns; a shorter lease
# is sooner taken over.
LEASE_SHARE = 0.7
SWEEP_PAUSE_S = 0.25
WANT_PAUSE_S = 0.1
USAGE_PAUSE_S = 0.5
# From a stop's signal: readiness goes first, callers are sent away meanwhile,
# then the listeners close; the rest of the grace is for open requests.
NOTICE_S = 3.0


@attrs.frozen
class Keys:
    """Where operators and servers write in the store.

    Attributes:
        configuration: The configuration's key.
        servers: Prefix of the servers' entries.
        versions: Prefix of the versions that trainers name.
        retirements: Prefix of requests to empty a VM.
        retirement_states: Prefix of the answers to them.
    """

    configuration: str
    servers: str
    versions: str
    retirements: str
    retirement_states: str


@attrs.frozen
class Decoders:
    """How what they write is read; each raises ``ValueError``."""

    catalogue: Callable[[bytes], catalogue.Catalogue]
    server: Callable[[str, bytes], roster.ServerEntry]
    named_version: Callable[[bytes], tuple[str, int]]
    retirement_state: Callable[[str], bytes]


@attrs.frozen
class Surroundings:
    """What a node reaches the world by.

    Attributes:
        store: The shared store.
        servers: Calls backend servers.
        intake: Takes usage reports.
        provider: Takes orders for servers.
        clock: Tells the time.
        rng: Decides among equals.
        relay: Asks other nodes for changes.
        commits: Has other nodes write to the store.
        copies: Sends texts on their way to other nodes.
        loads: Tells other nodes what engines load.
        keys: Where operators and servers write.
        decoders: How that is read.
    """

    store: stores.Store
    servers: serverclient.ServerClient
    intake: windows.Intake
    provider: fleetsize.Provider
    clock: clocks.Clock
    rng: random.Random
    relay: relay.RelayClient
    commits: commits.CommitClient
    copies: handover.CopyClient
    loads: loads.LoadClient
    keys: Keys
    decoders: Decoders


class Runtime:
    """One node.

    Args:
        settings: What it is told.
        surroundings: What it reaches the world by.

    Attributes:
        catalogue: The configuration in force; None before the first.
        callers: Answers callers.
        is_draining: Whether a planned stop has begun.
        stopped: Set when the listeners are to close.
    """

    def __init__(
        self,
        settings: deployment.SiteSettings,
        surroundings: Surroundings,
    ) -> None:
        self.settings = settings
        self.surroundings = surroundings
        self.clock = surroundings.clock
        self.measures = metrics.Metrics()
        self.catalogue: catalogue.Catalogue | None = None
        self.named_versions: dict[str, int] = {}
        self.is_draining = False
        self.drain_asked = trio.Event()
        self.stopped = trio.Event()
        self.services: dict[str, leading.ServiceDuty] = {}
        self.models: dict[str, leading.ModelDuty] = {}
        self.rankings: dict[str, list[str]] = {}
        self._make_storage()
        self._make_serving()

    def _make_storage(self) -> None:
        settings, around = self.settings, self.surroundings
        self.feed = feeds.Feed(
            around.store,
            self.clock,
            settings.node,
            self._feed_pause_s,
            self._follow,
        )
        self.peers = peers.Peers(
            settings.node,
            around.relay,
            around.commits,
            self.clock,
            around.rng,
            lambda: self.services,
        )
        self.peers.feed = self.feed
        self.roster = roster.Roster(
            self.clock,
            lambda: self.feed.regained_at,
            lambda: self.feed.is_lost,
        )
        self.book = books.Book(
            self.feed,
            detour.DetourStore(around.store, self.peers.commit),
            self.clock,
            settings.value_bytes,
            self._fetch_copy,
        )
        self.book.on_change = self._wake_coordinators
        self.relay = relay.RelayHandler(self.feed, self.book)
        announcement = orjson.dumps({"peers": settings.peers})
        ttl_s = max(
            settings.least_lease_s, LEASE_SHARE * settings.bounds.lease_s
        )
        self.session = tenures.Session(
            around.store, self.clock, settings.node, ttl_s, announcement
        )
        keys = around.keys
        self.feed.subscribe(tenures.NODES_PREFIX, self._take_node)
        self.feed.subscribe(keys.configuration, self._take_configuration)
        self.feed.subscribe(keys.servers, self._take_server)
        self.feed.subscribe(keys.versions, self._take_version)

    def _make_serving(self) -> None:
        settings, around = self.settings, self.surroundings
        self.usage = windows.WindowCounter(
            self.feed, self.clock, settings.node, settings.bounds.window_s
        )
        self.forwarder = forwarder.Forwarder(
            self.roster,
            around.servers,
            self.usage,
            self.measures,
            self.clock,
            around.rng,
            settings.zone,
        )
        self.callers = callers.Callers(
            self.forwarder, self.book, self.clock, self.find_refusal
        )
        self.reporter = windows.WindowReporter(
            tenures.Tenure(windows.DUTY, self.session, self.feed, self.clock),
            self.feed,
            around.intake,
            self.clock,
            settings.bounds.window_s,
            settings.bounds.late_s,
        )

    async def answer_peer(self, request: message.Request) -> message.Response:
        """Answers another node."""
        if request.path == commits.PATH:
            return await commits.answer(self.surroundings.store, request)
        if request.path == handover.PATH:
            copy = handover.decode(request.body)
            duty = self.services.get(copy.service)
            if duty is not None:
                duty.coordinator.take_copy(copy)
            return message.Response(200)
        if request.path == loads.PATH:
            self.take_load(loads.decode(request.body))
            return message.Response(200)
        return await self.relay(request)

    def take_load(self, state: loads.LoadState) -> None:
        """Takes over how a load on an engine stands."""
        server = self.roster.servers.get(state.server)
        if server is None:
            return
        now = self.clock.monotonic()
        server.versions[state.model] = state.version
        server.closed[state.model] = now + state.closed_s
        server.loading_until = now + state.loading_s
        self._wake_coordinators()

    def _wake_coordinators(self) -> None:
        for duty in self.services.values():
            duty.coordinator.wake()

    def open_items(self, service: str) -> int:
        """Returns how many items of a service's open batches are unlisted."""
        if self.catalogue is None:
            return 0
        routes = {route.name for route in self.catalogue.routes_to(service)}
        return sum(
            len(record.batch.items) - len(record.results)
            for record in self.book.records.values()
            if record.is_open() and record.batch.route in routes
        )

    def duties_held(self) -> int:
        """Returns how many duties this node holds."""
        duties = [*self.services.values(), *self.models.values()]
        return sum(duty.tenure.is_held() for duty in duties)

    def leads(self) -> bool:
        """Tells whether this node holds a service's duty."""
        return any(d.tenure.is_held() for d in self.services.values())

    async def _follow(
        self, position: changelog.Position
    ) -> changelog.Changes | None:
        """Follows a leader, or any node while the store does not answer."""
        if self.leads() and not self.feed.is_lost:
            return None
        return await self.peers.follow(
            position, self.book.interest, any_node=self.feed.is_lost
        )

    async def _fetch_copy(self, batch_id: str) -> records.RecordCopy | None:
        """Returns a batch from a node that is likely to know it."""
        nodes = self.peers.leaders()
        model = self.book.model_of(batch_id)
        for service in self.services if model else []:
            duty = leading.model_duty(service, model or "")
            nodes.append(self.peers.holder(duty))
        others = [n for n in dict.fromkeys(nodes) if n != self.settings.node]
        return await self.peers.copy_of(batch_id, others)

    async def _keep_batches(self) -> None:
        """Has the batches known that this node's duties need."""
        while True:
            everything = self.leads() or leading.is_small_fleet(self)
            models = {
                duty.model
                for duty in self.models.values()
                if duty.wants_batches()
            }
            self.book.want(everything, frozenset(models))
            await self.clock.rest(WANT_PAUSE_S)

    def _feed_pause_s(self) -> float:
        if self.leads():
            return LEADER_PAUSE_S
        is_needed = self.book.readers or any(
            duty.coordinator.active for duty in self.services.values()
        )
        if self.feed.is_following and is_needed:
            return NEEDED_PAUSE_S
        return FOLLOWER_PAUSE_S

    def _take_configuration(self, entry: stores.Entry) -> None:
        if entry.value is None:
            return
        try:
            found = self.surroundings.decoders.catalogue(entry.value)
        except ValueError as e:
            events.log(
                events.Event.STORE_ENTRY_UNREADABLE,
                key=entry.key,
                reason=str(e)[:200],
            )
            return
        self.apply(found, "the store")

    def apply(self, found: catalogue.Catalogue, source: str) -> None:
        """Puts a configuration in force, unless a newer one is."""
        if not catalogue.is_newer(found, self.catalogue):
            return
        self.catalogue = found
        self.forwarder.catalogue = found
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            revision=found.version,
            routes=len(found.routes),
            organisations=len(found.organisations),
            source=source,
        )

    def _take_server(self, entry: stores.Entry) -> None:
        server_id = entry.key.removeprefix(self.surroundings.keys.servers)
        if entry.value is None:
            self.roster.remove(server_id)
            return
        try:
            found = self.surroundings.decoders.server(server_id, entry.value)
        except ValueError as e:
            events.log(
                events.Event.STORE_ENTRY_UNREADABLE,
                key=entry.key,
                reason=str(e)[:200],
            )
            return
        self.roster.enter(found)

    def _take_version(self, entry: stores.Entry) -> None:
        if entry.value is None:
            return
        try:
            model, version = self.surroundings.decoders.named_version(
                entry.value
            )
        except ValueError as e:
            events.log(
                events.Event.STORE_ENTRY_UNREADABLE,
                key=entry.key,
                reason=str(e)[:200],
            )
            return
        if version > self.named_versions.get(model, 0):
            self.named_versions[model] = version
            events.log(events.Event.VERSION_NAMED, model=model, version=version)

    def find_refusal(self) -> errors.ServiceError | None:
        """Returns why the node takes nothing now, or None."""
        if self.catalogue is None:
            return errors.ServiceError(
                errors.ResultCode.NOT_READY, retry_after_s=0.5
            )
        if self.is_isolated():
            return errors.ServiceError(
                errors.ResultCode.ISOLATED, retry_after_s=0.5
            )
        return None

    def is_isolated(self) -> bool:
        """Tells whether a withdrawn key might still be taken for good here.

        While no node reaches the store, nothing changes there either; a node
        that hears from no other one can't know that.
        """
        bounds = self.settings.bounds
        if self.feed.age_s() <= bounds.apply_s + bounds.apply_stretch_s:
            return False
        now = self.clock.monotonic()
        is_alone = now - self.peers.answered_at > bounds.contact_s
        return is_alone and bool(self.peers.addresses())

    def is_ready(self) -> bool:
        """Tells whether callers should be sent here."""
        return not self.is_draining and self.find_refusal() is None

    def ranking(self, duty: str) -> list[str]:
        """Returns the candidates for a duty, the preferred one first."""
        if duty not in self.rankings:
            self.rankings[duty] = rendezvous.rank(duty, self.node_names())
        return self.rankings[duty]

    def node_names(self) -> list[str]:
        """Returns the nodes that take part, this one included."""
        return [
            entry.key.removeprefix(tenures.NODES_PREFIX)
            for entry in self.feed.under(tenures.NODES_PREFIX)
        ]

    def _take_node(self, entry: stores.Entry) -> None:
        """Has the candidates ranked anew."""
        self.rankings.clear()

    def rank(self, duty: str) -> int:
        """Returns this node's place among the candidates for a duty."""
        ranking = self.ranking(duty)
        node = self.settings.node
        return ranking.index(node) if node in ranking else len(ranking)

    async def run(self) -> None:
        """Runs until a planned stop has ended."""
        async with trio.open_nursery() as nursery:
            for task in (
                self.feed.run,
                self.book.run,
                self._keep_batches,
                self.session.run,
                self._sweep_forever,
                self._lead_services,
                self._share_usage,
                self._report_usage,
            ):
                nursery.start_soon(task)
            await self.drain_asked.wait()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Hands duties over, and leaves callers time to go elsewhere."""
        events.log(events.Event.NODE_DRAINING, node=self.settings.node)
        self.is_draining = True
        for duty in self.models.values():
            await duty.hand_over()
        await self.session.close()
        with trio.move_on_after(1.0):
            try:
                await self.usage.share(is_last=True)
            except stores.StoreError as e:
                events.log(events.Event.STORE_FAILED, reason=e.reason)
        await self.clock.sleep(NOTICE_S)
        self.stopped.set()

    async def _sweep_forever(self) -> None:
        while True:
            self.roster.sweep()
            await self.clock.rest(SWEEP_PAUSE_S)

    async def _lead_services(self) -> None:
        """Contends for each service that has model engines, and its models."""
        async with trio.open_nursery() as nursery:
            while True:
                services = self.catalogue.services if self.catalogue else {}
                for name, service in services.items():
                    if service.slots and name not in self.services:
                        self.services[name] = leading.ServiceDuty(self, name)
                        nursery.start_soon(self.services[name].run)
                    for model in service.models:
                        duty = leading.model_duty(name, model)
                        if duty not in self.models:
                            self.models[duty] = leading.ModelDuty(
                                self, self.services[name], model
                            )
                            nursery.start_soon(self.models[duty].run)
                await self.clock.rest(LEAD_PAUSE_S)

    async def _share_usage(self) -> None:
        while True:
            await self.clock.rest(USAGE_PAUSE_S)
            try:
                await self.usage.share()
            except stores.StoreError as e:
                events.log(
                    events.Event.STORE_FAILED,
                    node=self.settings.node,
                    reason=e.reason,
                )

    async def _report_usage(self) -> None:
        if not self.settings.reports_usage:
            return
        await tenures.hold(
            self.reporter.tenure,
            self._look_after_store,
            lambda: self.rank(windows.DUTY),
            USAGE_PAUSE_S,
        )

    async def _look_after_store(self) -> None:
        """Reports usage and empties VMs."""
        await self.reporter.step()
        await self._answer_retirements()

    async def _answer_retirements(self) -> None:
        """VMs hold nothing that would have to be moved off them first."""
        keys = self.surroundings.keys
        done = self.surroundings.decoders.retirement_state("done")
        for entry in self.feed.under(keys.retirements):
            node = entry.key.removeprefix(keys.retirements)
            key = keys.retirement_states + node
            known = self.feed.entries.get(key)
            if known is not None and known.revision > entry.revision:
                continue
            await self.feed.store.commit(
                stores.Transaction(puts=[stores.Put(key, done)])
            )
            events.log(events.Event.VM_EMPTIED, vm=node)
