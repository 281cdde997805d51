"""``node``, ``standins`` and ``demo``."""

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
    """Adds the subcommands."""
    node = commands.add_parser("node", help="run a node")
    node.add_argument("--settings", required=True, metavar="FILE")
    node.set_defaults(run=run_node)
    stands = commands.add_parser(
        "standins", help="run stand-ins for the platform and the back ends"
    )
    stands.add_argument("--settings", required=True, metavar="FILE")
    stands.set_defaults(run=run_standins)
    show = commands.add_parser(
        "demo", help="run a small deployment in one process and judge it"
    )
    show.add_argument("--seed", type=int, default=1)
    show.add_argument(
        "--json", action="store_true", help="print one JSON object last"
    )
    show.set_defaults(run=run_demo)


def run_node(arguments: argparse.Namespace) -> None:
    """Runs a node until SIGTERM."""
    loaded = settings.load(settings.NodeSettings, arguments.settings)
    with daemon.open_log(loaded.log_file):
        trio.run(daemon.run_until_signal, loaded)


def run_standins(arguments: argparse.Namespace) -> None:
    """Runs the stand-ins until interrupted."""
    loaded = settings.load(standins.StandinSettings, arguments.settings)
    tables = config.read_checked(loaded.configuration)
    trio.run(_serve_standins, standins.Standins(tables, loaded.platform))


async def _serve_standins(served: standins.Standins) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(served.run)
        print("the stand-ins listen", flush=True)


def run_demo(arguments: argparse.Namespace) -> None:
    """Runs the demonstration and shows what it found.

    Raises:
        CommandError: If a check does not hold.
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
            f"{len(summary.invariants_broken)} checks do not hold",
            connection.EXIT_REFUSED,
        )


def _print_summary(summary: demo.Summary) -> None:
    print()
    for name, value in attrs.asdict(summary).items():
        if name != "invariants_broken":
            print(f"{name.replace('_', ' '):32} {value}")
    for line in summary.invariants_broken or ["none"]:
        print(f"{'invariants broken':32} {line}")
