"""Tells other nodes about requests under which servers have crashed."""

from typing import Protocol

import attrs

from kingcupscale.crashes import records
from kingcupscale.peering import calls
from kingcupscale.web import httpclient

PATH = "/crashes"
SEND_TIMEOUT_S = 0.5


@attrs.frozen
class CrashReports:
    """Records of several requests.

    Attributes:
        sender: Name of the node that sends them.
        records: The records.
    """

    sender: str
    records: list[records.CrashRecord]


class CrashReportClient(Protocol):
    """Sends records to other nodes."""

    async def send(self, address: str, reports: CrashReports) -> None:
        """Sends records.

        Raises:
            PeerError: If the other node did not accept them.
        """
        ...


class HttpCrashReportClient:
    """A ``CrashReportClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def send(self, address: str, reports: CrashReports) -> None:
        """Sends records."""
        await calls.post(
            self.http_client, address, PATH, reports, SEND_TIMEOUT_S
        )


def decode(body: bytes) -> CrashReports:
    """Returns the records in a request body.

    Raises:
        ServiceError: ``BODY_INVALID`` if the body is invalid.
    """
    return calls.decode(body, CrashReports)
