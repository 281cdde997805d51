"""Commits to the store through another node.

Used by a node that cannot reach the store itself.
"""

from typing import Protocol

import attrs

from kingcupscale import events
from kingcupscale.peering import calls
from kingcupscale.storage import store as stores
from kingcupscale.web import httpclient
from kingcupscale.web import message

PATH = "/commit"
TIMEOUT_S = 1.5
STATUS_NOT_COMMITTED = 503
STATUS_OUTCOME_UNKNOWN = 504


@attrs.frozen
class Committed:
    """Response to a transaction.

    Attributes:
        revision: New revision of the store; None if a condition did not hold.
    """

    revision: int | None


class CommitClient(Protocol):
    """Commits transactions through other nodes."""

    async def commit(
        self, address: str, transaction: stores.Transaction
    ) -> int | None:
        """Returns the new revision, or None if a condition did not hold.

        Raises:
            StoreError: As by ``Store.commit``.
        """
        ...


class HttpCommitClient:
    """A ``CommitClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def commit(
        self, address: str, transaction: stores.Transaction
    ) -> int | None:
        """Returns the new revision, or None if a condition did not hold."""
        try:
            body = await calls.post(
                self.http_client, address, PATH, transaction, TIMEOUT_S
            )
            return calls.decode_response(body, Committed).revision
        except calls.PeerError as e:
            may_have_run = (
                e.may_have_been_sent and e.status != STATUS_NOT_COMMITTED
            )
            raise stores.StoreError(e.reason, may_have_run) from e


async def handle(
    store: stores.Store, request: message.Request
) -> message.Response:
    """Handles a request to commit a transaction for another node.

    Args:
        store: The shared store.
        request: Request of the other node.
    """
    transaction = calls.decode(request.body, stores.Transaction)
    try:
        revision = await store.commit(transaction)
    except stores.LeaseEndedError:
        return message.Response(STATUS_NOT_COMMITTED)
    except stores.StoreError as e:
        events.log(events.Event.STORE_FAILED, reason=e.reason, for_peer=True)
        status = (
            STATUS_OUTCOME_UNKNOWN if e.may_have_run else STATUS_NOT_COMMITTED
        )
        return message.Response(status)
    return message.Response(
        200,
        {"content-type": "application/json"},
        calls.encode(Committed(revision)),
    )
