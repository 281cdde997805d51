"""Seeds that have found a fault, each with the cause of its failure."""

import attrs


@attrs.frozen
class Seed:
    """A seed whose soak test has failed.

    Attributes:
        number: The seed.
        seconds: Duration of the faults.
        cause: The fault that it found.
    """

    number: int
    seconds: float
    cause: str


_CONCURRENT_USAGE_WRITES = (
    "at a planned stop, a node's final usage write ran at the same time as the"
    " periodic one; the second to finish found its window already removed, and"
    " the node exited with code 1"
)
_UNKNOWN_ENGINE_VERSIONS = (
    "a node ran a model's samples without having received which weight"
    " versions the engines had loaded; each engine refused each run, and the"
    " node never queried the engines for their versions"
)
FAILED: tuple[Seed, ...] = (
    Seed(1, 8.0, _UNKNOWN_ENGINE_VERSIONS),
    Seed(17, 15.0, _CONCURRENT_USAGE_WRITES),
    Seed(18, 15.0, _CONCURRENT_USAGE_WRITES),
)
