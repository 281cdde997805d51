"""Bringing changes, withdrawn keys and leaving servers to every node."""

import random

import trio

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import events
from kingcupscale.configuration import admission as admissions
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import log as logs
from kingcupscale.configuration import replica as replicas
from kingcupscale.peering import gossip
from kingcupscale.peering import members as membership
from kingcupscale.peering import peer_pb2
from kingcupscale.peering import transport
from kingcupscale.providers import calls
from kingcupscale.providers import vmlist

WATCHERS_PER_ZONE = 2
WATCH_S = 1.0
RETRY_S = 1.0
PUSH_TIMEOUT_S = 1.5
PUSHES_AT_A_TIME = 16
# Share of the bound on confirmation after which a node asks the store itself.
ASK_STORE_AT = 0.75
LEAVING_PER_MESSAGE = 32


class ConfigurationReplicator:
    """Keeps one node's replica current and brings its news to others.

    A few watchers in each availability zone read the store; news goes
    straight to every member, and gossip repairs what that missed.

    Args:
        replica: The node's configuration.
        admission: Told of confirmations.
        members: The members it knows.
        gossip_loop: Carries the news; joins the members.
        service: Where the handlers are offered.
        log: The change log in the store.
        directory: The platform's VM list.
        clock: Tells the time.
        rng: Spreads the retries.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        admission: admissions.Admission,
        members: membership.Members,
        gossip_loop: gossip.Gossip,
        service: transport.PeerService,
        log: logs.ChangeLog,
        directory: vmlist.VmDirectory,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.replica = replica
        self.admission = admission
        self.members = members
        self.gossip = gossip_loop
        self.log = log
        self.directory = directory
        self.clock = clock
        self.rng = rng
        self.store_version = 0
        gossip_loop.passengers.append(self)
        service.register(transport.PULL_CHANGES, self._answer_pull)
        service.register(transport.PUSH_CHANGES, self._answer_push)

    def load(self, message: peer_pb2.Gossip) -> None:
        """Writes the revision, its confirmation and the short lists."""
        message.revision = self.replica.revision
        age_s = self.admission.confirmed_age_s()
        if age_s is not None:
            message.confirmed = True
            message.confirmed_age_ms = round(age_s * 1000) + 1
        message.withdrawn_keys.extend(sorted(self.pending_withdrawals()))
        leaving = sorted(self.replica.leaving)[-LEAVING_PER_MESSAGE:]
        message.leaving_servers.extend(leaving)

    def pending_withdrawals(self) -> set[str]:
        """Returns withdrawn keys that the configuration still has."""
        return self.replica.withdrawn & self.replica.document.keys.keys()

    async def unload(
        self, address: str, message: peer_pb2.Gossip, asked_at: float | None
    ) -> None:
        """Takes in a peer's news, and its confirmation if it is a reply.

        A request may have been under way for long, so only a reply bounds the
        age of what it says.
        """
        self.replica.withdraw(set(message.withdrawn_keys))
        self.replica.mark_leaving(set(message.leaving_servers))
        if message.revision > self.replica.revision and address:
            await self._pull(address)
        is_level = self.replica.revision >= message.revision
        if asked_at is None or not is_level:
            return
        self.admission.record_contact(asked_at)
        if message.confirmed:
            self.admission.confirm(asked_at - message.confirmed_age_ms / 1000)

    async def _pull(self, address: str) -> None:
        request = peer_pb2.PullRequest(since=self.replica.revision)
        try:
            reply = await self.gossip.peers.call(
                address, transport.PULL_CHANGES, request, PUSH_TIMEOUT_S
            )
        except transport.PeerError:
            return
        self._take(reply)

    def _take(self, message: peer_pb2.Changes) -> bool:
        batch = codec.decode(changes.Batch, message.batch)
        has_keys = self.replica.withdraw(set(message.withdrawn_keys))
        has_leaving = self.replica.mark_leaving(set(message.leaving_servers))
        return self.replica.apply_batch(batch) or has_keys or has_leaving

    def _compose(self, since: int) -> peer_pb2.Changes:
        return peer_pb2.Changes(
            batch=codec.encode(self.replica.batch_since(since)),
            withdrawn_keys=sorted(self.pending_withdrawals()),
            leaving_servers=sorted(self.replica.leaving),
        )

    async def _answer_pull(
        self, request: peer_pb2.PullRequest
    ) -> peer_pb2.Changes:
        return self._compose(request.since)

    async def _answer_push(
        self, request: peer_pb2.Changes
    ) -> peer_pb2.ChangesAck:
        self._take(request)
        return peer_pb2.ChangesAck(revision=self.replica.revision)

    async def push(self, zone: str | None = None) -> list[str]:
        """Brings the newest to every member at once.

        Args:
            zone: Only to members of this availability zone.

        Returns:
            Names of the members that have it, this node first.
        """
        reached = [self.members.me.name]
        message = self._compose(self.replica.revision - 1)
        limiter = trio.CapacityLimiter(PUSHES_AT_A_TIME)
        async with trio.open_nursery() as nursery:
            for member in self.members.others():
                if zone not in (None, member.zone):
                    continue
                nursery.start_soon(
                    self._push_to, member, message, limiter, reached
                )
        return reached

    async def _push_to(
        self,
        member: membership.Member,
        message: peer_pb2.Changes,
        limiter: trio.CapacityLimiter,
        reached: list[str],
    ) -> None:
        wanted = self.replica.revision
        async with limiter:
            for _ in range(2):
                try:
                    ack = await self.gossip.peers.call(
                        member.address,
                        transport.PUSH_CHANGES,
                        message,
                        PUSH_TIMEOUT_S,
                    )
                except transport.PeerError:
                    continue
                if ack.revision >= wanted:
                    reached.append(member.name)
                    return
                message = self._compose(ack.revision)

    def is_watcher(self) -> bool:
        """Tells whether this node is one of its zone's watchers."""
        zone = self.members.me.zone
        chosen = self.members.ranked(f"watch/{zone}", zone)
        return self.members.me in chosen[:WATCHERS_PER_ZONE]

    async def run(self) -> None:
        """Reads the store while chosen, or when peers do not confirm."""
        while True:
            if self.is_watcher() or self._lacks_confirmation():
                await self._watch_once()
            else:
                await self.clock.sleep(WATCH_S)

    def _lacks_confirmation(self) -> bool:
        age_s = self.admission.confirmed_age_s()
        return age_s is None or age_s > ASK_STORE_AT * self.admission.bound_s

    async def _watch_once(self) -> None:
        try:
            await self.read_store(WATCH_S)
        except calls.PlatformError as e:
            events.log(
                events.Event.STORE_FAILED,
                node=self.members.me.name,
                reason=e.reason,
            )
            await self.clock.sleep(RETRY_S * (1 + self.rng.random()))

    async def read_store(self, wait_s: float = 0) -> None:
        """Takes in what the store has.

        Args:
            wait_s: Seconds to wait for something new.

        Raises:
            PlatformError: If the store cannot be reached.
        """
        asked_at = self.clock.monotonic()
        revision = self.replica.revision
        if wait_s and self.store_version:
            reading = await self.log.watch(revision, self.store_version, wait_s)
        else:
            reading = await self.log.read(revision)
        self.replica.apply_batch(reading.batch)
        if self.replica.revision < reading.revision:
            self.store_version = 0
            return
        self.store_version = reading.version
        self.admission.confirm(asked_at)

    async def run_vm_list_polling(self) -> None:
        """Reads the VM list while chosen, and spreads who is leaving."""
        while True:
            if self.is_watcher():
                await self._read_vm_list()
            await self.clock.sleep(WATCH_S)

    async def _read_vm_list(self) -> None:
        try:
            listed = await self.directory.list()
        except calls.PlatformError:
            return
        leaving = {
            vm.address
            for vm in listed.vms
            if vm.state is vmlist.VmState.LEAVING and not vm.node
        }
        if self.replica.mark_leaving(leaving):
            await self.push(self.members.me.zone)

    async def catch_up(self) -> None:
        """Waits until the node is as current as anything in reach.

        The store is enough; with the store out of reach, a majority of the
        entered nodes is.
        """
        while not self.admission.ready:
            await self.gossip.join()
            try:
                await self.read_store()
            except calls.PlatformError:
                await self._catch_up_from_peers()
            if not self.admission.ready:
                await self.clock.sleep(RETRY_S)

    async def _catch_up_from_peers(self) -> None:
        reached = set()
        for member in self.members.others():
            if await self.gossip.exchange(member.address):
                reached.add(member.name)
        if self.replica.revision and self.admission.is_majority(reached):
            self.admission.ready = True
