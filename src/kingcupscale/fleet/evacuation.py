"""Zones that are evacuated at present.

Load pattern: an operator evacuates a zone while every node sends to it and the
store may fall silent at any moment. A zone is therefore excluded as soon as its
key is seen, and stays excluded until the key is seen to be deleted.
"""

from collections.abc import Callable
from collections.abc import Set

from kingcupscale import clock as clocks
from kingcupscale import events

# Longest name of a zone; a longer one is not a zone's.
MAX_ZONE_CHARACTERS = 200


def _is_always_read() -> bool:
    """Default of ``is_read``: there is no store to wait for."""
    return True


class Evacuations:
    """Keeps the evacuated zones by the store's entries.

    Args:
        clock: The clock.
        is_read: Returns whether the store has been read at least once. Before
            that, any zone may be evacuated.
        known_zones: Zones of the deployment; empty if they are not configured.

    Attributes:
        began_at: Monotonic times at which this node learnt of the present
            evacuations, by zone.
        ended_at: Monotonic times at which it learnt of the end of the latest
            evacuation of a zone, by zone.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        is_read: Callable[[], bool] = _is_always_read,
        known_zones: Set[str] = frozenset(),
    ) -> None:
        self.clock = clock
        self.is_read = is_read
        self.known_zones = known_zones
        self.began_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}

    def begin(self, zone: str) -> None:
        """Records that a zone is evacuated.

        The evacuation of a zone that is not configured is kept too: it excludes
        nothing unless a server's entry names the zone.
        """
        if not 0 < len(zone) <= MAX_ZONE_CHARACTERS:
            events.log(
                events.Event.EVACUATION_INVALID, zone=zone[:MAX_ZONE_CHARACTERS]
            )
            return
        if zone in self.began_at:
            return
        self.began_at[zone] = self.clock.monotonic()
        is_unknown = self.known_zones and zone not in self.known_zones
        events.log(
            events.Event.EVACUATION_INVALID
            if is_unknown
            else events.Event.ZONE_EVACUATED,
            zone=zone,
        )

    def end(self, zone: str) -> None:
        """Records that the evacuation of a zone has ended."""
        if self.began_at.pop(zone, None) is None:
            return
        self.ended_at[zone] = self.clock.monotonic()
        events.log(events.Event.ZONE_REOPENED, zone=zone)

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether no request may be sent to the servers of a zone."""
        return zone in self.began_at or not self.is_read()

    def zones(self) -> set[str]:
        """Returns the evacuated zones."""
        return set(self.began_at)
