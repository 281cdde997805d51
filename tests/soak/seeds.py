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
FAILED: tuple[Seed, ...] = (
    Seed(17, 15.0, _TWO_WRITES),
    Seed(18, 15.0, _TWO_WRITES),
)
# Played by every run of the tests, beside those that failed.
USUAL = (Seed(1, 8.0, "none; a first look at all parts"),)
