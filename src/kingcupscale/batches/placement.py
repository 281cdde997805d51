"""Placement of waiting samples on engines.

Decides which sample runs next and on which engine when several trainers submit
batches at once. A step is useful only once its groups are complete, so its
longest samples set its duration, and their duration depends on the engines
they get. The sample with the least slack is therefore placed first, on the
engine that is expected to finish it first.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

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
# Seconds of slack that are added for each unit of the route's priority, of
# which 0 is the most urgent.
SLACK_PER_PRIORITY_S = 0.3


@attrs.frozen
class Assignment:
    """A sample and the engine it is assigned to."""

    sample: sample.Sample
    server: registry.Server


def slack_s(waiting: sample.Sample, now_ms: int, token_s: float) -> float:
    """Returns how long a sample can wait and still meet its due time.

    A less urgent route adds to the slack. The expected duration is subtracted
    only for a sample that has no text yet.

    Args:
        waiting: The sample.
        now_ms: Unix time in milliseconds.
        token_s: Expected seconds per token.
    """
    age_s = (now_ms - waiting.record.submitted_ms) / 1000
    done = len(waiting.events)
    expected_s = waiting.expected_tokens() * token_s if not done else 0.0
    priority_s = waiting.route.priority * SLACK_PER_PRIORITY_S
    return waiting.route.due_s - age_s - expected_s + priority_s


def can_run(
    waiting: sample.Sample, server: registry.Server, now: float
) -> bool:
    """Tells whether an engine may run a sample by its zone and its weights.

    An engine that is loading weights for the sample's model, or has just
    rejected a sample of that model, can't run it.
    """
    batch = waiting.record.batch
    version = server.versions.get(batch.model, 0)
    if not residency.allows(waiting.zones, server.entry.zone):
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


def place_by_slack(
    waiting: Iterable[sample.Sample],
    servers: list[registry.Server],
    prompt_holders: dict[str, set[str]],
    now: float,
    now_ms: int,
    token_s: float,
) -> Iterator[Assignment]:
    """Yields assignments in the order of the samples' slack.

    The caller must add each assignment to the server's requests in flight
    before it asks for the next one. The samples are sorted only once, because
    a batch adds hundreds of them at a time.

    Args:
        waiting: Samples that wait for an engine.
        servers: Engines that accept work.
        prompt_holders: Ids of the engines whose prefix cache holds a group's
            prompt, by group.
        now: Monotonic time.
        now_ms: Unix time in milliseconds.
        token_s: Expected seconds per token.
    """
    free = [s for s in servers if s.load(now) < s.entry.slots]
    if not free:
        return
    ready = [w for w in waiting if w.not_before <= now]
    ready.sort(key=lambda w: slack_s(w, now_ms, token_s))
    for candidate in ready:
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

    It is the baseline that tests compare ``place_by_slack`` with.
    """
    for candidate in waiting:
        for server in servers:
            has_room = server.in_flight < server.entry.slots
            is_due = candidate.not_before <= now
            if is_due and has_room and can_run(candidate, server, now):
                return Assignment(candidate, server)
    return None
