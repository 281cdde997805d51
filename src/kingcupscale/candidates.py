"""Ranks the nodes as candidates for each duty."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from kingcupscale import rendezvous
from kingcupscale.fleet import nodeentry
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

# A node belongs to the first tier if it has at least this share of the largest
# capacity. It is below 1 so that similar VMs count as equal.
TIER_SHARE = 0.75


class Candidates:
    """The registered nodes, ranked by tier and rendezvous hash for each duty.

    Rankings are cached and recomputed when a node or a duty's holder changes.

    Args:
        mirror: The local mirror of the store, with the nodes' entries.
        node: This node's name.
    """

    def __init__(self, mirror: mirrors.StoreMirror, node: str) -> None:
        self.mirror = mirror
        self.node = node
        self.rankings: dict[str, list[str]] = {}
        self.idle_rankings: dict[str, list[str]] = {}
        self.cached_capacities: dict[str, float] | None = None
        self.cached_holders: dict[str, str] | None = None
        mirror.subscribe(locks.NODES_PREFIX, self._on_node_changed)
        mirror.subscribe(locks.DUTIES_PREFIX, self._on_duty_changed)

    def names(self) -> list[str]:
        """Returns the names of the registered nodes, including this one."""
        return list(self.capacities())

    def capacities(self) -> dict[str, float]:
        """Returns the capacity of each registered node, in cores."""
        if self.cached_capacities is None:
            self.cached_capacities = {
                entry.key.removeprefix(locks.NODES_PREFIX): (
                    nodeentry.decode(entry.value).cores
                )
                for entry in self.mirror.entries_under(locks.NODES_PREFIX)
            }
        return self.cached_capacities

    def holders(self) -> dict[str, str]:
        """Returns the node that holds each duty, by name of the duty."""
        if self.cached_holders is None:
            self.cached_holders = {
                entry.key.removeprefix(locks.DUTIES_PREFIX): (
                    (entry.value or b"").decode().partition(" ")[0]
                )
                for entry in self.mirror.entries_under(locks.DUTIES_PREFIX)
            }
        return self.cached_holders

    def count_duties_by_tier(self) -> tuple[int, int]:
        """Returns how many duties the first tier and the other nodes hold."""
        first = first_tier(self.capacities())
        holders = [node for node in self.holders().values() if node]
        held_by_first = sum(node in first for node in holders)
        return held_by_first, len(holders) - held_by_first

    def ranking(self, duty: str) -> list[str]:
        """Returns the candidates for a duty, the first tier first."""
        if duty not in self.rankings:
            first = first_tier(self.capacities())
            self.rankings[duty] = sorted(
                rendezvous.rank(duty, self.names()),
                key=lambda name: name not in first,
            )
        return self.rankings[duty]

    def idle_ranking(self, duty: str) -> list[str]:
        """Returns the candidates for a duty of a large fleet, best first.

        The tiers are those of the capacity that each node has per duty if it
        gets this one. In each tier, holders of other duties come last.
        """
        if duty not in self.idle_rankings:
            others = collections.Counter(
                node for held, node in self.holders().items() if held != duty
            )
            first = first_tier(
                {
                    node: cores / (1 + others[node])
                    for node, cores in self.capacities().items()
                }
            )
            self.idle_rankings[duty] = sorted(
                rendezvous.rank(duty, self.names()),
                key=lambda name: (name not in first, name in others),
            )
        return self.idle_rankings[duty]

    def position(self, ranking: Sequence[str]) -> int:
        """Returns this node's index in a ranking, its length if missing."""
        if self.node in ranking:
            return ranking.index(self.node)
        return len(ranking)

    def _on_node_changed(self, entry: stores.Entry) -> None:
        """Clears all cached rankings."""
        self.rankings.clear()
        self.idle_rankings.clear()
        self.cached_capacities = None

    def _on_duty_changed(self, entry: stores.Entry) -> None:
        """Clears the cached rankings that depend on duties."""
        self.idle_rankings.clear()
        self.cached_holders = None


def first_tier(capacities: Mapping[str, float]) -> frozenset[str]:
    """Returns the nodes with at least ``TIER_SHARE`` of the largest capacity.

    Args:
        capacities: Capacity by node, in cores.
    """
    least = TIER_SHARE * max(capacities.values(), default=0.0)
    return frozenset(n for n, cores in capacities.items() if cores >= least)


def find_surplus_duty(
    duties: Sequence[str],
    holders: Mapping[str, str],
    node: str,
    candidates: Iterable[str],
) -> str:
    """Returns the duty that a node should transfer to a node without a duty.

    Empty if there is none. While one of the duties has no holder, nothing is
    transferred, because some node is about to acquire it.

    Args:
        duties: The duties to distribute, those to keep first.
        holders: The holders of these and other duties, by duty.
        node: The node that may transfer a duty.
        candidates: The registered nodes.
    """
    if not all(holders.get(duty) for duty in duties):
        return ""
    if not set(candidates) - set(holders.values()):
        return ""
    held = [duty for duty, holder in holders.items() if holder == node]
    surplus = [duty for duty in duties if holders[duty] == node]
    return surplus[-1] if len(held) > 1 and surplus else ""
