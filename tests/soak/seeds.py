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


FAILED: tuple[Seed, ...] = ()
# Played by every run of the tests, beside those that failed.
USUAL = (Seed(1, 8.0, "none; a first look at all parts"),)
