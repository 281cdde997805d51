"""JSON calls to platform services, and the base class of their clients."""

from typing import Any
from typing import TypeVar

import orjson

from kingcupscale import codec
from kingcupscale.web import httpclient
from kingcupscale.web import message

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0


class PlatformError(Exception):
    """A platform call without a valid response.

    Args:
        reason: Why the call failed.
        may_have_run: Whether the call may have taken effect.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class PlatformClient:
    """Base class of the clients of platform services.

    Args:
        http_client: Sends the HTTP requests.
        address: ``host:port`` of the service.
        timeout_s: Timeout of a call, in seconds.
    """

    def __init__(
        self,
        http_client: httpclient.HttpClient,
        address: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.http_client = http_client
        self.address = address
        self.timeout_s = timeout_s

    async def call(
        self, request: message.Request, kind: type[T], wait_s: float = 0
    ) -> T:
        """Sends one request and decodes the response.

        Args:
            request: The request.
            kind: Type of the response.
            wait_s: Seconds for which a long poll may wait, added to the
                timeout.

        Raises:
            PlatformError: If the call fails, or the response is incomplete or
                does not match the type.
        """
        timeout_s = self.timeout_s + wait_s
        return await call(
            self.http_client, self.address, request, kind, timeout_s
        )


async def call(
    http_client: httpclient.HttpClient,
    address: str,
    request: message.Request,
    kind: type[T],
    timeout_s: float,
    max_bytes: int = httpclient.MAX_BODY_BYTES,
) -> T:
    """Sends one request and decodes the response.

    Args:
        http_client: Sends the HTTP request.
        address: ``host:port`` of the service.
        request: The request.
        kind: Type of the response.
        timeout_s: Timeout in seconds.
        max_bytes: Longest valid body of the response.

    Raises:
        PlatformError: If the call fails, or the response is incomplete or does
            not match the type.
    """
    try:
        response = await httpclient.fetch(
            http_client, address, request, timeout_s, max_bytes
        )
    except httpclient.RequestError as e:
        raise PlatformError(e.reason, e.may_have_been_sent) from e
    if response.status != 200:
        raise PlatformError(_describe_error(response), response.status >= 500)
    try:
        return codec.decode(kind, response.body)
    except ValueError as e:
        raise PlatformError(f"invalid response: {e}", True) from e


def _describe_error(response: message.Response) -> str:
    try:
        detail: Any = orjson.loads(response.body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        detail = "no reason given"
    return f"expected status 200, got {response.status}: {detail}"
