"""Keeps a node from sending requests that crash backend servers."""

from collections.abc import Callable
from typing import Generic

import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.crashes import records
from kingcupscale.crashes import verification

STEP_INTERVAL_S = 0.1


class CrashGuard(Generic[verification.ServerT]):
    """Records the requests under which servers crash, and blocks them.

    Args:
        probe: Finds out whether a server listens.
        clock: The clock.
        makes_trials: Returns whether this node makes the trials of a request,
            given its fingerprint.

    Attributes:
        records: What is known of the requests, on this node and others.
        verifier: Verifies which responses were cut off by a crash.
        on_change: Called with a fingerprint when this node itself has learned
            something about the request.
        on_active: Called when there is a loss to verify, or a record to share.
    """

    def __init__(
        self,
        probe: verification.ServerProbe[verification.ServerT],
        clock: clocks.Clock,
        makes_trials: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.records = records.CrashRecords(clock, makes_trials)
        self.verifier = verification.LossVerifier(
            probe, clock, self._record_crash
        )
        self.on_change: Callable[[str], None] = _ignore
        self.on_active: Callable[[], None] = _do_nothing
        self.has_loss = trio.Event()

    def is_idle(self) -> bool:
        """Returns whether no request is known that may crash servers."""
        return not self.records.records and not self.verifier.pending

    def find_permission(self, fingerprint: str) -> records.Permission:
        """Returns whether a request may be sent now."""
        return self.records.find_permission(fingerprint)

    def begin_trial(self, fingerprint: str) -> None:
        """Records that a blocked request is sent once more."""
        self.records.begin_trial(fingerprint)
        events.log(events.Event.CRASH_TRIAL, fingerprint=fingerprint)

    async def wait_for_verification(self, fingerprint: str) -> None:
        """Waits until all losses of a request are verified."""
        while self.verifier.is_pending(fingerprint):
            await self.clock.sleep_aligned(STEP_INTERVAL_S)

    def note_loss(self, fingerprint: str, server: verification.ServerT) -> None:
        """Records that the response to a request was cut off."""
        self.verifier.add(fingerprint, server)
        self.has_loss.set()
        self.on_active()

    def note_answer(self, fingerprint: str) -> None:
        """Records that a server has answered a request."""
        self.verifier.discard(fingerprint)
        if self.records.clear(fingerprint):
            events.log(events.Event.CRASHES_CLEARED, fingerprint=fingerprint)
            self.on_change(fingerprint)

    def merge(self, record: records.CrashRecord, source: str) -> bool:
        """Merges the record of another node; returns whether it was news.

        Args:
            record: The record.
            source: Where it comes from, for the log.
        """
        if not self.records.merge(record):
            return False
        self.on_active()
        events.log(
            events.Event.CRASHES_LEARNED,
            fingerprint=record.fingerprint,
            source=source,
            crashes=len(record.crashes),
            blocked=self.records.records[record.fingerprint].is_blocking(),
        )
        return True

    def remove_expired(self) -> None:
        """Removes records after their retention time."""
        for record in self.records.remove_expired():
            events.log(
                events.Event.CRASHES_EXPIRED, fingerprint=record.fingerprint
            )

    def _record_crash(
        self, loss: verification.Loss[verification.ServerT]
    ) -> None:
        if not self.records.add_crash(loss.fingerprint, loss.crash):
            return
        record = self.records.records[loss.fingerprint]
        events.log(
            events.Event.SERVER_CRASHED,
            fingerprint=loss.fingerprint,
            server=loss.crash.server,
            crashes=len(record.crashes),
            blocked=record.is_blocking(),
        )
        self.on_change(loss.fingerprint)

    async def run(self) -> None:
        """Verifies crashes until cancelled."""
        while True:
            if not self.verifier.pending:
                self.has_loss = trio.Event()
                await self.has_loss.wait()
            await self.verifier.step()
            await self.clock.sleep_aligned(STEP_INTERVAL_S)


def _ignore(_: str) -> None:
    """Does nothing."""


def _do_nothing() -> None:
    """Does nothing."""
