"""Duties that one node holds at a time, fenced by the store."""

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

# A renewal may fail twice before the lease lapses.
RENEWALS_PER_TTL = 4
# Share of a lease's time at its end in which nothing is sent any more, for
# clocks that drift and calls that are under way.
SAFETY_SHARE = 0.25
# A candidate leaves a free duty this long to each one that is preferred.
TURN_S = 0.3


class DutyLostError(Exception):
    """A call that may not leave, as its sender's duty is not sure any more."""


@attrs.frozen
class Holder:
    """Who sends a call that only the holder of a duty may send.

    Attributes:
        node: The node's name.
        fencing_token: Its fencing number.
        check: Raises ``DutyLostError`` if the call must not leave any more.
    """

    node: str
    fencing_token: int
    check: Callable[[], None]


class LeaseSession:
    """A node's lease, which entries in the store are bound to.

    The lease's end counts from before its renewal was sent, on a clock that
    goes on while the VM is suspended, so the node is always first to think it
    over. A lease that nothing needs is neither granted nor renewed.

    Args:
        store: The shared store.
        clock: Tells the time.
        node: The node's name.
        ttl_s: Seconds that the lease lasts.

    Attributes:
        lease: The lease; ``NO_LEASE`` for none.
        users: What needs the lease to be kept.
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
        self.keeping = trio.Lock()

    def is_held(self) -> bool:
        """Tells whether the lease surely holds right now."""
        if self.lease == stores.NO_LEASE:
            return False
        safety_s = self.ttl_s * SAFETY_SHARE
        return self.clock.monotonic() < self.ends_at - safety_s

    async def run(self) -> None:
        """Keeps a lease while it is needed, until closed or cancelled."""
        while not self.is_closed:
            try:
                if self.users:
                    await self._keep()
            except stores.StoreError as e:
                events.log(
                    events.Event.LEASE_UNRENEWED,
                    node=self.node,
                    reason=e.reason,
                    left_s=round(self.ends_at - self.clock.monotonic(), 2),
                )
            await self.clock.rest(self.ttl_s / RENEWALS_PER_TTL)

    async def open(self) -> None:
        """Has the lease held, if the store allows it.

        Raises:
            StoreError: If the store cannot be reached.
        """
        if not self.is_held() and not self.is_closed:
            await self._keep()

    async def _keep(self) -> None:
        """Renews the lease; one that has ended is followed by another."""
        async with self.keeping:
            try:
                await self._renew_or_grant()
            except stores.LeaseEndedError:
                self._end("the store has ended it")
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
            await self._give_back(lease)
            return
        self.lease = lease
        self.ends_at = sent_at + self.ttl_s
        events.log(events.Event.SESSION_OPENED, node=self.node, lease=lease)

    async def _prepare(self, lease: int) -> bool:
        """Does what a new lease is for; whether it is still there."""
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
        """Ends the lease for good, so that successors need not wait for it."""
        self.is_closed = True
        lease = self.lease
        if lease == stores.NO_LEASE:
            return
        self._end("the node is stopping")
        await self._give_back(lease)

    async def _give_back(self, lease: int) -> None:
        try:
            await self.store.revoke(lease)
        except (stores.StoreError, stores.LeaseEndedError) as e:
            events.log(events.Event.STORE_FAILED, node=self.node, reason=str(e))


class NodeRegistration(LeaseSession):
    """A session that keeps the node's own entry in the store.

    Args:
        store: The shared store.
        clock: Tells the time.
        node: The node's name.
        ttl_s: Seconds that the lease lasts.
        announcement: Value of the node's own entry.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        node: str,
        ttl_s: float,
        announcement: bytes,
    ) -> None:
        super().__init__(store, clock, node, ttl_s)
        self.announcement = announcement
        self.is_announced = False
        self.users.add(self)

    def note_removed(self) -> None:
        """Notes that the node's entry is gone: it is written once more.

        An earlier entry may be written late, under a lease that ends then.
        """
        self.is_announced = False

    async def _renew(self, lease: int) -> None:
        await super()._renew(lease)
        if not self.is_announced:
            await self._announce(lease)

    async def _prepare(self, lease: int) -> bool:
        try:
            await self._announce(lease)
        except stores.LeaseEndedError:
            self._end("ended before the node was entered")
            return False
        return True

    async def _announce(self, lease: int) -> None:
        put = stores.Put(NODES_PREFIX + self.node, self.announcement, lease)
        await self.store.commit(stores.Transaction(puts=[put]))
        self.is_announced = True


class DutyLock:
    """One duty as seen by one node.

    The revision at which the duty's key was created only grows and belongs to
    one holder, so it serves as the fencing number.

    Args:
        name: Of the duty.
        session: The node's lease.
        mirror: The mirror in which the key's state is seen.
        clock: Tells the time.
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
        """The duty's key."""
        return DUTIES_PREFIX + self.name

    def is_held(self) -> bool:
        """Tells whether this node surely holds the duty right now."""
        return (
            self.fencing_token > 0
            and self.lease == self.session.lease
            and self.session.is_held()
        )

    def holder(self) -> Holder:
        """Returns what a call of the holder bears."""
        return Holder(self.session.node, self.fencing_token, self.check)

    def check(self) -> None:
        """Lets a call leave that only the holder may send.

        To be called when the call's connection is open: opening one may take
        longer than what was left of the lease.

        Raises:
            DutyLostError: If this node does not surely hold the duty.
        """
        if not self.is_held():
            raise DutyLostError(self.name)

    async def try_acquire(self) -> None:
        """Takes the duty if nobody holds it.

        Raises:
            StoreError: If the store cannot be reached.
        """
        if self.is_held():
            return
        if self.fencing_token and self.lease != self.session.lease:
            self._set_lost()
        known = self.mirror.entries.get(self.key)
        if known is not None and known.created == self.released_token:
            await self._remove(known)
            return
        if known is not None and not self._is_own(known):
            return
        await self.session.open()
        if not self.session.is_held():
            return
        if known is None:
            known = await self._create()
        if known is not None and self._is_own(known):
            self._set_held(known.created)

    async def release(self) -> None:
        """Leaves the duty to another node, while the lease goes on.

        It is never held again under its present fencing number.

        Raises:
            StoreError: If the key may be left; ``try_acquire`` goes on with it.
        """
        if not self.is_held():
            return
        self.released_token = self.fencing_token
        self._set_lost()
        known = self.mirror.entries.get(self.key)
        if known is not None and known.created == self.released_token:
            await self._remove(known)

    async def _remove(self, known: stores.Entry) -> None:
        """Removes the key of a duty that was given up, if it is still that."""
        condition = stores.Condition(self.key, known.revision)
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
                reason="ended before a duty was taken",
            )
            return None
        except stores.StoreError as e:
            if not e.may_have_run:
                raise
        # The write's own answer may be lost, and it may have met another
        # writer's key: what stands there decides.
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
    """Contends for a duty, and works at it at a steady pace while held.

    Args:
        duty_lock: The duty.
        work: One round of it; raises nothing but ``StoreError``.
        rank: This node's place among the candidates, 0 for the preferred one;
            the others wait, so that they do not all write at once.
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
        await duty_lock.clock.rest(pause_s)


async def _wait_for_turn(duty_lock: DutyLock, rank: Callable[[], int]) -> None:
    """Gives preferred candidates time to take a free duty first.

    Whoever takes another duty meanwhile is ranked anew.
    """
    began_at = duty_lock.clock.monotonic()
    while duty_lock.key not in duty_lock.mirror.entries:
        left_s = began_at + TURN_S * rank() - duty_lock.clock.monotonic()
        if left_s <= 0:
            return
        with trio.move_on_after(left_s):
            await duty_lock.mirror.changed.wait()
