"""Writes that go through another node when the store turns this one away."""

from collections.abc import Awaitable
from collections.abc import Callable

from kingcupscale import events
from kingcupscale.storage import store as stores

# Commits a transaction through another node; None if there is none to ask.
# Raises ``StoreError`` as the store does.
CommitThroughPeer = Callable[
    [stores.Transaction], Awaitable[tuple[int | None] | None]
]


class FallbackStore:
    """A store whose commits take a detour where the straight way fails.

    Only for transactions that hold when they are repeated: each has a
    condition that its own first execution ends.

    Args:
        store: The straight way.
        commit_through_peer: The detour.
    """

    def __init__(
        self, store: stores.Store, commit_through_peer: CommitThroughPeer
    ) -> None:
        self.store = store
        self.commit_through_peer = commit_through_peer

    async def scan(self, prefix: str, after: str = "") -> stores.Page:
        """Returns a page of the entries under a prefix, past a key."""
        return await self.store.scan(prefix, after)

    async def commit(self, transaction: stores.Transaction) -> int | None:
        """Returns the new revision, or None if a condition did not hold.

        Raises:
            StoreError: If neither way brought an answer.
        """
        try:
            return await self.store.commit(transaction)
        except stores.StoreError as e:
            may_have_run = e.may_have_run
            reason = e.reason
        try:
            answer = await self.commit_through_peer(transaction)
        except stores.StoreError as e:
            raise stores.StoreError(
                f"{reason}; through another node: {e.reason}",
                may_have_run or e.may_have_run,
            ) from e
        if answer is None:
            raise stores.StoreError(reason, may_have_run)
        events.log(
            events.Event.WRITTEN_THROUGH_PEER,
            keys=[put.key for put in transaction.puts][:4],
            reason=reason,
        )
        return answer[0]
