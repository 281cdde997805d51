"""Cold servers: which ones are, and how many requests this node sent to each.

Load pattern: a server has just started, was unreachable or is in a zone that
was evacuated, has no load, and is therefore every node's best choice.
"""

import collections
import enum
import math

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events

# The limit applies to the requests that arrive in any second. The window is
# longer, because requests that are sent further apart may arrive closer
# together.
WINDOW_S = 1.2
# A choice of a server occupies a place in its window for this long, unless the
# request is sent before.
RESERVATION_S = 0.5
# Longest reported cold time of a service that is never cold after a start.
MAX_REPORTED_S = 60.0
# A reported time that exceeds the previous one by more than this belongs to
# another cold period.
REPORT_TOLERANCE_S = 0.5
# Differences between the clocks of VMs up to this do not shorten a cold period.
CLOCK_SKEW_S = 1.0


@attrs.define
class SendWindow:
    """The requests that were sent to one server within ``WINDOW_S``.

    Attributes:
        sent_at: Monotonic times of the requests.
        reserved_at: Monotonic times of choices that have not been sent yet.
    """

    sent_at: collections.deque[float] = attrs.field(factory=collections.deque)
    reserved_at: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def count_sent(self, now: float) -> int:
        """Returns the number of requests in the window that ends now."""
        while self.sent_at and self.sent_at[0] <= now - WINDOW_S:
            self.sent_at.popleft()
        return len(self.sent_at)

    def ends(self, now: float) -> list[float]:
        """Returns when each request stops to count, ascending.

        Changes nothing.
        """
        sent = [at + WINDOW_S for at in self.sent_at]
        reserved = [at + RESERVATION_S for at in self.reserved_at]
        return sorted(end for end in [*sent, *reserved] if end > now)

    def count_reserved(self, now: float) -> int:
        """Returns the number of choices that have not been sent yet."""
        while self.reserved_at and self.reserved_at[0] <= now - RESERVATION_S:
            self.reserved_at.popleft()
        return len(self.reserved_at)

    def has_room(self, share: int, now: float) -> bool:
        """Returns whether one more request may be planned."""
        return self.count_sent(now) + self.count_reserved(now) < share

    def reserve(self, now: float) -> None:
        """Records that a request is about to be sent.

        Expired reservations are removed here too: ``has_room`` is called only
        while the server is cold.
        """
        self.count_reserved(now)
        self.reserved_at.append(now)

    def send(self, now: float) -> None:
        """Records a request right before its first byte."""
        if self.reserved_at:
            self.reserved_at.popleft()
        self.sent_at.append(now)

    def refund(self) -> None:
        """Removes a request, which another server has answered.

        It is not known which one, so the oldest is removed: the others count
        at least until the ones that the server got leave the window.
        """
        if self.sent_at:
            self.sent_at.popleft()


@attrs.define
class ColdReport:
    """What one source says about the remaining cold time of a server.

    Attributes:
        seconds: The latest valid report.
        reported_at: Monotonic time of that report.
        period_began_at: Monotonic time of the first report of the present cold
            period.
    """

    seconds: float = 0.0
    reported_at: float = -math.inf
    period_began_at: float = -math.inf

    def update(self, seconds: float, now: float) -> None:
        """Records a valid report.

        It begins a new cold period if it exceeds the previous one, or if the
        previous one ended without being renewed.
        """
        has_ended = now > self.reported_at + self.seconds
        if has_ended or seconds > self.seconds + REPORT_TOLERANCE_S:
            self.period_began_at = now
        self.seconds = seconds
        self.reported_at = now

    def until(self, longest_s: float) -> float:
        """Returns the monotonic time until which the server is cold."""
        return min(
            self.reported_at + self.seconds, self.period_began_at + longest_s
        )


class Source(enum.Enum):
    """Where a report of the remaining cold time comes from."""

    ENTRY = "entry"
    RESPONSE = "response"


class ColdState:
    """What this node knows of the time until which a server is cold.

    Args:
        server: Id of the server.
        clock: The clock.
        started_at: Monotonic time of its start; None if it started before this
            node saw its service.

    Attributes:
        reports: The latest report of each source. An entry may be older than
            the latest response, so they are kept apart.
        is_unreachable: Whether the latest connection to it failed.
        failed_at: Monotonic time of the latest failed connection; None if
            there was none.
        reconnected_at: Monotonic time of the first response after a failed
            connection; None if there was none.
        windows: The requests sent to it, by kind of sender.
        was_cold: Whether it was cold at the last check.
        is_reported_invalid: Whether an invalid report has been logged.
    """

    def __init__(
        self, server: str, clock: clocks.Clock, started_at: float | None = None
    ) -> None:
        self.server = server
        self.clock = clock
        self.started_at = started_at
        self.reports = {source: ColdReport() for source in Source}
        self.is_unreachable = False
        self.failed_at: float | None = None
        self.reconnected_at: float | None = None
        self.windows: dict[str, SendWindow] = {}
        self.was_cold = False
        self.is_reported_invalid = False

    def report(self, source: Source, seconds: float | None) -> None:
        """Records for how long the server says that it remains cold.

        A time that is not finite or is negative is ignored.

        Args:
            source: Where the report comes from.
            seconds: The reported seconds; None if it reports none.
        """
        if seconds is None:
            return
        if not 0 <= seconds < math.inf:
            self._log_invalid(seconds)
            return
        self.reports[source].update(seconds, self.clock.monotonic())

    def note_unreachable(self) -> None:
        """Records that a connection to the server failed.

        From then on it is cold, because no response precedes the requests that
        are sent together when its ejection ends. Only a time is kept: a node
        without a share sends nothing, so that no response would end it.
        """
        self.is_unreachable = True
        self.failed_at = self.clock.monotonic()

    def note_response(self) -> None:
        """Records that the server has responded."""
        if self.is_unreachable:
            self.is_unreachable = False
            self.reconnected_at = self.clock.monotonic()

    def cold_until(self, start_s: float, reopened_at: float | None) -> float:
        """Returns as ``peek_cold_until``, and logs a report that is too long.

        Args:
            start_s: Seconds for which a server of the service is cold.
            reopened_at: Monotonic time at which the evacuation of its zone
                ended; None if there was none.
        """
        longest_s = start_s or MAX_REPORTED_S
        longest_report_s = max(r.seconds for r in self.reports.values())
        if longest_report_s > longest_s + REPORT_TOLERANCE_S:
            self._log_invalid(longest_report_s)
        return self.peek_cold_until(start_s, reopened_at)

    def peek_cold_until(
        self, start_s: float, reopened_at: float | None
    ) -> float:
        """Returns the monotonic time until which the server is cold.

        Changes nothing. A report never counts for longer than ``start_s``
        (``MAX_REPORTED_S`` if that is 0) from the first report of its cold
        period, so that a wrong report does not exclude a server forever.

        Args:
            start_s: Seconds for which a server of the service is cold.
            reopened_at: Monotonic time at which the evacuation of its zone
                ended; None if there was none.
        """
        longest_s = start_s or MAX_REPORTED_S
        until = max(r.until(longest_s) for r in self.reports.values())
        if start_s > 0:
            for began_at in (
                self.started_at,
                self.failed_at,
                self.reconnected_at,
                reopened_at,
            ):
                if began_at is not None:
                    until = max(until, began_at + start_s)
        return until

    def window(self, sender: str) -> SendWindow:
        """Returns the requests of a sender, such as of one model."""
        return self.windows.setdefault(sender, SendWindow())

    def _log_invalid(self, seconds: float) -> None:
        if not self.is_reported_invalid:
            self.is_reported_invalid = True
            events.log(
                events.Event.COLD_TIME_INVALID,
                server=self.server,
                seconds=str(seconds),
            )


def estimate_start(
    start_ms: int, wall_s: float, now: float, is_restart: bool
) -> float:
    """Returns the monotonic time of a server's start.

    Args:
        start_ms: Unix time of the start in milliseconds, by its own clock.
        wall_s: Unix time in seconds, by this node's clock.
        now: Monotonic time.
        is_restart: Whether this node knew the server before, so that it has
            started just now, whatever the clocks say.
    """
    if is_restart:
        return now
    return now - max(0.0, wall_s - start_ms / 1000 - CLOCK_SKEW_S)
