"""Sends the state of weight loads on engines between nodes.

The node that gives an engine orders reports a load of a weight version to the
node that runs the samples of the model.
"""

from typing import Protocol

import attrs

from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/loads"
SEND_TIMEOUT_S = 0.5


@attrs.frozen
class WeightLoadState:
    """State of the load of a weight version on an engine.

    Attributes:
        server: Id of the engine.
        model: Name of the model.
        version: Weight version that the engine has, or will have after
            ``closed_s``.
        closed_s: Seconds for which the engine accepts no samples of the model.
        loading_s: Seconds for which other runs on the engine may be delayed.
    """

    server: str
    model: str
    version: int
    closed_s: float = 0.0
    loading_s: float = 0.0


class WeightLoadClient(Protocol):
    """Sends the state of weight loads to other nodes."""

    async def send(self, address: str, state: WeightLoadState) -> None:
        """Sends one state.

        Raises:
            PeerError: If the other node did not accept it.
        """
        ...


class HttpWeightLoadClient:
    """A ``WeightLoadClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, state: WeightLoadState) -> None:
        """Sends one state."""
        await calls.post(self.http_client, address, PATH, state, SEND_TIMEOUT_S)


def decode(body: bytes) -> WeightLoadState:
    """Returns the state in a request body.

    Raises:
        ServiceError: ``BODY_INVALID`` if the body is invalid.
    """
    return calls.decode(body, WeightLoadState)
