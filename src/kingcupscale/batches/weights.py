"""Which engines load which weight version, and when.

Answers trainers that name a version every few seconds while the previous one
may still be used: half of the engines take the even and half the odd ones, so
that each engine loads every other version and the rest serve meanwhile.
"""

from collections.abc import Iterable

import attrs

from kingcupscale.fleet import roster

# Share of the engines that may load at the same time; loads slow each other.
LOADING_SHARE = 0.5
LOADING_LEAST = 2


@attrs.frozen
class Load:
    """An engine that is to load a version of a model."""

    server: roster.Server
    model: str
    version: int


def choose_loads(
    servers: list[roster.Server],
    named: dict[str, int],
    allowed_lag: int,
    loading: set[str],
) -> list[Load]:
    """Returns the loads to order now.

    Args:
        servers: Engines that take work.
        named: Newest version by model.
        allowed_lag: How many versions behind the newest are of use.
        loading: Engines, by id, that are loading.
    """
    room = max(LOADING_LEAST, int(len(servers) * LOADING_SHARE))
    room -= len(loading)
    loads: list[Load] = []
    busy = set(loading)
    for model, newest in sorted(named.items()):
        for server in _engines_to_load(servers, model, newest, allowed_lag):
            if len(loads) < room and server.id not in busy:
                busy.add(server.id)
                loads.append(Load(server, model, newest))
    return loads


def _engines_to_load(
    servers: list[roster.Server], model: str, newest: int, allowed_lag: int
) -> list[roster.Server]:
    """Returns engines that need the newest version, the most behind first."""
    holders = [s for s in servers if model in s.versions]
    behind = [s for s in holders if s.versions[model] < newest - allowed_lag]
    current = [s for s in holders if s.versions[model] >= newest]
    lagging = [
        s for s in holders if newest - allowed_lag <= s.versions[model] < newest
    ]
    # Half of the engines should be ready for the version after this one.
    missing = len(holders) // 2 - len(behind) - len(current)
    lagging.sort(key=lambda s: (s.versions[model], s.in_flight, s.id))
    behind.sort(key=lambda s: (s.versions[model], s.in_flight, s.id))
    return behind + lagging[: max(0, missing)]


def choose_all(
    servers: Iterable[roster.Server], named: dict[str, int], loading: set[str]
) -> list[Load]:
    """Loads every version on every engine; the baseline."""
    return [
        Load(server, model, newest)
        for server in servers
        for model, newest in sorted(named.items())
        if server.versions.get(model, newest) < newest
        and server.id not in loading
    ]
