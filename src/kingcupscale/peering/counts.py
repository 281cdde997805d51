"""Sends a node's usage counts to the node that reports usage.

Counts are sent directly, as one write to the store per node and window would be
most of the store's load in a large fleet, and each write would wake every node
that watches the store.
"""

from typing import Protocol

import attrs

from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/counts"
SEND_TIMEOUT_S = 0.5


@attrs.frozen
class Counts:
    """Usage counts of one node.

    Attributes:
        node: Name of the node.
        windows: By window number (as text), the number of requests that began
            in the window, by organisation. Each count is the window's total so
            far.
    """

    node: str
    windows: dict[str, dict[str, int]]


class CountsClient(Protocol):
    """Sends counts to other nodes."""

    async def send(self, address: str, counted: Counts) -> None:
        """Sends counts.

        Raises:
            PeerError: If the other node did not accept them.
        """
        ...


class HttpCountsClient:
    """A ``CountsClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, counted: Counts) -> None:
        """Sends counts."""
        await calls.post(
            self.http_client, address, PATH, counted, SEND_TIMEOUT_S
        )


def decode(body: bytes) -> Counts:
    """Returns the counts in a request body.

    Raises:
        ServiceError: ``BODY_INVALID`` if the body is invalid.
    """
    return calls.decode(body, Counts)
