"""In-memory nodes with mirrors and batch caches that share one store."""

import contextlib
import random

import trio

from kingcupscale.batches import announced
from kingcupscale.batches import batch
from kingcupscale.batches import cache as caches
from kingcupscale.batches import maintenance
from kingcupscale.batches import record as records
from kingcupscale.fakes import virtualtime
from kingcupscale.peering import calls
from kingcupscale.peering import relay
from kingcupscale.storage import fallback
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from tests.storage import test_relay

MODELS = ("alpha", "beta")
ITEMS = 30
# Most entries of a transaction.
MAX_ENTRIES = 32
MAX_VIEW_AGE_S = 2.25
# Most changes of other keys in a burst.
BURST_CHANGES = 60
# Once a position or a batch has been read for this long, every node has it.
SETTLE_S = 1.0
# Time without responses to watches before the store loses its history.
MUTE_S = 1.0


class FakeStore:
    """In-memory store whose responses have random latency.

    A response to a watch contains only the first changes.

    Attributes:
        scans: Number of calls of ``scan``.
        lost_at: Watches from before this revision fail for lost history.
        page_entries: Most changes in the response to a watch.
        is_muted: Whether watches return no changes.
    """

    def __init__(self, rng):
        self.rng = rng
        self.entries = {}
        self.history = []
        self.revision = 1
        self.changed = trio.Event()
        self.scans = 0
        self.lost_at = 0
        self.page_entries = 3
        self.is_muted = False

    async def simulate_latency(self):
        await trio.sleep(self.rng.choice([0.001, 0.01, 0.1, 0.3]))

    async def get(self, key):
        await self.simulate_latency()
        return self.entries.get(key)

    async def scan(self, prefix, after=""):
        self.scans += 1
        await self.simulate_latency()
        keys = [k for k in sorted(self.entries) if k.startswith(prefix)]
        keys = [key for key in keys if key > after]
        page = [self.entries[key] for key in keys[:3]]
        result = stores.Page(page, self.revision, len(keys) > 3)
        await self.simulate_latency()
        return result

    async def read_revision(self):
        await self.simulate_latency()
        revision = self.revision
        await self.simulate_latency()
        return revision

    async def watch(self, prefix, after, wait_s):
        await self.simulate_latency()
        with trio.move_on_after(wait_s):
            while self.is_muted or self.revision <= after:
                await self.changed.wait()
        if after < self.lost_at:
            raise stores.HistoryLostError
        result = stores.Page([], after)
        if not self.is_muted:
            result = self._changes_after(after)
        await self.simulate_latency()
        return result

    def _changes_after(self, after):
        """Returns the first changes; those of a transaction stay together."""
        found = [e for e in self.history if e.revision > after]
        if not found:
            return stores.Page([], after)
        last = found[: self.page_entries][-1].revision
        return stores.Page([e for e in found if e.revision <= last], last)

    async def lose_history(self):
        """Sends no changes for a while, then discards the history."""
        self.is_muted = True
        await trio.sleep(MUTE_S)
        self.is_muted = False
        self.lost_at = self.revision
        self._notify()

    def change(self, key):
        """Changes the value of a key."""
        self.revision += 1
        entry = stores.Entry(key, b"v", self.revision, self.revision)
        self.entries[key] = entry
        self.history.append(entry)
        self._notify()

    def _notify(self):
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def write_without_history(self, key, value):
        """Writes a key and discards the history of changes."""
        self.revision += 1
        self.lost_at = self.revision
        self.entries[key] = stores.Entry(
            key, value, self.revision, self.revision
        )
        self._notify()

    async def commit(self, transaction):
        await self.simulate_latency()
        entries = [
            *transaction.conditions,
            *transaction.puts,
            *transaction.removals,
        ]
        if len(entries) > MAX_ENTRIES:
            raise stores.StoreError("status 400", False)
        for condition in transaction.conditions:
            if condition.key in self.entries:
                return None
        self.revision += 1
        for put in transaction.puts:
            known = self.entries.get(put.key)
            created = known.created if known else self.revision
            entry = stores.Entry(put.key, put.value, self.revision, created)
            self.entries[put.key] = entry
            self.history.append(entry)
        for key in transaction.removals:
            del self.entries[key]
            self.history.append(stores.Entry(key, None, self.revision))
        self._notify()
        revision = self.revision
        await self.simulate_latency()
        return revision


class SlowWatch:
    """A store as seen by a node whose watch does not deliver all changes.

    Its responses arrive slowly and contain one change each ("behind"), or
    contain none ("muted").
    """

    def __init__(self, store, fault):
        self.store = store
        self.fault = fault

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def watch(self, prefix, after, wait_s):
        if self.fault == "muted":
            await trio.sleep(wait_s)
            return stores.Page([], after)
        await trio.sleep(0.05)
        page = await self.store.watch(prefix, after, wait_s)
        first = page.entries[:1]
        return stores.Page(first, first[0].revision if first else after)


class SlowHandlerClient(test_relay.HandlerHttpClient):
    """Calls a handler with random latency."""

    def __init__(self, handler, rng):
        super().__init__(handler)
        self.rng = rng

    @relay.httpclient.contextlib.asynccontextmanager
    async def _open(self, request):
        await trio.sleep(self.rng.choice([0.001, 0.01, 0.1]))
        response = await self.handler(request)
        await trio.sleep(self.rng.choice([0.001, 0.01, 0.1]))
        yield response


class Node:
    """A node with a mirror and a batch cache.

    Leaders watch the store, other nodes follow a leader.
    """

    def __init__(self, fleet, name, is_leader):
        self.fleet = fleet
        self.is_leader = is_leader
        clock = self.clock = virtualtime.VirtualClock()
        self.mirror = mirrors.StoreMirror(
            fleet.store, clock, name, self._pause_s, self._follow
        )
        self.batch_cache = caches.BatchCache(
            self.mirror,
            fallback.FallbackStore(fleet.store, self._commit_through_peer),
            clock,
            1 << 16,
            self._fetch_snapshot,
        )
        self.announced = announced.AnnouncedBatches(
            self.batch_cache, clock, MAX_VIEW_AGE_S
        )
        self.handler = relay.RelayHandler(self.mirror, self.batch_cache)
        self.scope = trio.CancelScope()

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.mirror.run)
                nursery.start_soon(self.announced.run)
                nursery.start_soon(
                    maintenance.CacheMaintainer(
                        self.batch_cache, self.clock
                    ).run
                )

    def _pause_s(self):
        return self.fleet.rng.choice([0.0, 0.05, 0.3])

    async def _commit_through_peer(self, transaction):
        return None

    def _client(self):
        others = [n for n in self.fleet.leaders() if n is not self]
        target = self.fleet.rng.choice(others)
        return relay.HttpRelayClient(
            SlowHandlerClient(target.handler, self.fleet.rng)
        )

    async def _follow(self, position):
        if self.is_leader:
            return None
        try:
            return await self._client().follow(
                "n", position, self.batch_cache.interest
            )
        except relay.RelayError:
            return None

    async def _fetch_snapshot(self, batch_id):
        if self.fleet.leaders() == [self]:
            return None
        try:
            return await self._client().fetch_batch("n", batch_id)
        except calls.PeerError:
            return None


class Fleet:
    """Nodes that share one store, with writers, readers and faults."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = FakeStore(self.rng)
        self.nodes = [Node(self, f"n{i}", i < 2) for i in range(6)]
        self.reads = {}
        self.lost = []

    def leaders(self):
        return [node for node in self.nodes if node.is_leader]

    async def change_roles(self):
        while True:
            await trio.sleep(self.rng.uniform(0.5, 2.0))
            chosen = self.rng.sample(self.nodes, 2)
            for node in self.nodes:
                node.is_leader = node in chosen
                self.set_interest(node)

    async def inject_faults(self, nursery, scope):
        """Restarts nodes and discards the store's history at random."""
        with scope:
            while True:
                await trio.sleep(self.rng.uniform(0.2, 1.0))
                draw = self.rng.random()
                if draw < 0.1:
                    await self.store.lose_history()
                elif draw < 0.2:
                    self.store.lost_at = self.store.revision
                else:
                    self._restart(nursery, self.rng.randrange(len(self.nodes)))

    def _restart(self, nursery, index):
        old = self.nodes[index]
        old.scope.cancel()
        new = self.nodes[index] = Node(self, old.mirror.node, old.is_leader)
        self.set_interest(new)
        nursery.start_soon(new.run)

    async def write_bursts(self, scope):
        """Makes many changes at once, so that watches fall behind."""
        with scope:
            while True:
                await trio.sleep(self.rng.uniform(0.5, 2.0))
                for _ in range(self.rng.randrange(BURST_CHANGES)):
                    self.store.change("unrelated")

    def set_interest(self, node):
        models = frozenset(m for m in MODELS if self.rng.random() < 0.3)
        node.batch_cache.set_interest(node.is_leader, models)

    async def write(self, batch_id, is_ended=False):
        """Submits a batch to one node and appends its results at others."""
        items = await self._submit(batch_id)
        await trio.sleep(self.rng.uniform(0.0, 0.5))
        is_complete = False
        while not is_complete:
            node = self.rng.choice(self.nodes)
            is_complete = await self._append(node, batch_id, items, (1, 4))
        if is_ended:
            await trio.sleep(self.rng.uniform(0.0, 2.0))
            await self._end(batch_id)

    async def write_at_leader(self, batch_id):
        """Submits a batch whose results one leader appends in few chunks."""
        await trio.sleep(self.rng.uniform(0.0, 6.0))
        items = await self._submit(batch_id)
        await trio.sleep(self.rng.uniform(0.0, 1.0))
        node = self.rng.choice(self.leaders())
        is_complete = False
        while not is_complete:
            is_complete = await self._append(node, batch_id, items, (10, ITEMS))
        await trio.sleep(self.rng.uniform(0.0, 1.0))
        await self._end(batch_id)

    async def _submit(self, batch_id):
        items = [
            batch.Item(f"{batch_id}-{i}", "/", {}, b"body", 1, "g", None)
            for i in range(ITEMS)
        ]
        model = self.rng.choice(MODELS)
        new = batch.Batch(batch_id, "o", "r", "h", 0, model, 1, 1, items)
        await self.rng.choice(self.nodes).batch_cache.accept(new, 10.0)
        return items

    async def _append(self, node, batch_id, items, sizes):
        """Appends the next results at a node; returns whether none was left."""
        record = await node.batch_cache.find(batch_id, "o")
        unfinished = [i for i in items if not record.has_result(i.id)]
        if not unfinished:
            return True
        chosen = unfinished[: self.rng.randint(*sizes)]
        state = batch.ResultState.DONE
        results = [batch.Result(i.id, state, i.id) for i in chosen]
        await node.batch_cache.append([(record, records.Chunk(results))])
        await trio.sleep(self.rng.choice([0.0, 0.02, 0.3]))
        return False

    async def _end(self, batch_id):
        batch_cache = self.rng.choice(self.nodes).batch_cache
        await batch_cache.end(await batch_cache.find(batch_id, "o"), 5.0)

    async def read(self, batch_ids):
        """Reads at random nodes, from the last position that must be there."""
        while True:
            await trio.sleep(self.rng.uniform(0.0, 0.3))
            node = self.rng.choice(self.nodes)
            batch_id = self.rng.choice(batch_ids)
            key = records.batch_key(batch_id, "specification/0")
            if key not in self.store.entries:
                continue
            settled = self._settled_count(batch_id)
            after = max(0, settled - 1)
            record = await node.batch_cache.find(batch_id, "o")
            page = await node.batch_cache.read(record, after, 0.2)
            if settled and not page:
                self.lost.append((node.mirror.node, batch_id, after))
            self.reads.setdefault(batch_id, []).append(
                (trio.current_time(), after + len(page))
            )

    def _settled_count(self, batch_id):
        """Returns how many results have been read long enough ago."""
        settled_at = trio.current_time() - SETTLE_S
        reads = self.reads.get(batch_id, [])
        return max((n for at, n in reads if at < settled_at), default=0)


class Pair:
    """A leader that watches the store and a node that follows it."""

    def __init__(self, nursery):
        self.nursery = nursery
        fleet = self.fleet = Fleet(1)
        fleet.rng = random.Random(1)
        fleet.rng.choice = lambda choices: choices[0]
        fleet.nodes = fleet.nodes[1:3]
        self.store = fleet.store
        self.store.rng = fleet.rng
        self.leader, self.follower = fleet.nodes
        self.leader.batch_cache.set_interest(True, frozenset())
        self.follower.batch_cache.set_interest(False, frozenset())
        for node in fleet.nodes:
            nursery.start_soon(node.run)

    async def add_node(self, is_leader):
        """Returns a new node that has loaded the store's keys."""
        node = Node(self.fleet, "late", is_leader)
        self.nursery.start_soon(node.mirror.run)
        await trio.sleep(1)
        return node

    async def accept(self, items=4, body=b"", node=None):
        """Submits a batch to a node, by default the leader."""
        batch_items = [
            batch.Item(f"i{n}", "/", {}, body, 1, "g", None)
            for n in range(items)
        ]
        new = batch.Batch("b", "o", "r", "h", 0, "alpha", 1, 1, batch_items)
        await (node or self.leader).batch_cache.accept(new, 5.0)

    async def append_result(self, node=None):
        """Appends the next result at a node, by default the leader."""
        batch_cache = (node or self.leader).batch_cache
        record = await batch_cache.find("b", "o")
        item = f"i{len(record.results)}"
        result = batch.Result(item, batch.ResultState.DONE, item)
        chunk = records.Chunk([result])
        await batch_cache.append([(record, chunk)])

    def append_without_history(self):
        """Writes the first result to the store without history for watches."""
        result = batch.Result("i0", batch.ResultState.DONE)
        value = records.encode(records.Chunk([result]))
        self.store.write_without_history(records.result_key("b", 0), value)

    async def wait_for_recent_view(self):
        """Waits until the follower trusts its mirror and reads no store."""
        while self.follower.mirror.age_s() >= caches.MIRROR_STALE_S:
            await trio.sleep(0.01)

    async def read(self, node=None):
        """Returns how many results a node returns, by default the follower."""
        batch_cache = (node or self.follower).batch_cache
        record = await batch_cache.find("b", "o")
        return len(await batch_cache.read(record, 0, 0.0))


@contextlib.asynccontextmanager
async def running_pair(items=4):
    """Yields a leader and a follower with a batch, unless it has no items."""
    async with trio.open_nursery() as nursery:
        pair = Pair(nursery)
        await trio.sleep(1)
        if items:
            await pair.accept(items)
            await trio.sleep(1)
        yield pair
        nursery.cancel_scope.cancel()
