"""Orders engines to load weight versions.

Only the node that holds the duty lock of a service gives these orders.
"""

from collections.abc import Callable
from collections.abc import Iterable
import traceback

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.batches import demand
from kingcupscale.batches import loadlimit
from kingcupscale.batches import record as records
from kingcupscale.batches import weights
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.peering import weightloads
from kingcupscale.storage import locks

# How many versions behind the newest the weights of a step may be.
ALLOWED_LAG = 1
# Pause between two polls of an engine that is loading.
POLL_PAUSE_S = 0.2
# Load time that is assumed until a load has been measured. Measured times
# include the delay with which an engine reports that it has loaded.
DEFAULT_LOAD_S = 1.2
# After this share of the average load time, samples are sent to a loading
# engine again.
TRIAL_SHARE = 0.8
# Weight of the latest load in the moving average of the load time.
AVERAGE_WEIGHT = 0.3
# Time limit of a load. After that, it is ordered again.
LOAD_TIMEOUT_S = 8.0
# Pause before an engine gets another order after one that did not succeed.
FAILED_PAUSE_S = 0.5
# After this many polls in a row without a response, a load does not count as
# being in progress: an engine that does not answer must not block the others.
MAX_UNANSWERED_POLLS = 2
# Most loads that are left out for this reason. If more engines do not answer,
# this node may be what is slow, and they may all be loading.
MAX_SILENT_LOADS = 2


@attrs.define
class PendingOrder:
    """A load order that is in progress.

    Attributes:
        load: What was ordered.
        ordered_at: Monotonic time of the order.
        start_ms: Start time of the engine that got the order; another value
            means that the engine has restarted.
        peak: Most loads that were in progress at the same time since.
        is_limited: Whether the limit has since delayed another load.
        unanswered_polls: Number of latest polls that got no response.
        is_loading: Whether the engine's latest status said that it loads.
    """

    load: weights.Load
    ordered_at: float
    start_ms: int
    peak: int = 1
    is_limited: bool = False
    unanswered_polls: int = 0
    is_loading: bool = False

    def is_silent(self) -> bool:
        """Returns whether the engine no longer answers."""
        return self.unanswered_polls >= MAX_UNANSWERED_POLLS


class Loader:
    """Makes a service's engines load the versions that trainers publish.

    Args:
        duty_lock: Lock on the duty of giving orders to the service's engines.
        servers: Registry of the backend servers.
        client: Client for requests to engines.
        target_versions: Newest version by model.
        clock: Clock for times and pauses.
        current_catalogue: Returns the configuration in force.
        on_load_state: Called with each new state of a load.
        known_batches: Returns the batches whose items tell how many engines
            a model needs.

    Attributes:
        loading: Orders in progress, by engine id.
        not_before: Monotonic times before which engines get no order, by
            engine id.
        load_s: Moving average of the seconds that a load takes.
        limit: How many engines may load at the same time.
        other_loads: Monotonic times until which engines are assumed to load
            by another leader's order, by engine id.
        demand: What the trainers of the models have done so far.
        needs: What each model needed at the latest step.
    """

    def __init__(
        self,
        duty_lock: locks.DutyLock,
        servers: registry.ServerRegistry,
        client: serverclient.ServerClient,
        target_versions: dict[str, int],
        clock: clocks.Clock,
        current_catalogue: Callable[[], catalogue.Catalogue | None],
        on_load_state: Callable[[weightloads.WeightLoadState], None],
        known_batches: Callable[[], Iterable[records.Record]] = tuple,
    ) -> None:
        self.known_batches = known_batches
        self.on_load_state = on_load_state
        self.duty_lock = duty_lock
        self.servers = servers
        self.client = client
        self.target_versions = target_versions
        self.clock = clock
        self.current_catalogue = current_catalogue
        self.loading: dict[str, PendingOrder] = {}
        self.not_before: dict[str, float] = {}
        self.load_s = DEFAULT_LOAD_S
        self.limit = loadlimit.LoadLimit()
        self.other_loads: dict[str, float] = {}
        self.demand = demand.Demand()
        self.needs: dict[str, weights.Need] = {}

    async def step(self, nursery: trio.Nursery) -> None:
        """Orders the loads that are due, each in its own task."""
        now = self.clock.monotonic()
        load_s = self.limit.typical_s()
        # An engine that is ejected for less than a load takes is not replaced.
        servers = [
            server
            for server in self.servers.list_servers(self.duty_lock.name)
            if server.is_usable(now + load_s)
        ]
        candidates = [
            server
            for server in servers
            if server.is_usable(now)
            and self.not_before.get(server.id, 0.0) <= now
        ]
        limit = self.limit.current(len(servers))
        room = max(0, limit - self.count_in_progress(now))
        self.demand.observe(self._service_targets(), self.known_batches(), now)
        # One more than allowed tells whether the limit delays a load.
        self.needs = self.demand.plan(servers, limit / load_s, now)
        due = weights.choose_loads(
            servers,
            candidates,
            self.needs,
            ALLOWED_LAG,
            {name: pending.load for name, pending in self.loading.items()},
            room + 1,
            load_s,
        )
        for load in due[:room]:
            self.loading[load.server.id] = PendingOrder(
                load, now, load.server.entry.start_ms
            )
            nursery.start_soon(self._load, load)
        self.other_loads = {
            name: until
            for name, until in self.other_loads.items()
            if until > now
        }
        in_progress = self.count_in_progress(now)
        for pending in self.loading.values():
            pending.peak = max(pending.peak, in_progress)
            pending.is_limited |= len(due) > room
        if due[:room]:
            self._log_orders(len(due) > room, in_progress)

    def _log_orders(self, is_limited: bool, in_progress: int) -> None:
        events.log(
            events.Event.LOADS_ORDERED,
            service=self.duty_lock.name,
            limit=self.limit.limit,
            in_progress=in_progress,
            delayed=is_limited,
            engines={
                model: [need.newest, need.engines, need.usable_engines]
                for model, need in self.needs.items()
            },
        )

    def count_in_progress(self, now: float) -> int:
        """Returns how many engines load now, as far as they answer."""
        silent = sum(pending.is_silent() for pending in self.loading.values())
        others = sum(
            until > now and server_id not in self.loading
            for server_id, until in self.other_loads.items()
        )
        return len(self.loading) - min(silent, MAX_SILENT_LOADS) + others

    def _service_targets(self) -> dict[str, int]:
        """Returns the newest version of each model of the service."""
        configured = self.current_catalogue()
        service = configured and configured.services.get(self.duty_lock.name)
        models = service.models if service else ()
        return {model: self.target_versions.get(model, 1) for model in models}

    async def _load(self, load: weights.Load) -> None:
        """Orders a load and waits until it has succeeded or failed."""
        server = load.server
        started_at = self.clock.monotonic()
        outcome = "lost"
        pending = self.loading[server.id]
        try:
            outcome = await self._order(load)
            if outcome is serverclient.OrderOutcome.ACCEPTED:
                await self._await_version(load, pending)
            elif outcome is serverclient.OrderOutcome.ALREADY_LOADED:
                self._report_state(load, load.version)
        except serverclient.ServerError as e:
            outcome = e.reason
            await self._refresh_status(load)
        except Exception as e:
            # An error that concerns one engine must not end the node.
            outcome = "unexpected error"
            events.log(
                events.Event.REQUEST_FAILED,
                kind=type(e).__name__,
                server=server.id,
                trace=traceback.format_tb(e.__traceback__),
            )
        finally:
            self.loading.pop(server.id, None)
        is_loaded = server.versions.get(load.model, 0) >= load.version
        if not is_loaded:
            self.not_before[server.id] = self.clock.monotonic() + FAILED_PAUSE_S
        events.log(
            events.Event.LOAD_ENDED,
            server=server.id,
            model=load.model,
            version=load.version,
            fence=self.duty_lock.fencing_token,
            outcome=str(outcome),
            loaded=is_loaded,
            took_s=round(self.clock.monotonic() - started_at, 3),
        )

    async def _order(self, load: weights.Load) -> serverclient.OrderOutcome:
        """Sends the order of a load and returns its outcome.

        Raises:
            ServerError: If the order could not be sent or its outcome is
                unknown.
        """
        if load.server.sequence is None:
            await self._refresh_status(load)
        if load.server.sequence is None:
            raise serverclient.ServerError(
                "the engine did not report its order sequence", False
            )
        order = serverclient.VersionOrder(
            load.model,
            load.version,
            self._keeps_running_requests(),
            self.duty_lock.holder(),
            load.server.sequence,
        )
        if not self.duty_lock.is_held():
            raise serverclient.ServerError(
                "this node does not hold the duty lock", False
            )
        outcome = await self.client.order(load.server, order)
        if outcome is serverclient.OrderOutcome.ACCEPTED:
            load.server.sequence = order.expected_sequence + 1
        elif outcome is serverclient.OrderOutcome.BUSY:
            await self._refresh_status(load)
            if self.loading[load.server.id].is_loading:
                until = self.clock.monotonic() + self.limit.shortest_s()
                self.other_loads[load.server.id] = until
        return outcome

    def _keeps_running_requests(self) -> bool:
        """Tells whether running requests may continue under another version.

        They may if no route to the service requires a single version per text.
        """
        configured = self.current_catalogue()
        if configured is None:
            return False
        routes = configured.routes_to(self.duty_lock.name)
        return not any(route.single_version for route in routes)

    async def _await_version(
        self, load: weights.Load, pending: PendingOrder
    ) -> None:
        """Polls an engine until it has loaded a version or time is up."""
        started_at = self.clock.monotonic()
        previous = load.server.versions.get(load.model, 0)
        trial_s = TRIAL_SHARE * self.load_s
        # Requests name the version that they expect, so an engine that has not
        # loaded it yet rejects them without running them.
        self._report_state(load, load.version, trial_s, 2 * self.load_s)
        # The average would not fall if no load was seen to end before it.
        await self.clock.sleep(TRIAL_SHARE * self.limit.shortest_s())
        deadline = started_at + LOAD_TIMEOUT_S
        while (
            self.clock.monotonic() < deadline
            and not load.server.is_removed
            and not load.server.is_evacuated()
        ):
            await self.clock.sleep(POLL_PAUSE_S)
            if await self._refresh_status(load):
                now = self.clock.monotonic()
                self.load_s += AVERAGE_WEIGHT * (now - started_at - self.load_s)
                self._record(started_at, pending)
                self._report_state(load, load.version)
                return
        is_polled = not (load.server.is_removed or load.server.is_evacuated())
        if is_polled and not pending.unanswered_polls:
            # The engine answers, so the load is slow.
            self._record(started_at, pending)
        self._report_state(load, previous)

    def _record(self, started_at: float, pending: PendingOrder) -> None:
        """Adapts the limit to the time that a load took."""
        previous = self.limit.limit
        self.limit.record(
            started_at,
            self.clock.monotonic(),
            pending.peak,
            pending.is_limited,
        )
        if self.limit.limit != previous:
            events.log(
                events.Event.LOAD_LIMIT_CHANGED,
                service=self.duty_lock.name,
                limit=self.limit.limit,
                previous=previous,
                shortest_s=round(self.limit.shortest_s(), 3),
                median_s=round(self.limit.typical_s(), 3),
            )

    def _report_state(
        self,
        load: weights.Load,
        version: int,
        no_samples_s: float = 0.0,
        loading_s: float = 0.0,
    ) -> None:
        self.on_load_state(
            weightloads.WeightLoadState(
                load.server.id, load.model, version, no_samples_s, loading_s
            )
        )

    async def _refresh_status(self, load: weights.Load) -> bool:
        """Requests an engine's status and updates what is known of it.

        Returns:
            Whether it has loaded the version; False if its zone is evacuated.
        """
        if load.server.is_evacuated():
            return False
        pending = self.loading.get(load.server.id)
        try:
            status = await self.client.fetch_engine_status(load.server)
        except serverclient.ServerError as e:
            events.log(
                events.Event.REPORT_FAILED,
                server=load.server.id,
                reason=e.reason,
            )
            if pending is not None:
                pending.unanswered_polls += 1
            return False
        if pending is not None:
            pending.unanswered_polls = 0
            pending.is_loading = status.is_loading
        load.server.sequence = status.sequence
        for model, version in status.versions.items():
            if model != load.model or version >= load.version:
                load.server.versions[model] = version
        return status.versions.get(load.model, 0) >= load.version
