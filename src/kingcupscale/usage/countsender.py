"""Sends usage counts to the node that holds the usage duty.

Also handles the counts that other nodes send when this node holds the duty.
"""

from kingcupscale import events
from kingcupscale.fleet import peers
from kingcupscale.peering import calls
from kingcupscale.peering import counts
from kingcupscale.usage import windows
from kingcupscale.web import message


class PeerCountSender:
    """A ``CountSender`` that sends counts to the holder of the usage duty.

    Args:
        others: Finds the holder of a duty, and the addresses of other nodes.
        reporter: This node's reporter, which receives counts while this node
            holds the duty.
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
        """Returns the reporting node and its lease; empty if there is none."""
        return self.peers.holder_and_lease(windows.DUTY)

    async def send(self, counted: dict[int, dict[str, int]]) -> bool:
        """Sends the total counts of windows to the reporting node.

        Returns:
            Whether the reporting node accepted them.
        """
        name = self.peers.holder(windows.DUTY)
        if name == self.peers.node:
            return self._receive(name, counted)
        address = self.peers.addresses().get(name)
        if address is None:
            return False
        by_window = {str(window): total for window, total in counted.items()}
        body = counts.Counts(self.peers.node, by_window)
        try:
            await self.client.send(address, body)
        except calls.PeerError as e:
            events.log(events.Event.PEER_SILENT, peer=name, reason=e.reason)
            return False
        return True

    def handle(self, request: message.Request) -> message.Response:
        """Accepts the counts of another node if this node holds the duty.

        Responds with status 503 otherwise.
        """
        body = counts.decode(request.body)
        counted = {int(window): total for window, total in body.windows.items()}
        is_accepted = self._receive(body.node, counted)
        return message.Response(200 if is_accepted else 503)

    def _receive(self, node: str, counted: dict[int, dict[str, int]]) -> bool:
        if not self.reporter.duty_lock.is_held():
            return False
        self.reporter.receive(node, counted)
        return True
