"""Log lines on standard output, bounded in number and never blocking."""

import collections
import fcntl
import os
import sys
from typing import Any

import eliot
import orjson

from kingcupscale import clock as clocks

# A line of this size is written to a pipe whole or not at all.
LINE_BYTES = 4000
LINES_PER_S = 150.0
BURST_LINES = 600.0


class LineWriter:
    """An eliot destination that drops lines rather than wait.

    Args:
        descriptor: File descriptor to write to; made non-blocking.
        clock: Tells the time.

    Attributes:
        dropped: Lines that were dropped since the last one written.
        dropped_total: Lines that were dropped since the start.
        counts: Events by number, dropped ones too.
    """

    def __init__(self, descriptor: int, clock: clocks.Clock) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self.dropped_total = 0
        self.counts: collections.Counter[int] = collections.Counter()
        self.allowance = BURST_LINES
        self.filled_at = clock.monotonic()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def __call__(self, fields: dict[str, Any]) -> None:
        """Writes one message, or counts it as dropped."""
        self.counts[fields.get("event", 0)] += 1
        if not self._is_allowed():
            self._drop()
            return
        if self.dropped:
            fields = {**fields, "dropped_before": self.dropped}
        line = orjson.dumps(fields, default=str)
        if len(line) >= LINE_BYTES:
            line = orjson.dumps(
                {
                    "message_type": fields.get("message_type"),
                    "event": fields.get("event"),
                    "timestamp": fields.get("timestamp"),
                    "cut": line[: LINE_BYTES // 2].decode("utf-8", "ignore"),
                }
            )
        try:
            os.write(self.descriptor, line + b"\n")
            self.dropped = 0
        except OSError:
            # The reader is behind or gone; the next line tells how many.
            self._drop()

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _is_allowed(self) -> bool:
        now = self.clock.monotonic()
        earned = (now - self.filled_at) * LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.filled_at = now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True


def to_standard_output(clock: clocks.Clock) -> LineWriter:
    """Sends log events to standard output, and returns what writes them."""
    writer = LineWriter(sys.stdout.fileno(), clock)
    eliot.add_destinations(writer)
    return writer
