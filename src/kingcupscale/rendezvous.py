"""Rendezvous hashing: all nodes pick the same few without talking."""

from collections.abc import Iterable

from kingcupscale import hashing


def rank(subject: str, candidates: Iterable[str]) -> list[str]:
    """Orders candidates for a subject, the chosen one first.

    A candidate that comes or goes moves only the subjects it wins or held.

    Args:
        subject: What is to be placed, such as a duty or a prefix.
        candidates: Names to choose from.
    """
    return sorted(candidates, key=lambda name: (-_weight(subject, name), name))


def _weight(subject: str, candidate: str) -> int:
    return hashing.hash64(f"{subject}\0{candidate}")
