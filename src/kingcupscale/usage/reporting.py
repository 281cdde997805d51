"""The duty that reports the usage windows of one shard.

Organisations are divided among shards. The holder of a shard's lease computes
the figures of each window, writes them to a ledger in the key-value service and
sends them to the usage intake. The figures of a window never change.
"""

import attrs

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale.duties import journal
from kingcupscale.duties import lease as leases
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue
from kingcupscale.providers import usageintake
from kingcupscale.usage import counter
from kingcupscale.usage import counterreplication

PREFIX = "usage/"
# Number of sent windows that stay in a ledger; unsent windows always stay.
WINDOWS_KEPT = 8


@attrs.frozen
class Window:
    """One usage window.

    Attributes:
        window: Number of the window; it ends (number + 1) times its length
            after 1970-01-01T00:00Z.
        figures: The reported figures, which never change.
        sent: Whether the intake has accepted the report.
    """

    window: int
    figures: list[usageintake.Figure]
    sent: bool


@attrs.frozen
class Ledger:
    """The stored ledger of one shard.

    Attributes:
        windows: The latest sent windows and all unsent ones, in order.
        reported: The totals covered by all windows so far.
        token: A value unique to this write.
    """

    windows: list[Window]
    reported: list[counter.Row]
    token: str


class UsageDuty:
    """Reports the usage windows of one shard.

    The figures of a window are written to the ledger before they are sent, so
    every holder that sends the window sends the same figures. Every write is
    conditional on the ledger version that it was computed from, so a former
    holder that was paused cannot add a window. Counts that arrive after the
    figures of their window were written go into the next window.

    Args:
        shard: Number of the shard.
        shards: The number of shards.
        lease: The shard's lease.
        store: The key-value service.
        intake: The service that accepts usage reports.
        replicator: Fetches the counters of all reachable members.
        clock: The clock.
        window_s: Length of a window in seconds.
    """

    def __init__(
        self,
        shard: int,
        shards: int,
        lease: leases.Lease,
        store: keyvalue.KeyValueStore,
        intake: usageintake.UsageIntake,
        replicator: counterreplication.CounterReplicator,
        clock: clocks.Clock,
        window_s: float,
    ) -> None:
        self.shard = shard
        self.shards = shards
        self.lease = lease
        self.store = store
        self.intake = intake
        self.replicator = replicator
        self.clock = clock
        self.window_s = window_s
        self.ledger = Ledger([], [], "")
        self.version = keyvalue.ABSENT

    @property
    def key(self) -> str:
        """The key of this shard's ledger in the store."""
        return f"{PREFIX}{self.shard}"

    async def take_over(self) -> None:
        """Reads the ledger written by former holders."""
        entry = await self.store.get(self.key)
        if entry is not None:
            self.ledger = codec.decode(Ledger, entry.value)
            self.version = entry.version

    async def run_once(self) -> None:
        """Adds the window that ended last, and sends all unsent windows."""
        ended = int(self.clock.now().timestamp() // self.window_s) - 1
        windows = self.ledger.windows
        newest = windows[-1].window if windows else 0
        if ended > newest:
            await self.replicator.fetch_all()
            await self._write(self._add_window(ended))
        for window in self.ledger.windows:
            if not window.sent:
                await self._send(window)

    def unsent(self) -> list[int]:
        """Returns the numbers of windows that the intake has not accepted."""
        return [w.window for w in self.ledger.windows if not w.sent]

    async def _write(self, ledger: Ledger) -> None:
        text = codec.encode(ledger).decode()
        answer = await keyvalue.put_resolved(
            self.store, self.key, text, self.version
        )
        if not answer.written:
            raise journal.JournalError(
                "usage ledger was written by another holder"
            )
        self.ledger = ledger
        self.version = answer.version

    def _add_window(self, window: int) -> Ledger:
        reported = _totals_by_key(self.ledger.reported)
        counted = self._shard_totals()
        figures = _sum_unreported(reported, counted)
        merged = dict(reported)
        for key, totals in counted.items():
            merged[key] = counter.merge_totals(merged.get(key), totals)
        rows = [counter.Row(*k, list(t)) for k, t in sorted(merged.items())]
        windows = [*_drop_old(self.ledger.windows)]
        windows.append(Window(window, figures, False))
        return Ledger(windows, rows, keyvalue.new_token())

    def _shard_totals(self) -> dict[counter.CounterKey, counter.Totals]:
        return {
            key: totals
            for key, totals in self.replicator.counters.totals_by_key.items()
            if hashing.hash64(key[1]) % self.shards == self.shard
        }

    async def _send(self, window: Window) -> None:
        epoch = self.lease.epoch
        report = usageintake.Report(
            str(self.shard), window.window, epoch, window.figures
        )
        try:
            await self.intake.send(
                report, lambda: self.lease.check_order(epoch)
            )
        except calls.PlatformError as e:
            events.log(
                events.Event.USAGE_FAILED,
                node=self.lease.node,
                window=window.window,
                reason=e.reason,
            )
            return
        await self._write(self._mark_sent(window))
        events.log(
            events.Event.USAGE_REPORTED,
            node=self.lease.node,
            shard=self.shard,
            window=window.window,
        )

    def _mark_sent(self, sent: Window) -> Ledger:
        windows = [
            attrs.evolve(w, sent=True) if w.window == sent.window else w
            for w in self.ledger.windows
        ]
        return attrs.evolve(
            self.ledger, windows=windows, token=keyvalue.new_token()
        )


def _totals_by_key(
    rows: list[counter.Row],
) -> dict[counter.CounterKey, counter.Totals]:
    return {row.key: row.to_tuple() for row in rows}


def _sum_unreported(
    reported: dict[counter.CounterKey, counter.Totals],
    counted: dict[counter.CounterKey, counter.Totals],
) -> list[usageintake.Figure]:
    sums: dict[counter.FigureKey, list[int]] = {}
    for key, totals in counted.items():
        before = reported.get(key, counter.ZERO_TOTALS)
        figure = sums.setdefault((key[1], key[2]), [0, 0, 0])
        for index in range(len(figure)):
            figure[index] += max(0, totals[index] - before[index])
    return [
        usageintake.Figure(*name, *figure)
        for name, figure in sorted(sums.items())
        if any(figure)
    ]


def _drop_old(windows: list[Window]) -> list[Window]:
    unsent = [w for w in windows if not w.sent]
    sent = [w for w in windows if w.sent]
    kept = [*sent[-WINDOWS_KEPT:], *unsent]
    return sorted(kept, key=lambda w: w.window)
