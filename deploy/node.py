"""Starts a node from a source checkout.

The build command in the deploy file sets up the rest of the environment.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from kingcupscale.commands import serving  # noqa: E402

if __name__ == "__main__":
    sys.exit(serving.main())
