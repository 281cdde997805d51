"""Selects the nodes that try to acquire the lease of a duty.

All nodes with the same membership view select the same few candidates.
"""

from kingcupscale.peering import members as membership

MAX_CANDIDATES = 2


def is_candidate(
    duty: str, members: membership.Members, zone: str = ""
) -> bool:
    """Returns whether this node should try to acquire the lease of a duty.

    Nodes with different membership views may select different candidates. This
    is harmless, as the store grants the lease to only one node.

    Args:
        duty: Name of the duty.
        members: The cluster members known to this node.
        zone: Availability zone whose nodes are preferred; empty for any.
    """
    return members.local_member in members.ranked(duty, zone)[:MAX_CANDIDATES]
