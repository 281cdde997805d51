"""Leases in the shared store, and locks on duties that rest on them.

A duty is work that one node does at a time, such as leading a service. A
``DutyLock`` is a distributed lock on a duty: a key in the store that is bound
to the lease of its holder (``LeaseSession``). Calls that only the holder may
send carry a fencing token. ``NodeRegistration`` keeps a node's own entry in the
store under another lease.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

NODES_PREFIX = "kingcupscale/nodes/"
DUTIES_PREFIX = "kingcupscale/duties/"

# Renewals per lease lifetime: two may fail before the lease expires.
RENEWALS_PER_TTL = 4
# Share of the lease time, at its end, in which the lease no longer counts as
# held. It covers clock drift and calls that are in flight.
SAFETY_SHARE = 0.25
# A candidate waits this long per candidate ranked before it, before it acquires
# a free duty.
DELAY_PER_RANK_S = 0.3
# The candidates that rank first may all be gone, for example with their zone,
# while their entries remain for some leases.
MAX_DELAY_S = 2.1


class DutyLostError(Exception):
    """A call was not sent, as its sender may no longer hold the duty."""


@attrs.frozen
class Holder:
    """Identity and permission of a sender that must hold a duty.

    Attributes:
        node: The node's name.
        fencing_token: Fencing token of the duty.
        check: Raises ``DutyLostError`` if the call must not be sent.
    """

    node: str
    fencing_token: int
    check: Callable[[], None]


class LeaseSession:
    """A node's lease, to which entries in the store are bound.

    The expiry time is counted from before a renewal is sent, on a clock that
    keeps running while the VM is suspended, so the node always considers the
    lease expired before the store does. ``run`` neither grants nor renews a
    lease without users.

    Args:
        store: The shared store.
        clock: Source of time.
        node: The node's name.
        ttl_s: Time to live of the lease, in seconds.

    Attributes:
        lease: Number of the lease; ``NO_LEASE`` for none.
        ends_at: Monotonic time at which the lease expires.
        is_closed: Whether no lease may be granted any more.
        users: Objects that need the lease.
        renewal_lock: Held while the lease is granted or renewed.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        node: str,
        ttl_s: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.node = node
        self.ttl_s = ttl_s
        self.lease = stores.NO_LEASE
        self.ends_at = 0.0
        self.is_closed = False
        self.users: set[object] = set()
        self.renewal_lock = trio.Lock()

    def is_held(self) -> bool:
        """Returns whether the lease is certain to be valid now."""
        if self.lease == stores.NO_LEASE:
            return False
        safety_s = self.ttl_s * SAFETY_SHARE
        return self.clock.monotonic() < self.ends_at - safety_s

    async def run(self) -> None:
        """Renews the lease while it has users, until closed or cancelled."""
        while not self.is_closed:
            try:
                if self.users:
                    await self._renew_or_replace()
            except stores.StoreError as e:
                events.log(
                    events.Event.LEASE_UNRENEWED,
                    node=self.node,
                    reason=e.reason,
                    left_s=round(self.ends_at - self.clock.monotonic(), 2),
                )
            await self.clock.sleep_aligned(self.ttl_s / RENEWALS_PER_TTL)

    async def open(self) -> None:
        """Acquires the lease if it is not held, unless the session is closed.

        Raises:
            StoreError: If the store cannot be reached.
        """
        if not self.is_held() and not self.is_closed:
            await self._renew_or_replace()

    async def _renew_or_replace(self) -> None:
        """Renews the lease; requests a new one if it has expired."""
        async with self.renewal_lock:
            try:
                await self._renew_or_grant()
            except stores.LeaseEndedError:
                self._end("lease expired in the store")
                await self._grant()

    async def _renew_or_grant(self) -> None:
        if self.lease == stores.NO_LEASE:
            await self._grant()
            return
        sent_at = self.clock.monotonic()
        await self._renew(self.lease)
        self.ends_at = sent_at + self.ttl_s

    async def _renew(self, lease: int) -> None:
        await self.store.renew(lease)

    async def _grant(self) -> None:
        if self.is_closed:
            return
        sent_at = self.clock.monotonic()
        lease = await self.store.grant(self.ttl_s)
        if not await self._prepare(lease):
            return
        if self.is_closed:
            await self._revoke(lease)
            return
        self.lease = lease
        self.ends_at = sent_at + self.ttl_s
        events.log(events.Event.SESSION_OPENED, node=self.node, lease=lease)

    async def _prepare(self, lease: int) -> bool:
        """Prepares the use of a new lease, for subclasses.

        Returns:
            Whether the lease is still valid.
        """
        return True

    def _end(self, reason: str) -> None:
        events.log(
            events.Event.SESSION_ENDED,
            node=self.node,
            lease=self.lease,
            reason=reason,
        )
        self.lease = stores.NO_LEASE
        self.ends_at = 0.0

    async def close(self) -> None:
        """Revokes the lease for good.

        Successors need not wait until it expires.
        """
        self.is_closed = True
        lease = self.lease
        if lease == stores.NO_LEASE:
            return
        self._end("node is stopping")
        await self._revoke(lease)

    async def _revoke(self, lease: int) -> None:
        try:
            await self.store.revoke(lease)
        except (stores.StoreError, stores.LeaseEndedError) as e:
            events.log(events.Event.STORE_FAILED, node=self.node, reason=str(e))


class NodeRegistration(LeaseSession):
    """A lease that keeps the node's own entry in the store.

    Args:
        store: The shared store.
        clock: Source of time.
        node: The node's name.
        ttl_s: Time to live of the lease, in seconds.
        value: Value of the node's own entry.

    Attributes:
        is_registered: Whether the entry was written and, as far as known, was
            not removed.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        node: str,
        ttl_s: float,
        value: bytes,
    ) -> None:
        super().__init__(store, clock, node, ttl_s)
        self.value = value
        self.is_registered = False
        self.users.add(self)

    def note_removed(self) -> None:
        """Records that the node's entry was removed.

        The next renewal writes it again. The entry disappears if a delayed
        write replaces it by one that is bound to an earlier lease, and that
        lease then expires.
        """
        self.is_registered = False

    async def _renew(self, lease: int) -> None:
        await super()._renew(lease)
        if not self.is_registered:
            await self._register(lease)

    async def _prepare(self, lease: int) -> bool:
        try:
            await self._register(lease)
        except stores.LeaseEndedError:
            self._end("lease expired before the node was registered")
            return False
        return True

    async def _register(self, lease: int) -> None:
        put = stores.Put(NODES_PREFIX + self.node, self.value, lease)
        await self.store.commit(stores.Transaction(puts=[put]))
        self.is_registered = True


class DutyLock:
    """A node's lock on a duty.

    The fencing token is the revision at which the duty's key was created: it
    only increases, and only one holder ever has it.

    Args:
        name: Name of the duty.
        session: The node's lease.
        mirror: The mirror from which the state of the key is read.
        clock: Source of time.

    Attributes:
        fencing_token: Fencing token of the duty; 0 if it was not acquired.
        released_token: Fencing token under which the duty was last released; 0
            if it was not released.
        lease: The lease under which the duty was acquired.
    """

    def __init__(
        self,
        name: str,
        session: LeaseSession,
        mirror: mirrors.StoreMirror,
        clock: clocks.Clock,
    ) -> None:
        self.name = name
        self.session = session
        self.mirror = mirror
        self.clock = clock
        self.fencing_token = 0
        self.released_token = 0
        self.lease = stores.NO_LEASE

    @property
    def key(self) -> str:
        """The duty's key in the store."""
        return DUTIES_PREFIX + self.name

    def is_held(self) -> bool:
        """Returns whether this node is certain to hold the duty now."""
        return (
            self.fencing_token > 0
            and self.lease == self.session.lease
            and self.session.is_held()
        )

    def holder(self) -> Holder:
        """Returns what a call that requires the duty carries."""
        return Holder(self.session.node, self.fencing_token, self.check)

    def check(self) -> None:
        """Checks that this node may send a call that requires the duty.

        To be called once the call's connection is open, since connecting may
        take longer than the rest of the lease.

        Raises:
            DutyLostError: If this node is not certain to hold the duty.
        """
        if not self.is_held():
            raise DutyLostError(self.name)

    async def try_acquire(self) -> None:
        """Acquires the duty if no node holds it.

        Raises:
            StoreError: If the store cannot be reached.
        """
        if self.is_held():
            return
        if self.fencing_token and self.lease != self.session.lease:
            self._set_lost()
        entry = self.mirror.entries.get(self.key)
        if entry is not None and entry.created == self.released_token:
            await self._remove(entry)
            return
        if entry is not None and not self._is_own(entry):
            return
        await self.session.open()
        if not self.session.is_held():
            return
        if entry is None:
            entry = await self._create()
        if entry is not None and self._is_own(entry):
            self._set_held(entry.created)

    async def release(self) -> None:
        """Releases the duty to another node, while the lease stays valid.

        It is never held again under its present fencing token.

        Raises:
            StoreError: If the key may remain; ``try_acquire`` then removes it.
        """
        if not self.is_held():
            return
        self.released_token = self.fencing_token
        self._set_lost()
        entry = self.mirror.entries.get(self.key)
        if entry is not None and entry.created == self.released_token:
            await self._remove(entry)

    async def _remove(self, entry: stores.Entry) -> None:
        """Removes the key of a released duty, unless it has changed."""
        condition = stores.Condition(self.key, entry.revision)
        revision = await self.session.store.commit(
            stores.Transaction([condition], removals=[self.key])
        )
        if revision is not None:
            self.mirror.apply(stores.Entry(self.key, None, revision))

    def _own_value(self) -> bytes:
        return f"{self.session.node} {self.session.lease}".encode()

    def _is_own(self, entry: stores.Entry) -> bool:
        return entry.value == self._own_value()

    async def _create(self) -> stores.Entry | None:
        lease = self.session.lease
        put = stores.Put(self.key, self._own_value(), lease)
        condition = stores.Condition(self.key, stores.ABSENT)
        try:
            await self.session.store.commit(
                stores.Transaction([condition], [put])
            )
        except stores.LeaseEndedError:
            events.log(
                events.Event.SESSION_ENDED,
                node=self.session.node,
                lease=lease,
                reason="lease expired before a duty was acquired",
            )
            return None
        except stores.StoreError as e:
            if not e.may_have_run:
                raise
        # The response to the write may be lost, and another node may have
        # created the key first. The key's present value decides.
        entry = await self.session.store.get(self.key)
        if entry is not None:
            self.mirror.apply(entry)
        return entry

    def _set_held(self, fencing_token: int) -> None:
        self.fencing_token = fencing_token
        self.lease = self.session.lease
        self.session.users.add(self)
        events.log(
            events.Event.DUTY_TAKEN,
            node=self.session.node,
            duty=self.name,
            fence=fencing_token,
        )

    def _set_lost(self) -> None:
        events.log(
            events.Event.DUTY_LOST,
            node=self.session.node,
            duty=self.name,
            fence=self.fencing_token,
        )
        self.fencing_token = 0
        self.session.users.discard(self)


async def run_while_held(
    duty_lock: DutyLock,
    work: Callable[[], Awaitable[None]],
    rank: Callable[[], int],
    pause_s: float,
) -> None:
    """Tries to acquire a duty, and does its work in rounds while it is held.

    Args:
        duty_lock: Lock on the duty.
        work: Does one round of work; raises only ``StoreError``.
        rank: Returns this node's rank among the candidates, 0 for the preferred
            one. The others wait, so that they do not all write at once.
        pause_s: Seconds between two rounds.
    """
    while True:
        try:
            if not duty_lock.is_held():
                await _wait_for_turn(duty_lock, rank)
                await duty_lock.try_acquire()
            if duty_lock.is_held():
                await work()
        except stores.StoreError as e:
            events.log(
                events.Event.STORE_FAILED,
                node=duty_lock.session.node,
                duty=duty_lock.name,
                reason=e.reason,
            )
        await duty_lock.clock.sleep_aligned(pause_s)


async def _wait_for_turn(duty_lock: DutyLock, rank: Callable[[], int]) -> None:
    """Waits so that preferred candidates can acquire a free duty first.

    The rank is read again at each change: in a large fleet, a candidate that
    acquires another duty meanwhile moves behind those without one.
    """
    began_at = duty_lock.clock.monotonic()
    while duty_lock.key not in duty_lock.mirror.entries:
        left_s = (
            began_at
            + min(MAX_DELAY_S, DELAY_PER_RANK_S * rank())
            - duty_lock.clock.monotonic()
        )
        if left_s <= 0:
            return
        with trio.move_on_after(left_s):
            await duty_lock.mirror.changed.wait()
