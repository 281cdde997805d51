"""The ``serve`` subcommand: runs a node on the platform.

``deploy/node.py`` calls ``main`` and imports no other subcommand, which saves
memory.
"""

import argparse
import os
import signal
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
    """Adds the ``serve`` subcommand."""
    serve_parser = commands.add_parser(
        "serve", help="run a node on the platform"
    )
    _add_arguments(serve_parser)
    serve_parser.set_defaults(run=run_serve)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        metavar="FILE",
        help=f"settings file of the platform (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        metavar="PORT",
        help="port of the node's address to serve metrics on; 0 to disable",
    )


def run_serve(arguments: argparse.Namespace) -> None:
    """Runs a node until SIGTERM."""
    # Applies before the node handles signals itself and after it has stopped.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loaded = settingsfile.load(arguments.settings)
    log_writer = logs.to_standard_output(clocks.SystemClock())
    options = process.Options(
        arguments.settings, arguments.metrics_port, log_writer
    )
    trio.run(process.run, loaded, options)


def main() -> int:
    """Runs a node without loading the other subcommands into memory."""
    parser = argparse.ArgumentParser(description="Runs a node.")
    _add_arguments(parser)
    try:
        run_serve(parser.parse_args())
    except settings.SettingsError as e:
        print(e, file=sys.stderr)
        return 1
    return 0
