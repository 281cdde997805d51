"""Replicates a node's usage counters, so that a crash does not lose them.

A node regularly sends its counters to two other nodes. A node that reports
usage fetches the counters of all reachable members and merges them.
"""

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale.peering import members as membership
from kingcupscale.peering import peer_pb2
from kingcupscale.peering import transport
from kingcupscale.usage import counter

REPLICA_COUNT = 2
COPY_INTERVAL_S = 1.0
COPY_TIMEOUT_S = 1.0


class CounterReplicator:
    """Keeps replicas of a node's counters on two other nodes.

    Args:
        counters: The node's counters.
        members: The cluster members known to the node.
        peers: Calls other members.
        service: The peer service on which the handlers are registered.
        clock: The clock.

    Attributes:
        known: By member, the totals that it has received from this node. After
            a failed call, the member has no entry and all rows are sent again.
    """

    def __init__(
        self,
        counters: counter.Counters,
        members: membership.Members,
        peers: transport.PeerTransport,
        service: transport.PeerService,
        clock: clocks.Clock,
    ) -> None:
        self.counters = counters
        self.members = members
        self.peers = peers
        self.clock = clock
        self.known: dict[str, dict[counter.CounterKey, counter.Totals]] = {}
        service.register(transport.COPY_USAGE, self._handle_copy)
        service.register(transport.PULL_USAGE, self._handle_pull)

    async def _handle_copy(self, request: peer_pb2.Usage) -> peer_pb2.Empty:
        self.counters.merge(
            codec.decode(counter.CounterDelta, request.counters)
        )
        return peer_pb2.Empty()

    async def _handle_pull(self, _: peer_pb2.Empty) -> peer_pb2.Usage:
        return peer_pb2.Usage(counters=codec.encode(self.counters.delta({})))

    def replica_holders(self) -> list[membership.Member]:
        """Returns the members that hold replicas of this node's counters."""
        ranked = self.members.ranked(f"usage/{self.members.local_member.name}")
        others = [m for m in ranked if m.name != self.members.local_member.name]
        return others[:REPLICA_COUNT]

    async def run(self) -> None:
        """Replicates changed counters until cancelled."""
        while True:
            await self.replicate(own_only=True)
            await self.clock.sleep(COPY_INTERVAL_S)

    async def replicate(self, own_only: bool) -> bool:
        """Sends the replica holders the rows that they lack.

        Args:
            own_only: Send only rows that this node counted itself. A new
                holder, or one to which the last call failed, gets all rows.

        Returns:
            Whether at least one holder has received all rows meant for it.
        """
        holders = self.replica_holders()
        names = {member.name for member in holders}
        self.known = {n: k for n, k in self.known.items() if n in names}
        results = [await self._copy_to(m, own_only) for m in holders]
        return any(results)

    async def _copy_to(self, member: membership.Member, own_only: bool) -> bool:
        is_new = member.name not in self.known
        known = self.known.setdefault(member.name, {})
        delta = self.counters.delta(known)
        if own_only and not is_new:
            own = self.counters.incarnation
            delta = counter.CounterDelta(
                [r for r in delta.rows if r.incarnation == own]
            )
        if not delta.rows:
            return True
        request = peer_pb2.Usage(counters=codec.encode(delta))
        try:
            await self.peers.call(
                member.address, transport.COPY_USAGE, request, COPY_TIMEOUT_S
            )
        except transport.PeerError:
            self.known.pop(member.name, None)
            return False
        for row in delta.rows:
            known[row.key] = row.to_tuple()
        return True

    async def fetch_all(self) -> None:
        """Fetches and merges the counters of every reachable member."""
        for member in self.members.others():
            try:
                reply = await self.peers.call(
                    member.address,
                    transport.PULL_USAGE,
                    peer_pb2.Empty(),
                    COPY_TIMEOUT_S,
                )
            except transport.PeerError:
                continue
            self.counters.merge(
                codec.decode(counter.CounterDelta, reply.counters)
            )
