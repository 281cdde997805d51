"""Client of the platform's key-value store.

The store offers compare-and-swap writes, entries with a lease, and watches by
long poll.
"""

from typing import Protocol
from typing import TypeVar
import uuid

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message

T = TypeVar("T")

# Version of a key without an entry.
ABSENT = 0
PUT_ATTEMPTS = 3


@attrs.frozen
class Entry:
    """A stored value.

    Attributes:
        key: The key.
        value: The text, at most a megabyte.
        version: Number of the write among all writes to the store, 1 or more.
    """

    key: str
    value: str
    version: int


@attrs.frozen
class GetRequest:
    """Requests one entry, or the entries under a prefix.

    Attributes:
        key: The key, or the prefix.
        prefix: Whether ``key`` is a prefix.
        after: For a prefix, return only keys that sort after this one.
    """

    key: str
    prefix: bool = False
    after: str = ""


@attrs.frozen
class PutRequest:
    """Requests a compare-and-swap write.

    Attributes:
        key: The key to write.
        value: The new text, or None to delete.
        if_version: The expected version; ``ABSENT`` if there must be no entry.
        lease_s: Seconds after which the store removes the entry, if any.
    """

    key: str
    value: str | None
    if_version: int
    lease_s: float | None = None


@attrs.frozen
class WatchRequest:
    """Requests the changes under a prefix since a version, by long poll.

    Attributes:
        prefix: The prefix.
        after: Only entries of a higher version are returned.
        timeout_s: Seconds to wait for a change if there is none yet.
    """

    prefix: str
    after: int
    timeout_s: float


@attrs.frozen
class GetResponse:
    """Entries in key order, and the store's version at which they were read."""

    entries: list[Entry]
    version: int


@attrs.frozen
class PutResponse:
    """The response to a write.

    Attributes:
        written: Whether the key had the expected version.
        version: The new version, or the present one if nothing was written.
    """

    written: bool
    version: int


class KeyValueStore(Protocol):
    """A key-value store with compare-and-swap writes and watches."""

    async def get(self, key: str) -> Entry | None:
        """Returns the entry of a key, or None."""
        ...

    async def scan(self, prefix: str, after: str = "") -> GetResponse:
        """Returns the entries under a prefix with keys after ``after``."""
        ...

    async def put(
        self,
        key: str,
        value: str | None,
        if_version: int,
        lease_s: float | None = None,
    ) -> PutResponse:
        """Writes or deletes an entry if its version is the expected one."""
        ...

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> GetResponse:
        """Returns the entries changed since a version; waits for a change."""
        ...


class HttpKeyValueStore(calls.PlatformClient):
    """The HTTP client of the key-value store."""

    async def get(self, key: str) -> Entry | None:
        """Returns the entry of a key, or None."""
        response = await self._call("/kv/get", GetRequest(key), GetResponse)
        return response.entries[0] if response.entries else None

    async def scan(self, prefix: str, after: str = "") -> GetResponse:
        """Returns the entries under a prefix with keys after ``after``."""
        request = GetRequest(prefix, prefix=True, after=after)
        return await self._call("/kv/get", request, GetResponse)

    async def put(
        self,
        key: str,
        value: str | None,
        if_version: int,
        lease_s: float | None = None,
    ) -> PutResponse:
        """Writes or deletes an entry if its version is the expected one."""
        request = PutRequest(key, value, if_version, lease_s)
        return await self._call("/kv/put", request, PutResponse)

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> GetResponse:
        """Returns the entries changed since a version; waits for a change."""
        request = WatchRequest(prefix, after, timeout_s)
        return await self._call("/kv/watch", request, GetResponse, timeout_s)

    async def _call(
        self, path: str, request: object, kind: type[T], wait_s: float = 0
    ) -> T:
        return await self.call(
            message.json_request(path, request), kind, wait_s
        )


async def put_resolved(
    store: KeyValueStore,
    key: str,
    value: str,
    if_version: int,
    lease_s: float | None = None,
) -> PutResponse:
    """Writes a value that is unique to this write, and finds its outcome.

    A write whose response was lost may still take effect later. So it is
    repeated with the same expected version: once the store has responded, the
    first write has either taken effect or can no longer do so, and reading the
    key shows which.

    Args:
        store: The key-value store.
        key: The key to write.
        value: Text that no other writer writes; contains a ``new_token``.
        if_version: The expected version.
        lease_s: Seconds after which the store removes the entry, if any.

    Raises:
        calls.PlatformError: If every attempt fails; with ``may_have_run`` the
            outcome is unknown.
    """
    may_have_run = False
    reason = ""
    for _ in range(PUT_ATTEMPTS):
        try:
            response = await store.put(key, value, if_version, lease_s)
            return (
                response
                if response.written
                else await _check_written(store, key, value)
            )
        except calls.PlatformError as e:
            may_have_run = may_have_run or e.may_have_run
            reason = e.reason
    raise calls.PlatformError(reason, may_have_run)


async def _check_written(
    store: KeyValueStore, key: str, value: str
) -> PutResponse:
    entry = await store.get(key)
    if entry is None:
        return PutResponse(False, ABSENT)
    return PutResponse(entry.value == value, entry.version)


def new_token() -> str:
    """Returns a unique token."""
    return uuid.uuid4().hex
