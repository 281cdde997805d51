"""Fingerprints, by which equal requests of a caller are recognised."""

from kingcupscale import hashing

# Separates the fields, so that no two different requests are joined equally.
# HTTP allows it in none of them but the body, which comes last.
SEPARATOR = b"\0"


def compute(
    method: str,
    host: str,
    path: str,
    query: str,
    organisation: str,
    body: bytes,
) -> str:
    """Returns the fingerprint of a request; the same on every node.

    Ids and other headers are left out: they differ between the attempts of a
    caller.

    Args:
        method: HTTP method.
        host: Host that the request is for; empty if it has no meaning.
        path: Path without the query.
        query: Query string.
        organisation: Name of the caller's organisation; empty for none.
        body: The whole body.
    """
    head = SEPARATOR.join(
        field.encode("utf-8", "surrogateescape")
        for field in (method, host, path, query, organisation)
    )
    return hashing.hex128(head + SEPARATOR + body)
