"""Telling the node that runs a model's samples what its engines load."""

from typing import Protocol

import attrs

from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/loads"
SEND_TIMEOUT_S = 0.5


@attrs.frozen
class WeightLoadState:
    """How the load of a weight version on an engine stands.

    Attributes:
        server: The engine's id.
        model: The model.
        version: The version that the engine has, or will have after
            ``closed_s``.
        closed_s: Seconds for which it takes no samples of the model.
        loading_s: Seconds for which its other runs may have to wait.
    """

    server: str
    model: str
    version: int
    closed_s: float = 0.0
    loading_s: float = 0.0


class LoadClient(Protocol):
    """Sends states to other nodes."""

    async def send(self, address: str, state: WeightLoadState) -> None:
        """Sends one state.

        Raises:
            PeerError: If it was not taken.
        """
        ...


class HttpLoadClient:
    """A ``LoadClient`` over HTTP.

    Args:
        http_client: Carries the calls.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, state: WeightLoadState) -> None:
        """Sends one state."""
        await calls.post(self.http_client, address, PATH, state, SEND_TIMEOUT_S)


def decode(body: bytes) -> WeightLoadState:
    """Returns a state as it came.

    Raises:
        ServiceError: ``BODY_INVALID``.
    """
    return calls.decode(body, WeightLoadState)
