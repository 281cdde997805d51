"""A node's own entry in the store: its address and the size of its VM."""

import attrs
import orjson

# Capacity of a node whose entry has none, for example from an older release.
DEFAULT_CORES = 1.0
# A larger capacity is invalid. It would make all other nodes seem too weak for
# a duty.
MAX_CORES = 1024.0


@attrs.frozen
class NodeEntry:
    """A node's entry.

    Attributes:
        peers: ``host:port`` for other nodes; empty if unknown.
        cores: Processor capacity in cores of normal speed.
        memory_mb: Memory in megabytes; 0 if unknown.
    """

    peers: str = ""
    cores: float = DEFAULT_CORES
    memory_mb: float = 0.0


def encode(peers: str, cores: float | None, memory_mb: float) -> bytes:
    """Returns the value of a node's entry.

    Args:
        peers: ``host:port`` for other nodes.
        cores: Processor capacity; None if unknown.
        memory_mb: Memory in megabytes; 0 if unknown.
    """
    fields: dict[str, str | float] = {"peers": peers}
    if cores is not None:
        fields["cores"] = cores
    if memory_mb:
        fields["memoryMb"] = memory_mb
    return orjson.dumps(fields)


def decode(value: bytes | None) -> NodeEntry:
    """Returns a node's entry, with the default for each invalid field.

    One invalid entry must not prevent the other nodes from being used, so
    nothing is raised.
    """
    try:
        fields = orjson.loads(value or b"{}")
    except orjson.JSONDecodeError:
        return NodeEntry()
    if not isinstance(fields, dict):
        return NodeEntry()
    peers = fields.get("peers")
    return NodeEntry(
        peers if isinstance(peers, str) else "",
        _positive(fields.get("cores"), MAX_CORES) or DEFAULT_CORES,
        _positive(fields.get("memoryMb"), float("inf")),
    )


def _positive(value: object, largest: float) -> float:
    """Returns a number above 0 and up to a limit; 0 for any other value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value) if 0 < value <= largest else 0.0
