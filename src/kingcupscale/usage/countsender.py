"""Counts on their way to the node that reports usage."""

from kingcupscale import events
from kingcupscale.fleet import peers
from kingcupscale.peering import calls
from kingcupscale.peering import counts
from kingcupscale.usage import windows
from kingcupscale.web import message


class PeerCountSender:
    """A ``CountSender`` that asks who holds the duty of reporting.

    Args:
        others: The other nodes, and who holds a duty.
        reporter: This node's part in reporting.
        client: Sends counts to other nodes.
    """

    def __init__(
        self,
        others: peers.Peers,
        reporter: windows.WindowReporter,
        client: counts.CountsClient,
    ) -> None:
        self.peers = others
        self.reporter = reporter
        self.client = client

    def holder(self) -> str:
        """Returns who reports, told apart by lease; empty for nobody."""
        return self.peers.holder_and_lease(windows.DUTY)

    async def send(self, counted: dict[int, dict[str, int]]) -> bool:
        """Tells whole counts by window; whether they were taken."""
        name = self.peers.holder(windows.DUTY)
        if name == self.peers.node:
            return self._take(name, counted)
        address = self.peers.addresses().get(name)
        if address is None:
            return False
        by_window = {str(window): found for window, found in counted.items()}
        told = counts.Counts(self.peers.node, by_window)
        try:
            await self.client.send(address, told)
        except calls.PeerError as e:
            events.log(events.Event.PEER_SILENT, peer=name, reason=e.reason)
            return False
        return True

    def handle(self, request: message.Request) -> message.Response:
        """Takes over what another node tells, if this one reports."""
        told = counts.decode(request.body)
        counted = {int(window): found for window, found in told.windows.items()}
        is_taken = self._take(told.node, counted)
        return message.Response(200 if is_taken else 503)

    def _take(self, node: str, counted: dict[int, dict[str, int]]) -> bool:
        if not self.reporter.duty_lock.is_held():
            return False
        self.reporter.receive(node, counted)
        return True
