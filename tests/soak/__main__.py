"""``python -m tests.soak``: soaks seeds and says which promises broke."""

import argparse
import random
import sys

import eliot
import trio

from tests.soak import session


def parse_seeds(text):
    """Returns the seeds that ``3``, ``1-50`` or ``fresh:5`` stand for."""
    if text.startswith("fresh:"):
        count = int(text.removeprefix("fresh:"))
        return [random.SystemRandom().randrange(10**6) for _ in range(count)]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main():
    """Runs the seeds; fails if any of them shows a problem."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument(
        "--seeds",
        type=parse_seeds,
        default=[1],
        help="a seed, a range such as 1-50, or fresh:N",
    )
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="of faults for each seed"
    )
    parser.add_argument("--jobs", type=int, default=1, help="seeds at a time")
    parser.add_argument("--logs", help="keep settings and logs in this folder")
    arguments = parser.parse_args()
    eliot.add_destinations(lambda _: None)
    return trio.run(_run, arguments)


async def _run(arguments):
    broken = []
    waiting = list(arguments.seeds)

    async def work():
        while waiting:
            seed = waiting.pop(0)
            outcome = await session.run(seed, arguments.seconds, arguments.logs)
            _show(outcome)
            if outcome.problems:
                broken.append(seed)

    async with trio.open_nursery() as nursery:
        for _ in range(arguments.jobs):
            nursery.start_soon(work)
    total = len(arguments.seeds)
    print(f"{total - len(broken)} seeds kept all promises, {len(broken)} broke")
    return 1 if broken else 0


def _show(outcome):
    print(
        f"seed {outcome.seed}: {outcome.served} of {outcome.asked} calls, "
        f"{outcome.batches} batches, {len(outcome.faults)} faults, "
        f"{outcome.memory_mb} MB, {len(outcome.problems)} problems",
        flush=True,
    )
    for words in outcome.problems[:10]:
        print("   ", *words)


if __name__ == "__main__":
    sys.exit(main())
