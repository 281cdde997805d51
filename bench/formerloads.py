"""The rule by which engines loaded weights before it followed the need.

Each model has some of the engines. Half of them load the even and half the odd
versions. Replays compare the rule in use with it.
"""

from kingcupscale.batches import weights
from kingcupscale.fleet import registry

# Engines of a model, as a multiple of an even share of all engines.
ENGINES_PER_SHARE = 1.5
MIN_ENGINES = 2


def engines_for_model(engines: int, models: int) -> int:
    """Returns how many engines are assigned to each model."""
    share = -(-int(ENGINES_PER_SHARE * 100) * engines // (100 * max(1, models)))
    return min(engines, max(MIN_ENGINES, share))


def assign(
    servers: list[registry.Server],
    targets: dict[str, int],
    current: dict[str, set[str]],
) -> dict[str, set[str]]:
    """Returns the ids of the engines of each model.

    Changes few assignments. A node that has just taken over the duty lock has
    no current assignments; it prefers engines whose weights are recent enough,
    so that few engines have to load.

    Args:
        servers: Engines that accept work.
        targets: Newest version by model.
        current: The engines assigned to each model so far.
    """
    number = engines_for_model(len(servers), len(targets))
    by_id = {server.id: server for server in servers}
    assigned = {
        model: current.get(model, set()) & by_id.keys() for model in targets
    }

    def count_models(server_id: str) -> int:
        return sum(server_id in ids for ids in assigned.values())

    for model in sorted(targets, key=lambda m: (len(assigned[m]), m)):
        ids = assigned[model]
        while len(ids) > number:
            ids.remove(max(ids, key=lambda i: (count_models(i), i)))
        while len(ids) < number:
            candidates = [s for s in servers if s.id not in ids]
            best = min(
                candidates,
                key=lambda s: (
                    s.versions.get(model, 0) < targets[model] - 1,
                    count_models(s.id),
                    s.id,
                ),
            )
            ids.add(best.id)
    return assigned


def choose_loads(
    servers: list[registry.Server],
    targets: dict[str, int],
    assigned: dict[str, set[str]],
    allowed_lag: int,
    loading: set[str],
    room: int,
) -> list[weights.Load]:
    """Returns the loads to order now.

    Args:
        servers: Engines that accept work.
        targets: Newest version by model.
        assigned: Ids of the engines assigned to each model.
        allowed_lag: How many versions behind the newest may still be used.
        loading: Ids of the engines that are loading.
        room: How many more engines may load.
    """
    due: list[tuple[int, int, weights.Load]] = []
    for model, newest in sorted(targets.items()):
        holders = [
            server
            for server in servers
            if server.id in assigned.get(model, ()) and model in server.versions
        ]
        oldest = newest - allowed_lag
        useful = sum(s.versions[model] >= oldest for s in holders)
        engines = _engines_to_load(holders, model, newest, allowed_lag)
        due += [
            (useful + position, position, weights.Load(server, model, newest))
            for position, server in enumerate(engines)
        ]
    # Models with the fewest engines that can serve them come first.
    due.sort(key=lambda entry: (entry[0], entry[1], entry[2].model))
    loads: list[weights.Load] = []
    busy = set(loading)
    for _, _, load in due:
        if len(loads) < room and load.server.id not in busy:
            busy.add(load.server.id)
            loads.append(load)
    return loads


def _engines_to_load(
    holders: list[registry.Server], model: str, newest: int, allowed_lag: int
) -> list[registry.Server]:
    """Returns the engines that should load the newest version.

    Those with the oldest versions come first.
    """
    oldest = newest - allowed_lag
    by_version = sorted(
        holders, key=lambda s: (s.versions[model], s.in_flight, s.id)
    )
    outdated = [s for s in by_version if s.versions[model] < oldest]
    lagging = [s for s in by_version if oldest <= s.versions[model] < newest]
    current = len(holders) - len(outdated) - len(lagging)
    # At least half of the engines should hold this version: it may still be
    # used after the next version is published.
    missing = -(-len(holders) // 2) - len(outdated) - current
    return outdated + lagging[: max(0, missing)]
