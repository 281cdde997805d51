"""A mirror of the store's keys, kept by one watch a node."""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import sortedcontainers
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale.storage import changelog
from kingcupscale.storage import store as stores

# A watch that hears nothing is ended by the store after this long, so that a
# silent connection is noticed within a second or so.
WATCH_TIMEOUT_S = 0.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.5
# A followed mirror that is older than this is no better than none.
MAX_FOLLOWED_AGE_S = 1.1
# A node that knows other things than the one that it follows for this long
# has missed a change; own writes are known to both within a second.
MAX_DIFFERENCE_S = 2.0

Listener = Callable[[stores.Entry], None]
# Returns another node's changes past a position; None if there is no node to
# follow or it does not answer.
Follow = Callable[[changelog.Position], Awaitable[changelog.Changes | None]]


class StoreMirror:
    """Every key of the store, and when it was last known to be current.

    One watch serves all parts of a node, and changes are taken in bunches, so
    that the number of calls does not grow with the number of changes.

    Args:
        store: The shared store.
        clock: Tells the time.
        node: The node's name, for the log.
        pause_s: Shortest time between two watches, in seconds; by need.
        follow: Reads another node's mirror where that is wanted.

    Attributes:
        entries: Present entries by key.
        revision: The store's revision up to which nothing is missing.
        current_at: Monotonic time at which the last good answer was asked for;
            negative before the first.
        essential_at: Monotonic time at which all keys but the deferred
            ones were asked for; negative before the first answer.
        recovered_at: Monotonic time at which the store last came back.
        is_following: Whether another node's mirror is followed.
        is_unreachable: Whether neither the store nor another node answers.
        checksum: Of all keys and their revisions, but those left out; equal
            on nodes that know the same.
        is_loading: Whether everything is being read anew.
        on_reloaded: Called after changes may have been missed.
        changed: Set and replaced whenever something has changed.
        log: The latest changes, for nodes that follow this one.
    """

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        node: str,
        pause_s: Callable[[], float],
        follow: Follow,
    ) -> None:
        self.store = store
        self.clock = clock
        self.node = node
        self.pause_s = pause_s
        self.follow = follow
        self.entries: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.listeners: list[tuple[str, Listener]] = []
        self.revision = 0
        self.current_at = -1.0
        self.recovered_at = 0.0
        self.is_unreachable = False
        self.is_following = False
        self.is_loading = False
        self.on_reloaded: Callable[[], None] = _ignore
        self.excluded_prefix = ""
        self.deferred_prefix = ""
        self.essential_at = -1.0
        self.checksum = 0
        self.differs_since: float | None = None
        self.follow_scope = trio.CancelScope()
        self.changed = trio.Event()
        self.pause_skipped = trio.Event()
        self.log = changelog.ChangeLog()
        self.position = changelog.Position("", 0, 0)

    def subscribe(self, prefix: str, listener: Listener) -> None:
        """Calls a listener with every change under a prefix."""
        self.listeners.append((prefix, listener))

    def exclude_prefix(self, prefix: str) -> None:
        """Has the keys under a prefix left out when everything is read.

        Changes under it are heard of; its listener reads the rest by need.
        """
        self.excluded_prefix = prefix

    def defer_prefix(self, prefix: str) -> None:
        """Has the keys under a prefix read last when everything is read.

        What is large and not needed at once would hold up all else when many
        nodes start together.
        """
        self.deferred_prefix = prefix

    def restart_follow(self) -> None:
        """Drops a question to another node and asks it anew."""
        self.follow_scope.cancel()
        self.skip_pause()

    def age_s(self) -> float:
        """Returns seconds since the mirror was known to be current."""
        if self.current_at < 0:
            return float("inf")
        return self.clock.monotonic() - self.current_at

    def essential_age_s(self) -> float:
        """Returns seconds since all but the deferred keys were current."""
        newest = max(self.current_at, self.essential_at)
        if newest < 0:
            return float("inf")
        return self.clock.monotonic() - newest

    def entries_under(self, prefix: str) -> list[stores.Entry]:
        """Returns the present entries under a prefix, in key order."""
        found = []
        for key in self.entries.irange(prefix):
            if not key.startswith(prefix):
                break
            found.append(self.entries[key])
        return found

    def skip_pause(self) -> None:
        """Has the next changes read without a pause."""
        self.pause_skipped.set()

    def apply(self, entry: stores.Entry) -> None:
        """Takes over one entry, unless a newer state of it is known."""
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        if entry.value is None:
            if known is None:
                return
            del self.entries[entry.key]
        else:
            self.entries[entry.key] = entry
        if not self._is_excluded(entry.key):
            self.checksum ^= _checksum_of(known) ^ _checksum_of(entry)
        self.log.add(entry)
        for prefix, listener in self.listeners:
            if entry.key.startswith(prefix):
                listener(entry)

    def discard_value(self, key: str) -> None:
        """Lets go of a value that its listener has taken over."""
        entry = self.entries.get(key)
        if entry is not None:
            self.entries[key] = attrs.evolve(entry, value=b"")

    def notify_changed(self) -> None:
        """Wakes those who wait for changes."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    async def run(self) -> None:
        """Keeps the mirror current until cancelled."""
        retry_s = MIN_RETRY_S
        is_loaded = False
        while True:
            try:
                if not is_loaded:
                    await self._load()
                    is_loaded = True
                    self.on_reloaded()
                if not await self._follow_peer():
                    self.is_following = False
                    await self._watch_store()
                await self._pause()
                retry_s = MIN_RETRY_S
            except stores.HistoryLostError:
                events.log(
                    events.Event.STORE_HISTORY_LOST, revision=self.revision
                )
                is_loaded = False
            except stores.StoreError as e:
                self._note_unreachable(e)
                await self.clock.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, 2 * retry_s)

    async def _load(self) -> None:
        """Reads everything; what is not found any more is removed."""
        asked_at = self.clock.monotonic()
        self.is_loading = True
        try:
            first, found = await self._scan_all()
        finally:
            self.is_loading = False
        # Pages are no snapshot: what changed between them is watched again.
        for key in [key for key in self.entries if key not in found]:
            is_older = self.entries[key].revision <= first
            if is_older and not self._is_excluded(key):
                self.apply(stores.Entry(key, None, first))
        self.revision = first
        # Changes between the pages are known already, so the watch that shows
        # them again adds nothing to the log: it is complete from behind them.
        newest = max((e.revision for e in self.entries.values()), default=0)
        self.log.restart(max(first, newest))
        self._note_current(asked_at)

    async def _scan_all(self) -> tuple[int, set[str]]:
        """Returns the revision of the first page, and the keys found."""
        asked_at = self.clock.monotonic()
        found: set[str] = set()
        first = await self._scan("", found)
        self.essential_at = asked_at
        if self.deferred_prefix:
            await self._scan(self.deferred_prefix, found)
        return first, found

    async def _scan(self, prefix: str, found: set[str]) -> int:
        """Reads the keys under a prefix; returns the first page's revision.

        Keys that are left out or deferred are passed over, but for those
        under the prefix itself.
        """
        first = 0
        after, has_more = "", True
        while has_more:
            page = await self.store.scan(prefix, after)
            first = first or page.revision
            has_more = page.has_more
            for entry in page.entries:
                passed = self._skipped_prefix(entry.key, prefix)
                if passed:
                    after, has_more = _key_after_prefix(passed), True
                    break
                after = entry.key
                found.add(entry.key)
                self.apply(entry)
        return first

    def _skipped_prefix(self, key: str, prefix: str) -> str:
        """Returns the prefix that a scan leaves out a key by, if any."""
        for skipped in (self.excluded_prefix, self.deferred_prefix):
            if skipped and skipped != prefix and key.startswith(skipped):
                return skipped
        return ""

    def _is_excluded(self, key: str) -> bool:
        return bool(self.excluded_prefix) and key.startswith(
            self.excluded_prefix
        )

    async def _follow_peer(self) -> bool:
        """Takes over another node's changes; False if there is none."""
        asked_at = self.clock.monotonic()
        position = changelog.Position(
            self.position.log, self.position.number, self.revision
        )
        changes = None
        with trio.CancelScope() as self.follow_scope:
            changes = await self.follow(position)
        if self.follow_scope.cancelled_caught:
            return True
        if changes is not None and self.is_unreachable:
            self._catch_up(changes, asked_at - changes.age_s)
        if changes is None or changes.age_s > MAX_FOLLOWED_AGE_S:
            self.position = changelog.Position("", 0, 0)
            return False
        self.is_following = True
        for entry in changes.entries:
            self.apply(entry)
        self.position = changes.position
        self.revision = max(self.revision, changes.position.revision)
        self._note_current(max(self.current_at, asked_at - changes.age_s))
        if self.has_missed_changes(changes.checksum):
            await self._load_again()
        return True

    def _catch_up(self, changes: changelog.Changes, current_at: float) -> None:
        """Takes over all that an old mirror knows, as it may know of more.

        The answers of a node that knows nothing newer tell of a silent store.
        """
        for entry in changes.entries:
            self.apply(entry)
        self.revision = max(self.revision, changes.position.revision)
        self.current_at = max(self.current_at, current_at)
        self.notify_changed()

    async def _load_again(self) -> None:
        """Reads everything if the store answers; goes on following if not."""
        try:
            await self._load()
            self.on_reloaded()
        except stores.StoreError as e:
            events.log(
                events.Event.STORE_FAILED, node=self.node, reason=e.reason
            )

    def has_missed_changes(self, checksum: int) -> bool:
        """Tells whether the followed node has known other things for long.

        Both may know of own writes before the other does, so a difference
        counts only if it lasts.

        Args:
            checksum: Of the other node.
        """
        now = self.clock.monotonic()
        if checksum == self.checksum:
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now
        elif now - self.differs_since > MAX_DIFFERENCE_S:
            self.differs_since = None
            events.log(
                events.Event.MIRROR_DIFFERED,
                node=self.node,
                revision=self.revision,
                keys=len(self.entries),
            )
            return True
        return False

    async def _watch_store(self) -> None:
        asked_at = self.clock.monotonic()
        page = await self.store.watch("", self.revision, WATCH_TIMEOUT_S)
        for entry in page.entries:
            self.apply(entry)
        self.revision = max(self.revision, page.revision)
        # An empty answer that was kept back for the whole of the wait tells
        # that nothing came until then.
        waited_s = self.clock.monotonic() - asked_at
        is_quiet = not page.entries and waited_s >= WATCH_TIMEOUT_S
        self._note_current(asked_at + (WATCH_TIMEOUT_S if is_quiet else 0.0))

    def _note_current(self, asked_at: float) -> None:
        self.current_at = asked_at
        if self.is_unreachable:
            self.is_unreachable = False
            self.recovered_at = self.clock.monotonic()
            events.log(events.Event.STORE_REGAINED, node=self.node)
        self.notify_changed()

    def _note_unreachable(self, error: stores.StoreError) -> None:
        if not self.is_unreachable:
            self.is_unreachable = True
            events.log(
                events.Event.STORE_FAILED, node=self.node, reason=error.reason
            )

    async def _pause(self) -> None:
        with trio.move_on_after(self.pause_s()):
            await self.pause_skipped.wait()
        self.pause_skipped = trio.Event()


def _key_after_prefix(prefix: str) -> str:
    """Returns the least key behind all keys under a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _checksum_of(entry: stores.Entry | None) -> int:
    """Returns what an entry adds to the checksum."""
    if entry is None or entry.value is None:
        return 0
    return hashing.number(f"{entry.key} {entry.revision}")


def _ignore() -> None:
    """Does nothing."""
