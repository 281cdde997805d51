"""Gossip: failure detection and dissemination at a constant cost per node.

Each node probes one member per interval, asks others to probe a member that
does not reply, and gives a suspect time to refute, in the manner of SWIM.
Probes also carry membership updates and the state of other components.
"""

import random
from typing import Protocol

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale.peering import members as membership
from kingcupscale.peering import peer_pb2
from kingcupscale.peering import transport

MAX_UPDATES_PER_MESSAGE = 8
RECONNECT_INTERVAL_TICKS = 5
INDIRECT_PROBES = 2
MAX_JOIN_SEEDS = 3
MAX_NEIGHBOURS = 16
RANDOM_PROBE_INTERVAL_TICKS = 10


@attrs.frozen
class GossipSettings:
    """Intervals and timeouts of probing.

    Attributes:
        interval_s: Time between two probes, in seconds.
        timeout_s: Time within which a peer has to reply, in seconds.
        suspicion_s: Time within which a suspect has to refute the suspicion,
            in seconds.
    """

    interval_s: float = 1.0
    timeout_s: float = 0.6
    suspicion_s: float = 4.0


class PayloadHandler(Protocol):
    """A component that adds its state to gossip messages and reads it."""

    def write_payload(self, message: peer_pb2.Gossip) -> None:
        """Adds this node's state to a message."""
        ...

    async def read_payload(
        self, address: str, message: peer_pb2.Gossip, requested_at: float | None
    ) -> None:
        """Applies the state that a peer sent.

        Args:
            address: The peer's address; empty if it is unknown.
            message: The message that the peer sent.
            requested_at: If the message is a reply, the monotonic time at
                which its request was sent; None if it is a request.
        """
        ...


class Gossip:
    """The probe loop of one node, and its handlers for gossip from peers.

    Args:
        members: The membership table, which gossip updates.
        peers: Calls peers.
        service: Where the RPC handlers are registered.
        seeds: Addresses of the nodes to join through.
        clock: Source of monotonic time.
        settings: Intervals and timeouts.
        rng: Chooses peers.

    Attributes:
        payload_handlers: Components whose state is part of each message.
        tick_count: Number of ticks since the start.
        probe_order: Names of the neighbours still to be probed, the next one
            last.
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
        self.tick_count = 0
        self.probe_order: list[str] = []
        service.register(transport.GOSSIP, self._handle_gossip)
        service.register(transport.PROBE, self._handle_probe)

    async def run(self) -> None:
        """Probes one member per interval until cancelled."""
        while True:
            await self.tick()
            await self.clock.sleep(self.settings.interval_s)

    async def tick(self) -> None:
        """Probes one member, and at some ticks a dead member or a seed too."""
        self.tick_count += 1
        self.members.expire()
        if (
            not self.members.others()
            or self.tick_count % RECONNECT_INTERVAL_TICKS == 0
        ):
            await self._reconnect()
        member = self._next_member()
        if member is None or await self.exchange(member.address):
            return
        if not await self._probe_indirectly(member):
            self.members.suspect(member.name)

    async def _reconnect(self) -> None:
        """Exchanges whole tables with a seed or dead member, if any.

        This reconnects the parts of a cluster after a network partition.
        """
        known = {m.address for m in self.members.alive()}
        dead = [m.address for m in self.members.dead()]
        targets = [a for a in [*self.seeds, *dead] if a not in known]
        if targets:
            await self.exchange(self.rng.choice(targets), full=True)

    def _next_member(self) -> membership.Member | None:
        """Returns the next neighbour, or at some ticks a random member.

        The limited set of neighbours keeps the number of connections and
        their memory independent of the size of the cluster. The random
        members carry updates between sets of neighbours.
        """
        others = {m.name: m for m in self.members.others()}
        if others and self.tick_count % RANDOM_PROBE_INTERVAL_TICKS == 0:
            return others[self.rng.choice(list(others))]
        while self.probe_order:
            member = others.get(self.probe_order.pop())
            if member is not None:
                return member
        self.probe_order = [m.name for m in self._neighbours()]
        self.rng.shuffle(self.probe_order)
        return others[self.probe_order.pop()] if self.probe_order else None

    def _neighbours(self) -> list[membership.Member]:
        own_name = self.members.local_member.name
        ranked = self.members.ranked(f"neighbours/{own_name}")
        return [m for m in ranked if m.name != own_name][:MAX_NEIGHBOURS]

    async def join(self) -> bool:
        """Requests the whole table from a few seeds.

        Returns:
            Whether any of them replied.
        """
        seeds = [
            s for s in self.seeds if s != self.members.local_member.address
        ]
        asked = self.rng.sample(seeds, min(MAX_JOIN_SEEDS, len(seeds)))
        results = [await self.exchange(seed, full=True) for seed in asked]
        return any(results)

    async def exchange(self, address: str, full: bool = False) -> bool:
        """Exchanges updates with one peer.

        Args:
            address: The peer's address.
            full: Whether to exchange the whole membership tables.

        Returns:
            Whether the peer replied.
        """
        requested_at = self.clock.monotonic()
        request = self._make_message(full)
        try:
            reply = await self.peers.call(
                address, transport.GOSSIP, request, self.settings.timeout_s
            )
        except transport.PeerError:
            return False
        await self._apply_message(address, reply, requested_at)
        return True

    def _make_message(self, full: bool) -> peer_pb2.Gossip:
        if full:
            entries = list(self.members.entries.values())
        else:
            entries = self.members.take_updates(MAX_UPDATES_PER_MESSAGE)
        message = peer_pb2.Gossip(
            sender=self.members.local_member.name,
            full=full,
            members=[entry.to_proto() for entry in entries],
        )
        if not any(
            entry.name == self.members.local_member.name for entry in entries
        ):
            message.members.append(self.members.local_member.to_proto())
        for handler in self.payload_handlers:
            handler.write_payload(message)
        return message

    async def _apply_message(
        self, address: str, message: peer_pb2.Gossip, requested_at: float | None
    ) -> None:
        for entry in message.members:
            self.members.merge(membership.from_proto(entry))
        for handler in self.payload_handlers:
            await handler.read_payload(address, message, requested_at)

    async def _handle_gossip(self, request: peer_pb2.Gossip) -> peer_pb2.Gossip:
        known = self.members.entries.get(request.sender)
        # A node that starts or returns needs the whole table.
        is_new = known is None or known.status == membership.DEAD
        sender = next(
            (m for m in request.members if m.name == request.sender), None
        )
        await self._apply_message(
            sender.address if sender else "", request, None
        )
        reply = self._make_message(request.full or is_new)
        self._add_suspicion(known, reply)
        return reply

    def _add_suspicion(
        self, known: membership.Member | None, reply: peer_pb2.Gossip
    ) -> None:
        """Adds the caller's entry to the reply if it is not marked alive.

        The caller can then refute it.
        """
        if known is not None and known.status != membership.ALIVE:
            reply.members.append(known.to_proto())

    async def _probe_indirectly(self, target: membership.Member) -> bool:
        """Returns whether another member can reach one that did not reply.

        A single failed link must not make a member suspect.
        """
        relays = [m for m in self.members.others() if m.name != target.name]
        relays = self.rng.sample(relays, min(INDIRECT_PROBES, len(relays)))
        request = peer_pb2.ProbeRequest(address=target.address)
        reached = []
        async with trio.open_nursery() as nursery:
            for relay in relays:
                nursery.start_soon(self._request_probe, relay, request, reached)
        return bool(reached)

    async def _request_probe(
        self,
        relay: membership.Member,
        request: peer_pb2.ProbeRequest,
        reached: list[str],
    ) -> None:
        timeout_s = 2 * self.settings.timeout_s
        try:
            reply = await self.peers.call(
                relay.address, transport.PROBE, request, timeout_s
            )
        except transport.PeerError:
            return
        if reply.reached:
            reached.append(relay.name)

    async def _handle_probe(
        self, request: peer_pb2.ProbeRequest
    ) -> peer_pb2.ProbeReply:
        reached = await self.exchange(request.address)
        return peer_pb2.ProbeReply(reached=reached)

    async def leave(self) -> None:
        """Marks this node as having left and announces it to a few members."""
        self.members.leave()
        others = self.members.others()
        for member in self.rng.sample(others, min(3, len(others))):
            await self.exchange(member.address)
