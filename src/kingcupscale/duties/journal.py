"""The order journal: a write-ahead log of the orders of a duty.

Orders are recorded before they are sent, and their outcomes afterwards, so that
a later holder of the duty can complete orders that were left pending.
"""

import datetime
import enum

import attrs

from kingcupscale import codec
from kingcupscale.duties import lease as leases
from kingcupscale.providers import keyvalue

PREFIX = "journal/"
# Number of orders with an outcome that a journal keeps; it keeps all pending
# orders.
MAX_SETTLED_ORDERS = 64


class OrderState(enum.Enum):
    """The state of an order."""

    INTENDED = "intended"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class JournalOrder:
    """One order.

    Attributes:
        order_id: Id of the order, which stays the same when it is resent.
        epoch: Epoch of the lease under which it was recorded last.
        kind: Kind of the order.
        target: What the order applies to.
        detail: The encoded order, from which a later holder can resend it.
        at: When the order was created, in UTC.
        state: The state of the order.
        outcome: The receiver's answer, or the error of the last attempt.
    """

    order_id: str
    epoch: int
    kind: str
    target: str
    detail: str
    at: datetime.datetime
    state: OrderState = OrderState.INTENDED
    outcome: str = ""


@attrs.frozen
class JournalRecord:
    """The stored journal of one duty.

    Attributes:
        epoch: Epoch of the last holder that wrote.
        token: A value unique to this write.
        orders: Pending orders, and the most recent ones with an outcome.
    """

    epoch: int
    token: str
    orders: list[JournalOrder]


class JournalError(Exception):
    """A journal or ledger has been written by another holder."""


class Journal:
    """The journal of one duty, written only by the lease's holder.

    Every write is conditional on the version that this holder read or wrote
    last. A former holder that was paused therefore cannot write, and as orders
    are recorded before they are sent, it cannot send any.

    Args:
        store: The key-value service.
        lease: The duty's lease.

    Attributes:
        epoch: Epoch under which the journal was opened; 0 once a write has
            found that another holder wrote it.
        version: Version of the stored journal that the next write requires.
        orders: Recorded orders by id.
    """

    def __init__(
        self, store: keyvalue.KeyValueStore, lease: leases.Lease
    ) -> None:
        self.store = store
        self.lease = lease
        self.epoch = 0
        self.version = keyvalue.ABSENT
        self.orders: dict[str, JournalOrder] = {}

    @property
    def key(self) -> str:
        """The key of this journal in the store."""
        return PREFIX + self.lease.name

    async def open(self) -> list[JournalOrder]:
        """Loads the journal and takes it over for the lease's current epoch.

        Returns:
            Pending orders of former holders.

        Raises:
            PlatformError: If the store cannot be reached.
            JournalError: If a newer holder has written the journal, or another
                holder writes it at the same time.
        """
        epoch = self.lease.epoch
        entry = await self.store.get(self.key)
        self.orders = {}
        self.version = entry.version if entry else keyvalue.ABSENT
        if entry is not None:
            record = codec.decode(JournalRecord, entry.value)
            if record.epoch > epoch:
                raise JournalError(f"journal has newer epoch {record.epoch}")
            self.orders = {o.order_id: o for o in record.orders}
        await self._write(epoch)
        self.epoch = epoch
        return self.pending()

    def pending(self) -> list[JournalOrder]:
        """Returns the orders without a recorded outcome."""
        orders = self.orders.values()
        return [o for o in orders if o.state is OrderState.INTENDED]

    async def record_intended(self, orders: list[JournalOrder]) -> None:
        """Records orders; must complete before any of them is sent."""
        self.orders.update({o.order_id: o for o in orders})
        await self._write(self.epoch)

    async def record_outcomes(self, orders: list[JournalOrder]) -> None:
        """Records the outcomes of orders, and removes old orders."""
        self.orders.update({o.order_id: o for o in orders})
        self._drop_old()
        await self._write(self.epoch)

    def _drop_old(self) -> None:
        settled = [
            o.order_id
            for o in self.orders.values()
            if o.state is not OrderState.INTENDED
        ]
        for order_id in settled[:-MAX_SETTLED_ORDERS]:
            del self.orders[order_id]

    async def _write(self, epoch: int) -> None:
        record = JournalRecord(
            epoch, keyvalue.new_token(), list(self.orders.values())
        )
        text = codec.encode(record).decode()
        answer = await keyvalue.put_resolved(
            self.store, self.key, text, self.version
        )
        if not answer.written:
            self.epoch = 0
            raise JournalError("journal was written by another holder")
        self.version = answer.version


def new_order_id() -> str:
    """Returns a new unique order id."""
    return keyvalue.new_token()
