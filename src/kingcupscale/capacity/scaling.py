"""Decides how many servers a service should have in a zone.

A server is added after a sustained high load and removed after a longer
sustained low load, so that short changes of the load have no effect.
"""

import attrs

from kingcupscale.configuration import document

# The load is high above this utilisation, or if the expected queueing time
# exceeds half of the latency target.
BUSY_UTILISATION = 0.8
# The load is low below this utilisation, unless the queueing time is too long.
IDLE_UTILISATION = 0.3
SCALE_UP_AFTER_S = 5.0
SCALE_DOWN_AFTER_S = 60.0


@attrs.frozen
class ServiceLoad:
    """The load of a service, and its ordered servers in a zone.

    Attributes:
        utilisation: Mean fraction of the slots in use, over the servers of all
            zones.
        wait_s: Expected queueing time, in seconds.
        ordered: Ordered servers of the zone that are not draining.
    """

    utilisation: float
    wait_s: float
    ordered: int


class ScalingRule:
    """Adds or removes one server at a time, after a sustained load.

    Args:
        scaling: Minimum and maximum number of servers.
        target: The service class whose latency and cost targets apply.
        cost_per_hour: Price of one server per hour.

    Example:
        >>> scaling = document.Scaling("rollout", minimum=1, maximum=3)
        >>> target = document.ServiceClass(priority=1, latency_s=2.0)
        >>> rule = ScalingRule(scaling, target, cost_per_hour=0.35)
        >>> rule.decide(ServiceLoad(0.0, 0.0, ordered=0), now=0.0)
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
        """Returns the most servers that the number and cost limits allow."""
        if self.target.cost_per_hour is None:
            return self.scaling.maximum
        affordable = int(self.target.cost_per_hour / self.cost_per_hour)
        return min(self.scaling.maximum, affordable)

    def decide(self, load: ServiceLoad, now: float) -> int:
        """Returns the desired number of servers.

        Args:
            load: The present load of the service.
            now: Monotonic time in seconds.
        """
        self._update_timers(load, now)
        wanted = load.ordered
        if _has_lasted(self.busy_since, now, SCALE_UP_AFTER_S):
            wanted += 1
            self.busy_since = None
        elif _has_lasted(self.idle_since, now, SCALE_DOWN_AFTER_S):
            wanted -= 1
            self.idle_since = None
        minimum = min(self.scaling.minimum, self.maximum())
        return max(minimum, min(self.maximum(), wanted))

    def _update_timers(self, load: ServiceLoad, now: float) -> None:
        is_wait_long = load.wait_s > self.target.latency_s / 2
        is_busy = is_wait_long or load.utilisation > BUSY_UTILISATION
        is_idle = not is_wait_long and load.utilisation < IDLE_UTILISATION
        self.busy_since = _start_time(self.busy_since, is_busy, now)
        self.idle_since = _start_time(self.idle_since, is_idle, now)


def _start_time(before: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if before is None else before


def _has_lasted(since: float | None, now: float, seconds: float) -> bool:
    return since is not None and now - since >= seconds
