"""Which of the nodes is preferred for a duty."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from kingcupscale import rendezvous
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores


class Candidates:
    """The nodes that take part, ranked anew for each duty.

    Args:
        mirror: The mirror that tells of the nodes.
        node: This node's name.
    """

    def __init__(self, mirror: mirrors.StoreMirror, node: str) -> None:
        self.mirror = mirror
        self.node = node
        self.rankings: dict[str, list[str]] = {}
        self.idle_rankings: dict[str, list[str]] = {}
        self.known: list[str] | None = None
        self.known_holders: dict[str, str] | None = None
        mirror.subscribe(locks.NODES_PREFIX, self._take_node)
        mirror.subscribe(locks.DUTIES_PREFIX, self._take_duty)

    def names(self) -> list[str]:
        """Returns the nodes that take part, this one included."""
        if self.known is None:
            self.known = [
                entry.key.removeprefix(locks.NODES_PREFIX)
                for entry in self.mirror.entries_under(locks.NODES_PREFIX)
            ]
        return self.known

    def holders(self) -> dict[str, str]:
        """Returns the nodes that hold duties, by duty."""
        if self.known_holders is None:
            self.known_holders = {
                entry.key.removeprefix(locks.DUTIES_PREFIX): (
                    (entry.value or b"").decode().partition(" ")[0]
                )
                for entry in self.mirror.entries_under(locks.DUTIES_PREFIX)
            }
        return self.known_holders

    def ranking(self, duty: str) -> list[str]:
        """Returns the candidates for a duty, the preferred one first."""
        if duty not in self.rankings:
            self.rankings[duty] = rendezvous.rank(duty, self.names())
        return self.rankings[duty]

    def idle_ranking(self, duty: str) -> list[str]:
        """Returns the candidates, those that hold another duty last."""
        if duty not in self.idle_rankings:
            busy = {
                node for held, node in self.holders().items() if held != duty
            }
            self.idle_rankings[duty] = sorted(
                self.ranking(duty), key=busy.__contains__
            )
        return self.idle_rankings[duty]

    def place(self, ranking: Sequence[str]) -> int:
        """Returns this node's place in a ranking; behind all if not in it."""
        if self.node in ranking:
            return ranking.index(self.node)
        return len(ranking)

    def _take_node(self, entry: stores.Entry) -> None:
        """Has the candidates ranked anew."""
        self.rankings.clear()
        self.idle_rankings.clear()
        self.known = None

    def _take_duty(self, entry: stores.Entry) -> None:
        """Has the idle candidates ranked anew."""
        self.idle_rankings.clear()
        self.known_holders = None


def find_surplus_duty(
    duties: Sequence[str],
    holders: Mapping[str, str],
    node: str,
    candidates: Iterable[str],
) -> str:
    """Returns the duty that a node gives to an idle one; empty for none.

    While one of the duties is free, some node is about to take it.

    Args:
        duties: The duties that are to be spread, the ones to keep first.
        holders: The nodes that hold these and other duties, by duty.
        node: The node.
        candidates: The nodes that take part.
    """
    if not all(holders.get(duty) for duty in duties):
        return ""
    if not set(candidates) - set(holders.values()):
        return ""
    held = [duty for duty, holder in holders.items() if holder == node]
    surplus = [duty for duty in duties if holders[duty] == node]
    return surplus[-1] if len(held) > 1 and surplus else ""
