"""Runs the command line as ``python -m kingcupscale``."""

import sys

from kingcupscale import cli

sys.exit(cli.main())
