"""A local mirror of the shared store.

``StoreMirror`` holds all keys in memory, notifies listeners of changes and
knows how old its state is. It watches the store or, on most nodes, follows the
mirror of another node.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import attrs
import outcome
import sortedcontainers
import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale.storage import changelog
from kingcupscale.storage import store as stores

# The store ends a watch without changes after this time, so that a dead
# connection is detected within about a second.
WATCH_TIMEOUT_S = 0.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.5
# If the checksum differs from that of the followed node for longer than this, a
# change was missed. A node's own writes reach both nodes within a second.
MAX_DIFFERENCE_S = 2.0
# A mirror that watches the store reads the store's revision if it is older than
# this. Readers trust a mirror up to 0.7 s, and followers add their own delay.
REVISION_INTERVAL_S = 0.3
# The same before a watch, which may wait for ``WATCH_TIMEOUT_S``. With a store
# that takes 0.2 s for a call, followers left a leader that began at 0.3 s.
MAX_AGE_BEFORE_WATCH_S = 0.15
# If watches bring nothing for longer than this although the store is ahead, all
# keys are read. Each revision of the store is taken to have a change.
MAX_SILENCE_S = 2.0

Listener = Callable[[stores.Entry], None]
# Returns another node's changes after a position; None if there is no node to
# follow or it does not respond.
Follow = Callable[[changelog.Position], Awaitable[changelog.Changes | None]]


@attrs.frozen
class StoreRevision:
    """A revision that the store had.

    Attributes:
        revision: The revision, as returned by a read or a commit.
        asked_at: Monotonic time at which that call was sent. All changes that
            were acknowledged before it are part of the revision.
    """

    revision: int
    asked_at: float


class StoreMirror:
    """All keys of the store, and the time at which they were last current.

    One watch serves all components of a node, and changes are read in batches,
    so that the number of calls does not grow with the number of changes.

    A response to a watch may leave out changes, so it does not show as of when
    the mirror is current. The store's revision at some time does, once the
    mirror has reached it.

    Args:
        store: The shared store.
        clock: Source of time.
        node: The node's name, for the log.
        pause_s: Returns the pause between two reads of changes, in seconds.
        follow: Reads the mirror of another node, if there is one to follow.

    Attributes:
        entries: Present entries by key.
        listeners: Key prefixes and the listeners subscribed to them.
        revision: Revision of the store up to which no change is missing.
        awaited: A revision of the store that the mirror has yet to reach; None
            for none.
        silent_since: Monotonic time at which the first of the latest watches
            was sent that brought no change although the store was ahead; None
            for none.
        no_read_before: Monotonic time before which the store's revision is not
            read again, after a failed read.
        advanced_at: Monotonic time at which all keys were read or a watch last
            returned changes.
        current_at: Monotonic time at which the mirror was last known to be
            current; negative before the first successful read.
        essential_at: Monotonic time at which the last successful scan of all
            keys except the deferred ones began; negative if there was none.
        recovered_at: Monotonic time at which the last outage of the store
            ended.
        is_following: Whether another node's mirror is followed.
        is_unreachable: Whether the store does not respond and there is no other
            node to follow whose mirror is recent or receives changes.
        checksum: Checksum of all keys and their revisions, except the excluded
            ones; equal on nodes with equal state.
        differs_since: Monotonic time since which the checksum differs from
            that of the followed node; None if it does not.
        is_loading: Whether all keys are being read.
        on_reloaded: Called after all keys were read, since changes may have
            been missed before.
        excluded_prefix: Prefix that scans exclude; empty for none.
        deferred_prefix: Prefix that is scanned last; empty for none.
        follow_scope: Cancel scope of the request to the followed node.
        changed: Event that is set and replaced after each read of changes, and
            after this node's own writes to batches.
        pause_skipped: Event that ends the pause before the next read.
        log: The latest changes, for nodes that follow this one.
        position: Position in the change log of the followed node.
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
        self.awaited: StoreRevision | None = None
        self.silent_since: float | None = None
        self.no_read_before = 0.0
        self.advanced_at = -math.inf
        self.current_at = -1.0
        self.recovered_at = 0.0
        self.is_unreachable = False
        self.is_following = False
        self.is_loading = False
        self.on_reloaded: Callable[[], None] = _do_nothing
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
        """Calls a listener for each change of a key under a prefix."""
        self.listeners.append((prefix, listener))

    def exclude_prefix(self, prefix: str) -> None:
        """Excludes the keys under a prefix from scans of the store.

        Changes under the prefix are still received. Entries that existed before
        the scan are not; the listener reads them from the store on demand.
        """
        self.excluded_prefix = prefix

    def defer_prefix(self, prefix: str) -> None:
        """Scans the keys under a prefix after all other keys.

        For large values that are not needed at once: when many nodes start
        together, reading them first would delay everything else.
        """
        self.deferred_prefix = prefix

    def restart_follow(self) -> None:
        """Cancels a pending request to the followed node and sends a new one.

        The new request names the batches that this node needs at present.
        """
        self.follow_scope.cancel()
        self.skip_pause()

    def age_s(self) -> float:
        """Returns the seconds since the mirror was known to be current."""
        if self.current_at < 0:
            return float("inf")
        return self.clock.monotonic() - self.current_at

    def essential_age_s(self) -> float:
        """Returns the seconds since all but the deferred keys were current."""
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
        """Ends the pause before the next read of changes."""
        self.pause_skipped.set()

    def apply(self, entry: stores.Entry) -> None:
        """Applies a change, unless the mirror has a newer state of its key."""
        previous = self.entries.get(entry.key)
        if previous is not None and previous.revision >= entry.revision:
            return
        if entry.value is None and previous is None:
            # A follower may still have the key.
            self.log.add(entry)
            return
        if entry.value is None:
            del self.entries[entry.key]
        else:
            self.entries[entry.key] = entry
        if not self._is_excluded(entry.key):
            self.checksum ^= _checksum_of(previous) ^ _checksum_of(entry)
        self.log.add(entry)
        for prefix, listener in self.listeners:
            if entry.key.startswith(prefix):
                listener(entry)

    def discard_value(self, key: str) -> None:
        """Frees the memory of a value that its listener has stored itself."""
        entry = self.entries.get(key)
        if entry is not None:
            self.entries[key] = attrs.evolve(entry, value=b"")

    def notify_changed(self) -> None:
        """Wakes all tasks that wait for changes."""
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
                has_more = False
                if not await self._follow_peer():
                    self.is_following = False
                    has_more = await self._watch_store()
                if not has_more:
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
        """Reads all keys and removes those that no longer exist."""
        requested_at = self.clock.monotonic()
        self.is_loading = True
        try:
            first_revision, seen_keys = await self._scan_all()
        finally:
            self.is_loading = False
        self._remove_missing("", seen_keys, first_revision)
        self._advance(first_revision)
        # Changes between the pages are already applied, so the watch that
        # repeats them does not add them to the log. The log is complete only
        # after the newest of them.
        newest = max((e.revision for e in self.entries.values()), default=0)
        self.log.restart(max(first_revision, newest))
        self.advanced_at = self.clock.monotonic()
        self.silent_since = None
        self._note_reachable()
        self._note_current(requested_at)

    async def _scan_all(self) -> tuple[int, set[str]]:
        """Scans all keys; returns the first page's revision and the keys."""
        requested_at = self.clock.monotonic()
        seen_keys: set[str] = set()
        first_revision = await self._scan("", seen_keys)
        self._remove_missing(self.deferred_prefix, seen_keys, first_revision)
        self.essential_at = requested_at
        if self.deferred_prefix:
            await self._scan(self.deferred_prefix, seen_keys)
        return first_revision, seen_keys

    def _remove_missing(
        self, unread_prefix: str, seen_keys: set[str], revision: int
    ) -> None:
        """Removes keys that a scan of all keys did not return.

        The pages of a scan are not one snapshot: keys may change between two of
        them. The watch starts at the first page's revision and repeats those
        changes.

        Args:
            unread_prefix: Prefix of keys that were not read yet; empty for
                none.
            seen_keys: The keys that were read.
            revision: The first page's revision.
        """
        for key in [key for key in self.entries if key not in seen_keys]:
            is_unread = bool(unread_prefix) and key.startswith(unread_prefix)
            is_older = self.entries[key].revision <= revision
            if is_older and not is_unread and not self._is_excluded(key):
                self.apply(stores.Entry(key, None, revision))

    async def _scan(self, prefix: str, seen_keys: set[str]) -> int:
        """Reads the keys under a prefix; returns the first page's revision.

        Skips the excluded and the deferred prefix, unless it is the prefix
        itself.

        Args:
            prefix: Prefix of the keys; empty for all.
            seen_keys: Receives the keys that were read.
        """
        first_revision = 0
        after, has_more = "", True
        while has_more:
            page = await self.store.scan(prefix, after)
            first_revision = first_revision or page.revision
            has_more = page.has_more
            for entry in page.entries:
                skipped = self._skipped_prefix(entry.key, prefix)
                if skipped:
                    after, has_more = _key_after_prefix(skipped), True
                    break
                after = entry.key
                seen_keys.add(entry.key)
                self.apply(entry)
        return first_revision

    def _skipped_prefix(self, key: str, prefix: str) -> str:
        """Returns the prefix to skip that contains a key; empty for none."""
        for skipped in (self.excluded_prefix, self.deferred_prefix):
            if skipped and skipped != prefix and key.startswith(skipped):
                return skipped
        return ""

    def _is_excluded(self, key: str) -> bool:
        return bool(self.excluded_prefix) and key.startswith(
            self.excluded_prefix
        )

    async def _follow_peer(self) -> bool:
        """Applies another node's changes; returns False if none is usable."""
        requested_at = self.clock.monotonic()
        position = changelog.Position(
            self.position.log, self.position.number, self.revision
        )
        changes = None
        with trio.CancelScope() as self.follow_scope:
            changes = await self.follow(position)
        if self.follow_scope.cancelled_caught:
            return True
        if changes is not None and self.is_unreachable:
            self._apply_outdated(changes, requested_at - changes.age_s)
        elapsed_s = self.clock.monotonic() - requested_at
        if changes is None or not (
            changes.is_recent(elapsed_s) or changes.is_advancing(elapsed_s)
        ):
            self.position = changelog.Position("", 0, 0)
            return False
        self.is_following = True
        self.silent_since = None
        self._apply_followed(changes)
        self.position = changes.position
        self._note_reachable()
        self._advance(changes.position.revision)
        self._note_current(requested_at - changes.age_s)
        if self.has_missed_changes(changes.checksum):
            await self._load_again()
        return True

    def _apply_outdated(
        self, changes: changelog.Changes, current_at: float
    ) -> None:
        """Applies changes of a node whose own mirror is outdated.

        While the store is unreachable, that node may still have newer state.

        Args:
            changes: The changes.
            current_at: Monotonic time at which the other mirror was current.
        """
        self._apply_followed(changes)
        self._advance(changes.position.revision)
        self._note_current(current_at)

    def _apply_followed(self, changes: changelog.Changes) -> None:
        """Applies the changes that the mirror has not received before.

        A node that is behind repeats older ones, and a removed key leaves no
        revision by which ``apply`` would ignore its older value.
        """
        for entry in changes.entries:
            if entry.revision > self.revision:
                self.apply(entry)

    async def _load_again(self) -> None:
        """Reads all keys; keeps following if the store does not respond."""
        try:
            await self._load()
            self.on_reloaded()
        except stores.StoreError as e:
            events.log(
                events.Event.STORE_FAILED, node=self.node, reason=e.reason
            )

    def has_missed_changes(self, checksum: int) -> bool:
        """Returns whether a change was missed, judging by the checksums.

        Each node applies its own writes before the other one receives them, so
        only a difference that lasts longer than ``MAX_DIFFERENCE_S`` counts.

        Args:
            checksum: Checksum of the followed node.
        """
        now = self.clock.monotonic()
        if checksum == self.checksum:
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now
        elif now - self.differs_since > MAX_DIFFERENCE_S:
            self.differs_since = None
            self._log_difference()
            return True
        return False

    def _log_difference(self) -> None:
        events.log(
            events.Event.MIRROR_DIFFERED,
            node=self.node,
            revision=self.revision,
            keys=len(self.entries),
        )

    async def _watch_store(self) -> bool:
        """Applies the next changes of the store.

        Returns:
            Whether the store has further changes, which can be read at once.

        Raises:
            HistoryLostError: If the watch does not deliver changes that the
                store has.
        """
        sent_at = self.clock.monotonic()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._read_revision_if_old, MAX_AGE_BEFORE_WATCH_S
            )
            # A nursery would wrap the error of a failed watch.
            result = await outcome.acapture(
                self.store.watch, "", self.revision, WATCH_TIMEOUT_S
            )
            if isinstance(result, outcome.Value):
                self._apply_watched(result.value)
        page = result.unwrap()
        if not page.entries and self._is_watch_silent(sent_at):
            self._log_difference()
            raise stores.HistoryLostError
        await self._read_revision_if_old(REVISION_INTERVAL_S)
        return bool(page.entries) and self.awaited is not None

    def _apply_watched(self, page: stores.Page) -> None:
        """Applies the changes in a response to a watch."""
        self._note_reachable()
        if not page.entries:
            return
        for entry in page.entries:
            self.apply(entry)
        self.advanced_at = self.clock.monotonic()
        self.silent_since = None
        # If a page leaves changes out, its revision may be that of the store.
        # The store never divides a transaction between two pages.
        self._advance(min(page.revision, page.entries[-1].revision))
        self.notify_changed()

    async def _read_revision_if_old(self, max_age_s: float) -> None:
        """Reads the store's revision, unless the mirror is recent or behind.

        If the read fails, the mirror only gets older.

        Args:
            max_age_s: Age in seconds up to which the mirror is recent.
        """
        if self.awaited is not None or self.age_s() < max_age_s:
            return
        asked_at = self.clock.monotonic()
        if asked_at < self.no_read_before:
            return
        try:
            revision = await self.store.read_revision()
        except stores.StoreError as e:
            self.no_read_before = self.clock.monotonic() + REVISION_INTERVAL_S
            # During an outage, the failed watch has been logged already.
            if not self.is_unreachable:
                events.log(
                    events.Event.STORE_FAILED, node=self.node, reason=e.reason
                )
        else:
            self.note_revision(revision, asked_at)

    def note_revision(self, revision: int, asked_at: float) -> None:
        """Records that the store had a revision.

        Args:
            revision: The revision, as returned by a read or a commit.
            asked_at: Monotonic time at which that call was sent.
        """
        if revision <= self.revision:
            self._note_current(asked_at)
        elif self.awaited is None:
            self.awaited = StoreRevision(revision, asked_at)

    def _advance(self, revision: int) -> None:
        """Records that the mirror has all changes up to a revision."""
        self.revision = max(self.revision, revision)
        awaited = self.awaited
        if awaited is not None and awaited.revision <= self.revision:
            self.awaited = None
            self._note_current(awaited.asked_at)

    def _is_watch_silent(self, sent_at: float) -> bool:
        """Returns whether watches bring no changes although there are some.

        Args:
            sent_at: Monotonic time at which a watch without changes was sent.
        """
        if self.awaited is None:
            return False
        if self.silent_since is None:
            self.silent_since = sent_at
        return self.clock.monotonic() - self.silent_since > MAX_SILENCE_S

    def _note_current(self, current_at: float) -> None:
        self.current_at = max(self.current_at, current_at)
        self.notify_changed()

    def _note_reachable(self) -> None:
        if self.is_unreachable:
            self.is_unreachable = False
            self.recovered_at = self.clock.monotonic()
            events.log(events.Event.STORE_REGAINED, node=self.node)

    def _note_unreachable(self, error: stores.StoreError) -> None:
        self.awaited = None
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
    """Returns the smallest key that is after all keys under a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _checksum_of(entry: stores.Entry | None) -> int:
    """Returns an entry's share of the checksum; 0 for a removed key."""
    if entry is None or entry.value is None:
        return 0
    return hashing.hash64(f"{entry.key} {entry.revision}")


def _do_nothing() -> None:
    """Default of ``on_reloaded``: does nothing."""
