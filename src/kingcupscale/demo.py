"""The demonstration: a whole small deployment on embedded stand-ins."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import daemon as daemons
from kingcupscale import settings
from kingcupscale.configuration import keys
from kingcupscale.fakes import callers
from kingcupscale.fakes import judge
from kingcupscale.fakes import standins
from kingcupscale.fakes import tables as sample
from kingcupscale.rollouts import trainer as trainers
from kingcupscale.web import httpclient

NODES = 4
ZONES = 3
ENGINES = 4
SERVERS = 3
ORGANISATIONS = 8
TRAINERS = 2
STEPS = 2
GROUPS = 24
SAMPLES = 8
MAX_TOKENS = 600
WINDOW_S = 5.0
START_LIMIT_S = 15.0
SESSION_LIMIT_S = 45.0
WITHDRAW_AFTER_S = 3.0
LOSE_ENGINE_AFTER_S = 4.0
LOSE_NODE_AFTER_S = 5.0
WATCH_EVERY_S = 0.5
LOST_NODE = NODES - 1
LOST_ENGINE = f"plume-{ENGINES}"
WITHDRAWN = 0

Print = Callable[[str], None]


@attrs.frozen
class Summary:
    """What the demonstration found.

    Attributes:
        samples_delivered: Samples that trainers got.
        duplicate_samples: Of them, those that came twice.
        stale_samples: Of them, those beyond the bound.
        groups_complete: Groups that trainers got.
        groups_expected: Groups that they asked for.
        weight_versions_seen: Different versions named by samples.
        requests_ok: Callers' requests answered whole.
        requests_refused: Requests refused or failed, retries included.
        wrong_answers: Answers that were not whole or not the caller's.
        refusals_of_withdrawn_key: Requests refused for the withdrawn key.
        keys_seen_by_backend_servers: Keys that reached one.
        usage_windows_reported: Windows the intake has.
        usage_windows_conflicting: Of them, those with different figures.
        invariants_checked: Promises that were checked.
        invariants_broken: What was found broken.
        seconds: How long the session took.
    """

    samples_delivered: int
    duplicate_samples: int
    stale_samples: int
    groups_complete: int
    groups_expected: int
    weight_versions_seen: int
    requests_ok: int
    requests_refused: int
    wrong_answers: int
    refusals_of_withdrawn_key: int
    keys_seen_by_backend_servers: int
    usage_windows_reported: int
    usage_windows_conflicting: int
    invariants_checked: int
    invariants_broken: list[str]
    seconds: float


class Demo:
    """One demonstration.

    Args:
        seed: Chooses which requests callers make.
        report: Shows a line of progress.
    """

    def __init__(self, seed: int, report: Print) -> None:
        self.rng = random.Random(seed)
        self.report = report
        self.clock = clocks.SystemClock()
        self.http_client = httpclient.PooledHttpClient()
        self.record = judge.Record(sample.FRESHNESS_VERSIONS)
        self.operator_key = keys.make_key("demo-operator")
        self.daemons: list[daemons.Daemon] = []
        self.scopes: list[trio.CancelScope] = []
        self.balancer = callers.Balancer([])
        self.issued: list[sample.Issued] = []
        self.trainer_keys: list[sample.Issued] = []
        self.steps_left = TRAINERS * STEPS
        self.started_at = self.clock.monotonic()
        self.tables = self._make_tables()
        self.standins = standins.Standins(self.tables)

    def _make_tables(self) -> dict[str, Any]:
        tables = sample.make_tables(
            {f"plume-{i + 1}": standins.ANY_PORT for i in range(ENGINES)},
            {f"shop-{i + 1}": standins.ANY_PORT for i in range(SERVERS)},
        )
        for number in range(ORGANISATIONS):
            name = f"customer-{number + 1}"
            issued = sample.add_organisation(tables, name, "customer")
            self.issued.append(issued)
        for number in range(TRAINERS):
            issued = sample.add_trainer(
                tables, f"trainer-{number + 1}", "customer-1"
            )
            self.trainer_keys.append(issued)
        everyone = [*self.issued, *self.trainer_keys]
        self.record.secrets = [issued.text for issued in everyone]
        return tables

    async def run(self) -> Summary:
        """Runs the session and judges it."""
        async with trio.open_nursery() as nursery:
            self._say("starting the stand-ins and the nodes")
            await nursery.start(self.standins.run)
            for number in range(NODES):
                await self._start_node(number, nursery)
            await self._configure()
            with trio.move_on_after(SESSION_LIMIT_S):
                await self._run_session()
            summary = self._summarise()
            nursery.cancel_scope.cancel()
        return summary

    def _say(self, line: str) -> None:
        seconds = self.clock.monotonic() - self.started_at
        self.report(f"[{seconds:5.1f} s] {line}")

    async def _start_node(self, number: int, nursery: trio.Nursery) -> None:
        daemon = daemons.Daemon(self._make_settings(number))
        scope = trio.CancelScope()
        await nursery.start(_run_in, scope, daemon)
        self.daemons.append(daemon)
        self.scopes.append(scope)

    def _make_settings(self, number: int) -> settings.NodeSettings:
        if self.standins.platform is None:
            raise RuntimeError("the stand-ins do not run")
        seeds = [d.addresses.peers for d in self.daemons if d.addresses]
        key = settings.OperatorKey(
            self.operator_key.salt, self.operator_key.digest
        )
        return settings.NodeSettings(
            codec.Name(f"node-{number + 1}"),
            codec.Name(sample.ZONES[number % ZONES]),
            codec.Name(sample.REGION),
            settings.Listeners(*[standins.ANY_PORT] * 3),
            self.standins.platform,
            seeds,
            {codec.Name("anna"): key},
            timings=settings.Timings(
                usage_window_s=codec.PositiveSeconds(WINDOW_S),
                lease_ttl_s=codec.PositiveSeconds(6.0),
                lease_renew_s=codec.PositiveSeconds(1.5),
            ),
        )

    def _operator(self, number: int) -> callers.Operator:
        addresses = self.daemons[number].addresses
        if addresses is None:
            raise RuntimeError("the node does not listen")
        return callers.Operator(
            self.http_client,
            addresses.operators,
            self.operator_key.text,
            self.record,
            self.clock,
        )

    async def _configure(self) -> None:
        with trio.fail_after(START_LIMIT_S):
            await self._wait_for_nodes()
            response = await self._operator(0).apply(self.tables, "first day")
            while response.status != 200:
                await trio.sleep(WATCH_EVERY_S)
                operator = self._operator(0)
                response = await operator.apply(self.tables, "first day")
        for daemon in self.daemons:
            if daemon.addresses is not None:
                self.balancer.nodes.append(
                    callers.NodeAddress(
                        daemon.settings.name, daemon.addresses.callers
                    )
                )
        self._say(f"{NODES} nodes run, the configuration is in force")

    async def _wait_for_nodes(self) -> None:
        for number in range(NODES):
            while True:
                status = await self._operator(number).status()
                if len(status.members) == NODES:
                    break
                await trio.sleep(WATCH_EVERY_S / 2)

    async def _run_session(self) -> None:
        async with trio.open_nursery() as nursery:
            background: list[Callable[[], Awaitable[None]]] = [
                self._watch_revisions,
                self._withdraw_key,
                self._lose_engine,
                self._lose_node,
            ]
            for task in background:
                nursery.start_soon(task)
            for issued in self.issued:
                nursery.start_soon(self._call, issued)
            async with trio.open_nursery() as training:
                for issued in self.trainer_keys:
                    training.start_soon(self._train, issued)
            self._say("all steps are complete")
            await self._wait_for_usage()
            nursery.cancel_scope.cancel()

    async def _call(self, issued: sample.Issued) -> None:
        caller = callers.Caller(
            self.http_client,
            self.balancer,
            issued,
            self.record,
            self.clock,
            self.rng,
        )
        for number in range(10**6):
            await caller.complete(stream=bool(number % 2))
            await caller.quote(f"{issued.organisation}-{number}")
            await trio.sleep(self.rng.uniform(0.05, 0.25))

    async def _train(self, issued: sample.Issued) -> None:
        client = trainers.TrainerClient(
            self.http_client,
            [node.address for node in self.balancer.nodes],
            issued.text,
            self.clock,
        )
        client.current = LOST_NODE
        for step in range(STEPS):
            specification = callers.make_step(
                issued.trainer,
                step,
                client.version,
                GROUPS,
                SAMPLES,
                MAX_TOKENS,
            )
            await callers.run_step(
                client, issued.trainer, specification, self.record
            )
            self.steps_left -= 1
            self._say(f"{issued.trainer} has step {step + 1} whole")
            if step + 1 < STEPS:
                await client.publish(client.version + 1)
                self._say(
                    f"{issued.trainer} published weights {client.version}"
                )

    async def _watch_revisions(self) -> None:
        while True:
            for number in range(NODES - 1):
                await self._operator(number).status()
            await trio.sleep(WATCH_EVERY_S)

    async def _withdraw_key(self) -> None:
        await trio.sleep(WITHDRAW_AFTER_S)
        key_id = self.issued[WITHDRAWN].key_id
        response = await self._operator(1).withdraw(key_id, "demonstration")
        outcome = "withdrawn" if response.status == 200 else "not withdrawn"
        self._say(f"key {key_id} is {outcome} under traffic")

    async def _lose_engine(self) -> None:
        await trio.sleep(LOSE_ENGINE_AFTER_S)
        self.standins.crash(LOST_ENGINE)
        self._say(f"engine {LOST_ENGINE} is lost")

    async def _lose_node(self) -> None:
        await trio.sleep(LOSE_NODE_AFTER_S)
        self.scopes[LOST_NODE].cancel()
        self._say(f"node-{LOST_NODE + 1} is lost")

    async def _wait_for_usage(self) -> None:
        world = self.standins.world
        while world is not None and not world.intake.totals():
            await trio.sleep(WATCH_EVERY_S)
        self._say("a usage window is reported")

    def _summarise(self) -> Summary:
        world = self.standins.world
        if world is None:
            raise RuntimeError("the stand-ins do not run")
        record = self.record
        results = judge.judge(record, world)
        found = [f"{n}: {line}" for n, ls in results.items() for line in ls]
        groups_expected = TRAINERS * STEPS * GROUPS
        found += self._unfinished(groups_expected, world.intake.windows())
        samples = [s for d in record.deliveries for s in d.group.samples]
        versions = {s.version for sample_ in samples for s in sample_.segments}
        refused = [a for a in record.answers if a.status == 401]
        return Summary(
            len(samples),
            judge.duplicate_samples(record),
            judge.stale_samples(record),
            len(record.deliveries),
            groups_expected,
            len(versions),
            sum(a.status == 200 for a in record.answers),
            sum(a.status != 200 for a in record.answers),
            sum(a.status == 200 and not a.is_right for a in record.answers),
            len(refused),
            len(results["no_key_at_backend_servers"]),
            len(world.intake.windows()),
            len(world.intake.conflicts()),
            len(results),
            found,
            round(self.clock.monotonic() - self.started_at, 1),
        )

    def _unfinished(
        self, groups_expected: int, windows: set[tuple[str, int]]
    ) -> list[str]:
        lines = []
        if len(self.record.deliveries) != groups_expected:
            delivered = len(self.record.deliveries)
            lines.append(f"only {delivered} of {groups_expected} groups came")
        if not windows:
            lines.append("no usage window was reported")
        if not self.record.withdrawn:
            lines.append("the key was not withdrawn")
        return lines


async def _run_in(
    scope: trio.CancelScope,
    daemon: daemons.Daemon,
    task_status: trio.TaskStatus[daemons.Addresses],
) -> None:
    with scope:
        await daemon.run(task_status)
