"""Calls to backend servers: what is sent, and what an answer says."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import enum
from typing import Protocol

import attrs

from kingcupscale.fleet import registry
from kingcupscale.storage import locks


class ServerError(Exception):
    """A call that brought no whole, genuine answer.

    Args:
        reason: What went wrong.
        may_have_run: Whether the server may have worked on it.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run


class NotSentError(ServerError):
    """A call that was kept from leaving; it has not run and never will.

    Args:
        reason: Why it must not leave any more.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason, may_have_run=False)


@attrs.frozen
class Call:
    """One request as a backend server gets it.

    Attributes:
        request_id: Identity of the request.
        method: Method.
        path: Path.
        query: Query without the question mark.
        host: Host of the route.
        headers: Headers to pass on, lower case; neither keys nor those of
            one connection.
        body: The whole body.
        timeout_s: Seconds after which the server stops.
        organisation: Label of the organisation; None where there is none.
        expected_version: Weight version that it must run under.
        resume_after: Number of the last event that is already there.
        priority: Rank among a server's requests, 0 first; None for usual.
        before_send: Called right before the first byte leaves; raises
            ``NotSentError`` to keep the call from leaving. None to let it.
    """

    request_id: str
    method: str
    path: str
    query: str
    host: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    organisation: str | None = None
    expected_version: int | None = None
    resume_after: int | None = None
    priority: int | None = None
    before_send: Callable[[], None] | None = None


@attrs.frozen
class StreamEvent:
    """One event of a stream.

    Attributes:
        number: Its number, 1 or more.
        data: Its text.
        version: Weight version that made it.
    """

    number: int
    data: str
    version: int


@attrs.define
class ServerResponse:
    """The head of an answer, and the way to its body.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on, lower case.
        not_executed: Whether the server says that it has not run the request.
        wrong_server: Whether another server, or other weights, answered.
        signature: The signature; empty if there is none.
        version: Weight version; 0 if it names none.
        load: Requests running and waiting there; None if it tells none.
        body: Pieces of the body as they come.
    """

    status: int
    headers: dict[str, str]
    not_executed: bool
    wrong_server: bool
    signature: str
    version: int
    load: int | None
    body: AsyncIterator[bytes]

    @property
    def is_success(self) -> bool:
        """Whether it is a genuine success."""
        return 200 <= self.status < 300 and bool(self.signature)


class OrderOutcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds already"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"


@attrs.frozen
class VersionOrder:
    """Asks an engine to load a weight version.

    Attributes:
        model: The model.
        version: The version.
        keeps_running_requests: Whether running requests continue under the
            new version; otherwise they end first.
        holder: Who gives the order.
        expected_sequence: Orders that the engine has accepted so far.
    """

    model: str
    version: int
    keeps_running_requests: bool
    holder: locks.Holder
    expected_sequence: int


@attrs.frozen
class EngineStatus:
    """How an engine stands.

    Attributes:
        versions: Weight version by model.
        is_loading: Whether an order is under way.
        sequence: Orders accepted since its start.
    """

    versions: dict[str, int]
    is_loading: bool
    sequence: int


class ServerClient(Protocol):
    """What the product asks of backend servers."""

    def run(
        self, server: registry.Server, call: Call, connect_s: float
    ) -> contextlib.AbstractAsyncContextManager[ServerResponse]:
        """Sends a request; leaving the context early abandons the answer.

        Raises:
            ServerError: If no genuine answer comes.
        """
        ...

    def events(self, answer: ServerResponse) -> AsyncIterator[StreamEvent]:
        """Yields the whole events of a streamed answer.

        Raises:
            ServerError: If the stream breaks off or makes no sense.
        """
        ...

    async def order(
        self, server: registry.Server, order: VersionOrder
    ) -> OrderOutcome:
        """Gives an order and returns its ``OrderOutcome``.

        Raises:
            ServerError: If its fate is unknown or the server is not there.
        """
        ...

    async def fetch_engine_status(
        self, server: registry.Server
    ) -> EngineStatus:
        """Returns how an engine stands.

        Raises:
            ServerError: If it does not tell.
        """
        ...
