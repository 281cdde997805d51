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


def run_serve(arguments: argparse.Namespace) -> None:
    """Runs a node until SIGTERM."""
    loaded = settingsfile.load(arguments.settings)
    logs.to_standard_output(clocks.SystemClock())
    trio.run(process.run, loaded, arguments.settings)


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
