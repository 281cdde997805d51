"""Texts on their way, copied to the node that would run them next.

A leader sends what its samples have added to the next candidate, so that a
takeover goes on with the texts instead of beginning them again. Nothing is
lost for good with a copy, so nothing is stored.
"""

from typing import Protocol

import attrs
import cattrs
import cattrs.preconf.orjson

from kingcupscale import errors
from kingcupscale.batches import batch
from kingcupscale.fleet import serverclient
from kingcupscale.web import exchange
from kingcupscale.web import message

PATH = "/texts"
SEND_TIMEOUT_S = 0.5
CONNECT_S = 0.25

_converter = cattrs.preconf.orjson.make_converter()


@attrs.frozen
class Text:
    """What one sample has added since it was last sent.

    Attributes:
        item: The item's identity.
        events: New events, in order.
        result: Its result, if it is finished and not listed yet.
    """

    item: str
    events: list[serverclient.StreamEvent]
    result: batch.Result | None = None


@attrs.frozen
class Copy:
    """Texts of one service's samples."""

    service: str
    texts: list[Text]


class CopyError(Exception):
    """A copy that the other node did not take."""


class CopyClient(Protocol):
    """Sends copies to other nodes."""

    async def send(self, address: str, copy: Copy) -> None:
        """Sends one copy.

        Raises:
            CopyError: If it was not taken.
        """
        ...


class HttpCopyClient:
    """A ``CopyClient`` over HTTP.

    Args:
        exchanger: Carries the calls.
    """

    def __init__(self, exchanger: exchange.Exchanger) -> None:
        self.exchanger = exchanger

    async def send(self, address: str, copy: Copy) -> None:
        """Sends one copy."""
        request = message.Request(
            "POST", PATH, "", {"host": address}, _converter.dumps(copy)
        )
        request.connect_timeout_s = CONNECT_S
        try:
            response = await exchange.fetch(
                self.exchanger, address, request, SEND_TIMEOUT_S
            )
        except exchange.ExchangeError as e:
            raise CopyError(e.reason) from e
        if response.status != 200:
            raise CopyError(f"status {response.status}")


def decode(body: bytes) -> Copy:
    """Returns a copy as it came.

    Raises:
        ServiceError: ``BODY_INVALID``.
    """
    try:
        return _converter.loads(body, Copy)
    except (ValueError, cattrs.BaseValidationError) as e:
        raise errors.ServiceError(
            errors.ResultCode.BODY_INVALID, repr(e)[:200]
        ) from None
