"""The text a stand-in engine makes: a function anyone can check."""

from kingcupscale import hashing

SHORTEST_TOKENS = 8


def token(
    adapter: str, prompt: str, seed: int, position: int, version: int
) -> str:
    """Returns the one token that stands at a position."""
    text = f"{adapter}\0{prompt}\0{seed}\0{position}\0{version}"
    return f"{hashing.hash64(text) & 0xFFFFFF:06x}"


def length(prompt: str, seed: int, max_tokens: int) -> int:
    """Returns how long the answer is; a few are many times the usual.

    Args:
        prompt: Text to continue.
        seed: Chooses the sample.
        max_tokens: The longest allowed.
    """
    draw = hashing.hash64(f"{seed}\0{prompt}") % 1000
    heavy = 100 if draw >= 990 else 16 if draw >= 900 else 1
    return min(max_tokens, heavy * (SHORTEST_TOKENS + draw % 24))
