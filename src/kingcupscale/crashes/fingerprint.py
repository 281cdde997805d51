"""Fingerprints, by which equal requests of a caller are recognised."""

from kingcupscale import hashing
from kingcupscale.gateway import inboundrequest

# Separates the fields, so that no two different requests are joined equally.
# HTTP allows it in none of them but the body, which comes last.
SEPARATOR = b"\0"


def compute(inbound: inboundrequest.InboundRequest, organisation: str) -> str:
    """Returns the fingerprint of a request; the same on every node.

    Equal requests have the same method, host, path, query, organisation and
    body. Ids and other headers differ between attempts of a caller.

    Args:
        inbound: The request.
        organisation: Name of the caller's organisation; empty for none.
    """
    fields = (
        inbound.method,
        inbound.host,
        inbound.path,
        inbound.query,
        organisation,
    )
    head = SEPARATOR.join(
        field.encode("utf-8", "surrogateescape") for field in fields
    )
    return hashing.hex128(head + SEPARATOR + inbound.body)
