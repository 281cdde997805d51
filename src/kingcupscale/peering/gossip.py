"""Probing members and spreading news, at a flat cost per node."""

import random
from typing import Protocol

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale.peering import members as membership
from kingcupscale.peering import peer_pb2
from kingcupscale.peering import transport

UPDATES_PER_MESSAGE = 8
HEAL_EVERY_TICKS = 5
INDIRECT_PROBES = 2
SEEDS_ASKED = 3
NEIGHBOURS = 16
MIX_EVERY_TICKS = 10


@attrs.frozen
class GossipSettings:
    """How often and how patiently a node probes.

    Attributes:
        interval_s: Seconds between two exchanges.
        timeout_s: Seconds a peer has to reply.
        suspicion_s: Seconds a suspect has to refute.
    """

    interval_s: float = 1.0
    timeout_s: float = 0.6
    suspicion_s: float = 4.0


class PayloadHandler(Protocol):
    """News that travels on gossip."""

    def write_payload(self, message: peer_pb2.Gossip) -> None:
        """Writes what this node knows into a message."""
        ...

    async def read_payload(
        self, address: str, message: peer_pb2.Gossip, requested_at: float | None
    ) -> None:
        """Reads what a peer knows.

        Args:
            address: Of the peer.
            message: What it sent.
            requested_at: Monotonic time at which the request that this message
                replies to was sent; None if it is a request itself.
        """
        ...


class Gossip:
    """The probing loop of one node and its answers to peers.

    Args:
        members: The table it keeps.
        transport: Calls peers.
        service: Where the handlers are offered.
        seeds: Addresses to join by.
        clock: Tells the time.
        settings: How often and how patiently.
        rng: Chooses peers.
    """

    def __init__(
        self,
        members: membership.Members,
        peers: transport.PeerTransport,
        service: transport.PeerService,
        seeds: list[str],
        clock: clocks.Clock,
        settings: GossipSettings,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.peers = peers
        self.seeds = seeds
        self.clock = clock
        self.settings = settings
        self.rng = rng
        self.payload_handlers: list[PayloadHandler] = []
        self.ticks = 0
        self.round: list[str] = []
        service.register(transport.GOSSIP, self._answer)
        service.register(transport.PROBE, self._probe_for)

    async def run(self) -> None:
        """Probes one member at every tick until cancelled."""
        while True:
            await self.tick()
            await self.clock.sleep(self.settings.interval_s)

    async def tick(self) -> None:
        """Probes one member, and now and then a lost one or a seed."""
        self.ticks += 1
        self.members.expire()
        if not self.members.others() or self.ticks % HEAL_EVERY_TICKS == 0:
            await self._heal()
        member = self._next_member()
        if member is None or await self.exchange(member.address):
            return
        if not await self._probe_indirectly(member):
            self.members.suspect(member.name)

    async def _heal(self) -> None:
        known = {m.address for m in self.members.alive()}
        lost = [m.address for m in self.members.lost()]
        targets = [a for a in [*self.seeds, *lost] if a not in known]
        if targets:
            await self.exchange(self.rng.choice(targets), full=True)

    def _next_member(self) -> membership.Member | None:
        """Returns the next neighbour, or now and then anybody.

        A bounded set of neighbours keeps connections and their memory flat in
        the size of the fleet; the others keep the news mixed.
        """
        others = {m.name: m for m in self.members.others()}
        if others and self.ticks % MIX_EVERY_TICKS == 0:
            return others[self.rng.choice(list(others))]
        while self.round:
            member = others.get(self.round.pop())
            if member is not None:
                return member
        self.round = [m.name for m in self._neighbours()]
        self.rng.shuffle(self.round)
        return others[self.round.pop()] if self.round else None

    def _neighbours(self) -> list[membership.Member]:
        me = self.members.me.name
        ranked = self.members.ranked(f"neighbours/{me}")
        return [m for m in ranked if m.name != me][:NEIGHBOURS]

    async def join(self) -> bool:
        """Asks a few seeds for the whole table; tells whether one replied."""
        seeds = [s for s in self.seeds if s != self.members.me.address]
        asked = self.rng.sample(seeds, min(SEEDS_ASKED, len(seeds)))
        results = [await self.exchange(seed, full=True) for seed in asked]
        return any(results)

    async def exchange(self, address: str, full: bool = False) -> bool:
        """Exchanges news with one peer.

        Args:
            address: Of the peer.
            full: Whether to exchange the whole tables.

        Returns:
            Whether it replied.
        """
        requested_at = self.clock.monotonic()
        request = self._compose(full)
        try:
            reply = await self.peers.call(
                address, transport.GOSSIP, request, self.settings.timeout_s
            )
        except transport.PeerError:
            return False
        await self._absorb(address, reply, requested_at)
        return True

    def _compose(self, full: bool) -> peer_pb2.Gossip:
        if full:
            entries = list(self.members.entries.values())
        else:
            entries = self.members.take_updates(UPDATES_PER_MESSAGE)
        message = peer_pb2.Gossip(
            sender=self.members.me.name,
            full=full,
            members=[entry.to_proto() for entry in entries],
        )
        if not any(entry.name == self.members.me.name for entry in entries):
            message.members.append(self.members.me.to_proto())
        for handler in self.payload_handlers:
            handler.write_payload(message)
        return message

    async def _absorb(
        self, address: str, message: peer_pb2.Gossip, requested_at: float | None
    ) -> None:
        for entry in message.members:
            self.members.merge(membership.from_proto(entry))
        for handler in self.payload_handlers:
            await handler.read_payload(address, message, requested_at)

    async def _answer(self, request: peer_pb2.Gossip) -> peer_pb2.Gossip:
        known = self.members.entries.get(request.sender)
        is_new = known is None or known.status == membership.DEAD
        sender = next(
            (m for m in request.members if m.name == request.sender), None
        )
        await self._absorb(sender.address if sender else "", request, None)
        reply = self._compose(request.full or is_new)
        self._tell_suspicion(known, reply)
        return reply

    def _tell_suspicion(
        self, known: membership.Member | None, reply: peer_pb2.Gossip
    ) -> None:
        """Tells a caller that it was doubted, so that it can refute."""
        if known is not None and known.status != membership.ALIVE:
            reply.members.append(known.to_proto())

    async def _probe_indirectly(self, target: membership.Member) -> bool:
        helpers = [m for m in self.members.others() if m.name != target.name]
        helpers = self.rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        request = peer_pb2.ProbeRequest(address=target.address)
        reached = []
        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(self._ask_helper, helper, request, reached)
        return bool(reached)

    async def _ask_helper(
        self,
        helper: membership.Member,
        request: peer_pb2.ProbeRequest,
        reached: list[str],
    ) -> None:
        timeout_s = 2 * self.settings.timeout_s
        try:
            reply = await self.peers.call(
                helper.address, transport.PROBE, request, timeout_s
            )
        except transport.PeerError:
            return
        if reply.reached:
            reached.append(helper.name)

    async def _probe_for(
        self, request: peer_pb2.ProbeRequest
    ) -> peer_pb2.ProbeReply:
        reached = await self.exchange(request.address)
        return peer_pb2.ProbeReply(reached=reached)

    async def leave(self) -> None:
        """Announces that this node leaves, to a few members at once."""
        self.members.leave()
        others = self.members.others()
        for member in self.rng.sample(others, min(3, len(others))):
            await self.exchange(member.address)
