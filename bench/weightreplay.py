"""Replays weight loads and the steps that wait for them, without a network.

Trainers name a version of their model every few seconds, when the step before
it has ended, and submit a step with it. Engines load 0.9 s, longer if more of
them load than a number that the rule under test does not know, and reject
samples of the model meanwhile. Measured is how long a step waits for its first
and for its 40th slot.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random
import statistics
import sys
from typing import Any
from typing import Protocol

import attrs

from bench import formerloads
from kingcupscale.batches import batch
from kingcupscale.batches import demand
from kingcupscale.batches import loadlimit
from kingcupscale.batches import record
from kingcupscale.batches import weights
from kingcupscale.fleet import registry

TICK_S = 0.05
ORDER_INTERVAL_S = 0.2
SLOTS = 6
LOAD_S = 0.9
MAX_STATUS_DELAY_S = 0.4
ALLOWED_LAG = 1
# Share of the results that ends a step, and the age at which it ends anyway.
WANTED_SHARE = 0.9
MAX_STEP_S = 12.0
DUE_S = 7.5
# Waits are measured for the first slot and for this one, or for the last one of
# a smaller step.
LATER_SLOT = 40
# Seconds of a sample: median, deviation of the logarithm, bounds.
MEDIAN_SAMPLE_S = 0.7
SAMPLE_SIGMA = 0.75
SAMPLE_RANGE_S = (0.2, 5.0)
SLOWDOWN_PER_RUN = 0.035
SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)


@attrs.frozen
class Scenario:
    """A deployment and its load.

    Attributes:
        engines: Number of engines.
        bearable: Engines that can load without slowing each other down.
        models: Number of models.
        power: Exponent of the slowdown by more loads.
        interval_s: Bounds of the time between two versions of a model.
        churn_s: Time between two departures of engines; 0 for none. The
            substitute comes 4 s later.
        grown_from: Number of engines in the first 10 s; 0 if it is constant.
        items: Number of samples of a step.
        seconds: Duration.
    """

    engines: int
    bearable: int
    models: int = 4
    power: float = 2.0
    interval_s: tuple[float, float] = (3.0, 5.0)
    churn_s: float = 10.0
    grown_from: int = 0
    items: int = 64
    seconds: float = 100.0


@attrs.define(eq=False)
class Step:
    """A step: the seconds that its samples take, and when they started."""

    model: str
    number: int
    submitted_at: float
    lengths: list[float]
    record: record.Record
    starts: list[float] = attrs.field(factory=list)
    ended: int = 0
    ended_at: float = 0.0


@attrs.define(eq=False)
class Run:
    """A sample that runs on an engine."""

    step: Step
    server: registry.Server
    length_s: float
    ends_at: float


@attrs.define(eq=False)
class ActiveLoad:
    """A load in progress; ``seen_at`` is when its status shows its end."""

    load: weights.Load
    ordered_at: float
    left_s: float = LOAD_S
    seen_at: float = 0.0
    peak: int = 0
    is_limited: bool = False


class Rule(Protocol):
    """Decides which loads to order.

    Attributes:
        is_limited: Whether the latest choice left out loads that were due.
    """

    is_limited: bool

    def choose(
        self,
        now: float,
        servers: list[registry.Server],
        targets: dict[str, int],
        loads: list[ActiveLoad],
        batches: list[record.Record],
    ) -> list[weights.Load]:
        """Returns the loads to order now."""
        ...

    def loaded(self, load: ActiveLoad, now: float) -> None:
        """Records a load whose end has been seen."""
        ...


@attrs.frozen
class Outcome:
    """What a replay measured.

    Attributes:
        first_s: Waits for the first slot: mean and 95th percentile.
        later_s: The same for the slot ``LATER_SLOT``.
        step_s: Duration of a step: mean and 95th percentile.
        steps: Number of steps.
        late: Share of the steps that ended after their due time.
        loads: Loads for each version of a model.
        load_s: Duration of a load: mean and 95th percentile.
    """

    first_s: tuple[float, float]
    later_s: tuple[float, float]
    step_s: tuple[float, float]
    steps: float
    late: float
    loads: float
    load_s: tuple[float, float]

    def row(self) -> str:
        """Returns the figures as cells of a table."""
        pairs = [self.first_s, self.later_s, self.step_s, self.load_s]
        cells = [f"{mean:.2f} / {p95:.2f}" for mean, p95 in pairs]
        cells += [f"{self.steps:.0f}", f"{self.late:.1%}"]
        cells += [f"{self.loads:.1f}"]
        return " | ".join(cells)


class FormerRule:
    """Half of the engines of each model load each version.

    Attributes:
        limit: The limit on loads; None for a fixed share of the engines.
    """

    def __init__(self, limit: loadlimit.LoadLimit | None = None) -> None:
        self.limit = limit
        self.is_limited = False
        self.assigned: dict[str, set[str]] = {}

    def choose(
        self,
        now: float,
        servers: list[registry.Server],
        targets: dict[str, int],
        loads: list[ActiveLoad],
        batches: list[record.Record],
    ) -> list[weights.Load]:
        """Returns the loads to order now."""
        if self.limit is None:
            limit = max(2, int(len(servers) * loadlimit.INITIAL_SHARE))
        else:
            limit = self.limit.current(len(servers))
        self.is_limited = len(loads) >= limit
        self.assigned = formerloads.assign(servers, targets, self.assigned)
        return formerloads.choose_loads(
            servers,
            targets,
            self.assigned,
            ALLOWED_LAG,
            {active.load.server.id for active in loads},
            limit - len(loads),
        )

    def loaded(self, load: ActiveLoad, now: float) -> None:
        """Records a load whose end has been seen."""
        if self.limit is not None:
            self.limit.record(load.ordered_at, now, load.peak, load.is_limited)


class NeedRule:
    """The rule of the loader: loads by need, under the learned limit."""

    def __init__(self) -> None:
        self.limit = loadlimit.LoadLimit()
        self.is_limited = False
        self.demand = demand.Demand()

    def choose(
        self,
        now: float,
        servers: list[registry.Server],
        targets: dict[str, int],
        loads: list[ActiveLoad],
        batches: list[record.Record],
    ) -> list[weights.Load]:
        """Returns the loads to order now."""
        self.demand.observe(targets, batches, now)
        limit = self.limit.current(len(servers))
        load_s = self.limit.typical_s()
        room = limit - len(loads)
        due = weights.choose_loads(
            servers,
            servers,
            self.demand.plan(servers, limit / load_s, now),
            ALLOWED_LAG,
            {active.load.server.id: active.load for active in loads},
            room + 1,
            load_s,
        )
        self.is_limited = len(due) > room
        return due[: max(0, room)]

    def loaded(self, load: ActiveLoad, now: float) -> None:
        """Records a load whose end has been seen."""
        self.limit.record(load.ordered_at, now, load.peak, load.is_limited)


class Replay:
    """One replay of a scenario under a rule."""

    def __init__(self, scenario: Scenario, rule: Rule, seed: int) -> None:
        self.scenario = scenario
        self.rule = rule
        self.rng = random.Random(seed)
        self.models = [f"m{i}" for i in range(scenario.models)]
        self.targets = dict.fromkeys(self.models, 1)
        self.next_version_at = {
            model: self.rng.uniform(0.5, 4.0) for model in self.models
        }
        self.servers: list[registry.Server] = []
        self.joining: list[float] = []
        self.started = 0
        self.steps: list[Step] = []
        self.done: list[Step] = []
        self.runs: list[Run] = []
        self.loads: list[ActiveLoad] = []
        self.load_times: list[float] = []
        self.ordered = 0
        self.versions = 0
        for _ in range(scenario.grown_from or scenario.engines):
            self._add_engine()

    def _add_engine(self) -> None:
        name = f"e{self.started:03d}"
        self.started += 1
        entry = registry.ServerEntry(
            name,
            "engines",
            f"{name}:1",
            "a",
            registry.ServerState.READY,
            SLOTS,
            1,
        )
        versions = dict.fromkeys(self.models, 1)
        self.servers.append(registry.Server(entry, versions=versions))

    def run(self) -> Outcome:
        """Returns what the replay measured."""
        for tick in range(int(self.scenario.seconds / TICK_S)):
            now = tick * TICK_S
            self._change_fleet(tick, now)
            self._name_versions(now)
            self._advance_loads(now)
            self._end_runs(now)
            self._start_runs(now)
            if tick % round(ORDER_INTERVAL_S / TICK_S) == 0:
                self._order(now)
        return self._outcome()

    def _change_fleet(self, tick: int, now: float) -> None:
        scenario = self.scenario
        if scenario.grown_from and tick == round(10.0 / TICK_S):
            self.joining += [
                now + self.rng.uniform(0.0, 2.0)
                for _ in range(scenario.engines - scenario.grown_from)
            ]
        due = [at for at in self.joining if at <= now]
        for at in due:
            self.joining.remove(at)
            self._add_engine()
        churn = round(scenario.churn_s / TICK_S)
        if churn and tick % churn == churn // 2:
            self._remove_engine(self.rng.choice(self.servers), now)

    def _remove_engine(self, server: registry.Server, now: float) -> None:
        self.servers.remove(server)
        self.joining.append(now + 4.0)
        self.loads = [x for x in self.loads if x.load.server is not server]
        for run in [run for run in self.runs if run.server is server]:
            self.runs.remove(run)
            run.step.lengths.append(run.length_s)
            run.step.lengths.sort()

    def _name_versions(self, now: float) -> None:
        for model in self.models:
            is_running = any(step.model == model for step in self.steps)
            if now < self.next_version_at[model] or is_running:
                continue
            self.targets[model] += 1
            self.versions += 1
            self.next_version_at[model] = now + self.rng.uniform(
                *self.scenario.interval_s
            )
            lengths = [
                min(
                    SAMPLE_RANGE_S[1],
                    max(
                        SAMPLE_RANGE_S[0],
                        MEDIAN_SAMPLE_S
                        * self.rng.lognormvariate(0.0, SAMPLE_SIGMA),
                    ),
                )
                for _ in range(self.scenario.items)
            ]
            number = self.targets[model]
            items = [
                batch.Item(f"i{i}", "/", {}, b"", 1, "g", None)
                for i in range(len(lengths))
            ]
            submitted = record.Record(
                batch.Batch(
                    f"{model}-{number}",
                    "o",
                    "r",
                    "h",
                    number,
                    model,
                    number - ALLOWED_LAG,
                    1,
                    items,
                ),
                0,
            )
            self.steps.append(
                Step(model, number, now, sorted(lengths), submitted)
            )

    def _advance_loads(self, now: float) -> None:
        active = [load for load in self.loads if load.left_s > 0]
        excess = max(1.0, len(active) / self.scenario.bearable)
        for load in active:
            load.left_s -= TICK_S / excess**self.scenario.power
            if load.left_s <= 0:
                load.seen_at = now + self.rng.uniform(0.0, MAX_STATUS_DELAY_S)
        for load in list(self.loads):
            if load.left_s > 0 or load.seen_at > now:
                continue
            self.loads.remove(load)
            load.load.server.versions[load.load.model] = load.load.version
            self.load_times.append(now - load.ordered_at)
            self.rule.loaded(load, now)

    def _order(self, now: float) -> None:
        due = self.rule.choose(
            now,
            self.servers,
            self.targets,
            self.loads,
            [step.record for step in self.steps],
        )
        self.ordered += len(due)
        self.loads += [ActiveLoad(load, now) for load in due]
        for load in self.loads:
            load.peak = max(load.peak, len(self.loads))
            load.is_limited |= self.rule.is_limited

    def _end_runs(self, now: float) -> None:
        for run in [run for run in self.runs if run.ends_at <= now]:
            run.step.ended += 1
            run.server.in_flight -= 1
            self.runs.remove(run)
        for step in list(self.steps):
            if (
                step.ended < WANTED_SHARE * self.scenario.items
                and now - step.submitted_at < MAX_STEP_S
            ):
                continue
            self.steps.remove(step)
            self.done.append(step)
            step.starts += [now] * (self.scenario.items - len(step.starts))
            step.ended_at = now
            for run in [run for run in self.runs if run.step is step]:
                run.server.in_flight -= 1
                self.runs.remove(run)

    def _start_runs(self, now: float) -> None:
        loading = {(x.load.server.id, x.load.model) for x in self.loads}
        for step in self.steps:
            able = [
                server
                for server in self.servers
                if server.versions[step.model] >= step.number - ALLOWED_LAG
                and (server.id, step.model) not in loading
            ]
            while step.lengths:
                free = [s for s in able if s.in_flight < SLOTS]
                if not free:
                    break
                server = min(free, key=lambda s: s.in_flight)
                length = step.lengths.pop()
                took_s = length * (1 + SLOWDOWN_PER_RUN * server.in_flight)
                server.in_flight += 1
                self.runs.append(Run(step, server, length, now + took_s))
                if len(step.starts) < self.scenario.items:
                    step.starts.append(now)

    def _outcome(self) -> Outcome:
        ended = [step.ended_at - step.submitted_at for step in self.done]
        waits = [
            [start - step.submitted_at for start in step.starts]
            for step in self.done
        ]
        return Outcome(
            _mean_and_p95([each[0] for each in waits]),
            _mean_and_p95([each[:LATER_SLOT][-1] for each in waits]),
            _mean_and_p95(ended),
            len(ended),
            sum(each > DUE_S for each in ended) / len(ended),
            self.ordered / self.versions,
            _mean_and_p95(self.load_times),
        )


def _mean_and_p95(values: list[float]) -> tuple[float, float]:
    ordered = sorted(values)
    return statistics.fmean(ordered), ordered[int(0.95 * (len(ordered) - 1))]


SCENARIOS = {
    "36 engines, 7 bear": Scenario(36, 7),
    "36 engines, 7 bear, linear": Scenario(36, 7, power=1.0),
    "18 engines, 7 bear": Scenario(18, 7),
    "18 engines, 7 bear, 3 models": Scenario(18, 7, models=3),
    "7 grown to 36, 7 bear": Scenario(36, 7, grown_from=7),
    "40 engines, 8 bear, 3 models": Scenario(40, 8, models=3),
    "18 engines, 7 bear, small steps": Scenario(18, 7, items=24),
    "4 engines, 2 bear": Scenario(4, 2),
    "4 engines, 2 bear, small steps": Scenario(4, 2, items=16),
    "4 engines, 2 bear, 3 models": Scenario(4, 2, models=3),
    "4 engines, 2 bear, 3 models, small steps": Scenario(
        4, 2, models=3, items=24
    ),
    "5 engines, 2 bear": Scenario(5, 2),
    "5 engines, 2 bear, 3 models": Scenario(5, 2, models=3),
    "5 engines, 2 bear, 3 models, small steps": Scenario(
        5, 2, models=3, items=24
    ),
    "4 engines, 2 bear, 1 model": Scenario(4, 2, models=1),
}
RULES: dict[str, Callable[[], Rule]] = {
    "former": FormerRule,
    "former with the limit": lambda: FormerRule(loadlimit.LoadLimit()),
    "by need": NeedRule,
}


def measure(
    scenario: Scenario,
    make_rule: Callable[[], Rule],
    seeds: Sequence[int] = SEEDS,
) -> Outcome:
    """Returns the means of the outcomes of several replays."""
    found = [
        attrs.astuple(Replay(scenario, make_rule(), seed).run())
        for seed in seeds
    ]
    return Outcome(*[_mean(values) for values in zip(*found, strict=True)])


def _mean(values: tuple[Any, ...]) -> Any:
    """Returns the mean of numbers, or of pairs by position."""
    if isinstance(values[0], tuple):
        return tuple(_mean(pair) for pair in zip(*values, strict=True))
    return statistics.fmean(values)


def main() -> None:
    """Prints a table of all scenarios and rules; arguments filter scenarios."""
    print(
        "| scenario | rule | first slot s | 40th slot s | step s | load s"
        " | steps | late | loads |\n|---|---|---|---|---|---|---|---|---|"
    )
    for name, scenario in SCENARIOS.items():
        if not all(word in name for word in sys.argv[1:]):
            continue
        for rule_name, make_rule in RULES.items():
            found = measure(scenario, make_rule)
            print(f"| {name} | {rule_name} | {found.row()} |", flush=True)


if __name__ == "__main__":
    main()
