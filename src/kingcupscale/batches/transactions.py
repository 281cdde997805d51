"""Store transactions that accept and end a batch, and their commit.

A commit is retried after a failure, so that the caller learns whether the store
has the batch even if a response was lost.
"""

import attrs

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch
from kingcupscale.batches import record as records
from kingcupscale.storage import fallback
from kingcupscale.storage import store as stores

# Back-off before a failed commit is retried; it doubles up to the maximum.
RETRY_PAUSE_S = 0.15
MAX_RETRY_PAUSE_S = 0.6


def make_acceptance(
    new: batch.Batch, submitted_ms: int, part_bytes: int
) -> stores.Transaction:
    """Returns the transaction that stores a batch if it is not stored yet.

    Args:
        new: The batch.
        submitted_ms: Submission time in milliseconds since the Unix epoch.
        part_bytes: Maximum size of the items in one stored value.
    """
    parts = records.split(new.items, part_bytes)
    specification = records.Specification(
        submitted_ms, len(parts), attrs.evolve(new, items=parts[0])
    )
    values = [records.encode(specification)]
    values += [records.encode(records.Items(items)) for items in parts[1:]]
    keys = [
        records.batch_key(new.id, records.SPECIFICATION, str(number))
        for number in range(len(values))
    ]
    return stores.Transaction(
        [stores.Condition(keys[0], stores.ABSENT)],
        [stores.Put(k, v) for k, v in zip(keys, values, strict=True)],
    )


def make_end(
    record: records.Record, parts: int, value_bytes: int
) -> stores.Transaction:
    """Returns the transaction that ends a batch unless it has ended already.

    The transaction also removes the request bodies from the store. They may not
    be requested after the end, and a starting node, which reads all batches,
    then reads less.

    Args:
        record: The batch.
        parts: Number of stored values that the items are split over; 0 to leave
            the stored items unchanged. They are also left unchanged if they do
            not fit into the transaction.
        value_bytes: Maximum size of a stored value in bytes.
    """
    key = records.batch_key(record.batch.id, records.END)
    conditions = [stores.Condition(key, stores.ABSENT)]
    end = stores.Transaction(conditions, [stores.Put(key, b"1")])
    stripping = stores.Transaction(
        conditions, [*end.puts, *_make_stripped_parts(record, parts)]
    )
    return stripping if stripping.fits(value_bytes) else end


def _make_stripped_parts(
    record: records.Record, parts: int
) -> list[stores.Put]:
    """Returns the writes that remove the request bodies from a batch."""
    puts = []
    stripped = records.without_bodies(record.batch)
    for number in range(parts):
        value: object = records.Items([])
        if number == 0:
            value = records.Specification(record.submitted_ms, parts, stripped)
        part_key = records.batch_key(
            record.batch.id, records.SPECIFICATION, str(number)
        )
        puts.append(stores.Put(part_key, records.encode(value)))
    return puts


async def commit_with_retries(
    store: fallback.FallbackStore,
    clock: clocks.Clock,
    transaction: stores.Transaction,
    timeout_s: float,
    batch_id: str,
) -> int | None:
    """Commits a transaction, with retries until a time-out.

    Args:
        store: The store.
        clock: Clock for the time-out and the pauses.
        transaction: The transaction. Its condition must not hold any more once
            it has been executed: a retry after a lost response then cannot
            execute it twice.
        timeout_s: Seconds after which no retry is started.
        batch_id: Id of the batch, for the log.

    Returns:
        The revision of the commit; None if the condition did not hold at the
        commit that was answered.

    Raises:
        ServiceError: ``STORE_UNAVAILABLE`` if the transaction was certainly not
            executed, ``BATCH_UNDECIDED`` if it may have been.
    """
    deadline = clock.monotonic() + timeout_s
    may_have_run = False
    pause_s = RETRY_PAUSE_S
    while True:
        try:
            return await store.commit(transaction)
        except stores.StoreError as e:
            may_have_run = may_have_run or e.may_have_run
            events.log(
                events.Event.BATCH_WRITE_FAILED,
                batch=batch_id,
                reason=e.reason,
                may_have_run=e.may_have_run,
            )
        if clock.monotonic() + pause_s >= deadline:
            break
        await clock.sleep(pause_s)
        pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
    if may_have_run:
        raise errors.ServiceError(
            errors.ResultCode.BATCH_UNDECIDED, run=errors.Run.UNKNOWN
        )
    raise errors.ServiceError(
        errors.ResultCode.STORE_UNAVAILABLE, retry_after_s=pause_s
    )
