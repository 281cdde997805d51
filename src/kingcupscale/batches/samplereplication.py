"""Replicates texts of unfinished samples to the standby node.

If the node that runs the samples fails, the standby resumes them from its
replica of the texts.
"""

from collections.abc import Callable

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.batches import coordinator as coordinators
from kingcupscale.peering import calls
from kingcupscale.peering import replication

# A takeover loses at most the text that was generated within this time.
REPLICATION_INTERVAL_S = 0.3
# Maximum number of texts in one request.
MAX_TEXTS = 400
# How many nodes a stopping node asks to continue its samples.
MAX_HANDOVER_ATTEMPTS = 3


class SampleReplicator:
    """Sends new text and results of one model's samples to the standby.

    Args:
        coordinator: Coordinator that runs the samples.
        model: Name of the model.
        client: Client for replication requests.
        clock: Clock for the pauses.
        node: Name of this node.
        find_target: Returns the name and address of the standby, or None if
            there is none.
        note_failure: Called with the name of a node that a request failed for.

    Attributes:
        target: Name of the node that the last request was sent to.
        sent: How many events of each sample the target has, by item id.
        sent_results: Ids of the items whose result the target has.
    """

    def __init__(
        self,
        coordinator: coordinators.Coordinator,
        model: str,
        client: replication.ReplicationClient,
        clock: clocks.Clock,
        node: str,
        find_target: Callable[[], tuple[str, str] | None],
        note_failure: Callable[[str], None],
    ) -> None:
        self.coordinator = coordinator
        self.model = model
        self.client = client
        self.clock = clock
        self.node = node
        self.find_target = find_target
        self.note_failure = note_failure
        self.target = ""
        self.sent: dict[str, int] = {}
        self.sent_results: set[str] = set()

    async def run(self) -> None:
        """Replicates at regular intervals until cancelled."""
        while True:
            await self.clock.sleep_aligned(REPLICATION_INTERVAL_S)
            await self.send()

    async def send(self) -> None:
        """Sends new text and results to the standby.

        The request is also sent if nothing is new, as a heartbeat.
        """
        if not self.coordinator.has_open_batches(self.model):
            return
        target = self.find_target()
        if target is not None:
            await self._send_to(target, is_last=False)

    async def hand_over(self) -> bool:
        """Sends the last text and has another node run the samples at once.

        Returns:
            Whether a node accepted. If not, the samples wait until a node
            acquires the lease.
        """
        for _ in range(MAX_HANDOVER_ATTEMPTS):
            target = self.find_target()
            if target is None:
                return False
            if await self._send_to(target, is_last=True):
                return True
        return False

    async def _send_to(self, target: tuple[str, str], is_last: bool) -> bool:
        """Sends new text and results to a node; returns False on failure.

        After a failure, all text and results are sent again.
        """
        name, address = target
        if name != self.target:
            self.target = name
            self._reset_sent()
        texts = self._collect_updates()
        request = replication.ReplicationRequest(
            self.coordinator.service,
            texts,
            self.model,
            self.node,
            is_last,
        )
        try:
            await self.client.send(address, request)
        except calls.PeerError as e:
            self._reset_sent()
            if e.status != replication.STATUS_OUT_OF_SYNC:
                self.note_failure(name)
            events.log(
                events.Event.COPY_FAILED,
                peer=name,
                texts=len(texts),
                reason=str(e),
            )
            return False
        for text in texts:
            self.sent[text.item] = self.sent.get(text.item, 0) + len(
                text.events
            )
            if text.result is not None:
                self.sent_results.add(text.item)
        return True

    def _reset_sent(self) -> None:
        """Assumes that the target has nothing yet."""
        self.sent = {}
        self.sent_results = set()

    def _collect_updates(self) -> list[replication.TextUpdate]:
        """Returns what the target lacks, at most ``MAX_TEXTS`` samples."""
        texts = []
        open_item_ids = set()
        for sample in self.coordinator.unsaved_samples(self.model):
            open_item_ids.add(sample.id)
            sent = self.sent.get(sample.id, 0)
            if sent > len(sample.events):
                sent = 0
            new_events = sample.events[sent:]
            has_new_result = (
                sample.result and sample.id not in self.sent_results
            )
            if new_events or has_new_result:
                texts.append(
                    replication.TextUpdate(
                        sample.id,
                        new_events,
                        sample.result,
                        sample.record.batch.id,
                        replication.digest(sample.events[:sent]),
                    )
                )
                self.sent[sample.id] = sent
        self.sent = {i: n for i, n in self.sent.items() if i in open_item_ids}
        self.sent_results &= open_item_ids
        return texts[:MAX_TEXTS]
