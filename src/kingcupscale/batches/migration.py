"""When a running sample goes on at another engine.

Answers engines that turn slow or dark under a sample that a whole step waits
for: a text is cheap to read in again, so it goes on elsewhere as soon as that
saves more than the reading costs.
"""

import attrs

# What a move costs: a connection, and reading the text in again, in seconds.
MOVE_COST_S = 0.25
# An engine must be this many times slower than another to be left.
SLOWER = 1.5
# Events of a run before its pace is believed, and moves of one sample.
EVENTS_LEAST = 4
MOVES_MOST = 4
# A sample with no known length is taken to go on for this share of what there
# is of it, and at least for so many events.
REST_SHARE = 0.3
REST_LEAST = 8


@attrs.frozen
class RunProgress:
    """How a run goes.

    Attributes:
        events: Events that this run has made.
        text_events: Events of the text, with those of earlier runs.
        event_s: Seconds that an event takes here, of late.
        moves: How often the sample has moved.
    """

    events: int
    text_events: int
    event_s: float
    moves: int


def rest_events(text_events: int, expected_events: float) -> float:
    """Returns how many events are probably still to come.

    The expected number is right at the median only: a text that has passed it
    goes on, the longer it is already the longer.
    """
    least = max(REST_LEAST, REST_SHARE * text_events)
    return max(least, expected_events - text_events)


def should_migrate(
    run: RunProgress, other_event_s: float, expected_events: float
) -> bool:
    """Tells whether a sample ends sooner on another engine.

    Args:
        run: How it goes where it is.
        other_event_s: Seconds that an event would take on the other engine; 0
            before any run has told.
        expected_events: Events that the whole text is expected to have.
    """
    if run.events < EVENTS_LEAST or run.moves >= MOVES_MOST:
        return False
    if other_event_s <= 0:
        return False
    if run.event_s < SLOWER * other_event_s:
        return False
    rest = rest_events(run.text_events, expected_events)
    return rest * (run.event_s - other_event_s) > MOVE_COST_S
