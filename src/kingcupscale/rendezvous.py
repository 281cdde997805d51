"""Rendezvous hashing: all nodes make the same choice without coordination."""

from collections.abc import Iterable

from kingcupscale import hashing


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Sorts candidates for a key, the preferred one first.

    Adding or removing a candidate moves only the keys that prefer it.

    Args:
        key: What to assign to a candidate, such as a duty or a prefix.
        candidates: Names to choose from.
    """
    return sorted(candidates, key=lambda name: (-_weight(key, name), name))


def _weight(key: str, candidate: str) -> int:
    return hashing.hash64(f"{key}\0{candidate}")
