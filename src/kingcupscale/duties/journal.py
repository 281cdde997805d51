"""The order journal: what was about to be ordered, and what became of it."""

import datetime
import enum

import attrs

from kingcupscale import codec
from kingcupscale.duties import lease as leases
from kingcupscale.providers import keyvalue

PREFIX = "journal/"
SETTLED_KEPT = 64


class OrderState(enum.Enum):
    """How far an order has come."""

    INTENDED = "intended"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class JournalOrder:
    """One order.

    Attributes:
        order_id: The same at every sending.
        epoch: Epoch of the lease under which it was intended.
        kind: What kind of order.
        target: What it is for.
        detail: What else a later holder must know.
        at: When it was intended, in UTC.
        state: How far it has come.
        outcome: What the receiver answered.
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
    """What the store holds for one duty.

    Attributes:
        epoch: Of the last holder that wrote.
        token: Unique to the write.
        orders: Open orders and the last settled ones.
    """

    epoch: int
    token: str
    orders: list[JournalOrder]


class JournalError(Exception):
    """Another holder has written the journal."""


class Journal:
    """The journal of one duty, written only by the lease's holder.

    Every write is conditional on the version this holder saw, so a former
    holder that wakes up late cannot write, and thus cannot order.

    Args:
        store: The key-value service.
        lease: The duty's lease.
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
        """The key of the record."""
        return PREFIX + self.lease.name

    async def open(self) -> list[JournalOrder]:
        """Takes the journal over for the lease's present epoch.

        Returns:
            Orders that a former holder left open.

        Raises:
            PlatformError: If the store cannot be reached.
            JournalError: If another holder writes at the same time.
        """
        epoch = self.lease.epoch
        entry = await self.store.get(self.key)
        self.orders = {}
        self.version = entry.version if entry else keyvalue.ABSENT
        if entry is not None:
            record = codec.decode(JournalRecord, entry.value)
            if record.epoch > epoch:
                raise JournalError(f"epoch {record.epoch} is newer")
            self.orders = {o.order_id: o for o in record.orders}
        await self._write(epoch)
        self.epoch = epoch
        return self.pending()

    def pending(self) -> list[JournalOrder]:
        """Returns the orders whose outcome is not recorded."""
        orders = self.orders.values()
        return [o for o in orders if o.state is OrderState.INTENDED]

    async def record_intended(self, orders: list[JournalOrder]) -> None:
        """Records orders before any of them is sent."""
        self.orders.update({o.order_id: o for o in orders})
        await self._write(self.epoch)

    async def record_outcomes(self, orders: list[JournalOrder]) -> None:
        """Records outcomes."""
        self.orders.update({o.order_id: o for o in orders})
        self._drop_old()
        await self._write(self.epoch)

    def _drop_old(self) -> None:
        settled = [
            o.order_id
            for o in self.orders.values()
            if o.state is not OrderState.INTENDED
        ]
        for order_id in settled[:-SETTLED_KEPT]:
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
            raise JournalError("another holder has written the journal")
        self.version = answer.version


def new_order_id() -> str:
    """Returns an id for an order."""
    return keyvalue.new_token()
