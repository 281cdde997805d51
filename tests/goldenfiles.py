"""Golden files: whole sessions as normalised event logs, and what people saw.

``python -m tests.goldenfiles`` writes them anew; nothing else does.
"""

import pathlib
import sys

import eliot
import orjson

from kingcupscale.fakes import faults
from kingcupscale.fakes import judge
from kingcupscale.fakes import sessions
from kingcupscale.fakes import virtualtime

FOLDER = pathlib.Path(__file__).parent / "golden"
# What differs from run to run or only repeats the file's own order.
DROPPED = ("timestamp", "task_uuid", "task_level", "message_type")


def record(session: str) -> str:
    """Returns the events of a session without faults, a line each."""
    lines: list[str] = []

    def note(event):
        kept = {k: v for k, v in event.items() if k not in DROPPED}
        name = event["message_type"].removeprefix("kingcupscale:")
        text = orjson.dumps({"name": name, **kept}, option=orjson.OPT_SORT_KEYS)
        lines.append(text.decode())

    # eliot keeps what was logged before it had any destination for the first.
    eliot.add_destinations(_drop)
    eliot.add_destinations(note)
    try:
        outcome = virtualtime.run(
            sessions.play, sessions.SESSIONS[session], faults.FaultPlan()
        )
    finally:
        eliot.remove_destination(note)
        eliot.remove_destination(_drop)
    if outcome.broken:
        raise AssertionError(outcome.broken)
    lines += _describe(outcome.record)
    return "\n".join(lines) + "\n"


def _drop(_):
    """Takes an event and does nothing with it."""


def _describe(seen: judge.Record) -> list[str]:
    """Returns what callers and trainers saw, a line each."""
    answers = [
        f"{a.started_at:9.3f} {a.label} asked {a.node}: {a.status}"
        f" right={a.is_right} run={a.run or '-'}"
        for a in seen.answers
    ]
    groups = [
        f"{d.trainer} step {d.specification.step} group {d.group.group}"
        f" at version {d.version}: "
        + " ".join(
            f"{s.index}[{','.join(str(g.version) for g in s.segments)}]"
            for s in d.group.samples
        )
        for d in seen.deliveries
    ]
    return [*answers, *groups]


def path(session: str) -> pathlib.Path:
    """Returns the golden file of a session."""
    return FOLDER / f"{session}.jsonl"


def main() -> int:
    """Writes all golden files."""
    FOLDER.mkdir(exist_ok=True)
    for session in sessions.SESSIONS:
        path(session).write_text(record(session), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
