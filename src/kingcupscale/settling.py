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
# Longest wait after the node has seen its own entry. Nodes that start together
# are seen within this time.
MAX_WAIT_S = 1.0
# Longest wait if the node does not see its own entry, for example because the
# store takes no writes.
MAX_UNREGISTERED_S = 3.0
# Interval at which a node reads changes while it waits, in seconds.
POLL_INTERVAL_S = 0.2
# Interval at which the end of the wait is determined again, as it changes with
# each node that is seen.
CHECK_INTERVAL_S = 0.05


class Settling:
    """Tells how long a node waits after its start before it campaigns.

    The time from the node's start until it sees its own entry shows how long
    the entries of other nodes take that have started at the same time.

    Args:
        clock: The clock.
        own_key: Key of the node's own entry.
        is_enabled: Whether the node waits. It does not if its capacity is not
            configured, because all nodes then count as equal.

    Attributes:
        nodes: Keys of the nodes that were seen.
        began_at: Monotonic time of the node's start; None before it.
        changed_at: Monotonic time at which a new node was seen last.
        registered_at: Monotonic time at which the node's own entry was seen;
            None before that.
    """

    def __init__(
        self, clock: clocks.Clock, own_key: str, is_enabled: bool
    ) -> None:
        self.clock = clock
        self.own_key = own_key
        self.is_enabled = is_enabled
        self.nodes: set[str] = set()
        self.began_at: float | None = None
        self.changed_at = 0.0
        self.registered_at: float | None = None

    def begin(self) -> None:
        """Records the node's start, unless it is recorded."""
        if self.began_at is None:
            self.began_at = self.clock.monotonic()

    def note_node(self, key: str) -> None:
        """Records that a node's entry was seen."""
        if key not in self.nodes and self.left_s() > 0:
            self.nodes.add(key)
            self.changed_at = self.clock.monotonic()
            if key == self.own_key:
                self.registered_at = self.changed_at

    def left_s(self) -> float:
        """Returns the seconds left to wait; 0 if the wait is over."""
        if not self.is_enabled:
            return 0.0
        self.begin()
        began_at, now = self.began_at or 0.0, self.clock.monotonic()
        ends_at = began_at + MAX_UNREGISTERED_S
        if self.registered_at is not None:
            quiet_s = max(QUIET_S, self.registered_at - began_at)
            ends_at = min(
                ends_at,
                self.changed_at + quiet_s,
                self.registered_at + MAX_WAIT_S,
            )
        if now >= ends_at:
            self._end(now - began_at)
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
            await self.clock.sleep(min(left_s, CHECK_INTERVAL_S))
