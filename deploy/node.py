"""Starts a node from a source checkout.

The build command in the deploy file sets up the rest of the environment.
"""

import pathlib
import signal
import sys

# The default action of SIGHUP would end the process while it still imports its
# modules. The settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from kingcupscale.commands import serving  # noqa: E402

if __name__ == "__main__":
    sys.exit(serving.main())
