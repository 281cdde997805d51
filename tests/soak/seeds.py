"""Seeds that have shown a fault, each with a line on its cause."""

import attrs


@attrs.frozen
class Seed:
    """A seed that failed once.

    Attributes:
        number: The seed.
        seconds: Length of its faults.
        cause: What it had found.
    """

    number: int
    seconds: float
    cause: str


_TWO_WRITES = (
    "at a planned stop a node's last write of usage met the usual one, and the"
    " second to end found its window gone: the node ended with code 1"
)
_VERSION_UNTOLD = (
    "a node ran a model's samples without having been told which versions the"
    " engines had loaded: each refused each run, and nothing asked them"
)
FAILED: tuple[Seed, ...] = (
    Seed(1, 8.0, _VERSION_UNTOLD),
    Seed(17, 15.0, _TWO_WRITES),
    Seed(18, 15.0, _TWO_WRITES),
)
