"""Telling the node that runs a model's samples what its engines load."""

from typing import Protocol

import attrs
import cattrs
import cattrs.preconf.orjson

from kingcupscale import errors
from kingcupscale.web import exchange
from kingcupscale.web import message

PATH = "/loads"
SEND_TIMEOUT_S = 0.5
CONNECT_S = 0.25

_converter = cattrs.preconf.orjson.make_converter()


@attrs.frozen
class LoadState:
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


class LoadError(Exception):
    """A state that the other node did not take."""


class LoadClient(Protocol):
    """Sends states to other nodes."""

    async def send(self, address: str, state: LoadState) -> None:
        """Sends one state.

        Raises:
            LoadError: If it was not taken.
        """
        ...


class HttpLoadClient:
    """A ``LoadClient`` over HTTP.

    Args:
        exchanger: Carries the calls.
    """

    def __init__(self, exchanger: exchange.Exchanger) -> None:
        self.exchanger = exchanger

    async def send(self, address: str, state: LoadState) -> None:
        """Sends one state."""
        request = message.Request(
            "POST", PATH, "", {"host": address}, _converter.dumps(state)
        )
        request.connect_timeout_s = CONNECT_S
        try:
            response = await exchange.fetch(
                self.exchanger, address, request, SEND_TIMEOUT_S
            )
        except exchange.ExchangeError as e:
            raise LoadError(e.reason) from e
        if response.status != 200:
            raise LoadError(f"status {response.status}")


def decode(body: bytes) -> LoadState:
    """Returns a state as it came.

    Raises:
        ServiceError: ``BODY_INVALID``.
    """
    try:
        return _converter.loads(body, LoadState)
    except (ValueError, cattrs.BaseValidationError) as e:
        raise errors.ServiceError(
            errors.ResultCode.BODY_INVALID, repr(e)[:200]
        ) from None
