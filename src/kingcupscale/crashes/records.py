"""Decides which requests are no longer sent because servers crash under them.

Load pattern: a request that crashes each server which begins to run it comes
again and again, with a new id each time, at any node. Other requests that run
at the same servers are cut off with it, and they may come again, too.

A request is blocked once ``BLOCKING_CRASHES`` servers have ended while they ran
it and no server has answered it since. A request that was only cut off along
with another one is answered by the next server, which clears it. If it was
blocked nevertheless, one node sends it once more after a while, as a trial: an
answer clears it on all nodes, another crash extends the block.

The records of all nodes are merged: their order does not matter, and merging
twice changes nothing. Times are wall-clock times, since they are compared on
different nodes.
"""

from collections.abc import Callable

import attrs

from kingcupscale import clock as clocks

# From this many crashes on, a request is blocked.
BLOCKING_CRASHES = 3
# Time from the last crash to the next trial: after the crash that blocked the
# request, and after each unsuccessful trial.
FIRST_TRIAL_S = 15.0
NEXT_TRIAL_S = 300.0
# A trial that has no outcome after this time no longer prevents another one.
TRIAL_TIMEOUT_S = 60.0
# Records are removed this long after the last crash.
RETENTION_S = 600.0
# A caller is told to wait at least this long, as another node makes the trial.
MIN_RETRY_AFTER_S = 5.0
# Most requests of which records are kept; the oldest ones are removed first.
MAX_RECORDS = 1000
# Most crashes of a request that are kept; the oldest ones are removed first.
MAX_CRASHES = 16


@attrs.frozen
class Crash:
    """A server that ended while it ran a request.

    Attributes:
        server: Id of the server.
        start_ms: Start time of the server, as in its entry. A server that has
            restarted under its id is another one.
        ended_ms: Wall-clock time at which the response was cut off, in
            milliseconds since the Unix epoch.
    """

    server: str
    start_ms: int
    ended_ms: int


def _order(crash: Crash) -> tuple[int, str, int]:
    """Returns a sort key: time, then server."""
    return crash.ended_ms, crash.server, crash.start_ms


@attrs.frozen
class CrashRecord:
    """What is known about one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Servers that ended under it since it was last cleared, in order
            of time.
        cleared_ms: Wall-clock time at which a server last answered it; 0 for
            never.
    """

    fingerprint: str
    crashes: tuple[Crash, ...] = ()
    cleared_ms: int = 0

    def merge(self, other: "CrashRecord") -> "CrashRecord":
        """Returns a record with what this one and another one know."""
        cleared_ms = max(self.cleared_ms, other.cleared_ms)
        # Two nodes may report the same crash; the latest report counts.
        latest = {
            (crash.server, crash.start_ms): crash
            for crash in sorted({*self.crashes, *other.crashes}, key=_order)
            if crash.ended_ms > cleared_ms
        }
        ordered = sorted(latest.values(), key=_order)
        return CrashRecord(
            self.fingerprint, tuple(ordered[-MAX_CRASHES:]), cleared_ms
        )

    def is_blocking(self) -> bool:
        """Returns whether the request must not be sent."""
        return len(self.crashes) >= BLOCKING_CRASHES

    def last_ms(self) -> int:
        """Returns the time of the last event."""
        last = self.crashes[-1].ended_ms if self.crashes else 0
        return max(last, self.cleared_ms)

    def trial_ms(self) -> int:
        """Returns the time from which the request may be sent as a trial."""
        is_first = len(self.crashes) <= BLOCKING_CRASHES
        delay_s = FIRST_TRIAL_S if is_first else NEXT_TRIAL_S
        return self.crashes[-1].ended_ms + int(1000 * delay_s)


@attrs.frozen
class Permission:
    """Whether a request may be sent.

    Attributes:
        is_allowed: Whether it may be sent.
        is_trial: Whether it may be sent once, to find out whether the next
            server crashes, too.
        crashes: Number of servers that ended under it.
        retry_after_s: Seconds after which the caller may try again, if it is
            not allowed.
    """

    is_allowed: bool = True
    is_trial: bool = False
    crashes: int = 0
    retry_after_s: float = 0.0


ALLOWED = Permission()


class CrashRecords:
    """The records of all requests under which servers have crashed.

    Args:
        clock: Source of wall-clock time.
        makes_trials: Returns whether this node makes the trials of a request,
            given its fingerprint. At most one node should.

    Attributes:
        records: The records by fingerprint.
        trials: Wall-clock times in milliseconds at which trials began, by
            fingerprint.
    """

    def __init__(
        self, clock: clocks.Clock, makes_trials: Callable[[str], bool]
    ) -> None:
        self.clock = clock
        self.makes_trials = makes_trials
        self.records: dict[str, CrashRecord] = {}
        self.trials: dict[str, int] = {}

    def now_ms(self) -> int:
        """Returns the wall-clock time in milliseconds."""
        return int(self.clock.now().timestamp() * 1000)

    def blocked(self) -> list[CrashRecord]:
        """Returns the records of the requests that are blocked."""
        return [r for r in self.records.values() if r.is_blocking()]

    def add_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Adds a crash; returns whether it was not known."""
        return self.merge(CrashRecord(fingerprint, (crash,)))

    def clear(self, fingerprint: str) -> bool:
        """Records that a server answered a request.

        Returns:
            Whether servers were known to have crashed under it.
        """
        self.trials.pop(fingerprint, None)
        known = self.records.get(fingerprint)
        if known is None or not known.crashes:
            return False
        # The clocks of the nodes that recorded the crashes may be ahead.
        cleared_ms = max(self.now_ms(), known.last_ms())
        return self.merge(CrashRecord(fingerprint, (), cleared_ms))

    def merge(self, other: CrashRecord) -> bool:
        """Merges the record of another node; returns whether it was news."""
        latest_ms = self.now_ms() + int(1000 * TRIAL_TIMEOUT_S)
        if other.last_ms() > latest_ms:
            # A wrong clock must not keep a record, or clear one, for good.
            return False
        if self._is_expired(other):
            return False
        known = self.records.get(other.fingerprint)
        merged = (known or CrashRecord(other.fingerprint)).merge(other)
        if merged == known:
            return False
        self.records[other.fingerprint] = merged
        while len(self.records) > MAX_RECORDS:
            oldest = min(self.records.values(), key=CrashRecord.last_ms)
            self._remove(oldest.fingerprint)
        return True

    def remove_expired(self) -> list[CrashRecord]:
        """Removes records after their retention time, and returns them."""
        expired = [r for r in self.records.values() if self._is_expired(r)]
        for record in expired:
            self._remove(record.fingerprint)
        return expired

    def _is_expired(self, record: CrashRecord) -> bool:
        age_ms = self.now_ms() - record.last_ms()
        return age_ms > int(1000 * RETENTION_S)

    def _remove(self, fingerprint: str) -> None:
        del self.records[fingerprint]
        self.trials.pop(fingerprint, None)

    def find_permission(self, fingerprint: str) -> Permission:
        """Returns whether a request may be sent now."""
        record = self.records.get(fingerprint)
        if record is None or not record.is_blocking():
            return ALLOWED
        now_ms = self.now_ms()
        if self._is_expired(record):
            return ALLOWED
        wait_ms = record.trial_ms() - now_ms
        started_ms = self.trials.get(fingerprint)
        is_running = started_ms is not None and now_ms - started_ms < int(
            1000 * TRIAL_TIMEOUT_S
        )
        if wait_ms <= 0 and not is_running and self.makes_trials(fingerprint):
            return Permission(is_trial=True, crashes=len(record.crashes))
        return Permission(
            is_allowed=False,
            crashes=len(record.crashes),
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_ms / 1000),
        )

    def begin_trial(self, fingerprint: str) -> None:
        """Records that this node sends a blocked request once more."""
        self.trials[fingerprint] = self.now_ms()
