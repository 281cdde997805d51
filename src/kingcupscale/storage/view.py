"""Whether a node's view of the store is recent enough to act on.

A view is what a node knows of the store through its mirror. A node with an old
view may have missed a change that other nodes already act on.
"""

from collections.abc import Callable
from typing import Protocol

from kingcupscale import clock as clocks
from kingcupscale import events

# Share of the time limit, at its end, in which the view already counts as old.
# It covers calls that are in flight.
SAFETY_SHARE = 0.25


class MirrorAge(Protocol):
    """The part of a mirror that shows its age.

    Attributes:
        current_at: Monotonic time at which the mirror was last known to be
            current; negative before the first successful read.
        is_unreachable: Whether the store does not respond and there is no other
            node to follow whose mirror is recent.
    """

    current_at: float
    is_unreachable: bool

    def age_s(self) -> float:
        """Returns the seconds since the mirror was known to be current."""
        ...


class View:
    """Determines whether a node's view of the store is current.

    Args:
        mirror: The node's mirror of the store.
        clock: Source of time.
        node: The node's name, for the log.
        bound_s: Seconds within which a change must be in effect.
        peer_cut_off_at: Returns the monotonic time at which another node that
            does not reach the store last responded; None if no other node is
            known.

    Attributes:
        max_age_s: Age in seconds up to which the view is current.
        was_current: Result of the last check.
    """

    def __init__(
        self,
        mirror: MirrorAge,
        clock: clocks.Clock,
        node: str,
        bound_s: float,
        peer_cut_off_at: Callable[[], float | None],
    ) -> None:
        self.mirror = mirror
        self.clock = clock
        self.node = node
        self.bound_s = bound_s
        self.max_age_s = bound_s * (1 - SAFETY_SHARE)
        self.peer_cut_off_at = peer_cut_off_at
        self.was_current = True

    def age_s(self) -> float:
        """Returns the age of the view in seconds."""
        return self.mirror.age_s()

    def is_current(self) -> bool:
        """Returns whether this node has all changes that others may act on.

        An old view also counts as current while no node reaches the store, as
        nothing can change then.
        """
        is_current = self.peek_current()
        if is_current != self.was_current:
            self._log_transition(is_current)
        return is_current

    def peek_current(self) -> bool:
        """Returns as ``is_current``, but logs nothing."""
        return (
            self.mirror.age_s() <= self.max_age_s
            or self._is_store_unreachable_for_all()
        )

    def _is_store_unreachable_for_all(self) -> bool:
        """Returns whether the other nodes do not reach the store either.

        True if another node that does not reach it responded recently, but long
        after this node's view was current; or if there is no other node. The
        view of a node that does reach the store may be old as well, because the
        node is behind.
        """
        if not self.mirror.is_unreachable:
            return False
        peer_cut_off_at = self.peer_cut_off_at()
        if peer_cut_off_at is None:
            return True
        was_old = peer_cut_off_at - self.mirror.current_at > self.max_age_s
        return (
            was_old and self.clock.monotonic() - peer_cut_off_at <= self.bound_s
        )

    def _log_transition(self, is_current: bool) -> None:
        self.was_current = is_current
        events.log(
            events.Event.VIEW_CURRENT if is_current else events.Event.VIEW_OLD,
            node=self.node,
            age_s=round(self.mirror.age_s(), 3),
            lost=self.mirror.is_unreachable,
        )
