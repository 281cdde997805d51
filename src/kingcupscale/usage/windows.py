"""Usage by window of the wall clock, from counts of all nodes to one report."""

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

# After a window's end, requests that began in it may still be answered, and
# clocks differ a little.
COUNT_DELAY_S = 1.0
# Share of the time until a report is late after which it is put together,
# whoever's counts are missing.
COLLECT_FRACTION = 0.4
# A node that begins to report waits so long for what the others told the one
# before it.
RESEND_WAIT_S = 2.0
# Stands for the store where it is noted who was told.
IN_STORE = "store"
# Windows that are kept in the store and looked after, the newest ones.
WINDOWS_KEPT = 12


class ReportError(Exception):
    """A report that the intake did not take, or may not have.

    Args:
        reason: What went wrong.
        is_fenced: Whether a newer holder has reported.
    """

    def __init__(self, reason: str, is_fenced: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_fenced = is_fenced


class Intake(Protocol):
    """Takes usage reports."""

    async def report(
        self, window: int, counts: dict[str, int], holder: locks.Holder
    ) -> None:
        """Sends one window's figures.

        Raises:
            ReportError: If it is not known to have taken them.
        """
        ...


class CountSender(Protocol):
    """Tells the node that reports usage what this one has counted."""

    def holder(self) -> str:
        """Returns who reports, told apart by lease; empty for nobody."""
        ...

    async def send(self, counted: dict[int, dict[str, int]]) -> bool:
        """Tells whole counts by window; whether they were taken."""
        ...


class WindowCounter:
    """What one node's organisations began, by window.

    Counts go to the node that reports them, and again to the next one if that
    changes; without one, and at a stop, they go into the store.

    Args:
        mirror: Where the counts are shared.
        clock: Tells the time.
        node: The node's name.
        window_s: Length of a window in seconds.
        count_sender: Tells the node that reports.

    Attributes:
        counts: Requests by organisation, by window.
        flushed: What has been shared, by window.
        flushed_to: Whom it was told, by window; ``IN_STORE`` for the store.
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
        """Returns the window of a time in seconds since 1970."""
        return int(seconds // self.window_s)

    def count_started(self, organisation: str) -> None:
        """Counts a request that begins now."""
        window = self.window_at(self.clock.now().timestamp())
        counts = self.counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1

    async def flush(self, is_last: bool = False) -> None:
        """Shares the counts of ended windows, or of all at the last.

        What is shared is always a window's whole count, so that it does no
        harm to share it again, also while another write is under way.

        Raises:
            StoreError: If the store cannot be reached; they are kept.
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
        is_whole = self.flushed.get(window) == self.counts[window]
        return is_whole and self.flushed_to[window] in (IN_STORE, holder)

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

    The figures are written under the condition that the window has none yet,
    before they are sent; whoever sends it later sends the same.

    Args:
        duty_lock: The duty.
        mirror: Where counts and figures are shared.
        intake: Takes the reports.
        clock: Tells the time.
        window_s: Length of a window in seconds.
        late_s: Seconds after its end when a report is late.
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
        """Takes over a node's whole counts by window."""
        for window, counts in counted.items():
            self.received.setdefault(window, {})[node] = counts

    def _has_waited_for_counts(self) -> bool:
        """Tells whether the others had the time to tell this node."""
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
        now_s = self.clock.now().timestamp()
        due = int((now_s - self.late_s * COLLECT_FRACTION) // self.window_s) - 1
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

    def _first_window(self, due: int) -> int:
        """Returns the oldest window of which anything is known."""
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
        """Returns a window's figures, fixed in the store before they go."""
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
        """Returns the sum over all nodes, told or written."""
        prefix = f"{COUNTS_PREFIX}{window}/"
        by_node = dict(self.received.get(window, {}))
        for entry in self.mirror.entries_under(prefix):
            counts = decoding.decode_entry(entry, _decode_counts) or {}
            node = entry.key.removeprefix(prefix)
            # Both are the node's whole count; the larger one is the later.
            received = by_node.get(node, {})
            by_node[node] = max(received, counts, key=lambda c: sum(c.values()))
        totals: dict[str, int] = {}
        for counts in by_node.values():
            for organisation, number in counts.items():
                totals[organisation] = totals.get(organisation, 0) + number
        return totals


def _decode_counts(value: bytes) -> dict[str, int]:
    return cattrs.structure(orjson.loads(value), dict[str, int])
