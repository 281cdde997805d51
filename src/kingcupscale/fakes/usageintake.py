"""A stand-in for the interface that takes usage reports."""

import attrs

from kingcupscale.providers import usageintake
from kingcupscale.web import httprouter
from kingcupscale.web import message


class FakeUsageIntake:
    """Keeps every report that arrives.

    Attributes:
        reports: All arrivals in order, repeats included.
    """

    def __init__(self) -> None:
        self.reports: list[usageintake.Report] = []
        self.routes = httprouter.HttpRouter()
        self.routes.add("POST", "/usage", self._take)

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers one call."""
        return await self.routes(request)

    async def _take(self, request: message.Request) -> message.Response:
        self.reports.append(request.parse(usageintake.Report))
        return message.json_response(usageintake.ReportResponse(True))

    def windows(self) -> set[tuple[str, int]]:
        """Returns (shard, window) of everything reported."""
        return {(report.shard, report.window) for report in self.reports}

    def conflicts(self) -> list[tuple[str, int]]:
        """Returns the windows that came with different figures."""
        first: dict[tuple[str, int], list[usageintake.Figure]] = {}
        conflicting = set()
        for report in self.reports:
            window = (report.shard, report.window)
            if first.setdefault(window, report.figures) != report.figures:
                conflicting.add(window)
        return sorted(conflicting)

    def totals(self) -> dict[tuple[str, str], usageintake.Figure]:
        """Returns the sum over all windows by organisation and class."""
        totals: dict[tuple[str, str], usageintake.Figure] = {}
        counted = set()
        for report in self.reports:
            if (report.shard, report.window) in counted:
                continue
            counted.add((report.shard, report.window))
            for figure in report.figures:
                name = (figure.organisation, figure.service_class)
                totals[name] = _add(totals.get(name), figure)
        return totals


def _add(
    total: usageintake.Figure | None, figure: usageintake.Figure
) -> usageintake.Figure:
    if total is None:
        return figure
    return attrs.evolve(
        total,
        requests=total.requests + figure.requests,
        prompt_tokens=total.prompt_tokens + figure.prompt_tokens,
        generated_tokens=total.generated_tokens + figure.generated_tokens,
    )
