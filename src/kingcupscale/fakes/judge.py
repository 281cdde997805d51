"""Judging a session by what callers and stand-ins saw."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from kingcupscale.fakes import text
from kingcupscale.fakes import world as worlds
from kingcupscale.rollouts import messages

WITHDRAWN_WITHIN_S = 18.0
IN_FORCE_WITHIN_S = 18.0
LEAVING_WITHIN_S = 5.0


@attrs.frozen
class Delivery:
    """A group as a trainer got it.

    Attributes:
        trainer: Name of the trainer.
        specification: The step it belongs to.
        group: The group.
        version: The trainer's weight version at that time.
    """

    trainer: str
    specification: messages.StepSpecification
    group: messages.Group
    version: int


@attrs.frozen
class Answer:
    """What became of one caller's request.

    Attributes:
        label: Label of the organisation whose key came with it.
        key_id: Id of that key.
        started_at: Monotonic seconds at which it was sent.
        status: HTTP status; 0 if none came.
        run: The ``run`` field of a refusal, or empty.
        is_right: Whether the answer is the whole answer to this request.
        digest: Digest of the body of a plain call; empty for a completion.
        node: Name of the node that was asked.
        is_cut: Whether the exchange broke off.
    """

    label: str
    key_id: str
    started_at: float
    status: int
    run: str = ""
    is_right: bool = True
    digest: str = ""
    node: str = ""
    is_cut: bool = False


@attrs.frozen
class RevisionReading:
    """The revision a node said was in force."""

    node: str
    incarnation: int
    revision: int
    at: float


@attrs.define
class Record:
    """What a session's callers, trainers and operators saw.

    Attributes:
        bound: Most versions a sample may lie behind.
        deliveries: Groups delivered to trainers, in order.
        answers: What became of callers' requests.
        withdrawn: When the withdrawal of a key was answered, by key id.
        accepted: When a revision was answered as accepted.
        readings: Revisions seen on nodes.
        secrets: Texts of keys.
        once: Digests of bodies whose calls may run only once.
        draining: When a planned stop began, by node.
        leaving: When a backend server was told to leave, by name.
    """

    bound: int
    deliveries: list[Delivery] = attrs.field(factory=list)
    answers: list[Answer] = attrs.field(factory=list)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    accepted: dict[int, float] = attrs.field(factory=dict)
    readings: list[RevisionReading] = attrs.field(factory=list)
    secrets: list[str] = attrs.field(factory=list)
    once: set[str] = attrs.field(factory=set)
    draining: dict[str, float] = attrs.field(factory=dict)
    leaving: dict[str, float] = attrs.field(factory=dict)


def _judge_callers(record: Record) -> dict[str, Iterator[str]]:
    """Checks the promises that callers alone can judge."""
    return {
        "sample_names_true_versions": _check_versions(record),
        "no_stale_sample": _check_staleness(record),
        "sample_delivered_once": _check_once(record),
        "withdrawn_key_stops": _check_withdrawn(record),
        "whole_answers": _check_answers(record),
        "planned_stop_cuts_nothing": _check_stops(record),
        "configuration_in_force": _check_configuration(record),
    }


def broken_for_callers(record: Record) -> list[str]:
    """Returns a line for everything that callers alone found broken."""
    return _to_lines(
        {name: list(found) for name, found in _judge_callers(record).items()}
    )


def judge(record: Record, world: worlds.World) -> dict[str, list[str]]:
    """Checks every promise.

    Args:
        record: What the callers saw.
        world: What the stand-ins saw.

    Returns:
        What was found broken, by promise; an empty list for one that held.
    """
    checks = {
        **_judge_callers(record),
        "runs_for_own_organisation": _check_organisations(record, world),
        "no_key_at_backend_servers": _check_keys(record, world),
        "orders_from_one_holder": _check_orders(world),
        "usage_windows_agree": _check_usage(world),
        "not_run_is_true": _check_not_run(record, world),
        "non_idempotent_once": _check_runs(record, world),
        "leaving_server_rests": _check_leaving(record, world),
    }
    return {name: list(found) for name, found in checks.items()}


def broken(record: Record, world: worlds.World) -> list[str]:
    """Returns a line for everything found broken."""
    return _to_lines(judge(record, world))


def _to_lines(found: dict[str, list[str]]) -> list[str]:
    return [
        f"{name}: {line}" for name, lines in found.items() for line in lines
    ]


def stale_samples(record: Record) -> int:
    """Returns how many samples were delivered beyond the bound."""
    return len(list(_check_staleness(record)))


def duplicate_samples(record: Record) -> int:
    """Returns how many samples were delivered more than once."""
    return len(list(_check_once(record)))


def _samples(record: Record) -> Iterator[tuple[Delivery, messages.Sample]]:
    for delivery in record.deliveries:
        for sample in delivery.group.samples:
            yield delivery, sample


def _check_versions(record: Record) -> Iterator[str]:
    for delivery, sample in _samples(record):
        if not _is_true(delivery, sample):
            yield f"{delivery.trainer} group {delivery.group.group}"


def _is_true(delivery: Delivery, sample: messages.Sample) -> bool:
    """Makes the sample again from the versions that it names."""
    specification = delivery.specification
    prompt = next(
        group.prompt
        for group in specification.groups
        if group.group == delivery.group.group
    )
    length = text.length(prompt, sample.seed, specification.max_tokens)
    expected = [
        text.token(delivery.trainer, prompt, sample.seed, at, segment.version)
        for segment in sample.segments
        for at in range(segment.start, segment.end)
    ]
    return len(sample.tokens) == length and sample.tokens == expected


def _check_staleness(record: Record) -> Iterator[str]:
    for delivery, sample in _samples(record):
        behind = delivery.version - sample.oldest_version()
        if behind > record.bound:
            yield f"{delivery.trainer} sample {behind} versions behind"


def _check_once(record: Record) -> Iterator[str]:
    seen = set()
    for delivery, sample in _samples(record):
        name = (
            delivery.trainer,
            delivery.specification.step,
            delivery.group.group,
            sample.index,
        )
        if name in seen:
            yield f"{name} twice"
        seen.add(name)


def _check_organisations(record: Record, world: worlds.World) -> Iterator[str]:
    labels = {a.digest: a.label for a in record.answers if a.digest}
    for fake in world.services.values():
        for execution in fake.executions:
            expected = labels.get(execution.body_digest)
            if expected not in (None, execution.organisation):
                yield f"{expected}'s call ran for {execution.organisation}"


def _check_keys(record: Record, world: worlds.World) -> Iterator[str]:
    seen = "\n".join(world.headers_seen())
    for secret in record.secrets:
        if secret in seen:
            yield "a caller's key reached a backend server"


def _check_withdrawn(record: Record) -> Iterator[str]:
    for answer in record.answers:
        at = record.withdrawn.get(answer.key_id)
        if at is None or answer.started_at <= at + WITHDRAWN_WITHIN_S:
            continue
        if answer.status == 200:
            seconds = answer.started_at - at
            yield f"key {answer.key_id} worked {seconds:.1f} s later"


def _check_orders(world: worlds.World) -> Iterator[str]:
    newest: dict[str, int] = {}
    for received in world.capacity.orders:
        zone = received.order.zone
        if received.accepted and received.order.epoch < newest.get(zone, 0):
            yield f"{zone}: epoch {received.order.epoch} came late"
        if received.accepted:
            newest[zone] = max(newest.get(zone, 0), received.order.epoch)
    for name, fake in world.engines.items():
        epoch = 0
        for order in fake.orders:
            if order.accepted and order.order.epoch < epoch:
                yield f"{name}: epoch {order.order.epoch} came late"
            epoch = max(epoch, order.order.epoch)


def _check_usage(world: worlds.World) -> Iterator[str]:
    for window in world.intake.conflicts():
        yield f"window {window} with different figures"
    epoch: dict[str, int] = {}
    for report in world.intake.reports:
        if report.epoch < epoch.get(report.shard, 0):
            yield f"shard {report.shard}: epoch {report.epoch} came late"
        epoch[report.shard] = max(report.epoch, epoch.get(report.shard, 0))
    yield from _check_figures(world)


def _check_figures(world: worlds.World) -> Iterator[str]:
    truth: dict[str, int] = {}
    for fake in world.engines.values():
        for label, tokens in fake.generated.items():
            truth[label] = truth.get(label, 0) + tokens
    reported: dict[str, int] = {}
    for (label, _), figure in world.intake.totals().items():
        reported[label] = reported.get(label, 0) + figure.generated_tokens
    for label, tokens in reported.items():
        if tokens > truth.get(label, 0):
            yield f"{label}: {tokens} reported of {truth.get(label, 0)}"


def _check_answers(record: Record) -> Iterator[str]:
    for answer in record.answers:
        if answer.status == 200 and not answer.is_right:
            yield f"a wrong answer from {answer.node} to {answer.label}"


def _executed(world: worlds.World) -> Iterable[str]:
    for fake in world.services.values():
        for execution in fake.executions:
            yield execution.body_digest


def _check_not_run(record: Record, world: worlds.World) -> Iterator[str]:
    executed = set(_executed(world))
    other = {a.digest for a in record.answers if a.run != "not_run"}
    for answer in record.answers:
        if answer.run != "not_run" or answer.digest in other:
            continue
        if answer.digest and answer.digest in executed:
            yield f"{answer.node} said not run of a call that ran"


def _check_runs(record: Record, world: worlds.World) -> Iterator[str]:
    counts: dict[str, int] = {}
    for digest in _executed(world):
        counts[digest] = counts.get(digest, 0) + 1
    for digest in record.once:
        if counts.get(digest, 0) > 1:
            yield f"a call ran {counts[digest]} times"


def _check_leaving(record: Record, world: worlds.World) -> Iterator[str]:
    for name, at in record.leaving.items():
        arrivals: list[float] = []
        if name in world.engines:
            arrivals = world.engines[name].arrivals
        elif name in world.services:
            arrivals = [e.at for e in world.services[name].executions]
        late = [a - at for a in arrivals if a > at + LEAVING_WITHIN_S]
        if late:
            yield f"{name} got work {max(late):.1f} s after the notice"


def _check_stops(record: Record) -> Iterator[str]:
    for answer in record.answers:
        at = record.draining.get(answer.node)
        if at is not None and answer.is_cut:
            yield f"{answer.node} cut a request in its planned stop"


def _check_configuration(record: Record) -> Iterator[str]:
    highest: dict[tuple[str, int], int] = {}
    for reading in record.readings:
        name = (reading.node, reading.incarnation)
        if reading.revision < highest.get(name, 0):
            yield f"{reading.node} went back to revision {reading.revision}"
        highest[name] = max(reading.revision, highest.get(name, 0))
        due = [
            revision
            for revision, at in record.accepted.items()
            if reading.at > at + IN_FORCE_WITHIN_S
        ]
        if due and reading.revision < max(due):
            yield f"{reading.node} is at {reading.revision}, not {max(due)}"
