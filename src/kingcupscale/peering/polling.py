"""How often a node polls the node that it follows for changes.

In a large fleet, polling loads the followed node: each response takes it some
milliseconds, and it also leads a service. Engines update their entries all
the time, so that a poll never waits for a change. Idle nodes, on which no
caller waits for a change, therefore poll less often the more nodes there are.
"""

# Shortest interval between two polls of an idle node, in seconds.
MIN_POLL_INTERVAL_S = 0.35
# Polls per second that a followed node receives from all idle nodes together.
MAX_IDLE_POLLS_PER_S = 60.0
# Longest interval, as a share of the time within which a configuration must be
# in effect on every node, whatever the size of the fleet.
MAX_SHARE_OF_APPLY_TIME = 0.25


def idle_poll_interval_s(nodes: int, apply_s: float) -> float:
    """Returns the interval between two polls of an idle node, in seconds.

    Args:
        nodes: Number of nodes.
        apply_s: Seconds within which a configuration must be in effect.
    """
    max_interval_s = max(MIN_POLL_INTERVAL_S, MAX_SHARE_OF_APPLY_TIME * apply_s)
    return min(
        max_interval_s, max(MIN_POLL_INTERVAL_S, nodes / MAX_IDLE_POLLS_PER_S)
    )
