"""Who should try for a duty's lease: a few, the same for all to see."""

from kingcupscale import rendezvous
from kingcupscale.peering import members as membership

CANDIDATES = 2


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
    alive = members.alive()
    near = [m.name for m in alive if m.zone == zone]
    names = near or [m.name for m in alive]
    return members.me.name in rendezvous.rank(duty, names)[:CANDIDATES]
