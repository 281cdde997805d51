"""Digests of text that are the same on every node."""

import xxhash


def hash64(text: str) -> int:
    """Returns a digest of 64 bits as a number."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hex64(text: str) -> str:
    """Returns a digest of 64 bits in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def hex128(data: bytes) -> str:
    """Returns a digest of 128 bits in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(data)
