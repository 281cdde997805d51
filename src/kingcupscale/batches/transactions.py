"""Writing batches so that it is known whether the store has them."""

import attrs

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch
from kingcupscale.batches import record as records
from kingcupscale.storage import fallback
from kingcupscale.storage import store as stores

# Pause between two tries of a write that the store did not take.
RETRY_S = 0.15
RETRY_MOST_S = 0.6


def make_acceptance(
    new: batch.Batch, now_ms: int, part_bytes: int
) -> stores.Transaction:
    """Returns the write that keeps a batch, on condition that it is new.

    Args:
        new: The batch.
        now_ms: When it came, in milliseconds since 1970.
        part_bytes: Largest value to write.
    """
    groups = records.split(new.items, part_bytes)
    head = records.Specification(
        now_ms, len(groups), attrs.evolve(new, items=groups[0])
    )
    values = [records.encode(head)]
    values += [records.encode(records.Items(items)) for items in groups[1:]]
    keys = [
        records.batch_key(new.id, records.SPECIFICATION, str(number))
        for number in range(len(values))
    ]
    return stores.Transaction(
        [stores.Condition(keys[0], stores.ABSENT)],
        [stores.Put(k, v) for k, v in zip(keys, values, strict=True)],
    )


def make_end(record: records.Record, parts: int) -> stores.Transaction:
    """Returns the write that ends a batch, unless it is ended already.

    The bodies go with it: nobody may ask for them any more, and a node that
    starts reads all batches.

    Args:
        record: The batch.
        parts: Values that its items are spread over; 0 to leave them.
    """
    key = records.batch_key(record.batch.id, records.END)
    puts = [stores.Put(key, b"1")]
    slim = records.without_bodies(record.batch)
    for number in range(parts):
        value: object = records.Items([])
        if number == 0:
            value = records.Specification(record.submitted_ms, parts, slim)
        name = records.batch_key(
            record.batch.id, records.SPECIFICATION, str(number)
        )
        puts.append(stores.Put(name, records.encode(value)))
    return stores.Transaction([stores.Condition(key, stores.ABSENT)], puts)


async def commit_with_retries(
    store: fallback.FallbackStore,
    clock: clocks.Clock,
    transaction: stores.Transaction,
    patience_s: float,
    batch_id: str,
) -> bool:
    """Commits; whether a lost answer took effect shows in a repetition.

    Args:
        store: Where to write.
        clock: Tells the time.
        transaction: With a condition that its own execution ends.
        patience_s: Seconds that the sender will wait.
        batch_id: The batch, for the log.

    Returns:
        Whether the condition held.

    Raises:
        ServiceError: ``STORE_UNAVAILABLE`` if it was surely not done,
            ``BATCH_UNDECIDED`` if that is not known.
    """
    until = clock.monotonic() + patience_s
    may_have_run = False
    pause_s = RETRY_S
    while True:
        try:
            revision = await store.commit(transaction)
            return revision is not None
        except stores.StoreError as e:
            may_have_run = may_have_run or e.may_have_run
            events.log(
                events.Event.BATCH_WRITE_FAILED,
                batch=batch_id,
                reason=e.reason,
                may_have_run=e.may_have_run,
            )
        if clock.monotonic() + pause_s >= until:
            break
        await clock.sleep(pause_s)
        pause_s = min(RETRY_MOST_S, 2 * pause_s)
    if may_have_run:
        raise errors.ServiceError(
            errors.ResultCode.BATCH_UNDECIDED, run=errors.Run.UNKNOWN
        )
    raise errors.ServiceError(
        errors.ResultCode.STORE_UNAVAILABLE, retry_after_s=pause_s
    )
