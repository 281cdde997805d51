"""An in-memory fake of the platform's metadata store."""

import base64
import collections
import urllib.parse

import orjson
import trio

from kingcupscale.web import message


def json_response(value, status=200):
    return message.Response(
        status, {"content-type": "application/json"}, orjson.dumps(value)
    )


# Most entries of a transaction, and most bytes of a value.
MAX_ENTRIES = 32
MAX_VALUE_BYTES = 1 << 20
# A response to a watch ends with the change that exceeds this total size.
WATCH_PAGE_BYTES = 1 << 20
# Time without responses to watches before the history is compacted.
MUTE_S = 1.0


class Store:
    """The HTTP handler of the fake metadata store.

    Attributes:
        history_from: Revision up to which the history is compacted.
        watch_page_bytes: Size of the values that ends a response to a watch.
        is_muted: Whether watches return no changes.
        latency_s: Delay before each call is handled.
        link_bytes_per_s: Bandwidth shared by all responses; 0 for unlimited.
        is_down: Whether all calls are answered with 503.
        drops_commit_responses: Whether transactions run but get no response.
        calls: Number of calls, by the first segment of their path.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.history_from = 0
        self.watch_page_bytes = WATCH_PAGE_BYTES
        self.is_muted = False
        self.revision = 10
        self.leases = {}
        self.latency_s = 0.004
        self.link_bytes_per_s = 0.0
        self.link_free_at = 0.0
        self.is_down = False
        self.drops_commit_responses = False
        self.changed = trio.Event()
        self.calls = collections.Counter()
        self.lease_number = 0

    async def __call__(self, request):
        await trio.sleep(self.latency_s)
        name = request.path.split("/")[1]
        self.calls[name] += 1
        if self.is_down:
            return message.Response(503)
        self.expire()
        query = dict(urllib.parse.parse_qsl(request.query))
        handler = getattr(self, "on_" + name.replace("-", "_"))
        response = await handler(request, query)
        if self.drops_commit_responses and name == "kv-txn":
            await trio.sleep_forever()
        await self.send(len(response.body))
        return response

    async def send(self, size):
        """Waits until a response has been sent over the shared link."""
        if self.link_bytes_per_s:
            begin = max(trio.current_time(), self.link_free_at)
            self.link_free_at = begin + size / self.link_bytes_per_s
            await trio.sleep_until(self.link_free_at)

    def expire(self):
        now = trio.current_time()
        for lease, (ends_at, _) in list(self.leases.items()):
            if now >= ends_at:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.record_event(self.items[key])

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.record_event(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def record_event(self, event):
        self.history.append(event)
        self.notify()

    def notify(self):
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def compact(self):
        self.history.clear()
        self.history_from = self.revision

    async def compact_after_silence(self):
        """Sends no changes for a while, then compacts the history."""
        self.is_muted = True
        await trio.sleep(MUTE_S)
        self.is_muted = False
        self.compact()
        self.notify()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def on_kv_key(self, request, query):
        item = self.items.get(query["key"])
        if item is None:
            return json_response({"asOf": self.revision}, 404)
        return json_response({**item, "asOf": self.revision})

    async def on_kv_range(self, request, query):
        prefix = query.get("pathPrefix", "")
        after = query.get("after", "")
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return json_response(
            {
                "items": found[:20],
                "hasMore": len(found) > 20,
                "asOf": self.revision,
            }
        )

    async def on_kv_watch(self, request, query):
        after = int(query["after"])
        if after < self.history_from:
            return message.Response(410)
        prefix = query.get("pathPrefix", "")
        found = []
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while not (found := self.changes_after(after, prefix)):
                await self.changed.wait()
        if self.is_down:
            return message.Response(503)
        if after < self.history_from:
            return message.Response(410)
        as_of = found[-1]["revision"] if found else after
        return json_response({"events": found, "asOf": as_of})

    def changes_after(self, after, prefix):
        """Returns the first changes after a revision, up to the page size."""
        if self.is_muted:
            return []
        page, size = [], 0
        for event in self.history:
            is_wanted = event["key"].startswith(prefix)
            if event["revision"] > after and is_wanted:
                page.append(event)
                size += len(event.get("value", ""))
            if size > self.watch_page_bytes:
                break
        return page

    async def on_kv_txn(self, request, query):
        body = orjson.loads(request.body)
        entries = (body["expectedRev"], body["puts"], body["remove"])
        if sum(map(len, entries)) > MAX_ENTRIES:
            return message.Response(400)
        values = [base64.b64decode(put["value"]) for put in body["puts"]]
        if any(len(value) > MAX_VALUE_BYTES for value in values):
            return message.Response(400)
        for condition in body["expectedRev"]:
            revision = self.items.get(condition["key"], {}).get("revision", 0)
            if revision != condition["revision"]:
                return json_response({"items": []}, 412)
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return message.Response(404)
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return json_response({"revision": self.revision})

    async def on_kv_lease(self, request, query):
        ttl_ms = orjson.loads(request.body)["ttlMs"]
        self.lease_number += 1
        ends_at = trio.current_time() + ttl_ms / 1000
        self.leases[self.lease_number] = (ends_at, ttl_ms)
        return json_response({"lease": self.lease_number, "ttlMs": ttl_ms})

    async def on_kv_keep(self, request, query):
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return message.Response(404)
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (trio.current_time() + ttl_ms / 1000, ttl_ms)
        return json_response({"ttlMs": ttl_ms})

    async def on_kv_lease_end(self, request, query):
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return message.Response(404)
        self.end_lease(lease)
        return json_response({})
