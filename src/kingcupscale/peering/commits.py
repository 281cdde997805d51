"""Writing to the store through another node, for one that it turns away."""

from typing import Protocol

import cattrs
import cattrs.preconf.orjson
import orjson

from kingcupscale import errors
from kingcupscale import events
from kingcupscale.storage import store as stores
from kingcupscale.web import exchange
from kingcupscale.web import message

PATH = "/commit"
TIMEOUT_S = 1.5
CONNECT_S = 0.25
STATUS_NOT_DONE = 503
STATUS_UNKNOWN = 504

_converter = cattrs.preconf.orjson.make_converter()


class CommitClient(Protocol):
    """Has other nodes write to the store."""

    async def commit(
        self, address: str, transaction: stores.Transaction
    ) -> int | None:
        """Returns the new revision, or None if a condition did not hold.

        Raises:
            StoreError: As the store's own client does.
        """
        ...


class HttpCommitClient:
    """A ``CommitClient`` over HTTP.

    Args:
        exchanger: Carries the calls.
    """

    def __init__(self, exchanger: exchange.Exchanger) -> None:
        self.exchanger = exchanger

    async def commit(
        self, address: str, transaction: stores.Transaction
    ) -> int | None:
        """Returns the new revision, or None if a condition did not hold."""
        body = _converter.dumps(transaction)
        request = message.Request("POST", PATH, "", {"host": address}, body)
        request.connect_timeout_s = CONNECT_S
        try:
            response = await exchange.fetch(
                self.exchanger, address, request, TIMEOUT_S
            )
            if response.status == 200:
                return orjson.loads(response.body)["revision"]
        except exchange.ExchangeError as e:
            raise stores.StoreError(e.reason, e.request_left) from e
        except (ValueError, KeyError, TypeError) as e:
            raise stores.StoreError(f"unreadable answer: {e!r}", True) from e
        raise stores.StoreError(
            f"status {response.status} of {address}",
            response.status != STATUS_NOT_DONE,
        )


async def answer(
    store: stores.Store, request: message.Request
) -> message.Response:
    """Writes for another node.

    Args:
        store: The store as this node reaches it.
        request: The other node's request.
    """
    try:
        transaction = _converter.loads(request.body, stores.Transaction)
    except (ValueError, cattrs.BaseValidationError) as e:
        raise errors.ServiceError(
            errors.ResultCode.BODY_INVALID, repr(e)[:200]
        ) from None
    try:
        revision = await store.commit(transaction)
    except stores.LeaseEndedError:
        return message.Response(STATUS_NOT_DONE)
    except stores.StoreError as e:
        events.log(events.Event.STORE_FAILED, reason=e.reason, for_peer=True)
        status = STATUS_UNKNOWN if e.may_have_run else STATUS_NOT_DONE
        return message.Response(status)
    return message.json_response({"revision": revision})
