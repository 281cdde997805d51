"""How many servers a zone should have for a service."""

import attrs

from kingcupscale.configuration import document

BUSY_UTILISATION = 0.8
IDLE_UTILISATION = 0.3
BUSY_FOR_S = 5.0
IDLE_FOR_S = 60.0


@attrs.frozen
class Reading:
    """How a service fares in a zone.

    Attributes:
        utilisation: Mean share of its servers' slots in use.
        wait_s: Expected wait for a server, in seconds.
        ordered: Servers ordered so far.
    """

    utilisation: float
    wait_s: float
    ordered: int


class ScalingRule:
    """Decides one server at a time, slow to change its direction.

    Args:
        scaling: How many servers are allowed.
        target: The class whose targets decide.
        cost_per_hour: Price of one server.

    Example:
        >>> scaling = document.Scaling("rollout", minimum=1, maximum=3)
        >>> target = document.ServiceClass(priority=1, latency_s=2.0)
        >>> rule = ScalingRule(scaling, target, cost_per_hour=0.35)
        >>> rule.decide(Reading(0.0, 0.0, ordered=0), now=0.0)
        1
    """

    def __init__(
        self,
        scaling: document.Scaling,
        target: document.ServiceClass,
        cost_per_hour: float,
    ) -> None:
        self.scaling = scaling
        self.target = target
        self.cost_per_hour = cost_per_hour
        self.busy_since: float | None = None
        self.idle_since: float | None = None

    def maximum(self) -> int:
        """Returns the most servers that number and cost allow."""
        if self.target.cost_per_hour is None:
            return self.scaling.maximum
        affordable = int(self.target.cost_per_hour / self.cost_per_hour)
        return min(self.scaling.maximum, affordable)

    def decide(self, reading: Reading, now: float) -> int:
        """Returns how many servers there should be.

        Args:
            reading: How the service fares.
            now: Monotonic seconds.
        """
        self._note(reading, now)
        wanted = reading.ordered
        if _lasted(self.busy_since, now, BUSY_FOR_S):
            wanted += 1
            self.busy_since = None
        elif _lasted(self.idle_since, now, IDLE_FOR_S):
            wanted -= 1
            self.idle_since = None
        lowest = min(self.scaling.minimum, self.maximum())
        return max(lowest, min(self.maximum(), wanted))

    def _note(self, reading: Reading, now: float) -> None:
        is_late = reading.wait_s > self.target.latency_s / 2
        is_busy = is_late or reading.utilisation > BUSY_UTILISATION
        is_idle = not is_late and reading.utilisation < IDLE_UTILISATION
        self.busy_since = _since(self.busy_since, is_busy, now)
        self.idle_since = _since(self.idle_since, is_idle, now)


def _since(before: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if before is None else before


def _lasted(since: float | None, now: float, seconds: float) -> bool:
    return since is not None and now - since >= seconds
