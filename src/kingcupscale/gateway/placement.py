"""Load balancing of single calls over the servers of a service.

Nodes receive uneven shares of the calls. Each node therefore combines the load
that servers report with the calls it has in flight itself. It prefers servers
in its own availability zone unless one in another zone is expected to be
faster.
"""

from collections.abc import Iterable
import random

from kingcupscale.fleet import registry

# Cost of a server in another zone, as a share of its slots. It must be this
# much less busy to be worth the traffic between zones.
OTHER_ZONE_COST = 0.15
# Cost of each consecutive failure of a server, in latencies of an average idle
# server.
FAILURE_COST = 0.5


def choose(
    servers: Iterable[registry.Server],
    zone: str,
    now: float,
    rng: random.Random,
) -> registry.Server | None:
    """Returns the server that is expected to finish a call first.

    Args:
        servers: Usable candidates.
        zone: Availability zone of this node.
        now: Monotonic time.
        rng: Breaks ties.
    """
    return min(
        servers,
        key=lambda server: (cost(server, zone, now), rng.random()),
        default=None,
    )


def cost(server: registry.Server, zone: str, now: float) -> float:
    """Returns the cost of choosing a server.

    It is the expected latency relative to an average idle server, plus the
    costs of recent failures and of another zone.
    """
    utilisation = server.load(now) / max(1, server.entry.slots)
    latency = server.relative_latency * server.slowness(now)
    total = (1.0 + utilisation) * latency + FAILURE_COST * server.failures
    return total if server.entry.zone == zone else total + OTHER_ZONE_COST


def choose_random(
    servers: Iterable[registry.Server],
    zone: str,
    now: float,
    rng: random.Random,
) -> registry.Server | None:
    """Returns a random server; tests compare ``choose`` against it."""
    candidates = sorted(servers, key=lambda server: server.id)
    return rng.choice(candidates) if candidates else None
