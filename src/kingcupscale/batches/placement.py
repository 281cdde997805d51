"""Which waiting sample runs next, and on which engine.

Answers batches that come at once from several trainers: a step is worth its
whole groups, so its longest samples decide, and they decide by the engine
they get. The sample that must begin first goes first, to the engine on which
it ends first.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from kingcupscale.batches import sample
from kingcupscale.fleet import registry

# Time that a token takes before any has been measured, in seconds.
TOKEN_S = 0.001
# How much longer a token takes for each further request on the engine.
SLOWDOWN = 0.035
# Advantage of an engine that has read the group's prompt, in slots.
SHARED_PROMPT_BONUS = 0.4
# A lower priority of the route weighs as this much slack, in seconds.
PRIORITY_S = 0.3


@attrs.frozen
class Choice:
    """A sample and the engine it goes to."""

    sample: sample.Sample
    server: registry.Server


def slack_s(waiting: sample.Sample, now_ms: int, token_s: float) -> float:
    """Returns how long a sample may still wait, in seconds.

    Args:
        waiting: The sample.
        now_ms: Milliseconds since 1970.
        token_s: Seconds that a token takes.
    """
    age_s = (now_ms - waiting.record.submitted_ms) / 1000
    done = len(waiting.events)
    expected_s = waiting.expected_tokens() * token_s if not done else 0.0
    rank_s = waiting.route.priority * PRIORITY_S
    return waiting.route.due_s - age_s - expected_s + rank_s


def can_run(
    waiting: sample.Sample, server: registry.Server, now: float
) -> bool:
    """Tells whether an engine's weights will do for a sample, and are there."""
    batch = waiting.record.batch
    version = server.versions.get(batch.model, 0)
    is_open = server.no_samples_until.get(batch.model, 0.0) <= now
    return is_open and version >= batch.minimum_version


def finish_cost(server: registry.Server, now: float, has_prompt: bool) -> float:
    """Returns how late a sample ends on an engine, relative to others."""
    others = server.load(now)
    cost = server.relative_latency * (1 + SLOWDOWN * others)
    queue = max(0.0, others + 1 - server.entry.slots)
    cost += queue / max(1, server.entry.slots)
    if has_prompt:
        cost -= SHARED_PROMPT_BONUS * SLOWDOWN
    return cost


def choose_each(
    waiting: Iterable[sample.Sample],
    servers: list[registry.Server],
    prompts: dict[str, set[str]],
    now: float,
    now_ms: int,
    token_s: float,
) -> Iterator[Choice]:
    """Yields which samples to send and where, the next one first.

    Whoever takes a choice notes it at the server before asking for the next
    one. The samples are ordered once, as a batch brings hundreds at a time.

    Args:
        waiting: Samples that wait.
        servers: Engines that take work.
        prompts: Engines, by id, that have read a group's prompt, by group.
        now: Monotonic time.
        now_ms: Milliseconds since 1970.
        token_s: Seconds that a token takes.
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
        known = prompts.get(candidate.item.group, set())
        server = min(
            able, key=lambda s: (finish_cost(s, now, s.id in known), s.id)
        )
        yield Choice(candidate, server)
        if server.load(now) >= server.entry.slots:
            free.remove(server)
            if not free:
                return


def choose_first(
    waiting: Iterable[sample.Sample],
    servers: list[registry.Server],
    now: float,
) -> Choice | None:
    """Returns any choice at all; the baseline of ``choose_each``."""
    for candidate in waiting:
        for server in servers:
            has_room = server.in_flight < server.entry.slots
            is_due = candidate.not_before <= now
            if is_due and has_room and can_run(candidate, server, now):
                return Choice(candidate, server)
    return None
