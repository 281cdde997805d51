"""Client of the usage intake, the platform's service for usage reports."""

from collections.abc import Callable
from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


@attrs.frozen(order=True)
class Figure:
    """The usage of an organisation in a service class during a window.

    Attributes:
        organisation: Name of the organisation.
        service_class: Name of the service class.
        requests: Number of completed requests.
        prompt_tokens: Number of prompt tokens.
        generated_tokens: Number of generated tokens.
    """

    organisation: str
    service_class: str
    requests: int
    prompt_tokens: int
    generated_tokens: int


@attrs.frozen
class Report:
    """The usage report of one shard for one window.

    A report has the same content each time it is sent.

    Attributes:
        shard: The shard of the organisations.
        window: Number of the window; windows are numbered consecutively.
        epoch: Fencing token of the lease under which the report is sent.
        figures: One per organisation and service class, sorted.
    """

    shard: str
    window: int
    epoch: int
    figures: list[Figure]


@attrs.frozen
class ReportResponse:
    """The response to a report.

    Attributes:
        taken: Whether the report was accepted, now or before.
    """

    taken: bool


class UsageIntake(Protocol):
    """Accepts usage reports."""

    async def send(
        self, report: Report, before_send: Callable[[], None]
    ) -> ReportResponse:
        """Sends one report."""
        ...


class HttpUsageIntake(calls.PlatformClient):
    """The HTTP client of the usage intake."""

    async def send(
        self, report: Report, before_send: Callable[[], None]
    ) -> ReportResponse:
        """Sends one report.

        Args:
            report: The report.
            before_send: Called just before the report is sent; raises an error
                if it must not be sent any more.
        """
        request = message.json_request("/usage", report)
        request.before_send = before_send
        return await self.call(request, ReportResponse)
