"""Commits through another node when this node cannot reach the store."""

from collections.abc import Awaitable
from collections.abc import Callable

from kingcupscale import events
from kingcupscale.storage import store as stores

# Commits a transaction through another node. Returns the result of the commit
# in a tuple, or None if there is no other node. Raises ``StoreError`` as the
# store does.
CommitThroughPeer = Callable[
    [stores.Transaction], Awaitable[tuple[int | None] | None]
]


class FallbackStore:
    """A store whose commits are retried through another node on failure.

    Only for transactions that are safe to repeat: each needs a condition that
    no longer holds once the transaction has been executed.

    Args:
        store: The store, reached directly.
        commit_through_peer: Commits through another node.
    """

    def __init__(
        self, store: stores.Store, commit_through_peer: CommitThroughPeer
    ) -> None:
        self.store = store
        self.commit_through_peer = commit_through_peer

    async def scan(self, prefix: str, after: str = "") -> stores.Page:
        """Returns a page of the entries under a prefix, after a key."""
        return await self.store.scan(prefix, after)

    async def commit(self, transaction: stores.Transaction) -> int | None:
        """Returns the new revision, or None if a condition did not hold.

        Raises:
            StoreError: If neither the store nor another node responded.
        """
        try:
            return await self.store.commit(transaction)
        except stores.StoreError as e:
            may_have_run = e.may_have_run
            reason = e.reason
        try:
            result = await self.commit_through_peer(transaction)
        except stores.StoreError as e:
            raise stores.StoreError(
                f"{reason}; through another node: {e.reason}",
                may_have_run or e.may_have_run,
            ) from e
        if result is None:
            raise stores.StoreError(reason, may_have_run)
        events.log(
            events.Event.WRITTEN_THROUGH_PEER,
            keys=[put.key for put in transaction.puts][:4],
            reason=reason,
        )
        return result[0]
