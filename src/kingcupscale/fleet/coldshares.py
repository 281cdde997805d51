"""Each sender's share of the requests that a cold server may get.

Load pattern: 31 or more nodes, and one node for each model's samples, see the
same new server at nearly the same time and send to it at once. Each computes
its own share without a message.

A few senders of each server are selected by rendezvous hashing. The shares of
one list of senders add up to half of the limit. The other half is for senders
that still act by another list: a partitioned node keeps its share while another
node is selected in its place, and two nodes run a model during a handover.
"""

from collections.abc import Collection

from kingcupscale import clock as clocks
from kingcupscale import rendezvous

# A node takes over the share of a removed node, and gets a share of its own
# after it has registered, only after this time. Views of the store were up to
# 4 s old on the largest deployments.
SETTLE_S = 4.0
# Lists of senders that may send to one server at the same time.
CONCURRENT_LISTS = 2


def split(limit: float, has_calls: bool, has_samples: bool) -> tuple[int, int]:
    """Divides the limit of a cold server between calls and samples.

    Args:
        limit: Requests that it may get in the time of a window.
        has_calls: Whether a route sends single calls to its service.
        has_samples: Whether a route sends samples to its service.

    Returns:
        The requests of all nodes for calls, and of all models for samples.
    """
    budget = int(limit // CONCURRENT_LISTS)
    if not has_calls:
        return 0, budget
    if not has_samples:
        return budget, 0
    return budget // 2, budget - budget // 2


def share(server: str, senders: Collection[str], own: str, budget: int) -> int:
    """Returns how many of a server's requests one sender may send.

    The shares of all senders add up to the budget at most.

    Args:
        server: Id of the server.
        senders: Names of all senders.
        own: The sender.
        budget: Requests of all senders in the time of a window.
    """
    selected = min(len(senders), budget)
    if own not in senders or selected < 1:
        return 0
    position = rendezvous.rank(server, senders).index(own)
    if position >= selected:
        return 0
    return budget // selected + (position < budget % selected)


class Senders:
    """The nodes among which a server's requests are shared.

    Another node counts for ``SETTLE_S`` after its removal, and this node does
    not count before it has been registered for that long. So the shares of
    nodes whose views differ in age by less than this add up to the budget.

    Args:
        clock: The clock.
        node: This node's name.

    Attributes:
        present_since: Monotonic times at which the nodes' entries were first
            seen, by name.
        removed_at: Monotonic times at which entries were removed, by name.
        shares: Cached shares of this node, by server and budget.
        shares_until: Monotonic time until which the cached shares are valid.
    """

    def __init__(self, clock: clocks.Clock, node: str) -> None:
        self.clock = clock
        self.node = node
        self.present_since: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}
        self.shares: dict[tuple[str, int], int] = {}
        self.shares_until = 0.0

    def note(self, name: str, is_present: bool) -> None:
        """Records that a node's entry was written or removed."""
        now = self.clock.monotonic()
        is_known = name in self.present_since and name not in self.removed_at
        if is_present == is_known:
            return
        if is_present:
            self.removed_at.pop(name, None)
            self.present_since[name] = now
        else:
            self.removed_at[name] = now
        self.shares_until = now

    def share(self, server: str, budget: int) -> int:
        """Returns how many requests this node may send to a server."""
        now = self.clock.monotonic()
        if now >= self.shares_until:
            self._forget_removed(now)
            self.shares.clear()
            self.shares_until = self._next_change_at()
        if now < self._settled_at() or self.node in self.removed_at:
            return 0
        key = (server, budget)
        if key not in self.shares:
            self.shares[key] = share(
                server, self.present_since, self.node, budget
            )
        return self.shares[key]

    def peek_share(self, server: str, budget: int) -> int:
        """Returns as ``share``, but changes nothing."""
        now = self.clock.monotonic()
        if now < self._settled_at() or self.node in self.removed_at:
            return 0
        counted = [
            name
            for name in self.present_since
            if self.removed_at.get(name, now) + SETTLE_S > now
        ]
        return share(server, counted, self.node, budget)

    def _settled_at(self) -> float:
        return self.present_since.get(self.node, float("inf")) + SETTLE_S

    def _forget_removed(self, now: float) -> None:
        for name, removed_at in list(self.removed_at.items()):
            if removed_at + SETTLE_S <= now:
                del self.removed_at[name]
                self.present_since.pop(name, None)

    def _next_change_at(self) -> float:
        """Returns when the next removed node stops to count."""
        earliest = min(self.removed_at.values(), default=float("inf"))
        return earliest + SETTLE_S
