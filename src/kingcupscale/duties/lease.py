"""Leases with fencing numbers, decided by the key-value service."""

from collections.abc import Callable

import attrs

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.providers import calls
from kingcupscale.providers import keyvalue

PREFIX = "leases/"


@attrs.frozen
class LeaseSettings:
    """How long leases last.

    Attributes:
        ttl_s: Seconds a lease lasts from before its renewal was sent.
        renew_s: Seconds between renewals, and between a contender's looks.
        order_timeout_s: Longest time an order may be under way; a lease with
            less time left sends none, and a new holder waits this long.
    """

    ttl_s: float = 9.0
    renew_s: float = 3.0
    order_timeout_s: float = 2.0


@attrs.frozen
class LeaseRecord:
    """What the store holds of a lease.

    Attributes:
        holder: Name of the node; empty once released.
        epoch: Fencing number; grows with every new holder.
        token: Unique to the write.
    """

    holder: str
    epoch: int
    token: str


@attrs.frozen
class ObservedRecord:
    """A record as a contender first saw it."""

    version: int
    record: LeaseRecord
    at_s: float


class Lease:
    """One node's side of one lease.

    A contender takes a lease over once it has seen the same record for the
    whole of its lifetime, on its own clock. The holder's own deadline counts
    from before the renewal was sent, so it is always the earlier one.

    Args:
        store: The key-value service.
        name: Of the lease.
        node: Name of this node.
        clock: Tells the time, suspended time included.
        settings: How long leases last.
    """

    def __init__(
        self,
        store: keyvalue.KeyValueStore,
        name: str,
        node: str,
        clock: clocks.Clock,
        settings: LeaseSettings,
    ) -> None:
        self.store = store
        self.name = name
        self.node = node
        self.clock = clock
        self.settings = settings
        self.epoch = 0
        self.deadline = 0.0
        self.orders_allowed_from = 0.0
        self.version = keyvalue.ABSENT
        self.observed: ObservedRecord | None = None

    @property
    def key(self) -> str:
        """The key of the record."""
        return PREFIX + self.name

    def is_held(self) -> bool:
        """Tells whether this node holds the lease right now."""
        return self.clock.monotonic() < self.deadline

    def can_send_orders(self) -> bool:
        """Tells whether an order may be sent right now.

        Not while an order of the former holder may still be under way, nor
        when ours might outlast the lease.
        """
        now = self.clock.monotonic()
        last = self.deadline - self.settings.order_timeout_s
        return self.orders_allowed_from <= now < last

    def check_order(self, epoch: int) -> None:
        """Lets an order leave; called right before its first byte.

        Raises:
            ServiceError: ``LEASE_LOST`` if the epoch is no longer ours.
        """
        if self.epoch != epoch or not self.can_send_orders():
            raise errors.ServiceError(
                errors.ResultCode.LEASE_LOST,
                f"{self.name} epoch {epoch} may not send now",
            )

    async def renew_or_acquire(self) -> None:
        """Renews the lease, or takes it if it is free or has lapsed.

        Raises:
            PlatformError: If the store cannot be reached.
        """
        entry = await self.store.get(self.key)
        if entry is None:
            await self._write(1, keyvalue.ABSENT)
            return
        record = codec.decode(LeaseRecord, entry.value)
        if record.holder == self.node and self._is_own(record):
            await self._write(record.epoch, entry.version)
        elif not record.holder or self._has_expired(entry.version, record):
            await self._write(record.epoch + 1, entry.version)
        elif self.epoch:
            self._set_lost()

    def _is_own(self, record: LeaseRecord) -> bool:
        """Tells our own record from one of an earlier run of this node."""
        return self.epoch == record.epoch

    def _has_expired(self, version: int, record: LeaseRecord) -> bool:
        now = self.clock.monotonic()
        if self.observed is None or self.observed.version != version:
            self.observed = ObservedRecord(version, record, now)
        return now - self.observed.at_s >= self.settings.ttl_s

    async def _write(self, epoch: int, version: int) -> None:
        sent_at = self.clock.monotonic()
        record = LeaseRecord(self.node, epoch, keyvalue.new_token())
        text = codec.encode(record).decode()
        answer = await keyvalue.put_resolved(
            self.store, self.key, text, version
        )
        if not answer.written:
            return
        self.version = answer.version
        if epoch != self.epoch:
            self._set_acquired(epoch)
        self.deadline = sent_at + self.settings.ttl_s

    def _set_acquired(self, epoch: int) -> None:
        self.epoch = epoch
        self.orders_allowed_from = (
            self.clock.monotonic() + self.settings.order_timeout_s
        )
        events.log(
            events.Event.LEASE_ACQUIRED,
            node=self.node,
            lease=self.name,
            epoch=epoch,
        )

    def _set_lost(self) -> None:
        events.log(
            events.Event.LEASE_LOST,
            node=self.node,
            lease=self.name,
            epoch=self.epoch,
        )
        self.epoch = 0
        self.deadline = 0.0

    async def release(self) -> None:
        """Gives the lease up, so that the next holder need not wait.

        Raises:
            PlatformError: If the store cannot be reached; the lease then
                lapses by itself.
        """
        if not self.is_held():
            return
        record = LeaseRecord("", self.epoch, keyvalue.new_token())
        text = codec.encode(record).decode()
        self._set_lost()
        await self.store.put(self.key, text, self.version)


class LeaseManager:
    """Keeps trying for a lease while this node is a candidate.

    Args:
        lease: The lease.
        is_candidate: Tells whether this node should try.
        clock: Tells the time.
    """

    def __init__(
        self,
        lease: Lease,
        is_candidate: Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self.lease = lease
        self.is_candidate = is_candidate
        self.clock = clock

    async def run(self) -> None:
        """Tries or renews until cancelled."""
        while True:
            if self.lease.is_held() or self.is_candidate():
                await self._renew_or_acquire()
            await self.clock.sleep(self.lease.settings.renew_s)

    async def _renew_or_acquire(self) -> None:
        try:
            await self.lease.renew_or_acquire()
        except calls.PlatformError as e:
            events.log(
                events.Event.STORE_FAILED,
                node=self.lease.node,
                reason=e.reason,
            )
