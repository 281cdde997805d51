"""The other nodes: their addresses, which respond, and requests to them."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import random

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import rendezvous
from kingcupscale.batches import interest as interests
from kingcupscale.batches import record as records
from kingcupscale.fleet import nodeentry
from kingcupscale.peering import calls
from kingcupscale.peering import commits
from kingcupscale.peering import relay
from kingcupscale.storage import changelog
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

# A node that did not respond, or whose own mirror is outdated, is not asked
# again for this long, so that other nodes are asked meanwhile.
RETRY_PAUSE_S = 0.6
# A node that does not respond for this long is considered dead, and another
# node runs its batches meanwhile. Running an item twice does no harm.
UNRESPONSIVE_AFTER_S = 0.7
# After a copy could not be sent to a node, it gets none for this long.
SEND_FAILURE_PAUSE_S = 3.0
# Most nodes that are asked to commit a transaction for this node.
MAX_COMMIT_PEERS = 2


class Peers:
    """Tracks the other nodes, and sends requests to those that respond.

    Args:
        node: Name of this node.
        client: Fetches changes and batches from other nodes.
        commits_client: Sends transactions that other nodes commit.
        clock: The clock.
        rng: Chooses among nodes of equal rank.
        watching_duties: Returns the duties whose holders watch the store.

    Attributes:
        answered_at: Monotonic time of the last response of any node.
        cut_off_at: Monotonic time of the last response of a node that does not
            reach the store.
        reached_at: Monotonic time of the last response of a node whose mirror
            is recent or receives changes.
        mirror: The mirror that holds the nodes' entries; set once it exists.
        unresponsive_since: Monotonic time of the first call without a
            response, by node.
        not_before: Monotonic time before which a node is not asked for
            changes, by node.
        behind_until: Monotonic time before which other nodes are asked first,
            by node.
        failed_until: Monotonic time before which a node is sent no copies, by
            node.
        followed: The node that returned changes last; empty for none.
    """

    def __init__(
        self,
        node: str,
        client: relay.RelayClient,
        commits_client: commits.CommitClient,
        clock: clocks.Clock,
        rng: random.Random,
        watching_duties: Callable[[], Iterable[str]],
    ) -> None:
        self.watching_duties = watching_duties
        self.answered_at = 0.0
        self.cut_off_at = 0.0
        self.reached_at = -math.inf
        self.node = node
        self.client = client
        self.commits = commits_client
        self.clock = clock
        self.rng = rng
        self.mirror: mirrors.StoreMirror | None = None
        self.unresponsive_since: dict[str, float] = {}
        self.not_before: dict[str, float] = {}
        self.behind_until: dict[str, float] = {}
        self.failed_until: dict[str, float] = {}
        self.followed = ""

    def addresses(self) -> dict[str, str]:
        """Returns the other nodes' addresses by name."""
        if self.mirror is None:
            return {}
        found = {}
        for entry in self.mirror.entries_under(locks.NODES_PREFIX):
            name = entry.key.removeprefix(locks.NODES_PREFIX)
            address = nodeentry.decode(entry.value).peers
            if name != self.node and address:
                found[name] = address
        return found

    def holder(self, duty: str) -> str:
        """Returns the node that holds a duty; empty for none."""
        return self.holder_and_lease(duty).partition(" ")[0]

    def holder_and_lease(self, duty: str) -> str:
        """Returns a duty's holder and its lease as text; empty for none."""
        entry = (
            self.mirror.entries.get(locks.DUTIES_PREFIX + duty)
            if self.mirror
            else None
        )
        return (entry.value or b"").decode() if entry else ""

    def leaders(self) -> list[str]:
        """Returns the other nodes that watch the store, preferred first.

        Changes are fetched from these only: nodes that fetch from each other
        would only return each other's changes. The order differs by node, so
        that the followers are distributed over the leaders.
        """
        names = {self.holder(duty) for duty in self.watching_duties()}
        return rendezvous.rank(self.node, names - {"", self.node})

    def peer_cut_off_at(self) -> float | None:
        """Returns when a node without the store last responded.

        None if no other node is known; never if another node shows that it
        reaches the store.
        """
        if not self.addresses():
            return None
        reached_s = self.clock.monotonic() - self.reached_at
        if reached_s <= changelog.MAX_FOLLOWED_AGE_S:
            return -math.inf
        return self.cut_off_at

    def is_unresponsive(self, node: str) -> bool:
        """Returns whether a node has not responded for a while."""
        since = self.unresponsive_since.get(node)
        return (
            since is not None
            and self.clock.monotonic() - since > UNRESPONSIVE_AFTER_S
        )

    async def fetch_changes(
        self,
        position: changelog.Position,
        interest: interests.Interest,
        any_node: bool,
    ) -> changelog.Changes | None:
        """Fetches changes from another node, from a leader if possible.

        Returns None if no node responds with changes.

        Args:
            position: Position up to which this node has read the changes.
            interest: The batches of which it needs the full entries.
            any_node: Whether to ask nodes that are not leaders, too.
        """
        addresses = self.addresses()
        names = [name for name in self.leaders() if name in addresses]
        if any_node:
            others = sorted(addresses.keys() - set(names))
            self.rng.shuffle(others)
            names += others[:2]
        started_at = self.clock.monotonic()
        # One that is behind is only followed if none is recent.
        names.sort(key=self._is_behind)
        behind: tuple[str, changelog.Changes] | None = None
        for name in names:
            if behind is not None and self._is_behind(name):
                break
            if self.not_before.get(name, 0.0) > self.clock.monotonic():
                continue
            asked_at = self.clock.monotonic()
            changes = await self._fetch_changes_from(
                name, addresses[name], position, interest
            )
            if changes is None:
                continue
            # The caller subtracts the age from the time of its own call, so the
            # time spent on other nodes is deducted here.
            earlier_s = asked_at - started_at
            adjusted = attrs.evolve(
                changes,
                age_s=changes.age_s - earlier_s,
                advanced_s=changes.advanced_s - earlier_s,
            )
            if not self._is_behind(name):
                self._note_followed(name)
                return adjusted
            behind = behind or (name, adjusted)
        if behind is None:
            return None
        self._note_followed(behind[0])
        return behind[1]

    def _is_behind(self, name: str) -> bool:
        """Returns whether a node's mirror was behind when last asked."""
        return self.behind_until.get(name, 0.0) > self.clock.monotonic()

    def _note_followed(self, name: str) -> None:
        if name != self.followed:
            events.log(
                events.Event.FOLLOWED_CHANGED, node=self.node, followed=name
            )
            self.followed = name

    async def fetch_snapshot(
        self, batch_id: str, nodes: list[str]
    ) -> records.RecordSnapshot | None:
        """Returns a batch's snapshot from the first given node that has it."""
        addresses = self.addresses()
        for name in nodes:
            if name not in addresses or self.is_unresponsive(name):
                continue
            try:
                snapshot = await self.client.fetch_batch(
                    addresses[name], batch_id
                )
            except calls.PeerError as e:
                events.log(
                    events.Event.COPY_FAILED,
                    peer=name,
                    batch=batch_id,
                    reason=e.reason,
                )
                continue
            if snapshot is not None:
                return snapshot
        return None

    async def commit(
        self, transaction: stores.Transaction
    ) -> tuple[int | None] | None:
        """Has another node commit a transaction.

        Returns the revision in a tuple, or None if there is no node to ask.

        Raises:
            StoreError: If all nodes that were asked failed.
        """
        addresses = self.addresses()
        names = [name for name in self.leaders() if name in addresses]
        names += sorted(addresses.keys() - set(names))
        failure: stores.StoreError | None = None
        for name in [n for n in names if not self.is_unresponsive(n)][
            :MAX_COMMIT_PEERS
        ]:
            try:
                revision = await self.commits.commit(
                    addresses[name], transaction
                )
            except stores.StoreError as e:
                may_have_run = e.may_have_run or bool(
                    failure and failure.may_have_run
                )
                failure = stores.StoreError(f"{name}: {e.reason}", may_have_run)
            else:
                return (revision,)
        if failure is not None:
            raise failure
        return None

    async def probe(self, node: str) -> None:
        """Probes a node from which an expected message is overdue."""
        address = self.addresses().get(node)
        if address is None:
            return
        try:
            await self.client.probe(address)
        except calls.PeerError as e:
            if node not in self.unresponsive_since:
                events.log(events.Event.PEER_SILENT, peer=node, reason=e.reason)
            # It is considered unresponsive at once, because its message was
            # already overdue before the probe.
            since = self.clock.monotonic() - 2 * UNRESPONSIVE_AFTER_S
            self.unresponsive_since.setdefault(node, since)
            return
        self.mark_responsive(node)

    def mark_responsive(self, node: str) -> None:
        """Records that a node has responded, or has sent a request itself."""
        if self.unresponsive_since.pop(node, None) is not None:
            events.log(events.Event.PEER_BACK, peer=node)

    def first_reachable(self, ranking: list[str]) -> tuple[str, str] | None:
        """Returns the first node of a ranking that is responsive.

        Nodes that a copy could not be sent to recently are skipped, too.
        Returns the node's name and address; None if there is none.
        """
        addresses = self.addresses()
        now = self.clock.monotonic()
        for name in ranking:
            has_failed = self.failed_until.get(name, 0.0) > now
            if (
                name in addresses
                and not has_failed
                and not self.is_unresponsive(name)
            ):
                return name, addresses[name]
        return None

    def mark_send_failed(self, node: str) -> None:
        """Records that a copy could not be sent to a node."""
        self.failed_until[node] = self.clock.monotonic() + SEND_FAILURE_PAUSE_S

    async def _fetch_changes_from(
        self,
        name: str,
        address: str,
        position: changelog.Position,
        interest: interests.Interest,
    ) -> changelog.Changes | None:
        asked_at = self.clock.monotonic()
        try:
            changes = await self.client.follow(address, position, interest)
        except relay.TooFarBehindError:
            self.unresponsive_since.pop(name, None)
            self.not_before[name] = self.clock.monotonic() + RETRY_PAUSE_S
            return None
        except relay.RelayError as e:
            if name not in self.unresponsive_since:
                events.log(events.Event.PEER_SILENT, peer=name, reason=str(e))
            self.unresponsive_since.setdefault(name, asked_at)
            self.not_before[name] = self.clock.monotonic() + RETRY_PAUSE_S
            return None
        self.answered_at = self.clock.monotonic()
        elapsed_s = self.answered_at - asked_at
        is_advancing = changes.is_advancing(elapsed_s)
        is_recent = changes.is_recent(elapsed_s)
        if is_recent or is_advancing:
            self.reached_at = self.answered_at
        elif changes.is_unreachable:
            self.cut_off_at = self.answered_at
        self.behind_until.pop(name, None)
        retry_at = self.answered_at + RETRY_PAUSE_S
        if not is_recent and is_advancing:
            self.behind_until[name] = retry_at
        elif not is_recent:
            self.not_before[name] = retry_at
        self.mark_responsive(name)
        return changes
