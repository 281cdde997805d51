"""The ``status``, ``handover`` and ``drain`` subcommands."""

import argparse
from typing import Any

from kingcupscale.commands import connection
from kingcupscale.operating import messages


def add_parsers(commands: Any) -> None:
    """Adds the three subcommands."""
    status_parser = commands.add_parser(
        "status", help="show the state of a node"
    )
    connection.add_arguments(status_parser)
    status_parser.set_defaults(run=run_status)
    handover_parser = commands.add_parser(
        "handover", help="show the report for the next shift of operators"
    )
    connection.add_arguments(handover_parser)
    handover_parser.set_defaults(run=run_handover)
    drain_parser = commands.add_parser(
        "drain", help="stop a node after its open requests have ended"
    )
    connection.add_arguments(drain_parser)
    drain_parser.set_defaults(run=run_drain)


def run_status(arguments: argparse.Namespace) -> None:
    """Prints the state of a node."""
    status = connection.call(
        arguments, "GET", "/status", messages.StatusResponse
    )
    age = status.confirmed_age_s
    confirmed = "never" if age is None else f"{age:.1f} s ago"
    print(
        f"node {status.node} in {status.zone}, incarnation {status.incarnation}"
    )
    print(f"admitting: {status.admitting}, draining: {status.draining}")
    print(f"configuration: revision {status.revision}, confirmed {confirmed}")
    print(f"requests: {status.active_requests} open")
    for service, count in sorted(status.queued.items()):
        print(f"  {count} queued for {service}")
    _print_list("members", [f"{m.name} {m.status}" for m in status.members])
    _print_list(
        "leases",
        [
            f"{h.name} epoch {h.epoch}, {h.seconds_left} s left"
            for h in status.leases
        ],
    )
    _print_list(
        "histograms (organisation, class, measure: count p50 p99 max)",
        [
            f"{h.organisation} {h.service_class} {h.measure.value}:"
            f" {h.count} {h.p50} {h.p99} {h.maximum}"
            for h in status.histograms
        ],
    )


def run_handover(arguments: argparse.Namespace) -> None:
    """Prints the report for the next shift of operators."""
    report = connection.call(
        arguments, "GET", "/handover", messages.HandoverResponse
    )
    print(f"handover of {report.at:%Y-%m-%d %H:%M:%S} UTC by {report.node}")
    print(f"in force: revision {report.revision}")
    lines = []
    for change in report.changes:
        lines.append(
            f"{change.revision} {change.at:%Y-%m-%d %H:%M:%S}"
            f" {change.operator}: {change.reason}"
        )
        lines += [f"    {line}" for line in change.lines]
    _print_list("changes", lines)
    _print_list("unfinished operations", report.half_done)
    _print_list("leases", report.leases)
    _print_list("alarms", report.alarms)
    _print_list("usage not yet reported", report.unreported_usage)


def run_drain(arguments: argparse.Namespace) -> None:
    """Starts the planned stop of a node."""
    connection.call(arguments, "POST", "/drain", dict[str, bool])
    print(
        f"{arguments.node} is draining: it accepts no new requests and"
        " stops after its open requests have ended"
    )


def _print_list(title: str, lines: list[str]) -> None:
    print(f"{title}:")
    for line in lines or ["none"]:
        print(f"  {line}")
