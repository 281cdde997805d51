"""Tells servers that ended from connections that were merely closed.

A response that is cut off shows only that the connection ended. Servers also
break off single responses, and connections are reset while the server lives.
"""

from collections.abc import Callable
import traceback
from typing import Generic
from typing import Protocol
from typing import TypeVar

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.crashes import records

# Evidence is looked for after this time. Until then, most requests have been
# answered by another server, which shows that they crash none.
DELAY_S = 0.5
# Without evidence after this time, the server is taken to live: its entry is
# removed earlier if it ended.
TIMEOUT_S = 6.0
# Most losses that wait for evidence; further ones are ignored.
MAX_PENDING = 200


class ObservedServer(Protocol):
    """A server that runs requests, as this node has observed it.

    Attributes:
        answered_at: Monotonic time of its last response; negative before the
            first.
        is_removed: Whether it is known to have ended.
        is_restart_visible: Whether a restart sets ``is_removed``.
    """

    answered_at: float
    is_removed: bool
    is_restart_visible: bool

    @property
    def id(self) -> str:
        """Its id."""
        ...

    @property
    def start_ms(self) -> int:
        """Its start time; see ``records.Crash``."""
        ...


ServerT = TypeVar("ServerT", bound=ObservedServer)
ProbedServerT = TypeVar(
    "ProbedServerT", bound=ObservedServer, contravariant=True
)


class ServerProbe(Protocol[ProbedServerT]):
    """Finds out whether a server process listens."""

    async def is_listening(self, server: ProbedServerT) -> bool | None:
        """Returns whether a server listens; None if that cannot be told."""
        ...


@attrs.define(eq=False)
class Loss(Generic[ServerT]):
    """A response that was cut off.

    Attributes:
        fingerprint: Fingerprint of the request.
        server: The server that ran it.
        lost_at: Monotonic time at which it was cut off.
        crash: What is recorded if the server ended.
        is_listening: Whether its address accepts connections again.
    """

    fingerprint: str
    server: ServerT
    lost_at: float
    crash: records.Crash
    is_listening: bool = False


class LossVerifier(Generic[ServerT]):
    """Verifies which losses are crashes.

    Args:
        probe: Finds out whether a server listens.
        clock: The clock.
        on_crash: Called with each verified loss.

    Attributes:
        pending: Losses that are not verified yet.
    """

    def __init__(
        self,
        probe: ServerProbe[ServerT],
        clock: clocks.Clock,
        on_crash: Callable[[Loss[ServerT]], None],
    ) -> None:
        self.probe = probe
        self.clock = clock
        self.on_crash = on_crash
        self.pending: list[Loss[ServerT]] = []

    def add(self, fingerprint: str, server: ServerT) -> None:
        """Adds a response that was cut off just now."""
        if len(self.pending) >= MAX_PENDING:
            return
        ended_ms = int(self.clock.now().timestamp() * 1000)
        crash = records.Crash(server.id, server.start_ms, ended_ms)
        self.pending.append(
            Loss(fingerprint, server, self.clock.monotonic(), crash)
        )

    def discard(self, fingerprint: str) -> None:
        """Discards the losses of a request that a server has answered."""
        self.pending = [
            loss for loss in self.pending if loss.fingerprint != fingerprint
        ]

    def is_pending(self, fingerprint: str) -> bool:
        """Returns whether a loss of a request is not verified yet."""
        return any(loss.fingerprint == fingerprint for loss in self.pending)

    async def step(self) -> None:
        """Verifies the losses that are due."""
        now = self.clock.monotonic()
        for loss in list(self.pending):
            if now - loss.lost_at < DELAY_S:
                continue
            has_ended = await self._has_ended(loss)
            if loss not in self.pending:
                continue
            is_overdue = self.clock.monotonic() - loss.lost_at > TIMEOUT_S
            if has_ended is not None or is_overdue:
                self.pending.remove(loss)
            if has_ended:
                self.on_crash(loss)

    async def _has_ended(self, loss: Loss[ServerT]) -> bool | None:
        """Returns whether a server ended; None if that is not known yet."""
        if loss.server.answered_at > loss.lost_at:
            return False
        if loss.server.is_removed:
            return True
        if loss.is_listening:
            # It may be another process at the same address, which has started
            # at once. Its entry will show.
            return None
        try:
            is_listening = await self.probe.is_listening(loss.server)
        except Exception as e:
            # An error that concerns one server must not end the node.
            events.log(
                events.Event.REQUEST_FAILED,
                kind=type(e).__name__,
                server=loss.server.id,
                trace=traceback.format_tb(e.__traceback__),
            )
            return None
        loss.is_listening = bool(is_listening)
        if is_listening and not loss.server.is_restart_visible:
            return False
        return True if is_listening is False else None
