"""Calls from one node to another: typed bodies over HTTP."""

from typing import TypeVar

import cattrs

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale.web import httpclient
from kingcupscale.web import message

T = TypeVar("T")

# Nodes are at most one region apart; a connection that takes longer than this
# leads to a node that is gone.
CONNECT_S = 0.25

_converter = codec.make_wire_converter()


class PeerError(Exception):
    """A call that another node did not answer as it should.

    Args:
        reason: What went wrong.
        request_left: Whether the call may have reached it.
        status: Status of the answer; 0 for none.
    """

    def __init__(self, reason: str, request_left: bool, status: int = 0):
        super().__init__(reason)
        self.reason = reason
        self.request_left = request_left
        self.status = status


async def post(
    http_client: httpclient.HttpClient,
    address: str,
    path: str,
    value: object,
    timeout_s: float,
) -> bytes:
    """Sends a value to another node and returns the body of its answer.

    Args:
        http_client: Carries the call.
        address: ``host:port`` of the node.
        path: What is called.
        value: An ``attrs`` value.
        timeout_s: Seconds for the whole call.

    Raises:
        PeerError: If the answer is no 200, or there is none.
    """
    request = message.Request(
        "POST", path, "", {"host": address}, _converter.dumps(value)
    )
    request.connect_timeout_s = CONNECT_S
    try:
        response = await httpclient.fetch(
            http_client, address, request, timeout_s
        )
    except httpclient.RequestError as e:
        raise PeerError(e.reason, e.may_have_been_sent) from e
    if response.status != 200:
        raise PeerError(
            f"status {response.status} of {address}", True, response.status
        )
    return response.body


def encode(value: object) -> bytes:
    """Returns a value as it travels."""
    return _converter.dumps(value)


def decode_answer(body: bytes, kind: type[T]) -> T:
    """Returns a value that another node answered with.

    Raises:
        PeerError: If it makes no sense.
    """
    try:
        return _converter.loads(body, kind)
    except (ValueError, cattrs.BaseValidationError) as e:
        raise PeerError(f"unreadable answer: {e!r}"[:200], True) from e


def decode(body: bytes, kind: type[T]) -> T:
    """Returns a value that another node sent.

    Raises:
        ServiceError: ``BODY_INVALID``.
    """
    try:
        return _converter.loads(body, kind)
    except (ValueError, cattrs.BaseValidationError) as e:
        raise errors.ServiceError(
            errors.ResultCode.BODY_INVALID, repr(e)[:200]
        ) from None
