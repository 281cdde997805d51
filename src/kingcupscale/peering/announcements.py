"""Notifies the node that runs a model's samples of a new batch.

The node that accepted the batch sends the announcement. The other node then
fetches the batch from it and need not wait until its mirror of the store
delivers the batch. An announcement that is lost has no effect.
"""

from typing import Protocol

import attrs

from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/announce"
SEND_TIMEOUT_S = 0.5


@attrs.frozen
class Announcement:
    """Announces a batch that the store has accepted.

    Attributes:
        batch: Id of the batch.
        model: Model that the batch trains.
        sender: Name of the node that accepted the batch and has it in full.
        revision: Revision of the store at which the batch was written.
        submitted_ms: Submission time in milliseconds since the Unix epoch.
    """

    batch: str
    model: str
    sender: str
    revision: int
    submitted_ms: int


class AnnouncementClient(Protocol):
    """Sends announcements to other nodes."""

    async def send(self, address: str, announcement: Announcement) -> None:
        """Sends one announcement.

        Raises:
            PeerError: If the other node did not accept it.
        """
        ...


class HttpAnnouncementClient:
    """An ``AnnouncementClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, announcement: Announcement) -> None:
        """Sends one announcement."""
        await calls.post(
            self.http_client, address, PATH, announcement, SEND_TIMEOUT_S
        )


def decode(body: bytes) -> Announcement:
    """Returns the announcement in a request body.

    Raises:
        ServiceError: ``BODY_INVALID`` if the body is invalid.
    """
    return calls.decode(body, Announcement)
