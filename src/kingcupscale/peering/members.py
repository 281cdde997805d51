"""The table of members, merged from what nodes hear of each other.

Membership is a hint: it chooses whom to talk to and who should try for a
lease, and never grants authority.
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
FORGET_AFTER_S = 3600.0


@attrs.frozen
class Member:
    """One node as another sees it.

    Attributes:
        name: Its name, the same after a restart.
        address: ``host:port`` of its peer listener.
        zone: Availability zone.
        region: Region of the zone.
        incarnation: Grows with every restart and every refutation.
        status: ``ALIVE``, ``SUSPECT``, ``DEAD`` or ``LEFT``.
    """

    name: str
    address: str
    zone: str
    region: str
    incarnation: int
    status: int = ALIVE

    def supersedes(self, other: "Member") -> bool:
        """Tells whether this says something newer than another entry."""
        mine = (self.incarnation, self.status)
        return mine > (other.incarnation, other.status)

    def to_proto(self) -> peer_pb2.Member:
        """Returns the entry as it travels."""
        return peer_pb2.Member(
            name=self.name,
            address=self.address,
            zone=self.zone,
            region=self.region,
            incarnation=self.incarnation,
            status=self.status,
        )


def from_proto(entry: peer_pb2.Member) -> Member:
    """Returns an entry that travelled."""
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
        me: The node's own entry.
        clock: Tells the time.
        suspicion_s: Seconds a suspect has to refute before it counts as dead.
    """

    def __init__(
        self, me: Member, clock: clocks.Clock, suspicion_s: float
    ) -> None:
        self.me = me
        self.clock = clock
        self.suspicion_s = suspicion_s
        self.entries: dict[str, Member] = {me.name: me}
        self.changed_at: dict[str, float] = {me.name: clock.monotonic()}
        self.sendings: dict[str, int] = {me.name: 0}
        self.not_alive: set[str] = set()
        self.listeners: list[Callable[[Member], None]] = []
        # Worked out once for each state of the table, since every tick asks.
        self.alive_cache: list[Member] | None = None
        self.rank_cache: dict[tuple[str, str], list[Member]] = {}

    def alive(self) -> list[Member]:
        """Returns the members that may be counted on, by name."""
        if self.alive_cache is None:
            ordered = sorted(self.entries.items())
            self.alive_cache = [m for _, m in ordered if _is_up(m)]
        return self.alive_cache

    def others(self) -> list[Member]:
        """Returns the members that may be counted on but this node."""
        return [m for m in self.alive() if m.name != self.me.name]

    def lost(self) -> list[Member]:
        """Returns the members that count as dead."""
        entries = (self.entries[name] for name in sorted(self.not_alive))
        return [member for member in entries if member.status == DEAD]

    def ranked(self, subject: str, zone: str = "") -> list[Member]:
        """Returns the members in the order in which a subject chooses them.

        Args:
            subject: What is to be placed.
            zone: Only members of this availability zone; if it has none, or
                for an empty name, all.
        """
        key = (subject, zone)
        if key not in self.rank_cache:
            alive = self.alive()
            near = [m for m in alive if m.zone == zone] or alive
            by_name = {m.name: m for m in near}
            names = rendezvous.rank(subject, by_name)
            self.rank_cache[key] = [by_name[name] for name in names]
        return self.rank_cache[key]

    def merge(self, update: Member) -> bool:
        """Takes in what was heard of a member.

        Args:
            update: The entry heard.

        Returns:
            Whether it was news.
        """
        if update.name == self.me.name:
            return self._refute(update)
        known = self.entries.get(update.name)
        if known is not None and not update.supersedes(known):
            return False
        if known is None and update.status in (DEAD, LEFT):
            self._remember_gone(update)
            return False
        self._set(update)
        return True

    def _remember_gone(self, member: Member) -> None:
        """Keeps a stranger's end, so that late word of its life is old."""
        self.entries[member.name] = member
        self.changed_at[member.name] = self.clock.monotonic()
        self.not_alive.add(member.name)

    def _refute(self, update: Member) -> bool:
        if not update.supersedes(self.me) or self.me.status == LEFT:
            return False
        incarnation = update.incarnation + 1
        self._set(attrs.evolve(self.me, incarnation=incarnation))
        return True

    def _set(self, member: Member) -> None:
        before = self.entries.get(member.name)
        self.entries[member.name] = member
        self._note_status(member)
        self.changed_at[member.name] = self.clock.monotonic()
        self.sendings[member.name] = 0
        if member.name == self.me.name:
            self.me = member
        if before is None or before.status != member.status:
            self._announce(member)

    def _note_status(self, member: Member) -> None:
        self.alive_cache = None
        self.rank_cache.clear()
        if member.status == ALIVE:
            self.not_alive.discard(member.name)
        else:
            self.not_alive.add(member.name)

    def _announce(self, member: Member) -> None:
        events.log(
            events.Event.MEMBER_CHANGED,
            node=self.me.name,
            member=member.name,
            status=peer_pb2.Status.Name(member.status),
            incarnation=member.incarnation,
        )
        for listener in self.listeners:
            listener(member)

    def suspect(self, name: str) -> None:
        """Marks a member that did not reply."""
        member = self.entries.get(name)
        if member is not None and member.status == ALIVE:
            self._set(attrs.evolve(member, status=SUSPECT))

    def leave(self) -> None:
        """Marks this node as leaving by its own will."""
        self._set(attrs.evolve(self.me, status=LEFT))

    def expire(self) -> None:
        """Turns old suspects into dead members and forgets the long gone."""
        now = self.clock.monotonic()
        for name in sorted(self.not_alive):
            member = self.entries[name]
            age = now - self.changed_at[member.name]
            if member.status == SUSPECT and age > self.suspicion_s:
                self._set(attrs.evolve(member, status=DEAD))
            elif member.status in (DEAD, LEFT) and age > FORGET_AFTER_S:
                self._forget(member.name)

    def _forget(self, name: str) -> None:
        if name != self.me.name:
            del self.entries[name], self.changed_at[name]
            self.sendings.pop(name, None)
            self.not_alive.discard(name)

    def take_updates(self, limit: int) -> list[Member]:
        """Returns the least-told news, at most ``limit`` of it.

        Each entry is told a number of times that grows with the logarithm of
        the member count, which reaches everyone with high probability.
        """
        rounds = math.ceil(math.log2(len(self.entries) + 1))
        most = RETRANSMIT_FACTOR * rounds
        fresh = sorted(
            self.sendings, key=lambda name: (self.sendings[name], name)
        )
        chosen = fresh[:limit]
        for name in chosen:
            self.sendings[name] += 1
            if self.sendings[name] >= most:
                del self.sendings[name]
        return [self.entries[name] for name in chosen]


def _is_up(member: Member) -> bool:
    return member.status in (ALIVE, SUSPECT)
