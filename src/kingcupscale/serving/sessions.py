"""The open requests of a node.

Limits the open requests of each organisation, and cancels requests whose key
is withdrawn.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any
from typing import TypeVar

import trio

from kingcupscale import errors
from kingcupscale.configuration import keys

T = TypeVar("T")

RETRY_AFTER_S = 1.0


class Session:
    """An open request, which is cancelled if its key is withdrawn.

    Args:
        grant: The access rights of the request's key.
    """

    def __init__(self, grant: keys.Grant) -> None:
        self.grant = grant
        self.is_key_withdrawn = False
        self.scopes: set[trio.CancelScope] = set()

    def cancel(self) -> None:
        """Cancels the request's running work."""
        self.is_key_withdrawn = True
        for scope in self.scopes:
            scope.cancel()

    async def run(self, function: Callable[..., Awaitable[T]], *args: Any) -> T:
        """Runs a part of the request's work unless its key is withdrawn.

        Raises:
            ServiceError: ``KEY_WITHDRAWN`` if the key is withdrawn before or
                during the work.
        """
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                if not self.is_key_withdrawn:
                    return await function(*args)
            finally:
                self.scopes.discard(scope)
        raise errors.ServiceError(
            errors.ResultCode.KEY_WITHDRAWN, run=errors.Run.UNKNOWN
        )


class Sessions:
    """All open requests of one node.

    Args:
        key_ring: Checks which keys are valid.
    """

    def __init__(self, key_ring: keys.KeyRing) -> None:
        self.key_ring = key_ring
        self.open_sessions: set[Session] = set()
        self.by_organisation: dict[str, int] = {}
        key_ring.replica.listeners.append(self.cancel_withdrawn)

    @contextlib.contextmanager
    def open(self, grant: keys.Grant) -> Iterator[Session]:
        """Registers a request while it is open.

        Raises:
            ServiceError: ``STREAMS_EXCEEDED``.
        """
        organisation = grant.organisation
        limit = self._limit(organisation)
        if self.by_organisation.get(organisation, 0) >= limit:
            raise errors.ServiceError(
                errors.ResultCode.STREAMS_EXCEEDED,
                f"expected at most {limit} open requests per node",
                retry_after_s=RETRY_AFTER_S,
            )
        session = Session(grant)
        self.open_sessions.add(session)
        self._count(organisation, 1)
        try:
            yield session
        finally:
            self.open_sessions.discard(session)
            self._count(organisation, -1)

    def _limit(self, organisation: str) -> int:
        return self.key_ring.replica.document.organisations[
            organisation
        ].streams

    def _count(self, organisation: str, change: int) -> None:
        count = self.by_organisation.get(organisation, 0) + change
        self.by_organisation[organisation] = count
        if not count:
            del self.by_organisation[organisation]

    def cancel_withdrawn(self) -> None:
        """Cancels the requests whose keys are no longer valid."""
        for session in list(self.open_sessions):
            if not self.key_ring.is_valid(session.grant):
                session.cancel()
