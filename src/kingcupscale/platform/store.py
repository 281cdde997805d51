"""HTTP client for the platform's metadata store."""

import base64
import collections
from typing import Any
import urllib.parse

import orjson

from kingcupscale.storage import store as stores
from kingcupscale.web import httpclient
from kingcupscale.web import message

# The store is specified to answer in 4 ms, or in 60 times that when it is slow.
# A call that takes longer is abandoned, and a later read shows its outcome.
CALL_TIMEOUT_S = 0.8
# No key has this prefix: a scan of it returns nothing but the revision.
UNUSED_PREFIX = "kingcupscale/unused/"


class PlatformStore:
    """A ``Store`` over HTTP.

    Args:
        http_client: The HTTP client.
        address: ``host:port`` of the store.

    Attributes:
        calls: Number of calls, by the first segment of their path.
    """

    def __init__(
        self, http_client: httpclient.HttpClient, address: str
    ) -> None:
        self.http_client = http_client
        self.address = address
        self.calls: collections.Counter[str] = collections.Counter()

    async def get(self, key: str) -> stores.Entry | None:
        """Returns the entry of a key, or None if it does not exist."""
        status, body = await self._call("GET", "/kv-key", {"key": key})
        if status == 404:
            return None
        return _decode_entry(_expect_ok(status, body))

    async def scan(self, prefix: str, after: str = "") -> stores.Page:
        """Returns a page of the entries under a prefix, after a key."""
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        status, body = await self._call("GET", "/kv-range", query)
        fields = _expect_ok(status, body)
        entries = _decode_entries(fields, "items")
        has_more = bool(fields.get("hasMore"))
        return stores.Page(entries, _number(fields, "asOf"), has_more)

    async def read_revision(self) -> int:
        """Returns the store's revision."""
        return (await self.scan(UNUSED_PREFIX)).revision

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> stores.Page:
        """Long-polls for the changes after a revision."""
        query = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        status, body = await self._call("GET", "/kv-watch", query, None, wait_s)
        if status == 410:
            raise stores.HistoryLostError
        fields = _expect_ok(status, body)
        entries = _decode_entries(fields, "events")
        return stores.Page(entries, _number(fields, "asOf"))

    async def commit(self, transaction: stores.Transaction) -> int | None:
        """Commits a transaction.

        Returns:
            The new revision, or None if a condition did not hold.
        """
        status, body = await self._call(
            "POST", "/kv-txn", {}, _encode_transaction(transaction)
        )
        if status == 412:
            return None
        if status == 404:
            raise stores.LeaseEndedError
        return _number(_expect_ok(status, body), "revision")

    async def grant(self, ttl_s: float) -> int:
        """Grants a lease and returns its number."""
        request = {"ttlMs": int(ttl_s * 1000)}
        status, body = await self._call("POST", "/kv-lease", {}, request)
        return _number(_expect_ok(status, body), "lease")

    async def renew(self, lease: int) -> None:
        """Renews a lease."""
        status, body = await self._call("POST", f"/kv-keep/{lease}", {})
        if status == 404:
            raise stores.LeaseEndedError
        _expect_ok(status, body)

    async def revoke(self, lease: int) -> None:
        """Revokes a lease, which removes its keys."""
        status, body = await self._call("DELETE", f"/kv-lease-end/{lease}", {})
        if status == 404:
            raise stores.LeaseEndedError
        _expect_ok(status, body)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any = None,
        wait_s: float = 0.0,
    ) -> tuple[int, dict[str, Any]]:
        self.calls[path.split("/")[1]] += 1
        request = message.Request(
            method,
            path,
            urllib.parse.urlencode(query, safe="/"),
            {"host": self.address},
        )
        if body is not None:
            request.headers["content-type"] = "application/json"
            request.body = orjson.dumps(body)
        try:
            response = await httpclient.fetch(
                self.http_client, self.address, request, CALL_TIMEOUT_S + wait_s
            )
            fields = orjson.loads(response.body) if response.body else {}
        except httpclient.RequestError as e:
            raise stores.StoreError(e.reason, e.may_have_been_sent) from e
        except ValueError as e:
            raise stores.StoreError(f"unreadable answer: {e}", True) from e
        return response.status, fields if isinstance(fields, dict) else {}


def _expect_ok(status: int, fields: dict[str, Any]) -> dict[str, Any]:
    if status == 200:
        return fields
    # Nothing was executed after a status below 500, such as 429, or after 503.
    # After any other status the outcome is unknown.
    raise stores.StoreError(f"status {status}", 500 <= status != 503)


def _number(fields: dict[str, Any], name: str) -> int:
    """Returns a numeric field of an answer.

    Raises:
        StoreError: If it is missing; the call's outcome is then unknown.
    """
    value = fields.get(name)
    if not isinstance(value, int):
        raise stores.StoreError(f"unreadable {name}: {value!r}"[:200], True)
    return value


def _decode_entries(fields: dict[str, Any], name: str) -> list[stores.Entry]:
    items = fields.get(name, [])
    if not isinstance(items, list):
        raise stores.StoreError(f"unreadable {name}: {items!r}"[:200], True)
    return [_decode_entry(item) for item in items]


def _decode_entry(item: dict[str, Any]) -> stores.Entry:
    try:
        value = None
        if not item.get("deleted"):
            value = base64.b64decode(item["value"])
        return stores.Entry(
            item["key"],
            value,
            int(item["revision"]),
            int(item.get("created", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise stores.StoreError(f"unreadable entry: {e!r}", True) from e


def _encode_transaction(transaction: stores.Transaction) -> dict[str, Any]:
    return {
        "expectedRev": [
            {"key": condition.key, "revision": condition.revision}
            for condition in transaction.conditions
        ],
        "puts": [
            {
                "key": put.key,
                "value": base64.b64encode(put.value).decode(),
                # 0 means no lease in the store's protocol too.
                "lease": put.lease,
            }
            for put in transaction.puts
        ],
        "remove": list(transaction.removals),
    }
