"""The ``explain`` subcommand: where a request would be sent, and why."""

import argparse
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import orjson

from kingcupscale import codec
from kingcupscale.commands import connection
from kingcupscale.operating import explainquery
from kingcupscale.operating import explanations

COLUMNS = (
    "rank",
    "server",
    "zone",
    "cost",
    "in flight",
    "others",
    "report age",
    "slots",
    "slowness",
    "failures",
    "latency",
    "cold",
)


def add_parser(commands: Any) -> None:
    """Adds the subcommand."""
    parser = commands.add_parser(
        "explain",
        help="show where a request or a batch would be sent now, and why",
        description="Shows where a node would send a request or the samples of"
        " a batch now, and why. Nothing is sent to a server.",
    )
    connection.add_arguments(parser)
    parser.add_argument("--method", default="", help="default: POST")
    parser.add_argument("--host", default="", help="Host header")
    parser.add_argument("--path", default="", help="path without the query")
    parser.add_argument(
        "--organisation", default="", help="its name, not its key"
    )
    parser.add_argument("--priority", default="", help="0 is the most urgent")
    parser.add_argument(
        "--service",
        default="",
        help="only this service of the route, or a plain service of a"
        " node of kingcupscale node",
    )
    parser.add_argument("--batch", default="", help="id of a batch")
    parser.add_argument("--item", default="", help="id of an item of the batch")
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of tables"
    )
    parser.set_defaults(run=run_explain)


def run_explain(arguments: argparse.Namespace) -> None:
    """Prints an explanation."""
    _require_question(arguments)
    fields = {
        name: getattr(arguments, name) for name in explainquery.PARAMETERS
    }
    kind = (
        explanations.BatchExplanation
        if arguments.batch
        else explanations.CallExplanation
    )
    found = connection.call(
        arguments,
        "GET",
        explainquery.PATH,
        kind,
        query=explainquery.encode_query(fields),
        requires_key=False,
    )
    if arguments.json:
        print(format_json(found))
    elif isinstance(found, explanations.BatchExplanation):
        print("\n".join(format_batch(found)))
    else:
        print("\n".join(format_call(found)))


def _require_question(arguments: argparse.Namespace) -> None:
    if not (arguments.batch or arguments.service or arguments.path):
        raise connection.CommandError(
            "nothing to explain; use --host and --path, --service, or --batch",
            connection.EXIT_USAGE,
        )


def format_json(
    found: explanations.CallExplanation | explanations.BatchExplanation,
) -> str:
    """Returns an explanation as JSON for programs."""
    return orjson.dumps(
        codec.unstructure(found), option=orjson.OPT_INDENT_2
    ).decode()


def format_call(found: explanations.CallExplanation) -> list[str]:
    """Returns the lines of a request's explanation."""
    lines = [
        _format_view(found.view),
        f"route: {found.route or 'none'}"
        + (f" ({found.kind})" if found.kind else ""),
        *_format_owner(found.organisation, found.priority, found.zones),
    ]
    if found.rejection is not None:
        lines.append(_format_rejection(found.rejection))
    for service in found.services:
        lines += ["", *_format_service(service)]
    return [*lines, *(f"note: {note}" for note in found.notes)]


def format_batch(found: explanations.BatchExplanation) -> list[str]:
    """Returns the lines of a batch's explanation."""
    stages = ", ".join(f"{n} {name}" for name, n in found.stages.items())
    state = "open" if found.is_open else "not open"
    lines = [
        _format_view(found.view),
        f"batch: {found.batch}, {state}, {found.finished} of {found.total}"
        f" results{', here ' + stages if stages else ''}",
        f"route: {found.route or 'none'}",
        *_format_owner(found.organisation, found.priority, found.zones),
        f"model: {found.model or 'none'}, needs version"
        f" {found.minimum_version}, newest named {found.target_version}",
        f"run by: {found.holder or 'no node'}"
        f"{' (this node runs it)' if found.runs_here else ''}",
    ]
    if found.item is not None:
        lines.append(_format_item(found.item))
    if found.service is not None:
        lines += ["", *_format_service(found.service)]
    return [*lines, *(f"note: {note}" for note in found.notes)]


def _format_view(view: explanations.View) -> str:
    age = "never read" if view.age_s is None else f"{view.age_s:.2f} s old"
    return (
        f"node {view.node} in {view.zone}: configuration"
        f" {view.configuration}, view {age}"
    )


def _format_owner(
    organisation: str, priority: int | None, zones: Sequence[str] | None
) -> list[str]:
    allowed = "all" if zones is None else ", ".join(zones) or "none"
    return [
        f"organisation: {organisation or 'none'}, priority"
        f" {'none' if priority is None else priority}, allowed zones: {allowed}"
    ]


def _format_item(item: explanations.Item) -> str:
    place = "" if item.position is None else f", {item.position} before it"
    server = f", latest run on {item.server}" if item.server else ""
    return (
        f"item: {item.id} of group {item.group}, {item.stage}{server},"
        f" {item.events} events{place}, fails in {item.fails_in_s:.1f} s"
    )


def _format_service(service: explanations.Service) -> list[str]:
    chosen = [s for s in service.servers if s.rank is not None]
    excluded = [s for s in service.servers if s.rank is None]
    wait = service.expected_wait_s
    lines = [
        f"service {service.name} (probability {service.probability:g}):"
        f" expected wait {'unknown' if wait is None else f'{wait:g} s'}"
        + (
            ""
            if service.longest_wait_s is None
            else f", waits up to {service.longest_wait_s:g} s"
        )
    ]
    if chosen:
        lines += _format_table([COLUMNS, *(_figures(s) for s in chosen)])
    else:
        lines.append("  no candidate")
    for server in excluded:
        reasons = "; ".join(_format_exclusion(e) for e in server.excluded)
        lines.append(f"  excluded: {server.id} in {server.zone}: {reasons}")
    if service.rejection is not None:
        lines.append(f"  {_format_rejection(service.rejection)}")
    return lines


def _figures(server: explanations.Server) -> Sequence[str]:
    age = server.report_age_s
    return (
        str(server.rank),
        server.id,
        server.zone,
        "" if server.cost is None else f"{server.cost:.3f}",
        str(server.in_flight),
        str(server.other_requests),
        "none" if age is None else f"{age:.2f} s",
        str(server.slots),
        _decimals(server.slowness),
        str(server.failures),
        _decimals(server.relative_latency),
        "yes" if server.is_cold else "no",
    )


def _decimals(value: float | None) -> str:
    return "" if value is None else f"{value:.2f}"


def _format_exclusion(exclusion: explanations.Exclusion) -> str:
    text = exclusion.reason.replace("_", " ")
    if exclusion.detail:
        text += f" ({exclusion.detail})"
    if exclusion.seconds_left is not None:
        text += f", {exclusion.seconds_left:.2f} s left"
    return text


def _format_rejection(rejection: explanations.Rejection) -> str:
    when = (
        "rejected now"
        if rejection.is_certain
        else "if no server accepts it in time"
    )
    text = (
        f"{when}: {rejection.status}, code {rejection.code}"
        f" {rejection.name}: {rejection.message}"
    )
    if rejection.retry_after_s is not None:
        first, last = rejection.retry_after_s
        span = f"{first:g}" if first == last else f"{first:g} to {last:g}"
        text += f" Retry-After {span} s."
    return text


def _format_table(rows: Iterable[Sequence[str]]) -> list[str]:
    cells = list(rows)
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    return [
        "  "
        + "  ".join(
            text.ljust(width) for text, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
