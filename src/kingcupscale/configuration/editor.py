"""Accepts configuration changes of operators and of the nodes themselves."""

from typing import Any

import attrs

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.configuration import admission as admissions
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import check
from kingcupscale.configuration import document
from kingcupscale.configuration import replica as replicas
from kingcupscale.configuration import replication
from kingcupscale.peering import members as membership
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue

SYSTEM_OPERATOR = "system"
REMOVE_LOST_AFTER_S = 600.0
MAINTENANCE_INTERVAL_S = 5.0
RETRY_AFTER_S = 2.0
MAX_ATTEMPTS = 5


@attrs.frozen
class AcceptedChange:
    """An accepted change.

    Attributes:
        revision: The revision that contains the change.
        in_force: Names of the nodes that have confirmed it.
        pending: Names of the other live members, which receive it by gossip
            or stop admitting requests.
    """

    revision: int
    in_force: list[str]
    pending: list[str]


@attrs.frozen
class Proposal:
    """A change that an operator asks for.

    Attributes:
        entries: New values by ``table/name``; None removes an entry.
        if_revision: The revision that the change is based on.
        operator: Name of the operator.
        reason: Why the operator asks for it.
        without_majority: Accept the change although most nodes are
            unreachable, because the operator knows that they are gone.
    """

    entries: dict[str, Any]
    if_revision: int
    operator: str
    reason: str
    without_majority: bool = False


class ConflictError(errors.ServiceError):
    """Raised for a change that is based on an outdated revision.

    Args:
        proposal: The proposed change.
        revision: The newest revision.
        since: Entries changed since the proposal's revision, one line each.
    """

    def __init__(
        self, proposal: Proposal, revision: int, since: list[str]
    ) -> None:
        lines = "; ".join(since) or "not available from the change log"
        super().__init__(
            errors.ResultCode.REVISION_CONFLICT,
            f"the change is based on revision {proposal.if_revision}, but the"
            f" newest is {revision}; changes since then: {lines}",
        )
        self.revision = revision
        self.since = since


class Editor:
    """Writes accepted changes to the store and pushes them to all nodes.

    Args:
        replicator: Replicates changes to all nodes.
        clock: Source of the time.
    """

    def __init__(
        self,
        replicator: replication.ConfigurationReplicator,
        clock: clocks.Clock,
    ) -> None:
        self.replicator = replicator
        self.replica: replicas.Replica = replicator.replica
        self.admission: admissions.Admission = replicator.admission
        self.members: membership.Members = replicator.members
        self.clock = clock

    async def propose(self, proposal: Proposal) -> AcceptedChange:
        """Accepts a change, or raises an error that gives the reason.

        Raises:
            ConflictError: If another operator changed the configuration since
                the proposal's revision, or if other writers took the next
                revision ``MAX_ATTEMPTS`` times.
            ServiceError: ``CONFIGURATION_INVALID``, ``MAJORITY_LOST``,
                ``STORE_UNAVAILABLE`` or ``CONFIGURATION_UNDECIDED``.
        """
        change = await self._write_change(proposal)
        reached = await self.replicator.push()
        self._log_accepted(change)
        await self._compact()
        return self._make_result(reached, proposal.without_majority)

    async def _write_change(self, proposal: Proposal) -> changes.Change:
        """Appends a change; retries if only nodes wrote changes meanwhile."""
        for _ in range(MAX_ATTEMPTS):
            await self._read_store()
            self._check_majority(proposal)
            self._check_revision(proposal)
            change = self._make_change(proposal)
            if await self._append(change):
                self.replica.apply_batch(changes.Batch(None, [change]))
                return change
        raise ConflictError(proposal, self.replica.revision, [])

    async def _read_store(self) -> None:
        try:
            await self.replicator.read_store()
        except calls.PlatformError as e:
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE,
                f"cannot read the store: {e.reason}; to withdraw a key without"
                " the store, use --emergency",
                retry_after_s=RETRY_AFTER_S,
            ) from e

    def _check_majority(self, proposal: Proposal) -> None:
        registered = self.replica.document.nodes
        if proposal.without_majority or not registered:
            return
        if not self.admission.has_majority():
            raise errors.ServiceError(
                errors.ResultCode.MAJORITY_LOST,
                f"expected a majority of the {len(registered)} nodes to be"
                " reachable, but fewer are",
                retry_after_s=RETRY_AFTER_S,
            )

    def _check_revision(self, proposal: Proposal) -> None:
        since = self._operators_entries_since(proposal.if_revision)
        if since is None or since:
            lines = changes.describe(since or {})
            raise ConflictError(proposal, self.replica.revision, lines)

    def _operators_entries_since(self, revision: int) -> dict[str, Any] | None:
        """Returns entries that operators changed, or None if unknown.

        Entries that nodes maintain cause no conflict.
        """
        if revision == self.replica.revision:
            return {}
        batch = self.replica.batch_since(revision)
        if batch.snapshot is not None or revision > self.replica.revision:
            return None
        entries: dict[str, Any] = {}
        for change in batch.changes:
            entries.update(change.entries)
        return {
            path: entry
            for path, entry in entries.items()
            if not document.is_system_path(path)
        }

    def _make_change(self, proposal: Proposal) -> changes.Change:
        change = changes.Change(
            self.replica.revision + 1,
            proposal.entries,
            proposal.operator,
            proposal.reason,
            self.clock.now(),
            keyvalue.new_token(),
        )
        entries = changes.apply(self.replica.entries, change)
        try:
            check.check(document.unflatten(entries))
        except check.ConfigurationError as e:
            raise errors.ServiceError(
                errors.ResultCode.CONFIGURATION_INVALID, str(e)
            ) from e
        return change

    async def _append(self, change: changes.Change) -> bool:
        try:
            return await self.replicator.log.append(change)
        except calls.PlatformError as e:
            raise errors.ServiceError(
                errors.ResultCode.CONFIGURATION_UNDECIDED,
                f"unknown whether revision {change.revision} was written"
                f" ({e.reason}); check the newest revision before retrying",
                errors.Run.UNKNOWN,
                RETRY_AFTER_S,
            ) from e

    def _log_accepted(self, change: changes.Change) -> None:
        events.log(
            events.Event.CONFIGURATION_CHANGED,
            node=self.members.local_member.name,
            revision=change.revision,
            operator=change.operator,
            paths=sorted(change.entries),
        )

    async def _compact(self) -> None:
        try:
            await self.replicator.log.compact(
                self.replica.revision, self.replica.entries
            )
        except calls.PlatformError as e:
            events.log(
                events.Event.STORE_FAILED,
                node=self.members.local_member.name,
                reason=e.reason,
            )

    def _make_result(
        self, reached: list[str], without_majority: bool = False
    ) -> AcceptedChange:
        """Returns the result of a change that members have confirmed.

        Raises:
            ServiceError: ``MAJORITY_LOST`` if they are not a majority. The
                change is written and will come into force, but partitioned
                nodes may continue without it for now.
        """
        registered = self.replica.document.nodes
        is_waived = without_majority or not registered
        if not is_waived and not self.admission.is_majority(set(reached)):
            raise errors.ServiceError(
                errors.ResultCode.MAJORITY_LOST,
                f"revision {self.replica.revision} is written, but confirmed"
                f" only by {', '.join(sorted(reached))}, which is not a"
                " majority; retry",
                errors.Run.RAN,
                RETRY_AFTER_S,
            )
        pending = {m.name for m in self.members.alive()} - set(reached)
        return AcceptedChange(
            self.replica.revision, sorted(reached), sorted(pending)
        )

    async def push_newest(self) -> AcceptedChange:
        """Pushes the newest revision and returns which members have it.

        Raises:
            ServiceError: ``MAJORITY_LOST`` if no majority has it.
        """
        return self._make_result(await self.replicator.push())

    async def withdraw_in_emergency(
        self, key_id: str, operator: str, reason: str
    ) -> AcceptedChange:
        """Withdraws a key without the store.

        The result names the nodes that have confirmed the withdrawal. Other
        nodes may accept the key until they are reached or stop admitting
        requests. The withdrawal is written to the configuration when the
        store is available again.

        Raises:
            ServiceError: ``MAJORITY_LOST`` if no majority has confirmed it.
        """
        self.replica.mark_withdrawn({key_id})
        events.log(
            events.Event.KEY_WITHDRAWN_EMERGENCY,
            node=self.members.local_member.name,
            key_id=key_id,
            operator=operator,
            reason=reason,
        )
        return self._make_result(await self.replicator.push())

    async def run_maintenance(self) -> None:
        """Registers new nodes, removes lost nodes and withdrawn keys.

        Only the zone's watchers do this, for all nodes of the zone in one
        change. Otherwise nodes that start together would compete for each
        revision.
        """
        while True:
            if self.replicator.is_watcher():
                await self._propose_maintenance(self._maintenance_entries())
            await self.clock.sleep(MAINTENANCE_INTERVAL_S)

    def _maintenance_entries(self) -> dict[str, Any]:
        zone = self.members.local_member.zone
        entries: dict[str, Any] = {
            f"nodes/{member.name}": {"zone": zone}
            for member in self.members.alive()
            if member.zone == zone
            and member.name not in self.replica.document.nodes
        }
        entries.update({f"nodes/{name}": None for name in self._lost_nodes()})
        keys = self.replicator.pending_withdrawals()
        entries.update({f"keys/{key_id}": None for key_id in keys})
        return entries

    def _lost_nodes(self) -> list[str]:
        now = self.clock.monotonic()
        return [
            name
            for name in self.replica.document.nodes
            if name in self.members.entries
            and self.members.entries[name].status
            in (membership.DEAD, membership.LEFT)
            and now - self.members.changed_at[name] > REMOVE_LOST_AFTER_S
        ]

    async def _propose_maintenance(self, entries: dict[str, Any]) -> None:
        if not entries:
            return
        proposal = Proposal(
            entries,
            self.replica.revision,
            SYSTEM_OPERATOR,
            "membership and emergency withdrawals",
        )
        try:
            await self.propose(proposal)
        except errors.ServiceError as e:
            events.log(
                events.Event.STORE_FAILED,
                node=self.members.local_member.name,
                reason=str(e),
            )
