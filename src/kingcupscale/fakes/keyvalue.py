"""A stand-in for the key-value service."""

import collections
from collections.abc import Iterator

import sortedcontainers
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale.providers import keyvalue
from kingcupscale.web import httprouter
from kingcupscale.web import message

VALUE_MAX_BYTES = 1024 * 1024


class FakeKeyValueStore:
    """Holds entries in memory and counts the calls.

    Attributes:
        calls: Calls by path, a waiting watch as one.
        writes: Every accepted write, as (time in seconds, key, value).
        down: While true, every call fails before it takes effect.
        slow_s: Seconds every call takes.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.entries: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.expiry: dict[str, float] = {}
        self.version = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.writes: list[tuple[float, str, str | None]] = []
        self.down = False
        self.slow_s = 0.0
        self.changed = trio.Event()
        self.routes = httprouter.HttpRouter()
        self.routes.add("POST", "/kv/get", self._get)
        self.routes.add("POST", "/kv/put", self._put)
        self.routes.add("POST", "/kv/watch", self._watch)

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers one call."""
        self.calls[request.path] += 1
        if self.slow_s:
            await self.clock.sleep(self.slow_s)
        if self.down:
            raise errors.ServiceError(errors.ResultCode.STORE_UNAVAILABLE)
        self._expire()
        return await self.routes(request)

    async def _get(self, request: message.Request) -> message.Response:
        query = request.parse(keyvalue.GetRequest)
        entry = self.entries.get(query.key)
        found = [entry] if entry and not query.prefix else []
        if query.prefix:
            found = list(self._under(query.key, query.after))
        return message.json_response(keyvalue.GetResponse(found, self.version))

    async def _put(self, request: message.Request) -> message.Response:
        put = request.parse(keyvalue.PutRequest)
        if put.value is not None and len(put.value) > VALUE_MAX_BYTES:
            raise errors.ServiceError(errors.ResultCode.BODY_TOO_LARGE)
        present = self.entries.get(put.key)
        version = present.version if present else keyvalue.ABSENT
        if version != put.if_version:
            answer = keyvalue.PutResponse(False, version)
            return message.json_response(answer)
        self._write(put)
        return message.json_response(keyvalue.PutResponse(True, self.version))

    def _write(self, put: keyvalue.PutRequest) -> None:
        self.version += 1
        self.writes.append((self.clock.monotonic(), put.key, put.value))
        self.expiry.pop(put.key, None)
        if put.value is None:
            self.entries.pop(put.key, None)
        else:
            entry = keyvalue.Entry(put.key, put.value, self.version)
            self.entries[put.key] = entry
        if put.lease_s is not None:
            self.expiry[put.key] = self.clock.monotonic() + put.lease_s
        self.changed.set()
        self.changed = trio.Event()

    async def _watch(self, request: message.Request) -> message.Response:
        watch = request.parse(keyvalue.WatchRequest)
        with trio.move_on_after(watch.timeout_s):
            while not self._changes(watch):
                await self.changed.wait()
        if self.down:
            raise errors.ServiceError(errors.ResultCode.STORE_UNAVAILABLE)
        answer = keyvalue.GetResponse(self._changes(watch), self.version)
        return message.json_response(answer)

    def _changes(self, watch: keyvalue.WatchRequest) -> list[keyvalue.Entry]:
        entries = self._under(watch.prefix, "")
        return [entry for entry in entries if entry.version > watch.after]

    def _under(self, prefix: str, after: str) -> Iterator[keyvalue.Entry]:
        for key in self.entries.irange(max(prefix, after)):
            if not key.startswith(prefix):
                return
            if key > after:
                yield self.entries[key]

    def _expire(self) -> None:
        now = self.clock.monotonic()
        for key in [key for key, at in self.expiry.items() if at <= now]:
            del self.expiry[key]
            self.entries.pop(key, None)
