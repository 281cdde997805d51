"""Applies the crash guard to single calls.

Scoring calls are left out: they belong to items, which are owed whatever
happens to the servers that run them.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from kingcupscale.crashes import fingerprint
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import records
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import callstate
from kingcupscale.gateway import inboundrequest

_BLOCKED = records.Permission(is_allowed=False)


class CrashWatch:
    """Checks calls before they are sent, and records how they end.

    Args:
        guard: What is known of requests under which servers crash.
    """

    def __init__(self, guard: guards.CrashGuard[registry.Server]) -> None:
        self.guard = guard

    def check(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> records.Permission:
        """Returns whether a call may be sent to a further server.

        A call that is sent as a trial may run once.
        """
        if inbound.is_background or self.guard.is_idle():
            return records.ALLOWED
        if state.is_trial:
            return _BLOCKED if state.attempts else records.ALLOWED
        key = self.fingerprint(inbound, state)
        permission = self.guard.find_permission(key)
        if permission.is_trial:
            state.is_trial = True
            self.guard.begin_trial(key)
        return permission

    def guard_send(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        before_send: Callable[[], None],
    ) -> Callable[[], None]:
        """Returns a check for right before the first byte is sent.

        A call may have waited for a server or a connection since it was
        checked. The returned function raises ``IneligibleError`` for a call
        that has been blocked meanwhile.
        """
        if inbound.is_background:
            return before_send

        def check_and_send() -> None:
            if not state.is_trial and not self.guard.is_idle():
                key = self.fingerprint(inbound, state)
                if self.guard.find_permission(key) is not records.ALLOWED:
                    raise serverclient.IneligibleError(
                        "servers crash under the request"
                    )
            before_send()

        return check_and_send

    def note_loss(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
    ) -> None:
        """Records that a response was cut off.

        A server that is about to shut down ends without regard to the call.
        """
        is_staying = (
            server.entry.state is registry.ServerState.READY
            and not server.is_leaving
        )
        if is_staying and not inbound.is_background:
            self.guard.note_loss(self.fingerprint(inbound, state), server)

    def note_answer(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> None:
        """Records that a server has answered a call."""
        if not inbound.is_background and not self.guard.is_idle():
            self.guard.note_answer(self.fingerprint(inbound, state))

    async def watch_body(
        self,
        chunks: AsyncIterator[bytes],
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
        server: registry.Server,
    ) -> AsyncIterator[bytes]:
        """Yields a response body, and records how it ends.

        Raises:
            ServerError: If the body is cut off.
        """
        try:
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    yield chunk
        except serverclient.ServerError as e:
            if e.is_connection_lost:
                self.note_loss(inbound, state, server)
            raise
        self.note_answer(inbound, state)

    def fingerprint(
        self,
        inbound: inboundrequest.InboundRequest,
        state: callstate.CallState,
    ) -> str:
        """Returns the fingerprint of a call; computed once."""
        if not state.fingerprint:
            organisation = state.organisation
            state.fingerprint = fingerprint.compute(
                inbound.method,
                inbound.host,
                inbound.path,
                inbound.query,
                organisation.name if organisation else inbound.on_behalf_of,
                inbound.body,
            )
        return state.fingerprint
