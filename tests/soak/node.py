"""Starts a node whose wall clock can be set wrong from outside.

``python -m tests.soak.node OFFSETS ...`` runs ``kingcupscale serve`` with the
remaining arguments; the file OFFSETS holds the seconds by which the wall clock
is off, read again at each use.
"""

import datetime
import pathlib
import sys

from kingcupscale import clock as clocks
from kingcupscale.commands import serving


def make_wrong(path):
    """Has the system's clock read as the file says."""
    true_now = clocks.SystemClock.now

    def now(self):
        text = path.read_text(encoding="ascii")
        return true_now(self) + datetime.timedelta(seconds=float(text or 0))

    clocks.SystemClock.now = now


if __name__ == "__main__":
    make_wrong(pathlib.Path(sys.argv.pop(1)))
    sys.exit(serving.main())
