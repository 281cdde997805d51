"""Whether what a node knows of the store is new enough to act on."""

from collections.abc import Callable
from typing import Protocol

from kingcupscale import clock as clocks
from kingcupscale import events

# Share of the bound at its end in which nothing is sent any more, for calls
# that are under way.
SAFETY_SHARE = 0.25


class MirrorAge(Protocol):
    """What tells how old a node's knowledge of the store is.

    Attributes:
        current_at: Monotonic time at which the last good answer was asked for;
            negative before the first.
        is_unreachable: Whether neither the store nor another node answers.
    """

    current_at: float
    is_unreachable: bool

    def age_s(self) -> float:
        """Returns seconds since the mirror was known to be current."""
        ...


class View:
    """Tells whether a node would have heard of a change by now.

    Args:
        mirror: What the node knows of the store.
        clock: Tells the time.
        node: The node's name, for the log.
        bound_s: Seconds within which a change has to be acted on.
        peer_answered_at: Returns the monotonic time at which another node last
            answered; None if no other node is known.

    Attributes:
        max_age_s: Age in seconds up to which the view is current.
    """

    def __init__(
        self,
        mirror: MirrorAge,
        clock: clocks.Clock,
        node: str,
        bound_s: float,
        peer_answered_at: Callable[[], float | None],
    ) -> None:
        self.mirror = mirror
        self.clock = clock
        self.node = node
        self.bound_s = bound_s
        self.max_age_s = bound_s * (1 - SAFETY_SHARE)
        self.peer_answered_at = peer_answered_at
        self.was_current = True

    def age_s(self) -> float:
        """Returns the age of the view in seconds."""
        return self.mirror.age_s()

    def is_current(self) -> bool:
        """Tells whether a change that others act on is known here.

        While the store is silent for everybody, there are no changes.
        """
        is_current = (
            self.mirror.age_s() <= self.max_age_s
            or self._is_store_unreachable_for_all()
        )
        if is_current != self.was_current:
            self._note(is_current)
        return is_current

    def _is_store_unreachable_for_all(self) -> bool:
        """Tells whether another node has just known nothing newer either."""
        if not self.mirror.is_unreachable:
            return False
        peer_answered_at = self.peer_answered_at()
        if peer_answered_at is None:
            return True
        was_old = peer_answered_at - self.mirror.current_at > self.max_age_s
        return (
            was_old
            and self.clock.monotonic() - peer_answered_at <= self.bound_s
        )

    def _note(self, is_current: bool) -> None:
        self.was_current = is_current
        events.log(
            events.Event.VIEW_CURRENT if is_current else events.Event.VIEW_OLD,
            node=self.node,
            age_s=round(self.mirror.age_s(), 3),
            lost=self.mirror.is_unreachable,
        )
