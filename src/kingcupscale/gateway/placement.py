"""Which server gets a plain call.

Answers load that comes to a few nodes in uneven shares: each node joins what
servers told of their load with what it has sent them itself, and leaves its
own availability zone only where that saves time.
"""

from collections.abc import Iterable
import random

from kingcupscale.fleet import registry

# A server in another zone must be this much less busy, as a share of its
# slots, to be worth the bytes between zones.
OTHER_ZONE_COST = 0.15
# Weight of a row of failures against load.
FAILURE_COST = 0.5


def choose(
    servers: Iterable[registry.Server],
    zone: str,
    now: float,
    rng: random.Random,
) -> registry.Server | None:
    """Returns the server on which a call probably ends first.

    Args:
        servers: Usable candidates.
        zone: Availability zone of this node.
        now: Monotonic time.
        rng: Decides among equals.
    """
    return min(
        servers,
        key=lambda server: (cost(server, zone, now), rng.random()),
        default=None,
    )


def cost(server: registry.Server, zone: str, now: float) -> float:
    """Returns the expected time on a server, in services of an idle one."""
    share = server.load(now) / max(1, server.entry.slots)
    total = (
        1.0 + share
    ) * server.relative_latency + FAILURE_COST * server.failures
    return total if server.entry.zone == zone else total + OTHER_ZONE_COST


def choose_random(
    servers: Iterable[registry.Server],
    zone: str,
    now: float,
    rng: random.Random,
) -> registry.Server | None:
    """Returns any server; the baseline of ``choose``."""
    candidates = sorted(servers, key=lambda server: server.id)
    return rng.choice(candidates) if candidates else None
