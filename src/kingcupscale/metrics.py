"""Histograms by organisation and service class, and counters.

Both are kept in memory and, if there is a statsd client, also sent to statsd.
"""

import enum

import attrs
import hdrh.histogram
import statsd

# Larger values are recorded as this one; for times, an hour in milliseconds.
MAX_VALUE = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_HISTOGRAMS = 512


class Measure(enum.Enum):
    """The quantity that a histogram records."""

    QUEUE_MS = "queue_ms"
    FIRST_TOKEN_MS = "first_token_ms"
    TOTAL_MS = "total_ms"
    SAMPLE_MS = "sample_ms"
    STALENESS_VERSIONS = "staleness_versions"


@attrs.frozen
class Summary:
    """Statistics of one histogram.

    Attributes:
        organisation: Label of the organisation.
        service_class: Name of the service class.
        measure: The quantity, with its unit.
        count: Number of values.
        p50: Median.
        p99: 99th percentile.
        maximum: Largest value.
    """

    organisation: str
    service_class: str
    measure: Measure
    count: int
    p50: int
    p99: int
    maximum: int


class Metrics:
    """All histograms and counters of one node.

    Args:
        client: The statsd client, or None to send nothing.
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self.client = client
        self.histograms: dict[
            tuple[str, str, Measure], hdrh.histogram.HdrHistogram
        ] = {}
        self.counts: dict[str, int] = {}

    def count(self, name: str, number: int = 1) -> None:
        """Adds a number to the counter of a dotted name."""
        self.counts[name] = self.counts.get(name, 0) + number
        if self.client is not None:
            self.client.incr(name, number)

    def record(
        self,
        organisation: str,
        service_class: str,
        measure: Measure,
        value: float,
    ) -> None:
        """Adds a value to a histogram.

        The value is ignored if it needs a new histogram and there are already
        ``MAX_HISTOGRAMS``.
        """
        key = (organisation, service_class, measure)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                return
            histogram = hdrh.histogram.HdrHistogram(
                1, MAX_VALUE, SIGNIFICANT_DIGITS
            )
            self.histograms[key] = histogram
        histogram.record_value(min(MAX_VALUE, max(0, round(value))))
        if self.client is not None:
            name = f"{service_class}.{organisation}.{measure.value}"
            self.client.timing(name, value)

    def summaries(self) -> list[Summary]:
        """Returns the statistics of all histograms.

        They are sorted by organisation, service class and measure.
        """
        ordered = sorted(
            self.histograms.items(),
            key=lambda item: (item[0][0], item[0][1], item[0][2].value),
        )
        return [
            Summary(
                *key,
                histogram.get_total_count(),
                histogram.get_value_at_percentile(50),
                histogram.get_value_at_percentile(99),
                histogram.get_max_value(),
            )
            for key, histogram in ordered
        ]


def make_client(address: str) -> statsd.StatsClient | None:
    """Returns a statsd client for ``host:port``, or None for no address."""
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix="kingcupscale")
