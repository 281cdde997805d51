"""Command line of the soak test: ``python -m tests.soak``.

Runs the given seeds and prints the invariants that each of them violated.
"""

import argparse
import random
import sys

import eliot
import trio

from tests.soak import session


def parse_seeds(text):
    """Parses ``3``, ``1-50`` or ``fresh:5`` (five random seeds)."""
    if text.startswith("fresh:"):
        count = int(text.removeprefix("fresh:"))
        return [random.SystemRandom().randrange(10**6) for _ in range(count)]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main():
    """Runs the seeds; returns 1 if any of them shows a problem."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument(
        "--seeds",
        type=parse_seeds,
        default=[1],
        help="a seed, a range such as 1-50, or fresh:N",
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of the faults for each seed",
    )
    parser.add_argument(
        "--jobs", type=int, default=1, help="number of seeds that run at a time"
    )
    parser.add_argument("--logs", help="keep settings and logs in this folder")
    arguments = parser.parse_args()
    eliot.add_destinations(lambda _: None)
    return trio.run(_run, arguments)


async def _run(arguments):
    failed = []
    pending_seeds = list(arguments.seeds)

    async def run_pending():
        while pending_seeds:
            seed = pending_seeds.pop(0)
            outcome = await session.run(seed, arguments.seconds, arguments.logs)
            _print_outcome(outcome)
            if outcome.problems:
                failed.append(seed)

    async with trio.open_nursery() as nursery:
        for _ in range(arguments.jobs):
            nursery.start_soon(run_pending)
    total = len(arguments.seeds)
    print(f"{total - len(failed)} seeds kept all promises, {len(failed)} broke")
    return 1 if failed else 0


def _print_outcome(outcome):
    print(
        f"seed {outcome.seed}: {outcome.served} of {outcome.calls_sent} calls, "
        f"{outcome.batches} batches, {len(outcome.faults)} faults, "
        f"{outcome.memory_mb} MB, {outcome.descriptors} descriptors, "
        f"{len(outcome.problems)} problems",
        flush=True,
    )
    for problem in outcome.problems[:10]:
        print("   ", *problem)


if __name__ == "__main__":
    sys.exit(main())
