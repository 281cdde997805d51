"""HTTP calls between nodes, with ``attrs`` values as JSON bodies."""

from typing import TypeVar

import cattrs

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale.web import httpclient
from kingcupscale.web import message

T = TypeVar("T")

# Nodes are at most one region apart; if connecting takes longer than this, the
# other node is down.
CONNECT_TIMEOUT_S = 0.25
# Longest response that only acknowledges a request.
MAX_ACKNOWLEDGEMENT_BYTES = 64 * 1024

_converter = codec.make_wire_converter()
# The converter raises TypeError or AttributeError for a value that is not an
# object.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    cattrs.BaseValidationError,
)


class PeerError(Exception):
    """A call to another node failed.

    Args:
        reason: Description of the failure.
        may_have_been_sent: Whether any part of the request may have been sent.
        status: HTTP status of the response; 0 if there was none.
    """

    def __init__(self, reason: str, may_have_been_sent: bool, status: int = 0):
        super().__init__(reason)
        self.reason = reason
        self.may_have_been_sent = may_have_been_sent
        self.status = status


async def post(
    http_client: httpclient.HttpClient,
    address: str,
    path: str,
    value: object,
    timeout_s: float,
    max_bytes: int = MAX_ACKNOWLEDGEMENT_BYTES,
) -> bytes:
    """Sends a value to another node and returns the body of its response.

    Args:
        http_client: Sends the requests.
        address: ``host:port`` of the node.
        path: Path of the request.
        value: Value to send, an ``attrs`` instance.
        timeout_s: Time limit of the whole call, in seconds.
        max_bytes: Longest valid body of the response.

    Raises:
        PeerError: If there is no response, or its status is not 200.
    """
    request = message.Request(
        "POST", path, "", {"host": address}, _converter.dumps(value)
    )
    request.connect_timeout_s = CONNECT_TIMEOUT_S
    try:
        response = await httpclient.fetch(
            http_client, address, request, timeout_s, max_bytes
        )
    except httpclient.RequestError as e:
        raise PeerError(e.reason, e.may_have_been_sent) from e
    if response.status != 200:
        raise PeerError(
            f"expected status 200, got {response.status} from {address}",
            True,
            response.status,
        )
    return response.body


def encode(value: object) -> bytes:
    """Returns a value encoded as JSON."""
    return _converter.dumps(value)


def decode_response(body: bytes, kind: type[T]) -> T:
    """Returns the decoded body of a response of another node.

    Raises:
        PeerError: If the body is invalid.
    """
    try:
        return _converter.loads(body, kind)
    except _DECODE_ERRORS as e:
        raise PeerError(f"invalid response: {e!r}"[:200], True) from e


def decode(body: bytes, kind: type[T]) -> T:
    """Returns the decoded body of a request of another node.

    Raises:
        ServiceError: ``BODY_INVALID`` if the body is invalid.
    """
    try:
        return _converter.loads(body, kind)
    except _DECODE_ERRORS as e:
        raise errors.ServiceError(
            errors.ResultCode.BODY_INVALID, repr(e)[:200]
        ) from None
