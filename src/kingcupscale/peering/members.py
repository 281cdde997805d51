"""The membership table, merged from the updates that nodes exchange.

Membership is only a hint: it selects which nodes to contact and which nodes
try to acquire a lease. It never grants the right to act.
"""

from collections.abc import Callable
import math

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import rendezvous
from kingcupscale.peering import peer_pb2

ALIVE = peer_pb2.ALIVE
SUSPECT = peer_pb2.SUSPECT
DEAD = peer_pb2.DEAD
LEFT = peer_pb2.LEFT

RETRANSMIT_FACTOR = 3
REMOVE_AFTER_S = 3600.0


@attrs.frozen
class Member:
    """The state of one node, as known to another node.

    Attributes:
        name: The node's name, which a restart keeps.
        address: ``host:port`` of its peer listener.
        zone: Availability zone.
        region: Region of the availability zone.
        incarnation: Number that increases with every restart and every
            refutation.
        status: ``ALIVE``, ``SUSPECT``, ``DEAD`` or ``LEFT``.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    status: int = ALIVE

    def supersedes(self, other: "Member") -> bool:
        """Returns whether this entry is newer than another one.

        Within an incarnation, the order is alive, suspect, dead, left.
        """
        mine = (self.incarnation, self.status)
        return mine > (other.incarnation, other.status)

    def to_proto(self) -> peer_pb2.Member:
        """Returns the entry as a protocol message."""
        return peer_pb2.Member(
            name=self.name,
            address=self.address,
            zone=self.zone,
            region=self.region,
            incarnation=self.incarnation,
            status=self.status,
        )


def from_proto(entry: peer_pb2.Member) -> Member:
    """Returns the entry in a protocol message."""
    return Member(
        entry.name,
        entry.address,
        entry.zone,
        entry.region,
        entry.incarnation,
        entry.status,
    )


class Members:
    """All members known to one node, itself included.

    Args:
        local_member: The node's own entry.
        clock: Source of monotonic time.
        suspicion_s: Time within which a suspect has to refute the suspicion,
            in seconds. Then it is marked as dead.

    Attributes:
        entries: All entries by name.
        changed_at: Monotonic time of the last change of each entry, by name.
        send_counts: How often each entry was sent since its last change, by
            name; without the entries that were sent often enough.
        not_alive: Names of the entries with another status than ``ALIVE``.
        listeners: Called with an entry whose status has changed.
    """

    def __init__(
        self, local_member: Member, clock: clocks.Clock, suspicion_s: float
    ) -> None:
        self.local_member = local_member
        self.clock = clock
        self.suspicion_s = suspicion_s
        self.entries: dict[str, Member] = {local_member.name: local_member}
        self.changed_at: dict[str, float] = {
            local_member.name: clock.monotonic()
        }
        self.send_counts: dict[str, int] = {local_member.name: 0}
        self.not_alive: set[str] = set()
        self.listeners: list[Callable[[Member], None]] = []
        # Cached until the table changes, because every tick reads them.
        self.alive_cache: list[Member] | None = None
        self.rank_cache: dict[tuple[str, str], list[Member]] = {}

    def alive(self) -> list[Member]:
        """Returns the alive and suspect members, sorted by name."""
        if self.alive_cache is None:
            sorted_entries = sorted(self.entries.items())
            self.alive_cache = [
                m for _, m in sorted_entries if _is_reachable(m)
            ]
        return self.alive_cache

    def others(self) -> list[Member]:
        """Returns the alive and suspect members other than this node."""
        return [m for m in self.alive() if m.name != self.local_member.name]

    def dead(self) -> list[Member]:
        """Returns the members with the status ``DEAD``."""
        entries = (self.entries[name] for name in sorted(self.not_alive))
        return [member for member in entries if member.status == DEAD]

    def ranked(self, subject: str, zone: str = "") -> list[Member]:
        """Returns the members ordered by rendezvous hashing for a subject.

        Args:
            subject: What is to be assigned, such as a duty.
            zone: Return only members of this availability zone. If there are
                none, or for an empty name, all members are returned.
        """
        key = (subject, zone)
        if key not in self.rank_cache:
            alive = self.alive()
            in_zone = [m for m in alive if m.zone == zone] or alive
            by_name = {m.name: m for m in in_zone}
            names = rendezvous.rank(subject, by_name)
            self.rank_cache[key] = [by_name[name] for name in names]
        return self.rank_cache[key]

    def merge(self, update: Member) -> bool:
        """Merges an update that was received into the table.

        Args:
            update: The entry received.

        Returns:
            Whether the table changed, not counting the addition of an unknown
            member that is dead or has left.
        """
        if update.name == self.local_member.name:
            return self._refute(update)
        known = self.entries.get(update.name)
        if known is not None and not update.supersedes(known):
            return False
        if known is None and update.status in (DEAD, LEFT):
            self._add_departed(update)
            return False
        self._set(update)
        return True

    def _add_departed(self, member: Member) -> None:
        """Stores an unknown member that is dead or has left.

        An older update that arrives later must not add it as alive.
        """
        self.entries[member.name] = member
        self.changed_at[member.name] = self.clock.monotonic()
        self.not_alive.add(member.name)

    def _refute(self, update: Member) -> bool:
        if (
            not update.supersedes(self.local_member)
            or self.local_member.status == LEFT
        ):
            return False
        incarnation = update.incarnation + 1
        self._set(attrs.evolve(self.local_member, incarnation=incarnation))
        return True

    def _set(self, member: Member) -> None:
        before = self.entries.get(member.name)
        self.entries[member.name] = member
        self._update_indexes(member)
        self.changed_at[member.name] = self.clock.monotonic()
        self.send_counts[member.name] = 0
        if member.name == self.local_member.name:
            self.local_member = member
        if before is None or before.status != member.status:
            self._notify(member)

    def _update_indexes(self, member: Member) -> None:
        self.alive_cache = None
        self.rank_cache.clear()
        if member.status == ALIVE:
            self.not_alive.discard(member.name)
        else:
            self.not_alive.add(member.name)

    def _notify(self, member: Member) -> None:
        events.log(
            events.Event.MEMBER_CHANGED,
            node=self.local_member.name,
            member=member.name,
            status=peer_pb2.Status.Name(member.status),
            incarnation=member.incarnation,
        )
        for listener in self.listeners:
            listener(member)

    def suspect(self, name: str) -> None:
        """Marks a member that did not reply as suspect."""
        member = self.entries.get(name)
        if member is not None and member.status == ALIVE:
            self._set(attrs.evolve(member, status=SUSPECT))

    def leave(self) -> None:
        """Marks this node as having left, which is a planned stop."""
        self._set(attrs.evolve(self.local_member, status=LEFT))

    def expire(self) -> None:
        """Marks expired suspects as dead and removes old departed members."""
        now = self.clock.monotonic()
        for name in sorted(self.not_alive):
            member = self.entries[name]
            age = now - self.changed_at[member.name]
            if member.status == SUSPECT and age > self.suspicion_s:
                self._set(attrs.evolve(member, status=DEAD))
            elif member.status in (DEAD, LEFT) and age > REMOVE_AFTER_S:
                self._remove(member.name)

    def _remove(self, name: str) -> None:
        if name != self.local_member.name:
            del self.entries[name], self.changed_at[name]
            self.send_counts.pop(name, None)
            self.not_alive.discard(name)

    def take_updates(self, limit: int) -> list[Member]:
        """Returns up to ``limit`` recent updates, the least often sent first.

        Each update is sent a number of times that grows with the logarithm of
        the member count. This reaches all members with high probability.
        """
        rounds = math.ceil(math.log2(len(self.entries) + 1))
        max_sends = RETRANSMIT_FACTOR * rounds
        by_send_count = sorted(
            self.send_counts, key=lambda name: (self.send_counts[name], name)
        )
        chosen = by_send_count[:limit]
        for name in chosen:
            self.send_counts[name] += 1
            if self.send_counts[name] >= max_sends:
                del self.send_counts[name]
        return [self.entries[name] for name in chosen]


def _is_reachable(member: Member) -> bool:
    return member.status in (ALIVE, SUSPECT)
