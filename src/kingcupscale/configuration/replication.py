"""Replicates changes, withdrawn keys and leaving servers to all nodes."""

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
WATCH_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 1.5
MAX_CONCURRENT_PUSHES = 16
# Fraction of the longest time without a confirmation after which a node reads
# the store itself.
STORE_READ_AGE_FRACTION = 0.75
MAX_LEAVING_PER_MESSAGE = 32


class ConfigurationReplicator:
    """Keeps one node's replica current and sends its changes to other nodes.

    A few watchers in each availability zone read the store. The node that
    accepts a change pushes it to every member. A watcher that finds new
    leaving servers pushes them to the members of its zone. Gossip delivers
    what a push missed.

    Args:
        replica: The node's replica of the configuration.
        admission: Receives the confirmations.
        members: The membership table.
        gossip_loop: Exchanges revisions with peers and joins the cluster.
        service: Where the RPC handlers are registered.
        log: The change log in the store.
        directory: The platform's VM list.
        clock: Source of monotonic time.
        rng: Adds jitter to the retries.
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
        gossip_loop.payload_handlers.append(self)
        service.register(transport.PULL_CHANGES, self._handle_pull)
        service.register(transport.PUSH_CHANGES, self._handle_push)

    def write_payload(self, message: peer_pb2.Gossip) -> None:
        """Adds this node's revision, withdrawn keys and leaving servers."""
        message.revision = self.replica.revision
        age_s = self.admission.confirmed_age_s()
        if age_s is not None:
            message.confirmed = True
            message.confirmed_age_ms = round(age_s * 1000) + 1
        message.withdrawn_keys.extend(sorted(self.pending_withdrawals()))
        leaving = sorted(self.replica.leaving)[-MAX_LEAVING_PER_MESSAGE:]
        message.leaving_servers.extend(leaving)

    def pending_withdrawals(self) -> set[str]:
        """Returns withdrawn keys that the configuration still contains."""
        return self.replica.withdrawn & self.replica.document.keys.keys()

    async def read_payload(
        self, address: str, message: peer_pb2.Gossip, requested_at: float | None
    ) -> None:
        """Applies a peer's state, and its confirmation if this is a reply.

        A request may have been in transit for any time. Only a reply is known
        to be no older than the request that it answers.
        """
        self.replica.mark_withdrawn(set(message.withdrawn_keys))
        self.replica.mark_leaving(set(message.leaving_servers))
        if message.revision > self.replica.revision and address:
            await self._pull(address)
        is_up_to_date = self.replica.revision >= message.revision
        if requested_at is None or not is_up_to_date:
            return
        self.admission.record_contact(requested_at)
        if message.confirmed:
            self.admission.confirm(
                requested_at - message.confirmed_age_ms / 1000
            )

    async def _pull(self, address: str) -> None:
        request = peer_pb2.PullRequest(since=self.replica.revision)
        try:
            reply = await self.gossip.peers.call(
                address, transport.PULL_CHANGES, request, PEER_TIMEOUT_S
            )
        except transport.PeerError:
            return
        self._apply_message(reply)

    def _apply_message(self, message: peer_pb2.Changes) -> bool:
        batch = codec.decode(changes.Batch, message.batch)
        has_new_keys = self.replica.mark_withdrawn(set(message.withdrawn_keys))
        has_new_leaving = self.replica.mark_leaving(
            set(message.leaving_servers)
        )
        return (
            self.replica.apply_batch(batch) or has_new_keys or has_new_leaving
        )

    def _make_message(self, since: int) -> peer_pb2.Changes:
        return peer_pb2.Changes(
            batch=codec.encode(self.replica.batch_since(since)),
            withdrawn_keys=sorted(self.pending_withdrawals()),
            leaving_servers=sorted(self.replica.leaving),
        )

    async def _handle_pull(
        self, request: peer_pb2.PullRequest
    ) -> peer_pb2.Changes:
        return self._make_message(request.since)

    async def _handle_push(
        self, request: peer_pb2.Changes
    ) -> peer_pb2.ChangesAck:
        self._apply_message(request)
        return peer_pb2.ChangesAck(revision=self.replica.revision)

    async def push(self, zone: str | None = None) -> list[str]:
        """Pushes the newest revision to all members concurrently.

        Args:
            zone: Push only to members of this availability zone.

        Returns:
            Names of the members that have the revision, this node first.
        """
        reached = [self.members.local_member.name]
        message = self._make_message(self.replica.revision - 1)
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_PUSHES)
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
        """Pushes a message to one member, in two attempts.

        If the member lacks earlier changes, the second attempt includes them.
        """
        target = self.replica.revision
        async with limiter:
            for _ in range(2):
                try:
                    ack = await self.gossip.peers.call(
                        member.address,
                        transport.PUSH_CHANGES,
                        message,
                        PEER_TIMEOUT_S,
                    )
                except transport.PeerError:
                    continue
                if ack.revision >= target:
                    reached.append(member.name)
                    return
                message = self._make_message(ack.revision)

    def is_watcher(self) -> bool:
        """Returns whether this node is one of its zone's watchers."""
        zone = self.members.local_member.zone
        ranked = self.members.ranked(f"watch/{zone}", zone)
        return self.members.local_member in ranked[:WATCHERS_PER_ZONE]

    async def run(self) -> None:
        """Reads the store while this node is a watcher, until cancelled.

        Another node reads it only if peers send no recent confirmation.
        """
        while True:
            if self.is_watcher() or self._needs_confirmation():
                await self._watch_once()
            else:
                await self.clock.sleep(WATCH_INTERVAL_S)

    def _needs_confirmation(self) -> bool:
        age_s = self.admission.confirmed_age_s()
        return (
            age_s is None
            or age_s > STORE_READ_AGE_FRACTION * self.admission.max_age_s
        )

    async def _watch_once(self) -> None:
        try:
            await self.read_store(WATCH_INTERVAL_S)
        except calls.PlatformError as e:
            events.log(
                events.Event.STORE_FAILED,
                node=self.members.local_member.name,
                reason=e.reason,
            )
            await self.clock.sleep(RETRY_INTERVAL_S * (1 + self.rng.random()))

    async def read_store(self, wait_s: float = 0) -> None:
        """Applies the changes in the store to the replica.

        Args:
            wait_s: Longest time to wait for a change, in seconds; 0 reads at
                once.

        Raises:
            PlatformError: If the store cannot be reached.
        """
        requested_at = self.clock.monotonic()
        revision = self.replica.revision
        if wait_s and self.store_version:
            result = await self.log.watch(revision, self.store_version, wait_s)
        else:
            result = await self.log.read(revision)
        self.replica.apply_batch(result.batch)
        if self.replica.revision < result.revision:
            self.store_version = 0
            return
        self.store_version = result.version
        self.admission.confirm(requested_at)

    async def run_vm_list_polling(self) -> None:
        """Polls the VM list while this node is a watcher, until cancelled.

        Pushes new leaving servers to the members of its zone.
        """
        while True:
            if self.is_watcher():
                await self._read_vm_list()
            await self.clock.sleep(WATCH_INTERVAL_S)

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
            await self.push(self.members.local_member.zone)

    async def catch_up(self) -> None:
        """Waits until the replica is current enough to become ready.

        Reading the store is sufficient. While the store cannot be reached,
        gossip with a majority of the registered nodes, not counting this one,
        is sufficient too, if the node has any revision afterwards.
        """
        while not self.admission.ready:
            await self.gossip.join()
            try:
                await self.read_store()
            except calls.PlatformError:
                await self._catch_up_from_peers()
            if not self.admission.ready:
                await self.clock.sleep(RETRY_INTERVAL_S)

    async def _catch_up_from_peers(self) -> None:
        reached = set()
        for member in self.members.others():
            if await self.gossip.exchange(member.address):
                reached.add(member.name)
        if self.replica.revision and self.admission.is_majority(reached):
            self.admission.ready = True
