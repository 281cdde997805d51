"""Chooses which engines load which weight version.

Trainers publish a version every few seconds, the previous version may still
be used, and only a few engines can load at the same time. Each version is
therefore loaded by as many engines as the next step needs, preferably by those
whose version can no longer be used: while they load, the engines with the
previous version serve the present step.
"""

import collections
from collections.abc import Iterable
import math

import attrs

from kingcupscale.fleet import registry


@attrs.frozen
class Load:
    """A version of a model that an engine has to load."""

    server: registry.Server
    model: str
    version: int


@attrs.frozen
class Need:
    """How many engines should hold which versions of a model.

    Attributes:
        newest: Newest version.
        engines: Engines that should hold it before the next one is published.
        usable_engines: Engines that should hold a version that may be used.
        next_version_s: Expected seconds until the next version is published;
            infinite if unknown.
    """

    newest: int
    engines: int
    usable_engines: int
    next_version_s: float = math.inf


@attrs.define
class _Holdings:
    """Which engines hold usable versions, including loads in progress.

    Attributes:
        needs: What each model needs.
        allowed_lag: How many versions behind the newest may still be used.
        current: Number of engines with the newest version, by model.
        usable: Number of engines with a usable version, by model.
        models: Number of models of which an engine has a usable version, by
            the engine's id.
        by_zone: Number of engines with a usable version, by model and zone.
    """

    needs: dict[str, Need]
    allowed_lag: int
    current: dict[str, int]
    usable: dict[str, int]
    models: dict[str, int]
    by_zone: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )

    def is_usable(self, model: str, version: int) -> bool:
        """Returns whether samples of the present step accept a version."""
        return version >= self.needs[model].newest - self.allowed_lag

    def add(self, server: registry.Server, model: str, version: int) -> None:
        """Adds an engine's version of a model."""
        self.current[model] += version >= self.needs[model].newest
        if self.is_usable(model, version):
            self._add_usable(server, model)

    def _add_usable(self, server: registry.Server, model: str) -> None:
        self.usable[model] += 1
        self.models[server.id] += 1
        self.by_zone[model, server.entry.zone] += 1

    def add_load(self, load: Load) -> None:
        """Replaces an engine's version by the one that it loads."""
        held = load.server.versions[load.model]
        self.current[load.model] += 1
        if not self.is_usable(load.model, held):
            self._add_usable(load.server, load.model)

    def may_load(self, model: str, held: int) -> bool:
        """Returns whether an engine with a version may load the newest one."""
        need = self.needs[model]
        if not 0 < held < need.newest:
            return False
        if not self.is_usable(model, held):
            return self.usable[model] < need.usable_engines
        # The present step keeps at least as many engines as the next one has.
        return 2 * self.current[model] < self.usable[model]

    def urgency(self, model: str, load_s: float) -> tuple[bool, float, float]:
        """Returns a sort key; the model whose load is most urgent is lowest.

        A load that would end after the next version is published yields to
        others unless no engine would hold the present version then.
        """
        need = self.needs[model]
        is_late = need.next_version_s < load_s and self.current[model] > 0
        return (
            is_late,
            self.usable[model] / need.usable_engines,
            self.current[model] / need.engines,
        )

    def has_enough(self, model: str) -> bool:
        """Returns whether no further engine needs to load."""
        need = self.needs[model]
        return (
            self.current[model] >= need.engines
            and self.usable[model] >= need.usable_engines
        )


def choose_loads(
    servers: list[registry.Server],
    candidates: list[registry.Server],
    needs: dict[str, Need],
    allowed_lag: int,
    loading: dict[str, Load],
    room: int,
    load_s: float,
) -> list[Load]:
    """Returns the loads to order now, the most urgent model's first.

    Args:
        servers: Engines that accept work or soon will.
        candidates: Those of them that may get an order.
        needs: What each model needs.
        allowed_lag: How many versions behind the newest may still be used.
        loading: Orders in progress, by the engine's id.
        room: How many more engines may load.
        load_s: Expected seconds of a load.
    """
    holdings = _count_holdings(servers, needs, allowed_lag, loading)
    idle = [server for server in candidates if server.id not in loading]
    lacking = {model for model in needs if not holdings.has_enough(model)}
    loads: list[Load] = []
    while lacking and len(loads) < room:
        model = min(lacking, key=lambda m: (holdings.urgency(m, load_s), m))
        server = _best_engine(idle, model, holdings)
        if server is None:
            lacking.remove(model)
            continue
        load = Load(server, model, needs[model].newest)
        holdings.add_load(load)
        loads.append(load)
        idle.remove(server)
        if holdings.has_enough(model):
            lacking.remove(model)
    return loads


def _count_holdings(
    servers: list[registry.Server],
    needs: dict[str, Need],
    allowed_lag: int,
    loading: dict[str, Load],
) -> _Holdings:
    holdings = _Holdings(
        needs,
        allowed_lag,
        dict.fromkeys(needs, 0),
        dict.fromkeys(needs, 0),
        {server.id: 0 for server in servers},
    )
    for server in servers:
        load = loading.get(server.id)
        for model in needs:
            version = server.versions.get(model, 0)
            if load is not None and load.model == model:
                version = max(version, load.version)
            holdings.add(server, model, version)
    return holdings


def _best_engine(
    idle: list[registry.Server], model: str, holdings: _Holdings
) -> registry.Server | None:
    """Returns the engine that should load a model's newest version.

    Engines whose version can't be used come first, then those in the zone that
    has the fewest usable engines of the model: a zone may be lost, and samples
    may be restricted to some zones. Then come those that serve the fewest
    models, so that models share few engines.
    """
    return min(
        (s for s in idle if holdings.may_load(model, s.versions.get(model, 0))),
        key=lambda s: (
            holdings.is_usable(model, s.versions[model]),
            holdings.by_zone[model, s.entry.zone],
            holdings.models[s.id],
            -s.versions[model],
            s.in_flight,
            s.id,
        ),
        default=None,
    )


def choose_all(
    servers: Iterable[registry.Server],
    targets: dict[str, int],
    loading: set[str],
) -> list[Load]:
    """Returns loads that bring all engines to the newest version of all models.

    It is the baseline that tests compare ``choose_loads`` with.
    """
    return [
        Load(server, model, newest)
        for server in servers
        for model, newest in sorted(targets.items())
        if server.versions.get(model, newest) < newest
        and server.id not in loading
    ]
