"""Telling the node that reports usage what this node's organisations began.

A write to the store for each node and window would be most of a large fleet's
calls, and each write wakes every node that follows the store.
"""

from typing import Protocol

import attrs

from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/counts"
SEND_TIMEOUT_S = 0.5


@attrs.frozen
class Counts:
    """What one node has counted.

    Attributes:
        node: The node.
        windows: Requests by organisation, by the window's number as text;
            each window's whole count.
    """

    node: str
    windows: dict[str, dict[str, int]]


class CountsClient(Protocol):
    """Sends counts to other nodes."""

    async def send(self, address: str, counted: Counts) -> None:
        """Sends counts.

        Raises:
            PeerError: If they were not taken.
        """
        ...


class HttpCountsClient:
    """A ``CountsClient`` over HTTP.

    Args:
        http_client: Carries the calls.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, counted: Counts) -> None:
        """Sends counts."""
        await calls.post(
            self.http_client, address, PATH, counted, SEND_TIMEOUT_S
        )


def decode(body: bytes) -> Counts:
    """Returns counts as they came.

    Raises:
        ServiceError: ``BODY_INVALID``.
    """
    return calls.decode(body, Counts)
