"""When a starting node knows enough of the fleet to campaign for duties.

All nodes of a fleet may start at the same time. The first ones would know only
themselves, consider themselves the best candidates and keep the duties, however
weak they are. A node therefore waits until no further nodes appear.
"""

from kingcupscale import clock as clocks
from kingcupscale import events

# Time without a new node after which the fleet is considered complete. It is
# longer than the delay with which a node sees another one: the poll interval
# below and the delay of the store.
QUIET_S = 0.45
# Longest wait. Nodes that start together are seen within this time.
MAX_WAIT_S = 1.0
# Interval at which a node reads changes while it waits, in seconds.
POLL_INTERVAL_S = 0.2


class Settling:
    """Tells how long a node waits after its start before it campaigns.

    Args:
        clock: The clock.
        is_enabled: Whether the node waits. It does not if its capacity is not
            configured, because all nodes then count as equal.

    Attributes:
        nodes: Keys of the nodes that were seen.
        began_at: Monotonic time at which the wait began; None if it has not.
        changed_at: Monotonic time at which a new node was seen last.
    """

    def __init__(self, clock: clocks.Clock, is_enabled: bool) -> None:
        self.clock = clock
        self.is_enabled = is_enabled
        self.nodes: set[str] = set()
        self.began_at: float | None = None
        self.changed_at = 0.0

    def note_node(self, key: str) -> None:
        """Records that a node's entry was seen."""
        if key not in self.nodes and self.left_s() > 0:
            self.nodes.add(key)
            self.changed_at = self.clock.monotonic()

    def left_s(self) -> float:
        """Returns the seconds left to wait; 0 if the wait is over."""
        if not self.is_enabled:
            return 0.0
        now = self.clock.monotonic()
        if self.began_at is None:
            self.began_at = self.changed_at = now
        ends_at = min(self.changed_at + QUIET_S, self.began_at + MAX_WAIT_S)
        if now >= ends_at:
            self._end(now - self.began_at)
        return max(0.0, ends_at - now)

    def _end(self, waited_s: float) -> None:
        self.is_enabled = False
        events.log(
            events.Event.FLEET_SETTLED,
            nodes=len(self.nodes),
            waited_s=round(waited_s, 3),
        )

    async def wait(self) -> None:
        """Returns once the wait is over."""
        while (left_s := self.left_s()) > 0:
            await self.clock.sleep(left_s)
