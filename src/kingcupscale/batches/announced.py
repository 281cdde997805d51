"""Batches in the cache that the mirror has not delivered yet.

A batch is added from a snapshot of the node that accepted it, only while this
node's mirror is older than the batch. The mirror then delivers every later
change of the batch: its results, its end and its removal. The revision of the
snapshot itself does not matter, since results that it contains are delivered
again and ignored.
"""

import attrs

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.batches import cache as caches
from kingcupscale.batches import record as records
from kingcupscale.storage import store as stores

CHECK_INTERVAL_S = 0.1
# A batch that the mirror has not delivered after this time is dropped, as its
# announcement may have been wrong.
MAX_UNDELIVERED_S = 5.0


@attrs.frozen
class Undelivered:
    """A batch that the mirror has not delivered yet.

    Attributes:
        revision: Revision of the store at which the batch was written.
        added_at: Monotonic time at which it was added to the cache.
        record: The record that was added. The cache may evict it while its
            samples run.
    """

    revision: int
    added_at: float
    record: records.Record


class AnnouncedBatches:
    """Adds announced batches to the cache until the mirror delivers them.

    Args:
        batch_cache: The cache.
        clock: The clock.
        max_age_s: Age in seconds up to which the mirror is recent enough to
            run samples of a batch. An older mirror may lack the batch's end,
            and unlike a batch that it has delivered, an announced one shows
            that other nodes do reach the store.

    Attributes:
        undelivered: Added batches that the mirror has not delivered, by id.
    """

    def __init__(
        self,
        batch_cache: caches.BatchCache,
        clock: clocks.Clock,
        max_age_s: float,
    ) -> None:
        self.batch_cache = batch_cache
        self.mirror = batch_cache.mirror
        self.clock = clock
        self.max_age_s = max_age_s
        self.undelivered: dict[str, Undelivered] = {}
        self.mirror.subscribe(records.PREFIX, self._on_entry)

    def is_expected(self, batch_id: str, revision: int) -> bool:
        """Returns whether the mirror has yet to deliver a batch.

        False for a batch that is known or may have been removed, and while
        changes of the batch may be missed or the mirror is too old.

        Args:
            batch_id: The batch.
            revision: Revision of the store at which the batch was written.
        """
        cache = self.batch_cache
        return (
            batch_id not in cache.records
            and batch_id not in cache.pending_loads
            and _key(batch_id) not in self.mirror.entries
            and not cache.may_have_results(batch_id)
            and self.mirror.revision < revision
            and self.mirror.age_s() <= self.max_age_s
        )

    def add(self, snapshot: records.RecordSnapshot, revision: int) -> bool:
        """Adds a batch to the cache, from the snapshot of another node.

        Returns:
            Whether it was added. It is not if the mirror is no longer expected
            to deliver it.
        """
        batch_id = snapshot.batch.id
        if not self.is_expected(batch_id, revision):
            return False
        record = records.from_snapshot(snapshot, records.Origin.ANNOUNCEMENT)
        self.undelivered[batch_id] = Undelivered(
            revision, self.clock.monotonic(), record
        )
        self.batch_cache.add_announced(record)
        return True

    async def run(self) -> None:
        """Drops batches that the mirror does not deliver, until cancelled."""
        while True:
            self.drop_undelivered()
            await self.clock.sleep_aligned(CHECK_INTERVAL_S)

    def drop_undelivered(self) -> None:
        """Drops the batches that must not run without the mirror's entry.

        If the mirror delivers such a batch after all, it is loaded like any
        other one.
        """
        now = self.clock.monotonic()
        is_old = self.mirror.age_s() > self.max_age_s
        for batch_id, added in list(self.undelivered.items()):
            is_missing = (
                not self.mirror.is_loading
                and self.mirror.revision >= added.revision
            )
            is_overdue = now - added.added_at > MAX_UNDELIVERED_S
            if is_old or is_missing or is_overdue:
                del self.undelivered[batch_id]
                added.record.is_removed = True
                if self.batch_cache.records.get(batch_id) is added.record:
                    self.batch_cache.remove(batch_id)
                events.log(
                    events.Event.ANNOUNCED_DROPPED,
                    batch=batch_id,
                    waited_s=round(now - added.added_at, 3),
                    view_age_s=round(self.mirror.age_s(), 3),
                    missing=is_missing,
                )

    def _on_entry(self, entry: stores.Entry) -> None:
        """Records that the mirror has delivered a batch."""
        if not self.undelivered:
            return
        batch_id = records.batch_id_of(entry.key) or ""
        if entry.key != _key(batch_id):
            return
        added = self.undelivered.pop(batch_id, None)
        if added is not None:
            lead_s = self.clock.monotonic() - added.added_at
            events.log(
                events.Event.ANNOUNCED_DELIVERED,
                batch=batch_id,
                lead_s=round(lead_s, 3),
            )


def _key(batch_id: str) -> str:
    """Returns the key of the first stored value of a batch."""
    return records.batch_key(batch_id, records.SPECIFICATION, "0")
