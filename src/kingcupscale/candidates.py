"""Which of the nodes is preferred for a duty."""

from kingcupscale import rendezvous
from kingcupscale.storage import feed as feeds
from kingcupscale.storage import store as stores
from kingcupscale.storage import tenure as tenures


class Candidates:
    """The nodes that take part, ranked anew for each duty.

    Args:
        feed: The mirror that tells of the nodes.
        node: This node's name.
    """

    def __init__(self, feed: feeds.Feed, node: str) -> None:
        self.feed = feed
        self.node = node
        self.rankings: dict[str, list[str]] = {}
        self.known: list[str] | None = None
        feed.subscribe(tenures.NODES_PREFIX, self._take_node)

    def names(self) -> list[str]:
        """Returns the nodes that take part, this one included."""
        if self.known is None:
            self.known = [
                entry.key.removeprefix(tenures.NODES_PREFIX)
                for entry in self.feed.under(tenures.NODES_PREFIX)
            ]
        return self.known

    def ranking(self, duty: str) -> list[str]:
        """Returns the candidates for a duty, the preferred one first."""
        if duty not in self.rankings:
            self.rankings[duty] = rendezvous.rank(duty, self.names())
        return self.rankings[duty]

    def rank(self, duty: str) -> int:
        """Returns this node's place among the candidates for a duty."""
        ranking = self.ranking(duty)
        if self.node in ranking:
            return ranking.index(self.node)
        return len(ranking)

    def _take_node(self, entry: stores.Entry) -> None:
        """Has the candidates ranked anew."""
        self.rankings.clear()
        self.known = None
