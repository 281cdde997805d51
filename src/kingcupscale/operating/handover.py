"""The handover report from one shift of operators to the next."""

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import document
from kingcupscale.configuration import replication
from kingcupscale.duties import journal as journals
from kingcupscale.duties import lease as leases
from kingcupscale.operating import messages
from kingcupscale.peering import members as membership
from kingcupscale.peering import peer_pb2
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue
from kingcupscale.serving import services
from kingcupscale.usage import reporting

MAX_CHANGES = 50


class HandoverReporter:
    """Creates handover reports.

    Args:
        replicator: Provides the configuration and the members.
        pools: The services and their backend servers.
        store: The key-value service.
        clock: Source of the time.
    """

    def __init__(
        self,
        replicator: replication.ConfigurationReplicator,
        pools: services.Services,
        store: keyvalue.KeyValueStore,
        clock: clocks.Clock,
    ) -> None:
        self.replicator = replicator
        self.replica = replicator.replica
        self.members = replicator.members
        self.pools = pools
        self.store = store
        self.clock = clock

    async def report(self) -> messages.HandoverResponse:
        """Returns the report.

        If the store cannot be read, an alarm names the missing sections.
        """
        alarms = self._alarms()
        unfinished = self._unfinished_work()
        lease_lines: list[str] = []
        usage_lines: list[str] = []
        try:
            unfinished += await self._open_orders()
            lease_lines = await self._leases()
            usage_lines = await self._unreported_usage()
        except calls.PlatformError as e:
            alarms.append(
                f"the key-value service cannot be reached ({e.reason});"
                " orders, leases and usage are not shown"
            )
        return messages.HandoverResponse(
            self.clock.now(),
            self.members.local_member.name,
            self.replica.revision,
            self._changes(),
            unfinished,
            lease_lines,
            alarms,
            usage_lines,
        )

    def _changes(self) -> list[messages.ChangeLine]:
        operator_changes = [
            change
            for change in reversed(self.replica.recent)
            if not all(map(document.is_system_path, change.entries))
        ]
        return [
            messages.ChangeLine(
                change.revision,
                change.at,
                change.operator,
                change.reason,
                changes.describe(change.entries),
            )
            for change in operator_changes[:MAX_CHANGES]
        ]

    def _unfinished_work(self) -> list[str]:
        lines = [
            f"key {key_id} is withdrawn in an emergency, but still in the"
            " configuration"
            for key_id in sorted(self.replicator.pending_withdrawals())
        ]
        lines += [
            f"backend server {state.name} of {pool.name} is leaving and has"
            f" {state.in_flight} requests of this node in flight"
            for pool in self.pools.pools.values()
            for state in pool.router.servers.values()
            if state.is_leaving
        ]
        return lines

    def _alarms(self) -> list[str]:
        lines = []
        if not self.replicator.admission.is_confirmed():
            lines.append("the configuration is not confirmed by the store")
        if not self.replicator.admission.is_admitting():
            lines.append("this node does not admit requests")
        lines += [
            f"node {m.name} in {m.zone} is"
            f" {peer_pb2.Status.Name(m.status).lower()}"
            for m in self.members.entries.values()
            if m.status in (membership.SUSPECT, membership.DEAD)
        ]
        lines += [
            f"backend server {state.name} of {pool.name} failed"
            f" {state.failures} times in a row"
            for pool in self.pools.pools.values()
            for state in pool.router.servers.values()
            if state.failures
        ]
        return lines

    async def _open_orders(self) -> list[str]:
        response = await self.store.scan(journals.PREFIX)
        return [
            f"order {order.order_id[:8]} ({order.kind} {order.target}) of"
            f" {entry.key.removeprefix(journals.PREFIX)} has had no outcome"
            f" since {order.at}"
            for entry in response.entries
            for order in codec.decode(
                journals.JournalRecord, entry.value
            ).orders
            if order.state is journals.OrderState.INTENDED
        ]

    async def _leases(self) -> list[str]:
        response = await self.store.scan(leases.PREFIX)
        lines = []
        for entry in response.entries:
            record = codec.decode(leases.LeaseRecord, entry.value)
            name = entry.key.removeprefix(leases.PREFIX)
            holder = record.holder or "nobody"
            lines.append(f"{name}: {holder}, epoch {record.epoch}")
        return lines

    async def _unreported_usage(self) -> list[str]:
        response = await self.store.scan(reporting.PREFIX)
        return [
            f"shard {entry.key.removeprefix(reporting.PREFIX)} window"
            f" {window.window} is not reported"
            for entry in response.entries
            for window in codec.decode(reporting.Ledger, entry.value).windows
            if not window.sent
        ]
