"""Estimates how many engines should hold the versions of each model.

A step needs as many slots as it has items, and accepts its own version and the
one before. All models together can load only as much as the limit on concurrent
loads allows; if they need more, each gets the same share of its need.
"""

from collections.abc import Iterable
import math

import attrs

from kingcupscale.batches import record as records
from kingcupscale.batches import weights
from kingcupscale.fleet import registry

# Share of the possible loads that is planned, so that a model which is late
# does not have to wait for the others.
PLANNED_SHARE = 0.7
# Time between two versions and items of a step that are assumed until known.
DEFAULT_INTERVAL_S = 4.0
DEFAULT_ITEMS = 64
# Longest interval that counts, so that a pause of a trainer does not let its
# model load on more engines for the next versions.
MAX_INTERVAL_S = 10.0
# Shortest interval that counts, about the time of a load: a version that is
# published faster is superseded before it is loaded, and must not take the
# other models' share of the loads.
MIN_INTERVAL_S = 1.2
# Weight of the latest interval in the moving average.
AVERAGE_WEIGHT = 0.3
# Engines of a model whose need exceeds all engines, as a multiple of an even
# share of them. With more, each engine would load more often.
ENGINES_PER_SHARE = 1.5
MIN_ENGINES = 2


@attrs.define
class ModelDemand:
    """What a model's trainer has done so far.

    Attributes:
        version: Newest version.
        named_at: Monotonic time at which it was published; None if it was
            published before this node looked.
        interval_s: Average seconds between two versions; 0 if unknown.
        items: Number of items of the latest step.
    """

    version: int
    named_at: float | None = None
    interval_s: float = 0.0
    items: int = DEFAULT_ITEMS

    def observe(self, version: int, now: float) -> None:
        """Records the newest version."""
        if version <= self.version:
            return
        if self.named_at is not None:
            elapsed_s = (now - self.named_at) / (version - self.version)
            elapsed_s = min(MAX_INTERVAL_S, elapsed_s)
            known_s = self.interval_s or elapsed_s
            self.interval_s = known_s + AVERAGE_WEIGHT * (elapsed_s - known_s)
        self.version = version
        self.named_at = now

    def next_version_s(self, now: float) -> float:
        """Returns the expected seconds until the next version.

        Infinite if unknown, also if the next one is overdue.
        """
        if self.named_at is None or not self.interval_s:
            return math.inf
        left_s = self.named_at + self.interval_s - now
        return left_s if left_s > 0 else math.inf


@attrs.define
class Demand:
    """What the trainers of all models have done so far.

    Attributes:
        models: By model.
    """

    models: dict[str, ModelDemand] = attrs.field(factory=dict)

    def observe(
        self,
        targets: dict[str, int],
        open_batches: Iterable[records.Record],
        now: float,
    ) -> None:
        """Records the newest versions and the open batches.

        Args:
            targets: Newest version by model.
            open_batches: The batches that are known, whether open or not.
            now: Monotonic time.
        """
        self.models = {
            model: self.models.get(model, ModelDemand(version))
            for model, version in targets.items()
        }
        items: dict[str, dict[int, int]] = {model: {} for model in targets}
        for record in open_batches:
            steps = items.get(record.batch.model)
            if steps is not None and record.is_open():
                step = record.batch.step
                steps[step] = steps.get(step, 0) + len(record.batch.items)
        for model, demand in self.models.items():
            demand.observe(targets[model], now)
            if items[model]:
                demand.items = items[model][max(items[model])]

    def plan(
        self, servers: list[registry.Server], loads_per_s: float, now: float
    ) -> dict[str, weights.Need]:
        """Returns what each model needs.

        Args:
            servers: Engines that accept work.
            loads_per_s: Loads that the engines can complete in a second.
            now: Monotonic time.
        """
        if not servers:
            return {}
        slots = sum(server.entry.slots for server in servers) / len(servers)
        share = engines_for_model(len(servers), len(self.models))
        wanted = {}
        for model, demand in self.models.items():
            engines = math.ceil(demand.items / max(1.0, slots))
            is_beyond_all = engines > len(servers)
            wanted[model] = -(-share // 2) if is_beyond_all else engines
        wanted_per_s = sum(
            wanted[model]
            / max(MIN_INTERVAL_S, demand.interval_s or DEFAULT_INTERVAL_S)
            for model, demand in self.models.items()
        )
        possible = PLANNED_SHARE * loads_per_s / max(wanted_per_s, 1e-9)
        needs = {}
        for model, demand in self.models.items():
            engines = max(1, round(min(1.0, possible) * wanted[model]))
            is_beyond_all = demand.items > slots * len(servers)
            usable = max(engines, share) if is_beyond_all else 2 * engines
            needs[model] = weights.Need(
                demand.version, engines, usable, demand.next_version_s(now)
            )
        return needs


def engines_for_model(engines: int, models: int) -> int:
    """Returns how many engines a model has that needs more than all."""
    share = -(-int(ENGINES_PER_SHARE * 100) * engines // (100 * max(1, models)))
    return min(engines, max(MIN_ENGINES, share))
