"""One JSON call to a platform service."""

from typing import Any
from typing import TypeVar

import orjson

from kingcupscale import codec
from kingcupscale.web import httpclient
from kingcupscale.web import message

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0


class PlatformError(Exception):
    """A platform call that brought no usable answer.

    Args:
        reason: What went wrong.
        may_have_run: Whether the call may have taken effect.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class PlatformClient:
    """A client of one platform service, the base of the typed ones.

    Args:
        http_client: What carries the calls.
        address: ``host:port`` of the service.
        timeout_s: Seconds a call may take.
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
        """Sends one request and reads its typed answer.

        Args:
            request: What to send.
            kind: Type of the answer.
            wait_s: Seconds that the service may wait by intent.

        Raises:
            PlatformError: If no whole answer of the type comes.
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
) -> T:
    """Sends one request and reads its typed answer.

    Raises:
        PlatformError: If no whole answer of the type comes.
    """
    try:
        response = await httpclient.fetch(
            http_client, address, request, timeout_s
        )
    except httpclient.RequestError as e:
        raise PlatformError(e.reason, e.may_have_been_sent) from e
    if response.status != 200:
        raise PlatformError(_describe(response), response.status >= 500)
    try:
        return codec.decode(kind, response.body)
    except ValueError as e:
        raise PlatformError(f"unreadable answer: {e}", True) from e


def _describe(response: message.Response) -> str:
    try:
        detail: Any = orjson.loads(response.body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        detail = "no reason given"
    return f"status {response.status}: {detail}"
