"""The ``node``, ``standins`` and ``demo`` subcommands."""

import argparse
import sys
from typing import Any

import attrs
import orjson
import trio

from kingcupscale import daemon
from kingcupscale import demo
from kingcupscale import settings
from kingcupscale.commands import config
from kingcupscale.commands import connection
from kingcupscale.fakes import standins


def add_parsers(commands: Any) -> None:
    """Adds the three subcommands."""
    node_parser = commands.add_parser("node", help="run a node")
    node_parser.add_argument("--settings", required=True, metavar="FILE")
    node_parser.set_defaults(run=run_node)
    standins_parser = commands.add_parser(
        "standins", help="run fakes of the platform and of the backend servers"
    )
    standins_parser.add_argument("--settings", required=True, metavar="FILE")
    standins_parser.set_defaults(run=run_standins)
    demo_parser = commands.add_parser(
        "demo",
        help="run a small deployment in one process and check its results",
    )
    demo_parser.add_argument("--seed", type=int, default=1)
    demo_parser.add_argument(
        "--json", action="store_true", help="print the summary as a JSON object"
    )
    demo_parser.set_defaults(run=run_demo)


def run_node(arguments: argparse.Namespace) -> None:
    """Runs a node until SIGTERM."""
    loaded = settings.load(settings.NodeSettings, arguments.settings)
    with daemon.open_log(loaded.log_file):
        trio.run(daemon.run_until_signal, loaded)


def run_standins(arguments: argparse.Namespace) -> None:
    """Runs fakes of the platform and the backend servers until interrupted."""
    loaded = settings.load(standins.StandinSettings, arguments.settings)
    tables = config.read_configuration(loaded.configuration)
    trio.run(_serve_fakes, standins.Standins(tables, loaded.platform))


async def _serve_fakes(fakes: standins.Standins) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(fakes.run)
        print("the fakes are listening", flush=True)


def run_demo(arguments: argparse.Namespace) -> None:
    """Runs the demonstration and prints its summary.

    Raises:
        CommandError: If an invariant is broken.
    """
    progress = sys.stderr if arguments.json else sys.stdout
    session = demo.Demo(
        arguments.seed, lambda line: print(line, file=progress, flush=True)
    )
    summary = trio.run(session.run)
    if arguments.json:
        print(orjson.dumps(attrs.asdict(summary)).decode())
    else:
        _print_summary(summary)
    if summary.invariants_broken:
        raise connection.CommandError(
            f"{len(summary.invariants_broken)} invariants are broken",
            connection.EXIT_REFUSED,
        )


def _print_summary(summary: demo.Summary) -> None:
    print()
    for name, value in attrs.asdict(summary).items():
        if name != "invariants_broken":
            print(f"{name.replace('_', ' '):32} {value}")
    for line in summary.invariants_broken or ["none"]:
        print(f"{'invariants broken':32} {line}")
