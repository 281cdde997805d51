"""Placement of waiting samples on engines.

Decides on which engine each sample runs, in the order of batches/order.py. The
duration of a step depends on the engines that its samples get, so each is
placed on the engine that is expected to finish it first.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from kingcupscale.batches import order
from kingcupscale.batches import sample
from kingcupscale.fleet import registry
from kingcupscale.fleet import residency

# Seconds per token that are assumed until a run has been measured.
DEFAULT_TOKEN_S = 0.001
# Relative increase of the time per token for each other request on the engine.
SLOWDOWN_PER_REQUEST = 0.035
# Advantage of an engine whose prefix cache holds the group's prompt, expressed
# as a number of other requests.
CACHED_PROMPT_BONUS = 0.4


@attrs.frozen
class Assignment:
    """A sample and the engine it is assigned to."""

    sample: sample.Sample
    server: registry.Server


def can_run(
    waiting: sample.Sample, server: registry.Server, now: float
) -> bool:
    """Tells whether an engine may run a sample by its zone and its weights.

    An engine that is loading weights for the sample's model, has just rejected
    a sample of that model, or is cold and has no room for one, can't run it.
    """
    batch = waiting.record.batch
    version = server.versions.get(batch.model, 0)
    if not residency.allows(waiting.zones, server.entry.zone):
        return False
    if server.samples_held_until.get(batch.model, 0.0) > now:
        return False
    accepts_samples = server.no_samples_until.get(batch.model, 0.0) <= now
    return accepts_samples and version >= batch.minimum_version


def completion_cost(
    server: registry.Server, now: float, has_prompt: bool
) -> float:
    """Returns a relative estimate of when an engine would finish a sample.

    Args:
        server: The engine.
        now: Monotonic time.
        has_prompt: Whether its prefix cache holds the group's prompt.
    """
    others = server.load(now)
    latency = server.relative_latency * server.slowness(now)
    cost = latency * (1 + SLOWDOWN_PER_REQUEST * others)
    queue = max(0.0, others + 1 - server.entry.slots)
    cost += queue / max(1, server.entry.slots)
    if has_prompt:
        cost -= CACHED_PROMPT_BONUS * SLOWDOWN_PER_REQUEST
    return cost


def place_in_order(
    waiting: Iterable[sample.Sample],
    open_samples: Callable[[], list[sample.Sample]],
    servers: list[registry.Server],
    prompt_holders: dict[str, set[str]],
    now: float,
    now_ms: int,
    speed: order.Speed,
) -> Iterator[Assignment]:
    """Yields assignments, the most urgent sample's first.

    The caller must add each assignment to the server's requests in flight
    before it asks for the next one. The samples are sorted only once, because
    a batch adds hundreds of them at a time.

    Args:
        waiting: Samples that wait for an engine.
        open_samples: Returns all samples of the batches that run here.
        servers: Engines that accept work.
        prompt_holders: Ids of the engines whose prefix cache holds a group's
            prompt, by group.
        now: Monotonic time.
        now_ms: Unix time in milliseconds.
        speed: How fast samples are generated.
    """
    free = [s for s in servers if s.load(now) < s.entry.slots]
    ready = [w for w in waiting if w.not_before <= now]
    if not free or not ready:
        return
    for candidate in order.sort_waiting(ready, open_samples(), speed, now_ms):
        able = [s for s in free if can_run(candidate, s, now)]
        if not able:
            continue
        holders = prompt_holders.get(candidate.item.group, set())
        server = min(
            able, key=lambda s: (completion_cost(s, now, s.id in holders), s.id)
        )
        yield Assignment(candidate, server)
        if server.load(now) >= server.entry.slots:
            free.remove(server)
            if not free:
                return


def place_first(
    waiting: Iterable[sample.Sample],
    servers: list[registry.Server],
    now: float,
) -> Assignment | None:
    """Returns the first possible assignment.

    It is the baseline that tests compare ``place_in_order`` with.
    """
    for candidate in waiting:
        for server in servers:
            has_room = server.in_flight < server.entry.slots
            is_due = candidate.not_before <= now
            if is_due and has_room and can_run(candidate, server, now):
                return Assignment(candidate, server)
    return None
