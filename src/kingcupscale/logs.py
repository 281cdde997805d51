"""Writes log events to standard output as JSON lines.

The writer never blocks; it limits the rate of lines with a token bucket and
drops the lines above it.
"""

import collections
import fcntl
import os
import sys
from typing import Any

import eliot
import orjson

from kingcupscale import clock as clocks

# Longer lines are cut. A write to a pipe of at most PIPE_BUF bytes (4096 on
# Linux) is done as a whole or not at all; a longer one may be done in part.
MAX_LINE_BYTES = 4000
MAX_LINES_PER_S = 150.0
MAX_BURST_LINES = 600.0


class LineWriter:
    """An eliot destination that drops lines instead of blocking.

    Args:
        descriptor: File descriptor to write to; made non-blocking.
        clock: The clock to use.

    Attributes:
        dropped: Number of lines dropped since the last one written.
        dropped_total: Number of lines dropped since the start.
        counts: Number of events by event number, including dropped ones.
    """

    def __init__(self, descriptor: int, clock: clocks.Clock) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.dropped = 0
        self.dropped_total = 0
        self.counts: collections.Counter[int] = collections.Counter()
        self.available_lines = MAX_BURST_LINES
        self.refilled_at = clock.monotonic()
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def __call__(self, fields: dict[str, Any]) -> None:
        """Writes one event, or drops and counts it."""
        self.counts[fields.get("event", 0)] += 1
        if not self._try_consume_line():
            self._count_dropped()
            return
        if self.dropped:
            fields = {**fields, "dropped_before": self.dropped}
        line = orjson.dumps(fields, default=str)
        if len(line) >= MAX_LINE_BYTES:
            line = orjson.dumps(
                {
                    "message_type": fields.get("message_type"),
                    "event": fields.get("event"),
                    "timestamp": fields.get("timestamp"),
                    "cut": line[: MAX_LINE_BYTES // 2].decode(
                        "utf-8", "ignore"
                    ),
                }
            )
        try:
            os.write(self.descriptor, line + b"\n")
            self.dropped = 0
        except OSError:
            # The pipe is full or its reader has closed it. The next line that
            # is written has the number of dropped lines.
            self._count_dropped()

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _try_consume_line(self) -> bool:
        now = self.clock.monotonic()
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.available_lines = min(
            MAX_BURST_LINES, self.available_lines + refill
        )
        self.refilled_at = now
        if self.available_lines < 1:
            return False
        self.available_lines -= 1
        return True


def to_standard_output(clock: clocks.Clock) -> LineWriter:
    """Sends log events to standard output and returns the writer."""
    writer = LineWriter(sys.stdout.fileno(), clock)
    eliot.add_destinations(writer)
    return writer
