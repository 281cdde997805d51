"""Announces new batches to the nodes that run them, and receives announcements.

Neither side delays a caller or another node: announcements wait in a queue of
limited length, and a limited number of tasks sends or handles them. What does
not fit is dropped, as the mirror delivers the batch anyway.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import traceback

import trio

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale import metrics
from kingcupscale.batches import announced
from kingcupscale.batches import batch as batches
from kingcupscale.batches import record as records
from kingcupscale.peering import announcements
from kingcupscale.peering import calls

MAX_QUEUED = 32
# Announcements that are sent, and batches that are fetched, at the same time.
MAX_IN_FLIGHT = 4
# Prefix of the counters' names.
COUNTER = "announcements."


class Outcome(enum.Enum):
    """What became of an announcement, at its sender or its receiver."""

    SENT = "sent"
    FAILED = "failed"
    DROPPED = "dropped"
    RECEIVED = "received"
    STARTED = "started"
    NOT_RUN_HERE = "not_run_here"
    LATE = "late"
    ENDED = "ended"
    UNAVAILABLE = "unavailable"


class Announcer:
    """Announces the batches that this node has accepted.

    Args:
        node: Name of this node.
        client: Sends the announcements.
        clock: The clock.
        node_metrics: Counters.
        find_runners: Returns names and addresses of the other nodes that run a
            model's samples.
    """

    def __init__(
        self,
        node: str,
        client: announcements.AnnouncementClient,
        clock: clocks.Clock,
        node_metrics: metrics.Metrics,
        find_runners: Callable[[str], list[tuple[str, str]]],
    ) -> None:
        self.node = node
        self.client = client
        self.clock = clock
        self.metrics = node_metrics
        self.find_runners = find_runners
        self.queue_in, self.queue_out = trio.open_memory_channel[
            announcements.Announcement
        ](MAX_QUEUED)

    def announce(
        self, new: batches.Batch, submitted_ms: int, revision: int
    ) -> None:
        """Announces a batch without waiting.

        Args:
            new: The batch.
            submitted_ms: Submission time in milliseconds since the Unix epoch.
            revision: Revision of the store at which it was written.
        """
        announcement = announcements.Announcement(
            new.id, new.model, self.node, revision, submitted_ms
        )
        try:
            self.queue_in.send_nowait(announcement)
        except trio.WouldBlock:
            self._finish(announcement, "", Outcome.DROPPED, "queue is full")

    async def run(self) -> None:
        """Sends announcements until cancelled."""
        await _run_workers(self.queue_out, self._send)

    async def _send(self, announcement: announcements.Announcement) -> None:
        for name, address in self.find_runners(announcement.model):
            outcome, reason = Outcome.SENT, ""
            try:
                await self.client.send(address, announcement)
            except calls.PeerError as e:
                outcome, reason = Outcome.FAILED, e.reason
            self._finish(announcement, name, outcome, reason)

    def _finish(
        self,
        announcement: announcements.Announcement,
        peer: str,
        outcome: Outcome,
        reason: str,
    ) -> None:
        self.metrics.count(COUNTER + outcome.value)
        events.log(
            events.Event.BATCH_ANNOUNCED,
            batch=announcement.batch,
            peer=peer,
            outcome=outcome.value,
            reason=reason,
            age_s=_age_s(self.clock, announcement),
        )


class AnnouncementReceiver:
    """Adds announced batches to the cache, so that their samples start.

    Args:
        announced_batches: Adds batches to the cache.
        clock: The clock.
        node_metrics: Counters.
        is_active: Returns whether this node runs a model's samples.
        fetch_snapshot: Fetches a batch, given its id and the node that has it.
            Returns None if that node does not respond or has no such batch.
    """

    def __init__(
        self,
        announced_batches: announced.AnnouncedBatches,
        clock: clocks.Clock,
        node_metrics: metrics.Metrics,
        is_active: Callable[[str], bool],
        fetch_snapshot: Callable[
            [str, str], Awaitable[records.RecordSnapshot | None]
        ],
    ) -> None:
        self.announced = announced_batches
        self.clock = clock
        self.metrics = node_metrics
        self.is_active = is_active
        self.fetch_snapshot = fetch_snapshot
        self.fetching: set[str] = set()
        self.queue_in, self.queue_out = trio.open_memory_channel[
            announcements.Announcement
        ](MAX_QUEUED)

    def receive(self, announcement: announcements.Announcement) -> None:
        """Handles an announcement without waiting."""
        self.metrics.count(COUNTER + Outcome.RECEIVED.value)
        reason = self._find_reason_to_ignore(announcement)
        if reason is None:
            try:
                self.queue_in.send_nowait(announcement)
            except trio.WouldBlock:
                reason = Outcome.DROPPED
        if reason is not None:
            self._finish(announcement, reason)

    async def run(self) -> None:
        """Fetches announced batches until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.announced.run)
            await _run_workers(self.queue_out, self._fetch)

    def _find_reason_to_ignore(
        self, announcement: announcements.Announcement
    ) -> Outcome | None:
        if not self.is_active(announcement.model):
            return Outcome.NOT_RUN_HERE
        is_expected = self.announced.is_expected(
            announcement.batch, announcement.revision
        )
        if not is_expected or announcement.batch in self.fetching:
            return Outcome.LATE
        return None

    async def _fetch(self, announcement: announcements.Announcement) -> None:
        """Fetches a batch and adds it, unless the mirror was faster."""
        outcome = self._find_reason_to_ignore(announcement)
        if outcome is None:
            self.fetching.add(announcement.batch)
            try:
                snapshot = await self.fetch_snapshot(
                    announcement.batch, announcement.sender
                )
            finally:
                self.fetching.discard(announcement.batch)
            outcome = self._add(announcement, snapshot)
        self._finish(announcement, outcome)

    def _add(
        self,
        announcement: announcements.Announcement,
        snapshot: records.RecordSnapshot | None,
    ) -> Outcome:
        """Adds a batch to the cache; the model's duty may have moved."""
        if (
            snapshot is None
            or snapshot.batch.id != announcement.batch
            or snapshot.batch.model != announcement.model
        ):
            return Outcome.UNAVAILABLE
        if not self.is_active(announcement.model):
            return Outcome.NOT_RUN_HERE
        if snapshot.is_ended:
            return Outcome.ENDED
        if self.announced.add(snapshot, announcement.revision):
            return Outcome.STARTED
        return Outcome.LATE

    def _finish(
        self, announcement: announcements.Announcement, outcome: Outcome
    ) -> None:
        self.metrics.count(COUNTER + outcome.value)
        events.log(
            events.Event.ANNOUNCEMENT_HANDLED,
            batch=announcement.batch,
            peer=announcement.sender,
            outcome=outcome.value,
            age_s=_age_s(self.clock, announcement),
        )


async def _run_workers(
    queue: trio.MemoryReceiveChannel[announcements.Announcement],
    handle: Callable[[announcements.Announcement], Awaitable[None]],
) -> None:
    """Handles queued announcements, a limited number at the same time."""

    async def work() -> None:
        async for announcement in queue:
            try:
                await handle(announcement)
            except Exception as e:
                # An error that concerns one batch must not end the node.
                events.log(
                    events.Event.REQUEST_FAILED,
                    kind=type(e).__name__,
                    batch=announcement.batch,
                    trace=traceback.format_tb(e.__traceback__),
                )

    async with trio.open_nursery() as nursery:
        for _ in range(MAX_IN_FLIGHT):
            nursery.start_soon(work)


def _age_s(
    clock: clocks.Clock, announcement: announcements.Announcement
) -> float:
    """Returns the seconds since a batch was submitted, by the nodes' clocks."""
    now_s = clock.now().timestamp()
    return round(now_s - announcement.submitted_ms / 1000, 3)
