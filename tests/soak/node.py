"""Starts a node whose wall clock can be shifted from another process.

``python -m tests.soak.node OFFSET_FILE ...`` runs ``kingcupscale serve`` with
the remaining arguments. OFFSET_FILE holds the seconds that are added to the
wall clock; the file is read again each time the clock is read.
"""

import datetime
import pathlib
import signal
import sys

# As in deploy/node.py.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from kingcupscale import clock as clocks  # noqa: E402
from kingcupscale.commands import serving  # noqa: E402


def install_clock_offset(path):
    """Patches the system clock to add the offset in the file."""
    original_now = clocks.SystemClock.now

    def now(self):
        text = path.read_text(encoding="ascii")
        return original_now(self) + datetime.timedelta(seconds=float(text or 0))

    clocks.SystemClock.now = now


if __name__ == "__main__":
    install_clock_offset(pathlib.Path(sys.argv.pop(1)))
    sys.exit(serving.main())
