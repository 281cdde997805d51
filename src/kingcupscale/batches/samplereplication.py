"""Copying texts on their way to the node that would take over."""

from collections.abc import Callable

from kingcupscale import clock as clocks
from kingcupscale import events
from kingcupscale.batches import coordinator as coordinators
from kingcupscale.peering import calls
from kingcupscale.peering import handover

# What a takeover loses is at most what was made within this time.
COPY_PAUSE_S = 0.3
# Most texts in one copy.
TEXTS_MOST = 400
# Nodes that are asked to go on with the samples of one that stops.
SUCCESSORS_MOST = 3


class SampleReplicator:
    """Sends what one model's samples have added to one other node.

    Args:
        coordinator: Runs the samples.
        model: The model.
        client: Sends the copies.
        clock: Tells the time.
        node: This node's name.
        find_target: Returns the name and the address of the node to send to;
            None if there is none.
        note_failure: Told which node a copy could not be sent to.
    """

    def __init__(
        self,
        coordinator: coordinators.Coordinator,
        model: str,
        client: handover.CopyClient,
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
        """Sends copies until cancelled."""
        while True:
            await self.clock.rest(COPY_PAUSE_S)
            await self.send()

    async def send(self) -> None:
        """Sends what is new; nothing new tells that this node lives."""
        if not self.coordinator.has_open_batches(self.model):
            return
        target = self.find_target()
        if target is not None:
            await self._send_to(target, is_last=False)

    async def hand_over(self) -> bool:
        """Sends what is new to a node that goes on with the samples at once.

        Returns:
            Whether a node does; without one, the samples wait until a node
            takes the duty.
        """
        for _ in range(SUCCESSORS_MOST):
            target = self.find_target()
            if target is None:
                return False
            if await self._send_to(target, is_last=True):
                return True
        return False

    async def _send_to(self, target: tuple[str, str], is_last: bool) -> bool:
        """Sends what is new to a node; False if that failed."""
        name, address = target
        if name != self.target:
            self.target = name
            self._forget()
        texts = self._collect()
        copy = handover.ReplicationRequest(
            self.coordinator.service,
            texts,
            self.model,
            self.node,
            is_last,
        )
        try:
            await self.client.send(address, copy)
        except calls.PeerError as e:
            self._forget()
            if e.status != handover.STATUS_OUT_OF_SYNC:
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

    def _forget(self) -> None:
        self.sent = {}
        self.sent_results = set()

    def _collect(self) -> list[handover.TextUpdate]:
        texts = []
        open_items = set()
        for sample in self.coordinator.unlisted_samples(self.model):
            open_items.add(sample.id)
            sent = self.sent.get(sample.id, 0)
            if sent > len(sample.events):
                sent = 0
            added = sample.events[sent:]
            is_new = sample.result and sample.id not in self.sent_results
            if added or is_new:
                texts.append(
                    handover.TextUpdate(
                        sample.id,
                        added,
                        sample.result,
                        sample.record.batch.id,
                        handover.digest(sample.events[:sent]),
                    )
                )
                self.sent[sample.id] = sent
        self.sent = {i: n for i, n in self.sent.items() if i in open_items}
        self.sent_results &= open_items
        return texts[:TEXTS_MOST]
