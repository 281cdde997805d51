"""Non-cryptographic hashes that are the same on every node."""

import xxhash


def hash64(text: str) -> int:
    """Returns a 64-bit hash as an integer."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hex64(text: str) -> str:
    """Returns a 64-bit hash in hexadecimal."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def hex128(data: bytes) -> str:
    """Returns a 128-bit hash in hexadecimal."""
    return xxhash.xxh3_128_hexdigest(data)
