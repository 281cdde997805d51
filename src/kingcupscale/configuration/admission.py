"""Decides whether a node's configuration is current enough to serve."""

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.configuration import replica as replicas
from kingcupscale.peering import members as membership

MAX_CONFIRMATION_AGE_S = 12.0
MAX_CONTACT_AGE_S = 6.0
RETRY_AFTER_S = 1.0


class Admission:
    """Stops a node that may have missed a key withdrawal from admitting.

    A revision is *confirmed* as of a time if a read of the store that began
    at that time, by this node or a peer, found nothing newer. A node admits
    requests while its last confirmation is recent enough. Otherwise it admits
    only while its membership table is current and lists as reachable a
    majority of the nodes registered in its configuration. A change is accepted
    only by a node that reaches such a majority, and two majorities share a
    node, so any change that this node missed is known to at least one node
    that it can reach.

    Args:
        replica: The node's replica of the configuration.
        members: The membership table.
        clock: Source of monotonic time.
        max_age_s: Longest time without a confirmation, in seconds.

    Attributes:
        confirmed_at: Monotonic time as of which the revision is known to be
            the newest; None before the first confirmation.
        contact_at: Monotonic time of the latest request to a peer after whose
            reply this node had the peer's revision or a newer one; None before
            the first.
        ready: Whether the node has caught up since it started.
        last_admitting: The last result of ``is_admitting``, to log changes.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        members: membership.Members,
        clock: clocks.Clock,
        max_age_s: float = MAX_CONFIRMATION_AGE_S,
    ) -> None:
        self.replica = replica
        self.members = members
        self.clock = clock
        self.max_age_s = max_age_s
        self.confirmed_at: float | None = None
        self.contact_at: float | None = None
        self.ready = False
        self.last_admitting: bool | None = None

    def confirm(self, at: float) -> None:
        """Records that the revision was the newest at a given time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
        # During a store outage, peers may send a confirmation that is too old
        # to make a starting node ready.
        self.ready = self.ready or self.is_confirmed()

    def record_contact(self, at: float) -> None:
        """Records that this node is up to date with a peer asked at a time."""
        self.contact_at = max(at, self.contact_at or at)

    def _has_fresh_contact(self) -> bool:
        """Returns whether the membership table is recent enough to rely on.

        A process that was suspended still lists all members as alive, so a
        recent reply from a peer is required. A node needs none if no other
        node is registered.
        """
        if self.replica.document.nodes.keys() <= {
            self.members.local_member.name
        }:
            return True
        if self.contact_at is None:
            return False
        return self.clock.monotonic() - self.contact_at <= MAX_CONTACT_AGE_S

    def confirmed_age_s(self) -> float | None:
        """Returns the age of the last confirmation in seconds."""
        if self.confirmed_at is None:
            return None
        return self.clock.monotonic() - self.confirmed_at

    def is_confirmed(self) -> bool:
        """Returns whether the last confirmation is recent enough."""
        age = self.confirmed_age_s()
        return age is not None and age <= self.max_age_s

    def has_majority(self) -> bool:
        """Returns whether a majority of the registered nodes is reachable.

        These are the nodes that the membership table lists as alive or suspect.
        """
        return self.is_majority({m.name for m in self.members.alive()})

    def is_majority(self, names: set[str]) -> bool:
        """Returns whether names include a majority of the registered nodes.

        Of an even number of nodes, the half with the alphabetically first
        name counts as a majority.
        """
        registered = self.replica.document.nodes.keys()
        reached = len(names & registered)
        if registered and 2 * reached == len(registered):
            return min(registered) in names
        return 2 * reached > len(registered)

    def is_admitting(self) -> bool:
        """Returns whether the node admits requests, and logs a change."""
        is_admitting = self.peek_admitting()
        if is_admitting != self.last_admitting:
            self.last_admitting = is_admitting
            self._log_change(is_admitting)
        return is_admitting

    def peek_admitting(self) -> bool:
        """Returns as ``is_admitting``, but logs nothing."""
        is_in_majority = self._has_fresh_contact() and self.has_majority()
        return self.ready and (self.is_confirmed() or is_in_majority)

    def _log_change(self, is_admitting: bool) -> None:
        events.log(
            events.Event.ADMISSION_CHANGED,
            node=self.members.local_member.name,
            admitting=is_admitting,
            revision=self.replica.revision,
        )

    def check(self) -> None:
        """Checks that the node may admit a request.

        Raises:
            ServiceError: ``NOT_READY`` until the node has caught up,
                ``ISOLATED`` if its configuration may be outdated.
        """
        if not self.is_admitting():
            raise self.make_rejection()

    def make_rejection(self) -> errors.ServiceError:
        """Returns the error of a node that admits no requests."""
        code = (
            errors.ResultCode.ISOLATED
            if self.ready
            else errors.ResultCode.NOT_READY
        )
        return errors.ServiceError(code, retry_after_s=RETRY_AFTER_S)
