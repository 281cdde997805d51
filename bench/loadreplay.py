"""Compares ways to distribute calls over servers, on virtual time.

Usage:
    python -m bench.loadreplay [--nodes 24 55 380] [--json] [--plot DIR]
"""

import argparse
from collections.abc import Iterator
import pathlib
import statistics
import sys

import attrs
import orjson

from bench import loadmodel
from bench import loadstrategies

NODES = (24, 55, 380)
# Largest replays are shorter, because they have more calls.
LARGE_NODES = 200
SCENARIOS = {
    "usual": {},
    "missing": {"reports": "missing"},
    "frozen": {"reports": "frozen"},
    "wrong": {"reports": "wrong"},
    "nodes join": {"late_nodes": 0.25},
    "server joins": {"late_servers": 1},
}
# Part of a replay that a plot shows, in samples.
PLOTTED_SAMPLES = 400


@attrs.frozen
class Row:
    """The mean figures of the replays with several seeds.

    Attributes:
        scenario: Name of the scenario.
        nodes: Number of nodes.
        strategy: Name of the strategy.
        figures: Mean of each figure, by name.
    """

    scenario: str
    nodes: int
    strategy: str
    figures: dict[str, float]


def replay(
    scenario: str, nodes: int, strategy: str, seconds: float, seed: int
) -> loadmodel.Figures:
    """Returns the figures of one replay."""
    load = loadmodel.Load(nodes=nodes, seconds=seconds, **SCENARIOS[scenario])
    chooser = loadstrategies.STRATEGIES[strategy]()
    return loadmodel.Replay(load, chooser, seed).run()


def average(found: list[loadmodel.Figures]) -> dict[str, float]:
    """Returns the mean of each figure."""
    figures = {
        field.name: statistics.mean(getattr(one, field.name) for one in found)
        for field in attrs.fields(loadmodel.Figures)
        if field.name not in ("latency_ms", "history")
    }
    for name in found[0].latency_ms:
        figures[f"{name}_ms"] = statistics.mean(
            one.latency_ms[name] for one in found
        )
    return figures


def compare(options: argparse.Namespace) -> Iterator[Row]:
    """Yields the figures of each scenario, number of nodes and strategy."""
    for scenario in options.scenarios:
        for nodes in options.nodes:
            seconds = options.seconds / (2 if nodes > LARGE_NODES else 1)
            for strategy in options.strategies:
                found = [
                    replay(scenario, nodes, strategy, seconds, seed)
                    for seed in options.seeds
                ]
                yield Row(scenario, nodes, strategy, average(found))


def print_table(rows: list[Row]) -> None:
    """Prints the figures as a Markdown table."""
    print(
        "| scenario | nodes | strategy | spread | p99 | longest queue "
        "| idle | half free | p50 ms | p99 ms | p99.9 ms | connections |"
    )
    print("|" + " --- |" * 12)
    for row in rows:
        f = row.figures
        print(
            f"| {row.scenario} | {row.nodes} | {row.strategy} "
            f"| {f['spread']:.2f} | {f['spread_p99']:.2f} "
            f"| {f['longest_queue']:.0f} | {f['idle_share']:.2f} "
            f"| {f['free_share']:.2f} | {f['p50_ms']:.0f} | {f['p99_ms']:.0f} "
            f"| {f['p99.9_ms']:.0f} | {f['connections']:.0f} |"
        )


def plot(directory: pathlib.Path, options: argparse.Namespace) -> None:
    """Writes a plot of the servers' load over time for each node count."""
    # A large import that only plots need.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    directory.mkdir(parents=True, exist_ok=True)
    for nodes in options.nodes:
        figure, axes = pyplot.subplots(
            len(options.strategies),
            sharex=True,
            sharey=True,
            squeeze=False,
            figsize=(7, 1.3 * len(options.strategies) + 0.5),
        )
        for axis, strategy in zip(axes[:, 0], options.strategies, strict=True):
            found = replay(
                options.scenarios[0], nodes, strategy, 30.0, options.seeds[0]
            )
            history = found.history[:PLOTTED_SAMPLES]
            times = [n * loadmodel.SAMPLE_S for n in range(len(history))]
            axis.plot(times, history, linewidth=0.5)
            axis.set_title(strategy, fontsize=8, loc="left", pad=2)
            axis.tick_params(labelsize=7)
        axes[-1, 0].set_xlabel("seconds", fontsize=8)
        figure.supylabel("requests per slot of each server", fontsize=8)
        figure.tight_layout()
        figure.savefig(directory / f"even-load-{nodes}.png", dpi=65)
        pyplot.close(figure)


def parse(arguments: list[str]) -> argparse.Namespace:
    """Returns the command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.loadreplay", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--nodes", type=int, nargs="+", default=NODES)
    parser.add_argument(
        "--scenarios", nargs="+", choices=SCENARIOS, default=["usual"]
    )
    parser.add_argument(
        "--strategies",
        nargs="+",
        choices=loadstrategies.STRATEGIES,
        default=list(loadstrategies.STRATEGIES),
    )
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--plot", type=pathlib.Path, metavar="DIR")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> None:
    """Runs the command."""
    options = parse(arguments)
    if options.plot:
        plot(options.plot, options)
    rows = list(compare(options))
    if options.json:
        sys.stdout.buffer.write(
            orjson.dumps(
                [attrs.asdict(row) for row in rows],
                option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
            )
        )
    else:
        print_table(rows)


if __name__ == "__main__":
    main(sys.argv[1:])
