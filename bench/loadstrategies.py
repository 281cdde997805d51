"""The ways to distribute calls that ``bench.loadreplay`` compares."""

from collections.abc import Callable
import functools
import random

import attrs
import xxhash

from bench import loadfleet
from kingcupscale.fleet import registry
from kingcupscale.gateway import placement

# Servers in a node's share.
SUBSET_SIZE = 3
# Least free capacity of a server, in slots, as a weight of a random choice.
MIN_FREE = 0.25


@attrs.frozen
class Present:
    """Lowest cost of all servers by the node's view."""

    shares_reports: bool = False

    def choose(
        self,
        node: loadfleet.Node,
        usable: list[int],
        now: float,
        rng: random.Random,
    ) -> int:
        """Returns the server with the lowest cost."""
        return _lowest(node, usable, now, rng)


@attrs.frozen
class TwoRandom:
    """The one with the lower cost of two random servers."""

    shares_reports: bool = False

    def choose(
        self,
        node: loadfleet.Node,
        usable: list[int],
        now: float,
        rng: random.Random,
    ) -> int:
        """Returns the better of two random servers."""
        return _lowest(node, rng.sample(usable, min(2, len(usable))), now, rng)


@attrs.frozen
class WeightedRandom:
    """A random server, weighted by its free capacity."""

    shares_reports: bool = False

    def choose(
        self,
        node: loadfleet.Node,
        usable: list[int],
        now: float,
        rng: random.Random,
    ) -> int:
        """Returns a random server by free slots and slowness."""
        views = [node.views[index] for index in usable]
        weights = [
            max(MIN_FREE, view.entry.slots - view.load(now))
            / view.slowness(now)
            for view in views
        ]
        return rng.choices(usable, weights)[0]


@attrs.frozen
class Subset:
    """The lowest own count within a node's rendezvous share of the servers."""

    shares_reports: bool = False

    def choose(
        self,
        node: loadfleet.Node,
        usable: list[int],
        now: float,
        rng: random.Random,
    ) -> int:
        """Returns the server of the share with the fewest own requests."""
        ranked = sorted(usable, key=lambda index: _rank(node.name, index))
        return min(
            ranked[:SUBSET_SIZE],
            key=lambda index: (node.views[index].in_flight, rng.random()),
        )


@attrs.define
class Affinity:
    """The product's placement: open connections, subsets and recent calls.

    Attributes:
        shares_reports: Whether nodes send reports with their messages.
        placements: The placement of each node, by name.
    """

    shares_reports: bool = False
    placements: dict[str, placement.CallPlacement] = attrs.field(factory=dict)

    def choose(
        self,
        node: loadfleet.Node,
        usable: list[int],
        now: float,
        rng: random.Random,
    ) -> int:
        """Returns the server that ``gateway.placement`` chooses."""
        mine = self.placements.get(node.name)
        if mine is None:
            mine = placement.CallPlacement(node.name, node.zone, _none, rng)
            self.placements[node.name] = mine
        mine.has_idle_connection = lambda server: bool(
            node.idle_connections(node.addresses[server.entry.address], now)
        )
        chosen = mine.choose([node.views[index] for index in usable], now)
        assert chosen is not None
        mine.record_call(chosen, now)
        return node.addresses[chosen.entry.address]


STRATEGIES: dict[str, Callable[[], loadfleet.Strategy]] = {
    "lowest cost": Present,
    "lowest cost, informed": lambda: Present(shares_reports=True),
    "two random": TwoRandom,
    "two random, informed": lambda: TwoRandom(shares_reports=True),
    "weighted random": WeightedRandom,
    "subset, own counts": Subset,
    "affinity": Affinity,
    "affinity, informed": lambda: Affinity(shares_reports=True),
}


def _none(server: registry.Server) -> bool:
    """Returns that there is no idle connection."""
    return False


@functools.lru_cache(maxsize=100_000)
def _rank(name: str, index: int) -> int:
    return xxhash.xxh64_intdigest(f"{name}/s{index}".encode())


def _lowest(
    node: loadfleet.Node,
    indices: list[int],
    now: float,
    rng: random.Random,
) -> int:
    return min(
        indices,
        key=lambda index: (
            placement.cost(node.views[index], node.zone, now),
            rng.random(),
        ),
    )
