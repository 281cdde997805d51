"""The fault matrix: injects every fault at every step of test sessions.

A step is a call between two processes. Each session runs once without faults to
find its steps. Then each cell runs it again with one fault at one step, and
each pair runs it with two faults. The guarantees are checked against what the
fakes and the callers recorded.
"""

import argparse
import collections
from concurrent import futures
import itertools
import os
import random
import sys

import attrs
import orjson

from kingcupscale.fakes import faults
from kingcupscale.fakes import sessions
from kingcupscale.fakes import virtualtime

PLACES_PER_OPERATION = 4
PAIRS = 300
EXTERNAL_CALLERS = ("outside", "engines")
PLATFORM = ("key_value", "vm_list", "capacity", "usage", "weights")


@attrs.frozen
class Cell:
    """One run of the matrix.

    Attributes:
        session: Name of the session.
        faults: The faults to inject, by place (caller, operation and number of
            the call).
    """

    session: str
    faults: dict[faults.Place, faults.Fault]

    def describe(self) -> str:
        """Returns a one-line description of the cell."""
        descriptions = [
            f"{fault.value} at {caller} {operation} #{count}"
            for (caller, operation, count), fault in self.faults.items()
        ]
        return f"{self.session}: {' and '.join(descriptions)}"


@attrs.frozen
class Result:
    """The result of a cell.

    Attributes:
        cell: Description of the cell.
        broken: Violated guarantees, a line each.
        injected: Number of its faults that were injected.
    """

    cell: str
    broken: list[str]
    injected: int


@attrs.frozen
class Report:
    """Summary of the matrix.

    Attributes:
        sessions: Names of the sessions.
        steps: Number of calls between processes in all sessions without faults.
        places: Number of calls chosen for fault injection.
        faults: Number of different faults.
        cells: Number of runs with one fault.
        pairs: Number of runs with two faults.
        unstruck: Number of runs in which a fault was not injected.
        seed: Seed of the random choice of runs.
        broken: Violated guarantees, a line each.
    """

    sessions: list[str]
    steps: int
    places: int
    faults: int
    cells: int
    pairs: int
    unstruck: int
    seed: int
    broken: list[str]


def can_occur(step: faults.Step, fault: faults.Fault) -> bool:
    """Returns whether a fault can occur at a step."""
    kinds = faults.Fault
    is_http = " " in step.operation
    is_outside = step.caller in EXTERNAL_CALLERS
    is_node_target = step.target.startswith("node-")
    is_server = not is_node_target and step.target not in PLATFORM
    if fault in (kinds.ANSWER_CROSSED, kinds.ANSWER_CUT):
        return is_http and is_server and not is_outside
    if fault is kinds.TARGET_CRASHED:
        return is_node_target or is_server
    if fault is kinds.CALLER_PAUSED_SENDING:
        return is_http and not is_outside
    if fault in (
        kinds.CALLER_PAUSED,
        kinds.CALLER_CRASHED,
        kinds.CALLER_CUT_OFF,
    ):
        return not is_outside
    return True


def choose_places(
    steps: list[faults.Step], max_places: int
) -> dict[faults.Place, faults.Step]:
    """Returns evenly spaced calls of each kind.

    Args:
        steps: All calls of a session.
        max_places: Maximum number of calls of each kind, where a kind is a
            caller and an operation.
    """
    by_kind: dict[tuple[str, str], list[faults.Step]] = {}
    for step in steps:
        by_kind.setdefault((step.caller, step.operation), []).append(step)
    places = {}
    for kind, found in by_kind.items():
        count = min(max_places, len(found))
        for index in range(count):
            number = index * len(found) // count
            places[*kind, number] = found[number]
    return places


def make_cells(
    session: str, places: dict[faults.Place, faults.Step]
) -> list[Cell]:
    """Returns a cell for every place and every fault that can occur there."""
    return [
        Cell(session, {place: fault})
        for place, step in places.items()
        for fault in faults.Fault
        if can_occur(step, fault)
    ]


def make_pairs(cells: list[Cell], count: int, rng: random.Random) -> list[Cell]:
    """Returns cells with two faults, combined from random cells with one."""
    by_session = collections.defaultdict(list)
    for cell in cells:
        by_session[cell.session].append(cell)
    pairs = []
    for session in itertools.islice(itertools.cycle(by_session), count):
        first, second = rng.sample(by_session[session], 2)
        pairs.append(Cell(session, {**first.faults, **second.faults}))
    return pairs


def run_cell(cell: Cell) -> Result:
    """Runs one cell in virtual time."""
    plan = faults.FaultPlan(dict(cell.faults))
    session = sessions.SESSIONS[cell.session]
    try:
        outcome = virtualtime.run(sessions.play, session, plan)
    except Exception as e:
        return Result(cell.describe(), [f"crashed: {e!r}"], len(plan.struck))
    return Result(cell.describe(), outcome.broken, len(outcome.struck))


def find_steps(session: str) -> list[faults.Step]:
    """Returns the steps of a session without faults."""
    plan = faults.FaultPlan()
    outcome = virtualtime.run(sessions.play, sessions.SESSIONS[session], plan)
    if outcome.broken:
        raise RuntimeError(f"{session} without faults: {outcome.broken}")
    return outcome.steps


def run(
    names: list[str],
    max_places: int,
    pairs: int,
    share: int,
    seed: int,
    jobs: int,
) -> Report:
    """Runs the matrix.

    Args:
        names: Names of the sessions.
        max_places: Maximum number of places of each kind of call.
        pairs: Number of runs with two faults.
        share: Number of randomly chosen runs with one fault; 0 for all.
        seed: Seed of the random choice of runs.
        jobs: Number of parallel processes.
    """
    rng = random.Random(seed)
    steps = {name: find_steps(name) for name in names}
    places = {name: choose_places(steps[name], max_places) for name in names}
    cells = [c for name in names for c in make_cells(name, places[name])]
    pair_cells = make_pairs(cells, pairs, rng)
    if share:
        cells = rng.sample(cells, min(share, len(cells)))
    runs = [*cells, *pair_cells]
    results = _run_all(runs, jobs)
    return Report(
        names,
        sum(map(len, steps.values())),
        sum(map(len, places.values())),
        len({fault for cell in runs for fault in cell.faults.values()}),
        len(cells),
        len(pair_cells),
        sum(
            result.injected < len(cell.faults)
            for cell, result in zip(runs, results, strict=True)
        ),
        seed,
        [f"{r.cell}: {line}" for r in results for line in r.broken],
    )


def _run_all(runs: list[Cell], jobs: int) -> list[Result]:
    if jobs == 1:
        return [run_cell(cell) for cell in runs]
    with futures.ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_cell, runs, chunksize=4))


def main() -> int:
    """Runs the matrix from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--share",
        type=int,
        default=0,
        help="number of runs to choose at random",
    )
    parser.add_argument("--pairs", type=int, default=PAIRS)
    parser.add_argument("--most", type=int, default=PLACES_PER_OPERATION)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--session", action="append", default=[])
    arguments = parser.parse_args()
    report = run(
        arguments.session or list(sessions.SESSIONS),
        arguments.most,
        arguments.pairs,
        arguments.share,
        arguments.seed,
        arguments.jobs,
    )
    if arguments.json:
        print(orjson.dumps(attrs.asdict(report)).decode())
    else:
        for name, value in attrs.asdict(report).items():
            print(f"{name:10} {value}")
    return 1 if report.broken else 0


if __name__ == "__main__":
    sys.exit(main())
