"""Leases with fencing tokens, stored in the key-value service.

The epoch of a lease is its fencing token: it increases with every new holder.
A holder sends orders only while its lease outlasts them, and a new holder waits
until orders of the former one have timed out.
"""

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
    """Lease timings.

    Attributes:
        ttl_s: Lifetime of a lease in seconds, counted from before its renewal
            is sent.
        renew_s: Seconds between renewals, and between a candidate's attempts.
        order_timeout_s: Longest time that an order may be in flight. A holder
            sends no order when its lease has less time left, and a new holder
            waits this long before its first order.
    """

    ttl_s: float = 9.0
    renew_s: float = 3.0
    order_timeout_s: float = 2.0


@attrs.frozen
class LeaseRecord:
    """The stored record of a lease.

    Attributes:
        holder: Name of the holding node; empty once released.
        epoch: Fencing token; increases with every new holder.
        token: A value unique to this write.
    """

    holder: str
    epoch: int
    token: str


@attrs.frozen
class ObservedRecord:
    """A lease record that a candidate has read.

    Attributes:
        version: Version of the record in the store.
        record: The record.
        at_s: Monotonic time when the candidate first read this version.
    """

    version: int
    record: LeaseRecord
    at_s: float


class Lease:
    """A lease as seen by one node, which may hold it or try to acquire it.

    A candidate acquires a released lease at once, and a held one after it has
    read the same version of the record for a whole lifetime, measured on its
    own clock. The holder counts its deadline from before the renewal is sent,
    so the lease always ends for the holder before a candidate can acquire it.

    Args:
        store: The key-value service.
        name: Name of the lease.
        node: Name of this node.
        clock: The clock, whose monotonic time includes suspended time.
        settings: Lease timings.

    Attributes:
        epoch: Epoch under which this node acquired the lease last; 0 if it has
            not acquired it, has found that another node did, or has released
            it. It stays when the lease merely expires.
        deadline: Monotonic time when this node's lease ends.
        orders_allowed_from: Monotonic time from which this node may send
            orders.
        version: Version of the record that this node wrote last.
        observed: The record that this node read last as a candidate.
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
        """The key of the lease record in the store."""
        return PREFIX + self.name

    def is_held(self) -> bool:
        """Returns whether this node holds the lease now."""
        return self.clock.monotonic() < self.deadline

    def can_send_orders(self) -> bool:
        """Returns whether this node may send an order now.

        It may not while an order of the former holder can still be in flight,
        or when its own order could outlast the lease.
        """
        now = self.clock.monotonic()
        last = self.deadline - self.settings.order_timeout_s
        return self.orders_allowed_from <= now < last

    def check_order(self, epoch: int) -> None:
        """Checks that an order may be sent; called right before its first byte.

        Args:
            epoch: Epoch under which the order was recorded.

        Raises:
            ServiceError: ``LEASE_LOST`` if this node no longer holds that
                epoch, or may not send an order now.
        """
        if self.epoch != epoch or not self.can_send_orders():
            raise errors.ServiceError(
                errors.ResultCode.LEASE_LOST,
                f"lease {self.name} does not allow orders of epoch {epoch} now",
            )

    async def renew_or_acquire(self) -> None:
        """Renews the lease, or acquires it if it is free or has expired.

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
        """Returns whether a record of this node has its current epoch.

        If not, an earlier run of the node wrote it, or the release of the lease
        did not reach the store.
        """
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
        """Releases the lease, so that the next holder need not wait.

        Raises:
            PlatformError: If the store cannot be reached; the lease then
                expires.
        """
        if not self.is_held():
            return
        record = LeaseRecord("", self.epoch, keyvalue.new_token())
        text = codec.encode(record).decode()
        self._set_lost()
        await self.store.put(self.key, text, self.version)


class LeaseManager:
    """Renews a lease while held, and tries to acquire it as a candidate.

    Args:
        lease: The lease.
        is_candidate: Returns whether this node should try to acquire it.
        clock: The clock.
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
        """Renews or tries to acquire the lease until cancelled."""
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
