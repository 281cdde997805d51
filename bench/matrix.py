"""The fault matrix: every fault at every step of whole sessions.

A step is a call between two processes. Each session is played once without
faults to find its steps; then each cell plays it again with one fault at one
step, and each pair with two. Promises are judged from what the stand-ins and
the callers saw.
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
OUTSIDERS = ("outside", "engines")
PLATFORM = ("key_value", "vm_list", "capacity", "usage", "weights")


@attrs.frozen
class Cell:
    """One run of the matrix.

    Attributes:
        session: Name of the session.
        faults: Where which faults strike.
    """

    session: str
    faults: dict[faults.Place, faults.Fault]

    def describe(self) -> str:
        """Returns a line that names the cell."""
        strikes = [
            f"{fault.value} at {caller} {operation} #{count}"
            for (caller, operation, count), fault in self.faults.items()
        ]
        return f"{self.session}: {' and '.join(strikes)}"


@attrs.frozen
class Result:
    """What a cell showed.

    Attributes:
        cell: A line that names the cell.
        broken: What was found broken, a line each.
        struck: How many of its faults took place.
    """

    cell: str
    broken: list[str]
    struck: int


@attrs.frozen
class Report:
    """The whole matrix in figures.

    Attributes:
        sessions: Names of the sessions.
        steps: Calls between processes in all sessions without faults.
        places: Calls at which faults were put.
        faults: Kinds of faults.
        cells: Runs with one fault.
        pairs: Runs with two.
        unstruck: Runs in which a fault did not take place.
        seed: Chose the pairs.
        broken: What was found broken, a line each.
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


def fits(step: faults.Step, fault: faults.Fault) -> bool:
    """Tells whether a fault can take place at a step."""
    kinds = faults.Fault
    is_http = " " in step.operation
    is_outside = step.caller in OUTSIDERS
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
    """Returns up to so many evenly spaced calls of each kind."""
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
    """Returns a cell for every place and every fault that fits it."""
    return [
        Cell(session, {place: fault})
        for place, step in places.items()
        for fault in faults.Fault
        if fits(step, fault)
    ]


def make_pairs(cells: list[Cell], count: int, rng: random.Random) -> list[Cell]:
    """Returns runs with two faults, drawn from those with one."""
    by_session = collections.defaultdict(list)
    for cell in cells:
        by_session[cell.session].append(cell)
    pairs = []
    for session in itertools.islice(itertools.cycle(by_session), count):
        one, other = rng.sample(by_session[session], 2)
        pairs.append(Cell(session, {**one.faults, **other.faults}))
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
        names: The sessions.
        max_places: Places of each kind of call.
        pairs: Runs with two faults.
        share: Runs to draw; 0 for all.
        seed: Chooses the pairs and the share.
        jobs: Processes to run at a time.
    """
    rng = random.Random(seed)
    steps = {name: find_steps(name) for name in names}
    places = {name: choose_places(steps[name], max_places) for name in names}
    cells = [c for name in names for c in make_cells(name, places[name])]
    doubles = make_pairs(cells, pairs, rng)
    if share:
        cells = rng.sample(cells, min(share, len(cells)))
    runs = [*cells, *doubles]
    results = _play_all(runs, jobs)
    return Report(
        names,
        sum(map(len, steps.values())),
        sum(map(len, places.values())),
        len({fault for cell in runs for fault in cell.faults.values()}),
        len(cells),
        len(doubles),
        sum(
            result.struck < len(cell.faults)
            for cell, result in zip(runs, results, strict=True)
        ),
        seed,
        [f"{r.cell}: {line}" for r in results for line in r.broken],
    )


def _play_all(runs: list[Cell], jobs: int) -> list[Result]:
    if jobs == 1:
        return [run_cell(cell) for cell in runs]
    with futures.ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_cell, runs, chunksize=4))


def main() -> int:
    """Runs the matrix from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--share", type=int, default=0, help="runs to draw")
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
