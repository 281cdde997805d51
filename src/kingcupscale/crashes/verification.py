"""Tells servers that ended from connections that were merely closed.

A response that is cut off shows only that the connection ended. Servers also
break off single responses, and connections are reset while the server lives.
"""

from collections.abc import Callable
from typing import Protocol

import attrs

from kingcupscale import clock as clocks
from kingcupscale.crashes import records
from kingcupscale.fleet import registry

# Evidence is looked for after this time. Until then, most requests have been
# answered by another server, which shows that they crash none.
DELAY_S = 0.5
# Without evidence after this time, the server is taken to live: its entry is
# removed earlier if it ended.
TIMEOUT_S = 6.0
# Most losses that wait for evidence; further ones are ignored.
MAX_PENDING = 200


class ServerProbe(Protocol):
    """Finds out whether a server process listens."""

    async def is_listening(self, server: registry.Server) -> bool | None:
        """Returns whether a server listens; None if that cannot be told."""
        ...


@attrs.define(eq=False)
class Loss:
    """A response that was cut off.

    Attributes:
        fingerprint: Fingerprint of the request.
        server: The server that ran it.
        lost_at: Monotonic time at which it was cut off.
        crash: What is recorded if the server ended.
        is_listening: Whether its address accepts connections again.
    """

    fingerprint: str
    server: registry.Server
    lost_at: float
    crash: records.Crash
    is_listening: bool = False


class LossVerifier:
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
        probe: ServerProbe,
        clock: clocks.Clock,
        on_crash: Callable[[Loss], None],
    ) -> None:
        self.probe = probe
        self.clock = clock
        self.on_crash = on_crash
        self.pending: list[Loss] = []

    def add(self, fingerprint: str, server: registry.Server) -> None:
        """Adds a response that was cut off just now."""
        if len(self.pending) >= MAX_PENDING:
            return
        ended_ms = int(self.clock.now().timestamp() * 1000)
        crash = records.Crash(server.id, server.entry.start_ms, ended_ms)
        self.pending.append(
            Loss(fingerprint, server, self.clock.monotonic(), crash)
        )

    def discard(self, fingerprint: str) -> None:
        """Discards the losses of a request that a server has answered."""
        self.pending = [
            loss for loss in self.pending if loss.fingerprint != fingerprint
        ]

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

    async def _has_ended(self, loss: Loss) -> bool | None:
        """Returns whether a server ended; None if that is not known yet."""
        if loss.server.answered_at > loss.lost_at:
            return False
        if loss.server.is_removed:
            return True
        if loss.is_listening:
            # It may be another process at the same address, which has started
            # at once. Its entry will show.
            return None
        is_listening = await self.probe.is_listening(loss.server)
        loss.is_listening = bool(is_listening)
        return True if is_listening is False else None
