"""Serves a node's metrics in the Prometheus text format, and explanations."""

from kingcupscale import announcing
from kingcupscale import logs
from kingcupscale import metrics
from kingcupscale import runtime as runtimes
from kingcupscale.operating import explainhandler
from kingcupscale.operating import explainquery
from kingcupscale.web import clientguard
from kingcupscale.web import connectionlimits
from kingcupscale.web import memorybudget
from kingcupscale.web import message

CONTENT_TYPE = "text/plain; version=0.0.4"
PREFIX = "kingcupscale_"


class MetricsHandler:
    """Serves the metrics of one node.

    Args:
        runtime: The runtime of the node.
        lines: The writer of the node's log lines, which counts them by event;
            None if there is none.
        guard: The memory budget and the connections of its clients.
    """

    def __init__(
        self,
        runtime: runtimes.Runtime,
        lines: logs.LineWriter | None,
        guard: clientguard.ClientGuard,
    ) -> None:
        self.runtime = runtime
        self.lines = lines
        self.guard = guard
        self.explain = explainhandler.ExplainHandler(runtime)

    async def __call__(self, request: message.Request) -> message.Response:
        """Returns an explanation, or all metrics for any other path."""
        if request.path == explainquery.PATH:
            return await self.explain(request)
        rows = [
            *self._gauges(),
            *self._duties(),
            *self._announcements(),
            *self._weight_loads(),
            *self._calls(),
            *self._store_calls(),
            *self._events(),
            *self._clients(),
            *self._histograms(),
        ]
        body = "".join(f"{PREFIX}{row}\n" for row in rows).encode()
        return message.Response(200, {"content-type": CONTENT_TYPE}, body)

    def _gauges(self) -> list[str]:
        runtime = self.runtime
        catalogue = runtime.cluster_state.catalogue
        usable_servers = [
            server
            for server in runtime.server_registry.servers.values()
            if server.is_usable(runtime.clock.monotonic())
        ]
        cold_servers = [
            server
            for server in runtime.server_registry.servers.values()
            if runtime.eligibility.is_cold(server)
        ]
        evacuated_zones = runtime.server_registry.evacuations.zones()
        crash_records = runtime.crash_guard.records
        return [
            f"ready {int(runtime.is_ready())}",
            f"configuration_version {catalogue.version if catalogue else 0}",
            f"mirror_age_seconds {runtime.mirror.age_s():.3f}",
            f"mirror_revision {runtime.mirror.revision}",
            f"duties_held {runtime.count_held_duties()}",
            f"servers_known {len(runtime.server_registry.servers)}",
            f"servers_usable {len(usable_servers)}",
            f"servers_cold {len(cold_servers)}",
            f"zones_evacuated {len(evacuated_zones)}",
            f"requests_suspected {len(crash_records.records)}",
            f"requests_blocked {len(crash_records.blocked())}",
            f"batches_known {len(runtime.batch_cache.records)}",
            f"readers_waiting {runtime.batch_cache.waiting_readers}",
        ]

    def _duties(self) -> list[str]:
        """Returns the duties of the whole fleet by the holders' tier."""
        first, other = self.runtime.candidates.count_duties_by_tier()
        return [
            f'fleet_duties{{tier="first"}} {first}',
            f'fleet_duties{{tier="other"}} {other}',
        ]

    def _announcements(self) -> list[str]:
        counts = self.runtime.metrics.counts
        return [
            f'announcements_total{{outcome="{outcome.value}"}}'
            f" {counts.get(announcing.COUNTER + outcome.value, 0)}"
            for outcome in announcing.Outcome
        ]

    def _weight_loads(self) -> list[str]:
        now = self.runtime.clock.monotonic()
        return [
            f'{name}{{service="{service}"}} {value}'
            for service, duty in sorted(self.runtime.services.items())
            for name, value in (
                ("load_limit", duty.loader.limit.limit),
                ("loads_in_progress", duty.loader.count_in_progress(now)),
                ("steps_waiting", duty.coordinator.count_waiting_steps()),
            )
        ]

    def _calls(self) -> list[str]:
        """Returns who waits for a server, and who was refused and why."""
        forwarder = self.runtime.forwarder
        waiting = [
            f'calls_waiting{{organisation="{name}",priority="{priority}"}}'
            f" {count}"
            for (name, priority), count in sorted(
                forwarder.waits.waiting().items()
            )
        ]
        refused = [
            f'calls_refused_total{{organisation="{name}",code="{code}"}}'
            f" {count}"
            for (name, code), count in sorted(forwarder.refused.items())
        ]
        return [*waiting, *refused]

    def _store_calls(self) -> list[str]:
        calls = self.runtime.dependencies.store.calls
        return [
            f'store_calls_total{{call="{name}"}} {count}'
            for name, count in sorted(calls.items())
        ]

    def _events(self) -> list[str]:
        if self.lines is None:
            return []
        rows = [
            f'events_total{{event="{number}"}} {count}'
            for number, count in sorted(self.lines.counts.items())
        ]
        return [*rows, f"log_lines_dropped_total {self.lines.dropped_total}"]

    def _clients(self) -> list[str]:
        budget, connections = self.guard.budget, self.guard.connections
        return [
            f"request_bytes_held {budget.held}",
            f"request_bytes_allowed {budget.limits.memory_bytes}",
            f"requests_waiting_for_memory {len(budget.waiting)}",
            *(
                f'requests_refused_total{{reason="{reason.value}"}}'
                f" {budget.refused[reason]}"
                for reason in memorybudget.Refusal
            ),
            *(
                f'connections_open{{listener="{name}"}} {count}'
                for name, count in connections.open.items()
            ),
            *(
                f'connections_closed_total{{reason="{reason.value}"}}'
                f" {connections.closed[reason]}"
                for reason in connectionlimits.Reason
            ),
        ]

    def _histograms(self) -> list[str]:
        return [
            row
            for summary in self.runtime.metrics.summaries()
            for row in _format_summary(summary)
        ]


def _format_summary(summary: metrics.Summary) -> list[str]:
    labels = (
        f'organisation="{summary.organisation}",route="{summary.service_class}"'
    )
    name = summary.measure.value
    return [
        f"{name}_count{{{labels}}} {summary.count}",
        f'{name}{{{labels},quantile="0.5"}} {summary.p50}',
        f'{name}{{{labels},quantile="0.99"}} {summary.p99}',
        f'{name}{{{labels},quantile="1"}} {summary.maximum}',
    ]
