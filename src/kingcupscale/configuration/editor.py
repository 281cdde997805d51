"""Accepting changes: operators' own and those the nodes make."""

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
LOST_AFTER_S = 600.0
MAINTENANCE_INTERVAL_S = 5.0
RETRY_AFTER_S = 2.0
ATTEMPTS = 5


@attrs.frozen
class AcceptedChange:
    """An accepted change.

    Attributes:
        revision: The revision in which it is in force.
        in_force: Names of the nodes that have confirmed it.
        pending: Names of the other members, which get it by gossip or stop
            admitting.
    """

    revision: int
    in_force: list[str]
    pending: list[str]


@attrs.frozen
class Proposal:
    """What an operator wants changed.

    Attributes:
        entries: New value by ``table/name``; None removes.
        if_revision: The revision the operator saw.
        operator: Who asks.
        reason: Why.
        without_majority: Accept although most nodes are out of reach, since
            the operator knows that they are gone.
    """

    entries: dict[str, Any]
    if_revision: int
    operator: str
    reason: str
    without_majority: bool = False


class ConflictError(errors.ServiceError):
    """A change on a revision that is no longer the newest.

    Args:
        proposal: What was asked for.
        revision: The newest revision.
        since: What changed since the operator looked, a line an entry.
    """

    def __init__(
        self, proposal: Proposal, revision: int, since: list[str]
    ) -> None:
        lines = "; ".join(since) or "nothing that is still in the log"
        super().__init__(
            errors.ResultCode.REVISION_CONFLICT,
            f"you saw revision {proposal.if_revision}, the newest is"
            f" {revision}; since then: {lines}",
        )
        self.revision = revision
        self.since = since


class Editor:
    """Decides changes through the store and brings them into force.

    Args:
        replicator: Brings changes to every node.
        clock: Tells the time.
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
        """Accepts a change or says why not.

        Raises:
            ConflictError: If others changed the configuration meanwhile.
            ServiceError: ``CONFIGURATION_INVALID``, ``MAJORITY_LOST``,
                ``STORE_UNAVAILABLE`` or ``CONFIGURATION_UNDECIDED``.
        """
        change = await self._decide(proposal)
        reached = await self.replicator.push()
        self._log_accepted(change)
        await self._compact()
        return self._accepted(reached, proposal.without_majority)

    async def _decide(self, proposal: Proposal) -> changes.Change:
        """Appends a change, again if only the nodes' own came between."""
        for _ in range(ATTEMPTS):
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
                f"{e.reason}; to withdraw a key now, use --emergency",
                retry_after_s=RETRY_AFTER_S,
            ) from e

    def _check_majority(self, proposal: Proposal) -> None:
        roster = self.replica.document.nodes
        if proposal.without_majority or not roster:
            return
        if not self.admission.has_majority():
            raise errors.ServiceError(
                errors.ResultCode.MAJORITY_LOST,
                f"fewer than half of {len(roster)} nodes are in reach",
                retry_after_s=RETRY_AFTER_S,
            )

    def _check_revision(self, proposal: Proposal) -> None:
        since = self._operators_entries_since(proposal.if_revision)
        if since is None or since:
            lines = changes.describe(since or {})
            raise ConflictError(proposal, self.replica.revision, lines)

    def _operators_entries_since(self, revision: int) -> dict[str, Any] | None:
        """Returns what operators changed since, or None if not known.

        What the nodes enter by themselves is no conflict.
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
                f"revision {change.revision}: {e.reason}; look at the newest"
                " revision before trying again",
                errors.Run.UNKNOWN,
                RETRY_AFTER_S,
            ) from e

    def _log_accepted(self, change: changes.Change) -> None:
        events.log(
            events.Event.CONFIGURATION_CHANGED,
            node=self.members.me.name,
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
                node=self.members.me.name,
                reason=e.reason,
            )

    def _accepted(
        self, reached: list[str], without_majority: bool = False
    ) -> AcceptedChange:
        """Returns the answer to a change that members have confirmed.

        Raises:
            ServiceError: ``MAJORITY_LOST`` if they are too few. The change is
                written and will come into force, but a part that is cut off
                might go on without it for now.
        """
        roster = self.replica.document.nodes
        is_enough = without_majority or not roster
        if not is_enough and not self.admission.is_majority(set(reached)):
            raise errors.ServiceError(
                errors.ResultCode.MAJORITY_LOST,
                f"revision {self.replica.revision} is written, but only"
                f" {', '.join(sorted(reached))} confirmed it; ask again",
                errors.Run.RAN,
                RETRY_AFTER_S,
            )
        pending = {m.name for m in self.members.alive()} - set(reached)
        return AcceptedChange(
            self.replica.revision, sorted(reached), sorted(pending)
        )

    async def confirm(self) -> AcceptedChange:
        """Brings the newest revision to every member and tells who has it.

        Raises:
            ServiceError: ``MAJORITY_LOST`` if too few have it.
        """
        return self._accepted(await self.replicator.push())

    async def withdraw_in_emergency(
        self, key_id: str, operator: str, reason: str
    ) -> AcceptedChange:
        """Withdraws a key without the store.

        The answer names the nodes that have confirmed it; on the others the
        key may work until they are reached or stop admitting. The withdrawal
        enters the configuration when the store is back.

        Raises:
            ServiceError: ``MAJORITY_LOST`` if too few have confirmed it.
        """
        self.replica.withdraw({key_id})
        events.log(
            events.Event.KEY_WITHDRAWN_EMERGENCY,
            node=self.members.me.name,
            key_id=key_id,
            operator=operator,
            reason=reason,
        )
        return self._accepted(await self.replicator.push())

    async def run_maintenance(self) -> None:
        """Enters new nodes, removes lost ones, folds withdrawn keys in.

        Only the watchers of a zone do, for all of its nodes at once, so that
        a fleet that starts together does not race for each revision.
        """
        while True:
            if self.replicator.is_watcher():
                await self._propose_maintenance(self._maintenance_entries())
            await self.clock.sleep(MAINTENANCE_INTERVAL_S)

    def _maintenance_entries(self) -> dict[str, Any]:
        zone = self.members.me.zone
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
            and now - self.members.changed_at[name] > LOST_AFTER_S
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
                node=self.members.me.name,
                reason=str(e),
            )
