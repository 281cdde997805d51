"""Counts usage by window of the wall clock, and reports each window once.

Each node counts the requests that start on it, by organisation
(``WindowCounter``), and sends the counts to the node that holds the usage duty.
That node adds up the counts of all nodes and reports the sums
(``WindowReporter``).
"""

from typing import Protocol

import cattrs
import orjson

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.storage import decoding
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

COUNTS_PREFIX = "kingcupscale/usage/counts/"
FIGURES_PREFIX = "kingcupscale/usage/figures/"
DUTY = "usage"

# Counts of a window are sent no earlier than this long after its end: requests
# that started in it may still be in progress, and the clocks of nodes differ
# slightly.
COUNT_DELAY_S = 1.0
# A window is summed up once this fraction of the time until its report is late
# has passed, even if the counts of some nodes are missing.
COLLECT_FRACTION = 0.4
# Counts in the store may be missing from an old mirror. A window is summed up
# later by the age of the mirror, up to this fraction of the same time. The rest
# is for the report itself, which is late if the intake is slow.
MAX_VIEW_DELAY_FRACTION = 0.2
# A node that acquires the usage duty waits this long before it reports, so that
# other nodes can resend the counts that they sent to the previous holder.
RESEND_WAIT_S = 2.0
# Marks counts in ``WindowCounter.flushed_to`` that were written to the store.
IN_STORE = "store"
# A window older than this number of windows is no longer reported, and a node
# drops the counts that it kept to send them again. The figures of a window stay
# in the store for three times as many windows.
WINDOWS_KEPT = 12


class ReportError(Exception):
    """A report that the intake rejected, or may not have received.

    Args:
        reason: The cause.
        is_fenced: Whether the intake has a report by a newer holder.
    """

    def __init__(self, reason: str, is_fenced: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_fenced = is_fenced


class Intake(Protocol):
    """Accepts usage reports."""

    async def report(
        self, window: int, counts: dict[str, int], holder: locks.Holder
    ) -> None:
        """Sends the figures of one window.

        Raises:
            ReportError: If the intake did not confirm them.
        """
        ...


class CountSender(Protocol):
    """Sends this node's counts to the node that reports usage."""

    def holder(self) -> str:
        """Returns the reporting node and its lease; empty if there is none."""
        ...

    async def send(self, counted: dict[int, dict[str, int]]) -> bool:
        """Sends the total counts of windows to the reporting node.

        Returns:
            Whether the reporting node accepted them.
        """
        ...


class WindowCounter:
    """Counts the requests that organisations start on one node, by window.

    Counts are sent to the node that holds the usage duty, and sent again when
    the holder changes. If no node holds the duty or the holder does not accept
    them, and when this node stops, they are written to the store.

    Args:
        mirror: The mirror of the store to which counts are written.
        clock: The clock.
        node: The node's name.
        window_s: Length of a window in seconds.
        count_sender: Sends counts to the node that reports usage.

    Attributes:
        counts: Requests by organisation, by window.
        flushed: The counts that were sent or written last, by window.
        flushed_to: The holder to which they were sent, by window; ``IN_STORE``
            if they were written to the store.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        clock: clocks.Clock,
        node: str,
        window_s: float,
        count_sender: CountSender,
    ) -> None:
        self.mirror = mirror
        self.clock = clock
        self.node = node
        self.window_s = window_s
        self.count_sender = count_sender
        self.counts: dict[int, dict[str, int]] = {}
        self.flushed: dict[int, dict[str, int]] = {}
        self.flushed_to: dict[int, str] = {}

    def window_at(self, seconds: float) -> int:
        """Returns the window of a Unix time in seconds."""
        return int(seconds // self.window_s)

    def count_started(self, organisation: str) -> None:
        """Counts a request that starts now."""
        window = self.window_at(self.clock.now().timestamp())
        counts = self.counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1

    async def flush(self, is_last: bool = False) -> None:
        """Sends or writes the counts of ended windows, where it is necessary.

        A window is skipped if its counts have not changed since they were
        written to the store or sent to the current holder. The total count of a
        window is sent each time, so repeating it is safe, even while another
        write is in progress.

        Args:
            is_last: Write the counts of all windows to the store, also those
                that were sent to the holder, as the node stops.

        Raises:
            StoreError: If the store cannot be reached; the counts are kept.
        """
        now_s = self.clock.now().timestamp()
        ended = self.window_at(now_s - COUNT_DELAY_S)
        holder = "" if is_last else self.count_sender.holder()
        due = {
            window: dict(self.counts[window])
            for window in sorted(self.counts)
            if (is_last or window < ended)
            and not self._is_flushed(window, holder)
        }
        if due and not (holder and await self._send(due, holder)):
            await self._write(due)
        for window in [w for w in self.counts if w < ended - WINDOWS_KEPT]:
            del self.counts[window]
            self.flushed.pop(window, None)
            self.flushed_to.pop(window, None)

    def _is_flushed(self, window: int, holder: str) -> bool:
        is_unchanged = self.flushed.get(window) == self.counts[window]
        return is_unchanged and self.flushed_to[window] in (IN_STORE, holder)

    async def _send(self, due: dict[int, dict[str, int]], holder: str) -> bool:
        if not await self.count_sender.send(due):
            return False
        for window, counts in due.items():
            self.flushed[window] = counts
            self.flushed_to[window] = holder
        return True

    async def _write(self, due: dict[int, dict[str, int]]) -> None:
        for window, counts in due.items():
            key = f"{COUNTS_PREFIX}{window}/{self.node}"
            put = stores.Put(key, orjson.dumps(counts))
            await self.mirror.store.commit(stores.Transaction(puts=[put]))
            self.flushed[window] = counts
            self.flushed_to[window] = IN_STORE


class WindowReporter:
    """Reports each window once, with figures that never change.

    The figures of a window are written to the store before they are sent, on
    the condition that the window has none yet. A holder that sends the window
    again therefore sends the same figures.

    Args:
        duty_lock: The lock on the usage duty.
        mirror: The mirror of the store that holds counts and figures.
        intake: The service that accepts usage reports.
        clock: The clock.
        window_s: Length of a window in seconds.
        late_s: Seconds after the end of a window when its report is late.

    Attributes:
        reported: Windows that need no further report: the intake has accepted
            a report, from this node or from a newer holder.
        first_window: The oldest window to report; ``None`` until it is known.
        received: The counts that nodes sent, by window and node.
        fencing_token: Fencing token under which ``acquired_at`` was set.
        acquired_at: Monotonic time when this node noticed that it had acquired
            the duty.
    """

    def __init__(
        self,
        duty_lock: locks.DutyLock,
        mirror: mirrors.StoreMirror,
        intake: Intake,
        clock: clocks.Clock,
        window_s: float,
        late_s: float,
    ) -> None:
        self.duty_lock = duty_lock
        self.mirror = mirror
        self.intake = intake
        self.clock = clock
        self.window_s = window_s
        self.late_s = late_s
        self.reported: set[int] = set()
        self.first_window: int | None = None
        self.received: dict[int, dict[str, dict[str, int]]] = {}
        self.fencing_token = 0
        self.acquired_at = 0.0

    def receive(self, node: str, counted: dict[int, dict[str, int]]) -> None:
        """Stores the total counts of a node, by window."""
        for window, counts in counted.items():
            self.received.setdefault(window, {})[node] = counts

    def _has_waited_for_counts(self) -> bool:
        """Returns whether other nodes have had time to resend their counts."""
        now = self.clock.monotonic()
        if self.fencing_token != self.duty_lock.fencing_token:
            self.fencing_token = self.duty_lock.fencing_token
            self.acquired_at = now
        return now - self.acquired_at >= RESEND_WAIT_S

    async def step(self) -> None:
        """Reports the windows that are due.

        Raises:
            StoreError: If the store cannot be reached.
        """
        if not self._has_waited_for_counts():
            return
        due = self._newest_due_window()
        if self.first_window is None:
            self.first_window = self._first_window(due)
        for window in range(
            max(self.first_window, due - WINDOWS_KEPT), due + 1
        ):
            if window not in self.reported:
                await self._report(window)
        oldest = due - 2 * WINDOWS_KEPT
        self.reported = {w for w in self.reported if w > oldest}
        for window in [w for w in self.received if w <= oldest]:
            del self.received[window]

    def _newest_due_window(self) -> int:
        """Returns the newest window whose counts the mirror should have."""
        view_delay_s = min(
            self.mirror.age_s(), self.late_s * MAX_VIEW_DELAY_FRACTION
        )
        known_to_s = self.clock.now().timestamp() - view_delay_s
        collected_to_s = known_to_s - self.late_s * COLLECT_FRACTION
        return int(collected_to_s // self.window_s) - 1

    def _first_window(self, due: int) -> int:
        """Returns the oldest window that has counts or figures.

        If no window has any, the result is the one after the newest due
        window.
        """
        windows = [
            int(entry.key.removeprefix(prefix).partition("/")[0])
            for prefix in (COUNTS_PREFIX, FIGURES_PREFIX)
            for entry in self.mirror.entries_under(prefix)
        ]
        return min([*windows, *self.received, due + 1])

    async def _report(self, window: int) -> None:
        figures = await self._commit_figures(window)
        if figures is None or not self.duty_lock.is_held():
            return
        try:
            await self.intake.report(window, figures, self.duty_lock.holder())
        except ReportError as e:
            events.log(
                events.Event.USAGE_FAILED,
                window=window,
                fence=self.duty_lock.fencing_token,
                reason=e.reason,
            )
            if e.is_fenced:
                self.reported.add(window)
            return
        self.reported.add(window)
        events.log(
            events.Event.USAGE_REPORTED,
            window=window,
            fence=self.duty_lock.fencing_token,
            organisations=len(figures),
            requests=sum(figures.values()),
        )

    async def _commit_figures(self, window: int) -> dict[str, int] | None:
        """Commits the figures of a window to the store, unless it has some.

        Returns:
            The committed figures, or ``None`` if they have been removed.
        """
        key = f"{FIGURES_PREFIX}{window}"
        entry = self.mirror.entries.get(key)
        if entry is None:
            figures = self._sum_counts(window)
            put = stores.Put(
                key, orjson.dumps(figures, option=orjson.OPT_SORT_KEYS)
            )
            condition = stores.Condition(key, stores.ABSENT)
            old = f"{FIGURES_PREFIX}{window - 3 * WINDOWS_KEPT}"
            removals = [old] if old in self.mirror.entries else []
            revision = await self.mirror.store.commit(
                stores.Transaction([condition], [put], removals)
            )
            if revision is not None:
                return figures
            entry = await self.mirror.store.get(key)
        if entry is None or entry.value is None:
            return None
        return orjson.loads(entry.value)

    def _sum_counts(self, window: int) -> dict[str, int]:
        """Returns the sum of the counts of all nodes, sent or written."""
        prefix = f"{COUNTS_PREFIX}{window}/"
        by_node = dict(self.received.get(window, {}))
        for entry in self.mirror.entries_under(prefix):
            counts = decoding.decode_entry(entry, _decode_counts) or {}
            node = entry.key.removeprefix(prefix)
            # Both are total counts of the node, so the larger one is newer.
            received = by_node.get(node, {})
            by_node[node] = max(received, counts, key=lambda c: sum(c.values()))
        totals: dict[str, int] = {}
        for counts in by_node.values():
            for organisation, number in counts.items():
                totals[organisation] = totals.get(organisation, 0) + number
        return totals


def _decode_counts(value: bytes) -> dict[str, int]:
    return cattrs.structure(orjson.loads(value), dict[str, int])
