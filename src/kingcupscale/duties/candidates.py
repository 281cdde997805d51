"""Who should try for a duty's lease: a few, the same for all to see."""

from kingcupscale.peering import members as membership

MAX_CANDIDATES = 2


def is_candidate(
    duty: str, members: membership.Members, zone: str = ""
) -> bool:
    """Tells whether this node should try for a duty's lease.

    Two nodes that both think so are harmless: the store lets one through.

    Args:
        duty: Name of the duty.
        members: The members it knows.
        zone: Availability zone whose nodes come first; empty for any.
    """
    return members.me in members.ranked(duty, zone)[:MAX_CANDIDATES]
