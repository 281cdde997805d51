"""Replication of unfinished texts to the node that would take over.

The node that runs a model's samples sends the new events of their texts to the
next candidate, so that a takeover continues the texts instead of restarting
them. Replicas are kept in memory only: if one is lost, its texts are merely
generated again.
"""

from typing import Protocol

import attrs

from kingcupscale import hashing
from kingcupscale.batches import batch
from kingcupscale.fleet import serverclient
from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/texts"
SEND_TIMEOUT_S = 0.5
# The receiver lacks the events before the new ones or has different ones; the
# text must be sent again from its first event.
STATUS_OUT_OF_SYNC = 409


@attrs.frozen
class TextUpdate:
    """New events of one sample's text since it was last sent.

    Attributes:
        item: Id of the item.
        events: The new events, in order.
        result: Result of the item, if it is finished and not yet listed.
        batch_id: Batch of the result. The item may also be in another batch,
            which requires other weight versions.
        before: Digest of the events before the new ones; empty for none. Two
            nodes that run the same item at the same time generate different
            texts, which must not be joined.
    """

    item: str
    events: list[serverclient.StreamEvent]
    result: batch.Result | None = None
    batch_id: str = ""
    before: str = ""

    def continues(self, known: list[serverclient.StreamEvent]) -> bool:
        """Returns whether the new events continue a text."""
        if not self.events or self.events[0].number == 1:
            return True
        is_next = self.events[0].number == len(known) + 1
        return is_next and self.before == digest(known)


def digest(text: list[serverclient.StreamEvent]) -> str:
    """Returns a digest of a text; empty if it has no events."""
    if not text:
        return ""
    whole = "\0".join(f"{event.version} {event.data}" for event in text)
    return hashing.hex64(whole)


@attrs.frozen
class ReplicationRequest:
    """Updates of the texts of one service's samples.

    Attributes:
        service: Name of the service.
        texts: The updates.
        model: Model whose samples the sender runs.
        sender: Name of the sending node.
        is_last: Whether the sender stops running the samples, so that the
            receiver continues them at once.
    """

    service: str
    texts: list[TextUpdate]
    model: str = ""
    sender: str = ""
    is_last: bool = False


class ReplicationClient(Protocol):
    """Sends replicas of texts to other nodes."""

    async def send(self, address: str, request: ReplicationRequest) -> None:
        """Sends one request.

        Raises:
            PeerError: If the other node did not accept it.
        """
        ...


class HttpReplicationClient:
    """A ``ReplicationClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, request: ReplicationRequest) -> None:
        """Sends one request."""
        await calls.post(
            self.http_client, address, PATH, request, SEND_TIMEOUT_S
        )


def decode(body: bytes) -> ReplicationRequest:
    """Returns the replication request in a request body.

    Raises:
        ServiceError: ``BODY_INVALID`` if the body is invalid.
    """
    return calls.decode(body, ReplicationRequest)
