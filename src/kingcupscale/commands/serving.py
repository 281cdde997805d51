"""``serve``: a node on the platform."""

import argparse
import os
import sys
from typing import Any

import trio

from kingcupscale import clock as clocks
from kingcupscale import logs
from kingcupscale import settings
from kingcupscale.platform import process
from kingcupscale.platform import settingsfile

SETTINGS_VARIABLE = "KINGCUPSCALE_CONFIG"


def add_parser(commands: Any) -> None:
    """Adds the subcommand."""
    serve = commands.add_parser("serve", help="run a node on the platform")
    _add_arguments(serve)
    serve.set_defaults(run=run_serve)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        metavar="FILE",
        help=f"the platform's settings; default: {SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        metavar="PORT",
        help="serve metrics on this port of the node's address; 0 for none",
    )


def run_serve(arguments: argparse.Namespace) -> None:
    """Runs a node until SIGTERM."""
    loaded = settingsfile.load(arguments.settings)
    lines = logs.to_standard_output(clocks.SystemClock())
    options = process.Options(arguments.settings, arguments.metrics_port, lines)
    trio.run(process.run, loaded, options)


def main() -> int:
    """Runs a node without the rest of the command line in memory."""
    parser = argparse.ArgumentParser(description="Runs a node.")
    _add_arguments(parser)
    try:
        run_serve(parser.parse_args())
    except settings.SettingsError as e:
        print(e, file=sys.stderr)
        return 1
    return 0
