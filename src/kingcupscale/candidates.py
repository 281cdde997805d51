"""Ranks the nodes as candidates for each duty."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from kingcupscale import rendezvous
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores


class Candidates:
    """The registered nodes, ranked by rendezvous hashing for each duty.

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
        self.cached_names: list[str] | None = None
        self.cached_holders: dict[str, str] | None = None
        mirror.subscribe(locks.NODES_PREFIX, self._on_node_changed)
        mirror.subscribe(locks.DUTIES_PREFIX, self._on_duty_changed)

    def names(self) -> list[str]:
        """Returns the names of the registered nodes, including this one."""
        if self.cached_names is None:
            self.cached_names = [
                entry.key.removeprefix(locks.NODES_PREFIX)
                for entry in self.mirror.entries_under(locks.NODES_PREFIX)
            ]
        return self.cached_names

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

    def ranking(self, duty: str) -> list[str]:
        """Returns the candidates for a duty, best first."""
        if duty not in self.rankings:
            self.rankings[duty] = rendezvous.rank(duty, self.names())
        return self.rankings[duty]

    def idle_ranking(self, duty: str) -> list[str]:
        """Returns the candidates, with holders of other duties at the end."""
        if duty not in self.idle_rankings:
            busy = {
                node for held, node in self.holders().items() if held != duty
            }
            self.idle_rankings[duty] = sorted(
                self.ranking(duty), key=busy.__contains__
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
        self.cached_names = None

    def _on_duty_changed(self, entry: stores.Entry) -> None:
        """Clears the cached rankings that depend on duties."""
        self.idle_rankings.clear()
        self.cached_holders = None


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
