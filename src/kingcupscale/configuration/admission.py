"""Whether a node knows enough of the configuration to admit requests."""

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.configuration import replica as replicas
from kingcupscale.peering import members as membership

ISOLATION_BOUND_S = 12.0
CONTACT_BOUND_S = 6.0
READY_RETRY_S = 1.0


class Admission:
    """Keeps a node that may have missed a withdrawal from admitting.

    A node is *confirmed* as of the time at which someone read the store, if
    by then it had everything that was in it. Confirmed within the bound, it
    admits. Otherwise it admits only while it is in fresh touch with a majority
    of the nodes entered in its configuration: a change is accepted only by a
    node with such a majority in reach, so any change since then has reached
    somebody in this node's reach as well.

    Args:
        replica: The node's configuration.
        members: The members it knows.
        clock: Tells the time.
        bound_s: Longest time without confirmation, in seconds.

    Attributes:
        confirmed_at: Monotonic time as of which the revision is known to be
            the newest; None before the first confirmation.
        contact_at: Monotonic time at which a peer was last asked that then
            had nothing newer; None before the first.
        ready: Whether the node has caught up since it started.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        members: membership.Members,
        clock: clocks.Clock,
        bound_s: float = ISOLATION_BOUND_S,
    ) -> None:
        self.replica = replica
        self.members = members
        self.clock = clock
        self.bound_s = bound_s
        self.confirmed_at: float | None = None
        self.contact_at: float | None = None
        self.ready = False
        self.last_admitting: bool | None = None

    def confirm(self, at: float) -> None:
        """Notes that the revision was the newest at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
        # An old confirmation, heard of in an outage, readies no start.
        self.ready = self.ready or self.is_confirmed()

    def record_contact(self, at: float) -> None:
        """Notes that a peer asked at a time had nothing newer."""
        self.contact_at = max(at, self.contact_at or at)

    def _has_fresh_contact(self) -> bool:
        """Tells whether what is known of the members is of now.

        A node that was suspended still counts everybody as alive.
        """
        if self.replica.document.nodes.keys() <= {self.members.me.name}:
            return True
        if self.contact_at is None:
            return False
        return self.clock.monotonic() - self.contact_at <= CONTACT_BOUND_S

    def confirmed_age_s(self) -> float | None:
        """Returns seconds since the time of confirmation."""
        if self.confirmed_at is None:
            return None
        return self.clock.monotonic() - self.confirmed_at

    def is_confirmed(self) -> bool:
        """Tells whether the confirmation is within the bound."""
        age = self.confirmed_age_s()
        return age is not None and age <= self.bound_s

    def has_majority(self) -> bool:
        """Tells whether enough of the entered nodes are in reach."""
        return self.is_majority({m.name for m in self.members.alive()})

    def is_majority(self, names: set[str]) -> bool:
        """Tells whether names are a majority of the entered nodes.

        Of an even number, the half with the first name counts as enough.
        """
        roster = self.replica.document.nodes.keys()
        reached = len(names & roster)
        if roster and 2 * reached == len(roster):
            return min(roster) in names
        return 2 * reached > len(roster)

    def is_admitting(self) -> bool:
        """Tells whether the node admits requests."""
        is_in_majority = self._has_fresh_contact() and self.has_majority()
        is_admitting = self.ready and (self.is_confirmed() or is_in_majority)
        if is_admitting != self.last_admitting:
            self.last_admitting = is_admitting
            self._announce(is_admitting)
        return is_admitting

    def _announce(self, is_admitting: bool) -> None:
        events.log(
            events.Event.ADMISSION_CHANGED,
            node=self.members.me.name,
            admitting=is_admitting,
            revision=self.replica.revision,
        )

    def check(self) -> None:
        """Lets a request in.

        Raises:
            ServiceError: ``NOT_READY`` or ``ISOLATED``.
        """
        if self.is_admitting():
            return
        code = (
            errors.ResultCode.ISOLATED
            if self.ready
            else errors.ResultCode.NOT_READY
        )
        raise errors.ServiceError(code, retry_after_s=READY_RETRY_S)
