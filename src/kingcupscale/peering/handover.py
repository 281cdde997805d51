"""Texts on their way, copied to the node that would run them next.

A leader sends what its samples have added to the next candidate, so that a
takeover goes on with the texts instead of beginning them again. Nothing is
lost for good with a copy, so nothing is stored.
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
# Says that a text has to be sent anew, from its first event on.
STATUS_OUT_OF_SYNC = 409


@attrs.frozen
class TextUpdate:
    """What one sample has added since it was last sent.

    Attributes:
        item: The item's identity.
        events: New events, in order.
        result: Its result, if it is finished and not listed yet.
        before: Digest of the events before the new ones; empty for none. Two
            nodes that run an item at the same time make different texts,
            which must not be joined.
        batch_id: The batch that the result belongs to; the item may come
            again in another one, which wants other versions.
    """

    item: str
    events: list[serverclient.StreamEvent]
    result: batch.Result | None = None
    batch_id: str = ""
    before: str = ""

    def continues(self, known: list[serverclient.StreamEvent]) -> bool:
        """Tells whether the new events go on with a known text."""
        if not self.events or self.events[0].number == 1:
            return True
        is_next = self.events[0].number == len(known) + 1
        return is_next and self.before == digest(known)


def digest(text: list[serverclient.StreamEvent]) -> str:
    """Returns what tells a text from others; empty for none."""
    if not text:
        return ""
    whole = "\0".join(f"{event.version} {event.data}" for event in text)
    return hashing.short(whole)


@attrs.frozen
class ReplicationRequest:
    """Texts of one service's samples.

    Attributes:
        service: The service.
        texts: The texts.
        model: Model whose samples the sender runs.
        sender: The node that sends it.
        is_last: Whether the sender stops running them, so that its receiver
            goes on with them at once.
    """

    service: str
    texts: list[TextUpdate]
    model: str = ""
    sender: str = ""
    is_last: bool = False


class CopyClient(Protocol):
    """Sends copies to other nodes."""

    async def send(self, address: str, request: ReplicationRequest) -> None:
        """Sends one copy.

        Raises:
            PeerError: If it was not taken.
        """
        ...


class HttpCopyClient:
    """A ``CopyClient`` over HTTP.

    Args:
        http_client: Carries the calls.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, request: ReplicationRequest) -> None:
        """Sends one copy."""
        await calls.post(
            self.http_client, address, PATH, request, SEND_TIMEOUT_S
        )


def decode(body: bytes) -> ReplicationRequest:
    """Returns a copy as it came.

    Raises:
        ServiceError: ``BODY_INVALID``.
    """
    return calls.decode(body, ReplicationRequest)
