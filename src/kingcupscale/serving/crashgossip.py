"""Makes the crash records of a node known to the others through gossip.

A node that has verified a crash exchanges messages with its peers at once, and
all messages carry records as long as there are any. So nodes that were cut off
or have started since learn of them as well.
"""

import random
from typing import Any

import trio

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import rendezvous
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import records
from kingcupscale.peering import crashreports
from kingcupscale.peering import gossip as gossips
from kingcupscale.peering import members as membership
from kingcupscale.peering import peer_pb2

# Records in one message: the newest ones, and others at random, so that each of
# many records is sent from time to time.
MAX_NEWEST_RECORDS = 25
MAX_RECORDS_PER_MESSAGE = 50
# Peers that are told at once; gossip reaches the others.
MAX_PEERS_TOLD = 16
# Changes within this interval are told together: a server that ends cuts off
# all calls that run there.
STEP_INTERVAL_S = 0.5


class CrashGossip:
    """Sends the records of a node to others, and receives theirs.

    Args:
        guard: Keeps the records.
        gossip: Exchanges messages with peers.
        clock: The clock.
        rng: Chooses peers and records.

    Attributes:
        is_changed: Whether this node has learned something itself that its
            peers have not been told.
        has_records: Set when there may be records.
    """

    def __init__(
        self,
        guard: guards.CrashGuard[Any],
        gossip: gossips.Gossip,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.guard = guard
        self.gossip = gossip
        self.members = gossip.members
        self.clock = clock
        self.rng = rng
        self.is_changed = False
        self.has_records = trio.Event()
        guard.on_change = self._note_change
        gossip.payload_handlers.append(self)

    def _note_change(self, _: str) -> None:
        self.is_changed = True
        self.has_records.set()

    def write_payload(self, message: peer_pb2.Gossip) -> None:
        """Adds this node's records, if there are any."""
        if self.guard.records.records:
            reports = crashreports.CrashReports(
                self.members.local_member.name, self._choose_records()
            )
            message.crash_reports = codec.encode(reports)

    def _choose_records(self) -> list[records.CrashRecord]:
        known = sorted(
            self.guard.records.records.values(),
            key=records.CrashRecord.last_ms,
            reverse=True,
        )
        if len(known) <= MAX_RECORDS_PER_MESSAGE:
            return known
        older = known[MAX_NEWEST_RECORDS:]
        self.rng.shuffle(older)
        older.sort(key=lambda record: not record.is_blocking())
        return (known[:MAX_NEWEST_RECORDS] + older)[:MAX_RECORDS_PER_MESSAGE]

    async def read_payload(
        self, address: str, message: peer_pb2.Gossip, requested_at: float | None
    ) -> None:
        """Merges a peer's records; ignores them if they are invalid.

        A peer of a later release may send what this one cannot decode, which
        must not end the gossip with it.
        """
        if not message.crash_reports:
            return
        try:
            reports = codec.decode(
                crashreports.CrashReports, message.crash_reports
            )
        except ValueError:
            return
        for record in reports.records[:MAX_RECORDS_PER_MESSAGE]:
            if self.guard.merge(record, reports.sender):
                self.has_records.set()

    async def run(self) -> None:
        """Tells peers of changes and removes old records until cancelled."""
        while True:
            if not self.guard.records.records:
                self.has_records = trio.Event()
                await self.has_records.wait()
            self.guard.remove_expired()
            if self.is_changed:
                self.is_changed = False
                await self._tell_peers()
            await self.clock.sleep_aligned(STEP_INTERVAL_S)

    async def _tell_peers(self) -> None:
        others = self.members.others()
        count = min(MAX_PEERS_TOLD, len(others))
        async with trio.open_nursery() as nursery:
            for member in self.rng.sample(others, count):
                nursery.start_soon(self.gossip.exchange, member.address)


def makes_trials(members: membership.Members, fingerprint: str) -> bool:
    """Returns whether this node makes the trials of a request."""
    names = [member.name for member in members.alive()]
    return rendezvous.rank(fingerprint, names)[0] == members.local_member.name
