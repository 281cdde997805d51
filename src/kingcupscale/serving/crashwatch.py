"""Applies the crash guard to the calls of one node's callers.

Samples and scores for trainers are left out: they are owed, whatever happens
to the servers that run them.
"""

import functools
from typing import Protocol

import attrs

from kingcupscale import errors
from kingcupscale import events
from kingcupscale.crashes import fingerprint
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import records
from kingcupscale.serving import routing
from kingcupscale.web import httpclient

LISTENING_TIMEOUT_S = 0.5
# The start time of a server is not known here, and a server keeps its name when
# it restarts. So crashes of one server within an interval of this length count
# as one, seen by several nodes, and crashes in different intervals as several.
RUN_INTERVAL_MS = 1000


@attrs.frozen
class ServerRun:
    """A server while it ran a call; see ``verification.ObservedServer``.

    Attributes:
        state: The node's view of the server.
        start_ms: Stands for the start time of the server.
        is_removed: Always false: a server that was removed from the
            configuration may still run.
        is_restart_visible: Always false, as the start time is not known.
    """

    state: routing.ServerState
    start_ms: int
    is_removed: bool = False
    is_restart_visible: bool = False

    @property
    def id(self) -> str:
        """Its name."""
        return self.state.name

    @property
    def answered_at(self) -> float:
        """Monotonic time of its last response; negative before the first."""
        return self.state.answered_at


class HttpServerProbe:
    """A ``verification.ServerProbe`` that opens a connection.

    Args:
        http_client: Opens the connections.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def is_listening(self, server: ServerRun) -> bool | None:
        """Returns whether a server listens; None if that cannot be told."""
        return await self.http_client.is_listening(
            server.state.server.address, LISTENING_TIMEOUT_S
        )


@attrs.frozen
class CallContent:
    """What makes calls equal; see ``fingerprint.compute``.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path at the service.
        query: Query string.
        organisation: Name of the caller's organisation.
        body: What the server is to run.
    """

    service: str
    method: str
    path: str
    query: str
    organisation: str
    body: bytes


class Watch(Protocol):
    """Is told of the attempts of a call, and may prevent them."""

    async def check(self) -> None:
        """Checks whether the call may be sent to a further server.

        Raises:
            ServiceError: If it may not.
        """
        ...

    def check_and_send(self) -> None:
        """Checks the same right before the first byte is sent.

        Raises:
            ServiceError: If it may not be sent.
        """
        ...

    def note_failure(
        self, state: routing.ServerState, error: httpclient.RequestError
    ) -> None:
        """Records that an attempt got no complete response."""
        ...

    def note_answer(self) -> None:
        """Records that a server has answered the call."""
        ...


class Unwatched:
    """A ``Watch`` that prevents and records nothing."""

    async def check(self) -> None:
        """Allows the call."""

    def check_and_send(self) -> None:
        """Allows the call."""

    def note_failure(
        self, state: routing.ServerState, error: httpclient.RequestError
    ) -> None:
        """Records nothing."""

    def note_answer(self) -> None:
        """Records nothing."""


UNWATCHED = Unwatched()


class CallWatch:
    """The ``Watch`` of one call of a caller.

    Args:
        guard: What is known of calls under which servers crash.
        content: What makes calls equal.
        sent_code: Code of the error if the call is blocked after it was sent.

    Attributes:
        is_trial: Whether the call is blocked and sent once more.
        is_sent: Whether a byte of it may have been sent.
        losses: Number of its attempts that were cut off.
    """

    def __init__(
        self,
        guard: guards.CrashGuard[ServerRun],
        content: CallContent,
        sent_code: errors.ResultCode,
    ) -> None:
        self.guard = guard
        self.content = content
        self.sent_code = sent_code
        self.is_trial = False
        self.is_sent = False
        self.losses = 0

    @functools.cached_property
    def fingerprint(self) -> str:
        """The fingerprint of the call."""
        content = self.content
        return fingerprint.compute(
            content.method,
            content.service,
            content.path,
            content.query,
            content.organisation,
            content.body,
        )

    async def check(self) -> None:
        """Checks whether the call may be sent to a further server.

        A call that is sent as a trial may run once. A call whose own attempts
        would block it waits until it is known whether their servers have ended.
        """
        if self.losses >= records.BLOCKING_CRASHES:
            await self.guard.wait_for_verification(self.fingerprint)
        self._check_permission()

    def _check_permission(self) -> None:
        if self.guard.is_idle() or (self.is_trial and not self.is_sent):
            return
        permission = self.guard.find_permission(self.fingerprint)
        if permission.is_trial and not self.is_sent:
            self.is_trial = True
            self.guard.begin_trial(self.fingerprint)
        elif permission.is_trial or not permission.is_allowed:
            raise self._make_error(permission)

    def check_and_send(self) -> None:
        """Checks the same right before the first byte is sent.

        A call may have waited for a server or a connection since ``check``.
        """
        self._check_permission()
        self.is_sent = True

    def _make_error(
        self, permission: records.Permission
    ) -> errors.ServiceError:
        retry_after_s = round(
            max(permission.retry_after_s, records.MIN_RETRY_AFTER_S), 3
        )
        if self.is_sent:
            return errors.ServiceError(
                self.sent_code,
                "servers crash under the request",
                errors.Run.UNKNOWN,
                retry_after_s,
            )
        events.log(
            events.Event.CALL_BLOCKED,
            service=self.content.service,
            fingerprint=self.fingerprint,
            crashes=permission.crashes,
            retry_after_s=retry_after_s,
        )
        return errors.ServiceError(
            errors.ResultCode.CRASHES_SERVERS, retry_after_s=retry_after_s
        )

    def note_failure(
        self, state: routing.ServerState, error: httpclient.RequestError
    ) -> None:
        """Records that an attempt got no complete response."""
        if error.is_connection_lost:
            self.losses += 1
            now_ms = self.guard.records.now_ms()
            start_ms = now_ms - now_ms % RUN_INTERVAL_MS
            self.guard.note_loss(self.fingerprint, ServerRun(state, start_ms))

    def note_answer(self) -> None:
        """Records that a server has answered the call."""
        if not self.guard.is_idle():
            self.guard.note_answer(self.fingerprint)
