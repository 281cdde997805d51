"""Which engines hold which model, and which weight version they load when.

Answers trainers that name a version every few seconds while the previous one
may still be used, on engines of which only a few can load at a time. Each
model has some of the engines; half of these take the even and half the odd
versions, so that an engine loads every other version and the rest serve
meanwhile.
"""

from collections.abc import Iterable

import attrs

from kingcupscale.fleet import registry

# Engines of a model, as a multiple of its even share of all engines. More
# would take samples elsewhere when engines are lost, but load more often.
SPREAD = 1.5
ENGINES_LEAST = 2
# Share of the engines that may load at the same time; loads slow each other.
LOADING_SHARE = 0.42
LOADING_LEAST = 2


@attrs.frozen
class Load:
    """An engine that is to load a version of a model."""

    server: registry.Server
    model: str
    version: int


def engines_for_model(engines: int, models: int) -> int:
    """Returns how many engines a model has."""
    share = -(-int(SPREAD * 100) * engines // (100 * max(1, models)))
    return min(engines, max(ENGINES_LEAST, share))


def assign(
    servers: list[registry.Server],
    named: dict[str, int],
    present: dict[str, set[str]],
) -> dict[str, set[str]]:
    """Returns the engines of each model, by id, with few moves.

    A node that takes the duty over knows no present engines; those whose
    weights are of use are taken first, so that little is loaded anew.

    Args:
        servers: Engines that take work.
        named: Newest version by model.
        present: The engines of each model so far.
    """
    number = engines_for_model(len(servers), len(named))
    by_id = {server.id: server for server in servers}
    assigned = {
        model: present.get(model, set()) & by_id.keys() for model in named
    }

    def models_of(server_id: str) -> int:
        return sum(server_id in ids for ids in assigned.values())

    for model in sorted(named, key=lambda m: (len(assigned[m]), m)):
        ids = assigned[model]
        while len(ids) > number:
            ids.remove(max(ids, key=lambda i: (models_of(i), i)))
        while len(ids) < number:
            others = [s for s in servers if s.id not in ids]
            best = min(
                others,
                key=lambda s: (
                    s.versions.get(model, 0) < named[model] - 1,
                    models_of(s.id),
                    s.id,
                ),
            )
            ids.add(best.id)
    return assigned


def choose_loads(
    servers: list[registry.Server],
    named: dict[str, int],
    assigned: dict[str, set[str]],
    allowed_lag: int,
    loading: set[str],
) -> list[Load]:
    """Returns the loads to order now.

    Args:
        servers: Engines that take work.
        named: Newest version by model.
        assigned: Engines of each model, by id.
        allowed_lag: How many versions behind the newest are of use.
        loading: Engines, by id, that are loading.
    """
    room = max(LOADING_LEAST, int(len(servers) * LOADING_SHARE))
    room -= len(loading)
    wanted: list[tuple[int, int, Load]] = []
    for model, newest in sorted(named.items()):
        holders = [
            server
            for server in servers
            if server.id in assigned.get(model, ()) and model in server.versions
        ]
        oldest = newest - allowed_lag
        useful = sum(s.versions[model] >= oldest for s in holders)
        due = _engines_to_load(holders, model, newest, allowed_lag)
        wanted += [
            (useful + place, place, Load(server, model, newest))
            for place, server in enumerate(due)
        ]
    # A model that few engines can serve goes first.
    wanted.sort(key=lambda entry: (entry[0], entry[1], entry[2].model))
    loads: list[Load] = []
    busy = set(loading)
    for _, _, load in wanted:
        if len(loads) < room and load.server.id not in busy:
            busy.add(load.server.id)
            loads.append(load)
    return loads


def _engines_to_load(
    holders: list[registry.Server], model: str, newest: int, allowed_lag: int
) -> list[registry.Server]:
    """Returns engines that need the newest version, the most behind first."""
    oldest = newest - allowed_lag
    order = sorted(
        holders, key=lambda s: (s.versions[model], s.in_flight, s.id)
    )
    behind = [s for s in order if s.versions[model] < oldest]
    lagging = [s for s in order if oldest <= s.versions[model] < newest]
    current = len(holders) - len(behind) - len(lagging)
    # Half of the engines should be ready for the version after this one.
    missing = -(-len(holders) // 2) - len(behind) - current
    return behind + lagging[: max(0, missing)]


def choose_all(
    servers: Iterable[registry.Server], named: dict[str, int], loading: set[str]
) -> list[Load]:
    """Loads every version on every engine; the baseline."""
    return [
        Load(server, model, newest)
        for server in servers
        for model, newest in sorted(named.items())
        if server.versions.get(model, newest) < newest
        and server.id not in loading
    ]
