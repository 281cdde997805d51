"""The platform's interface that takes usage reports."""

from collections.abc import Callable
from typing import Protocol

import attrs

from kingcupscale.providers import calls
from kingcupscale.web import message


@attrs.frozen(order=True)
class Figure:
    """What one organisation used in one class during a window.

    Attributes:
        organisation: Name of the organisation.
        service_class: Name of the class.
        requests: Requests answered.
        prompt_tokens: Tokens read.
        generated_tokens: Tokens generated.
    """

    organisation: str
    service_class: str
    requests: int
    prompt_tokens: int
    generated_tokens: int


@attrs.frozen
class Report:
    """The figures of one shard's window, the same at every sending.

    Attributes:
        shard: Which share of the organisations.
        window: Number of the window, counted up by one.
        epoch: Fencing number of the lease the report is sent under.
        figures: One per organisation and class, ordered.
    """

    shard: str
    window: int
    epoch: int
    figures: list[Figure]


@attrs.frozen
class ReportResponse:
    """Whether the intake took the report or already had the same."""

    taken: bool


class UsageIntake(Protocol):
    """Takes usage reports."""

    async def send(
        self, report: Report, before_send: Callable[[], None]
    ) -> ReportResponse:
        """Sends one report."""
        ...


class HttpUsageIntake(calls.PlatformClient):
    """The usage intake over HTTP."""

    async def send(
        self, report: Report, before_send: Callable[[], None]
    ) -> ReportResponse:
        """Sends one report.

        Args:
            report: What to send.
            before_send: Raises if the report must not leave any more.
        """
        request = message.json_request("/usage", report)
        request.before_send = before_send
        return await self.call(request, ReportResponse)
