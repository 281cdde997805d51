"""Decides when a running sample moves to another engine.

An engine may become slow or stop sending while a whole step waits for one of
its samples. Another engine can resume the text after a cheap prefill, so the
sample moves once this saves more time than it costs. Engines are often slow for
a moment; by the time that a sample has moved, they are fast again. A sample
therefore moves only if its engine stays slow.
"""

import attrs

# Seconds that a move costs: a connection, and a prefill of the text.
MOVE_COST_S = 0.25
# A sample leaves an engine only if that engine is this many times slower than
# the other one.
MIN_SLOWDOWN = 1.5
# Seconds for which a run must have been slow. Short slowdowns last 0.6 s, and
# two of them may follow each other.
MIN_SLOW_S = 1.35
# Number of latest events that tell whether a run is slow now. With more, it
# would still count as slow for a while after the end of a slowdown.
LATEST_EVENTS = 4
# Events that a run needs before its speed is used, and the most moves of
# one sample.
MIN_RUN_EVENTS = 4
MAX_MOVES = 4
# A text is assumed to continue for at least this share of its present length,
# and for at least this many events.
REMAINING_SHARE = 0.3
MIN_REMAINING_EVENTS = 8


@attrs.frozen
class RunProgress:
    """Progress and speed of a sample's current run.

    Attributes:
        events: Number of events that this run has received.
        text_events: Number of events of the text, including earlier runs.
        event_s: Recent seconds per event on this engine; 0 if unknown.
        moves: How often the sample has moved.
        slow_s: Seconds for which it has been slow without interruption.
    """

    events: int
    text_events: int
    event_s: float
    moves: int
    slow_s: float


def is_slow(event_s: float, other_event_s: float) -> bool:
    """Tells whether a run is slow, by seconds per event; 0 is unknown."""
    return 0 < MIN_SLOWDOWN * other_event_s <= event_s


def remaining_events(text_events: int, expected_events: float) -> float:
    """Returns how many more events the text will probably have.

    The expected number is only a median: a text that is longer than expected
    continues, and the longer it is, the longer it will probably continue.
    """
    minimum = max(MIN_REMAINING_EVENTS, REMAINING_SHARE * text_events)
    return max(minimum, expected_events - text_events)


def should_move(
    run: RunProgress, other_event_s: float, expected_events: float
) -> bool:
    """Tells whether a sample would finish sooner on another engine.

    Args:
        run: The run on the present engine.
        other_event_s: Expected seconds per event on the other engine; 0 if no
            run has been measured yet.
        expected_events: Expected number of events of the whole text.
    """
    if run.events < MIN_RUN_EVENTS or run.moves >= MAX_MOVES:
        return False
    if run.slow_s < MIN_SLOW_S or not is_slow(run.event_s, other_event_s):
        return False
    remaining = remaining_events(run.text_events, expected_events)
    return remaining * (run.event_s - other_event_s) > MOVE_COST_S
