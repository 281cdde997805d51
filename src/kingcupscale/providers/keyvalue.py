"""The platform's key-value service: compare-and-swap, leases, watches."""

from typing import Protocol
from typing import TypeVar
import uuid

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message

T = TypeVar("T")

ABSENT = 0
PUT_ATTEMPTS = 3


@attrs.frozen
class Entry:
    """A stored value.

    Attributes:
        key: Its key.
        value: Its text, at most a megabyte.
        version: Store-wide number of the write that put it, 1 or more.
    """

    key: str
    value: str
    version: int


@attrs.frozen
class GetRequest:
    """Asks for the entries whose keys start with a prefix, or equal a key."""

    key: str
    prefix: bool = False
    after: str = ""


@attrs.frozen
class PutRequest:
    """Asks for a write, under a condition on the present version.

    Attributes:
        key: The key to write.
        value: The new text, or None to delete.
        if_version: The version that must be present; ``ABSENT`` for none.
        lease_s: Seconds after which the store removes the entry by itself.
    """

    key: str
    value: str | None
    if_version: int
    lease_s: float | None = None


@attrs.frozen
class WatchRequest:
    """Waits until the store's version of a prefix passes ``after``."""

    prefix: str
    after: int
    timeout_s: float


@attrs.frozen
class GetResponse:
    """Entries in key order, and the store's version they are as of."""

    entries: list[Entry]
    version: int


@attrs.frozen
class PutResponse:
    """Whether a write took place, and its version.

    Attributes:
        written: False when the condition did not hold.
        version: The new version, or the one that stood in the way.
    """

    written: bool
    version: int


class KeyValueStore(Protocol):
    """What the product asks of the key-value service."""

    async def get(self, key: str) -> Entry | None:
        """Returns one entry."""
        ...

    async def scan(self, prefix: str, after: str = "") -> GetResponse:
        """Returns the entries under a prefix with keys past ``after``."""
        ...

    async def put(
        self,
        key: str,
        value: str | None,
        if_version: int,
        lease_s: float | None = None,
    ) -> PutResponse:
        """Writes or deletes if the present version is the given one."""
        ...

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> GetResponse:
        """Returns the entries changed past a version, waiting for one."""
        ...


class HttpKeyValueStore(calls.PlatformClient):
    """The key-value service over HTTP."""

    async def get(self, key: str) -> Entry | None:
        """Returns one entry."""
        answer = await self._call("/kv/get", GetRequest(key), GetResponse)
        return answer.entries[0] if answer.entries else None

    async def scan(self, prefix: str, after: str = "") -> GetResponse:
        """Returns the entries under a prefix with keys past ``after``."""
        request = GetRequest(prefix, prefix=True, after=after)
        return await self._call("/kv/get", request, GetResponse)

    async def put(
        self,
        key: str,
        value: str | None,
        if_version: int,
        lease_s: float | None = None,
    ) -> PutResponse:
        """Writes or deletes if the present version is the given one."""
        request = PutRequest(key, value, if_version, lease_s)
        return await self._call("/kv/put", request, PutResponse)

    async def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> GetResponse:
        """Returns the entries changed past a version, waiting for one."""
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
    """Writes a value that is unique to this write, and learns its fate.

    A write whose answer was lost may even take effect later, so it is sent
    again under the same condition: then it has either been written or can
    never be, and reading back tells which.

    Args:
        store: The key-value service.
        key: The key to write.
        value: Text that no other writer ever writes; holds a ``new_token``.
        if_version: The version that must be present.
        lease_s: Seconds after which the store removes the entry by itself.

    Raises:
        calls.PlatformError: If the fate cannot be learned now.
    """
    may_have_run = False
    reason = ""
    for _ in range(PUT_ATTEMPTS):
        try:
            answer = await store.put(key, value, if_version, lease_s)
            return (
                answer
                if answer.written
                else await _read_back(store, key, value)
            )
        except calls.PlatformError as e:
            may_have_run = may_have_run or e.may_have_run
            reason = e.reason
    raise calls.PlatformError(reason, may_have_run)


async def _read_back(store: KeyValueStore, key: str, value: str) -> PutResponse:
    entry = await store.get(key)
    if entry is None:
        return PutResponse(False, ABSENT)
    return PutResponse(entry.value == value, entry.version)


def new_token() -> str:
    """Returns a token that no other writer uses."""
    return uuid.uuid4().hex
