"""How often a node asks the one that it follows for changes.

Answers large fleets: each answer costs the followed node some milliseconds,
and it leads a service beside that. Engines change their entries all the time,
so every question is answered at once, and nodes that need nothing ask more
seldom the more of them there are.
"""

# Shortest pause of a node that nobody waits at, in seconds.
MIN_POLL_INTERVAL_S = 0.35
# Answers that a followed node gives such nodes, all together, in a second.
MAX_IDLE_POLLS_PER_S = 60.0
# A change has to be in force everywhere in time, whatever the fleet's size.
MAX_SHARE_OF_APPLY_TIME = 0.25


def idle_poll_interval_s(nodes: int, apply_s: float) -> float:
    """Returns the pause between two questions of a node that needs nothing.

    Args:
        nodes: How many nodes there are.
        apply_s: Seconds within which a configuration must be in force.
    """
    max_interval_s = max(MIN_POLL_INTERVAL_S, MAX_SHARE_OF_APPLY_TIME * apply_s)
    return min(
        max_interval_s, max(MIN_POLL_INTERVAL_S, nodes / MAX_IDLE_POLLS_PER_S)
    )
