"""Probabilistic filters against exact sets and against no index at all.

Two uses are weighed: keys withdrawn while the store is away, and which engine
caches which prompt prefix. The filter is a replicated grow-only Bloom filter,
after Xiong, "Conflict-Free Replicated Probabilistic Filter": merging is a
bitwise or, and it never forgets an entry.
"""

import argparse
import collections
import math
import random
import sys
import time

import attrs
import orjson

from kingcupscale import hashing
from kingcupscale import rendezvous

ENGINES = 123
CACHE_ENTRIES = 256
PREFIXES = 20_000
REQUESTS = 24_000
INDEX_EVERY = 2_000
WITHDRAWN = 200
VALID_KEYS = 100_000


class BloomFilter:
    """A grow-only filter that merges by a bitwise or.

    Args:
        entries: How many it is made for.
        false_positives: Share of strangers it may take for entries.
    """

    def __init__(self, entries: int, false_positives: float) -> None:
        bits = -entries * math.log(false_positives) / math.log(2) ** 2
        self.size = max(8, math.ceil(bits))
        self.hashes = max(1, round(self.size / entries * math.log(2)))
        self.bits = 0

    def _mask(self, text: str) -> int:
        mask = 0
        for index in range(self.hashes):
            mask |= 1 << (hashing.hash64(f"{index}/{text}") % self.size)
        return mask

    def add(self, text: str) -> None:
        """Adds an entry."""
        self.bits |= self._mask(text)

    def merge(self, other: "BloomFilter") -> None:
        """Takes in another replica."""
        self.bits |= other.bits

    def __contains__(self, text: str) -> bool:
        mask = self._mask(text)
        return self.bits & mask == mask


@attrs.frozen
class Withdrawn:
    """Keeping withdrawn keys.

    Attributes:
        way: Exact set or filter.
        bytes: Size of what travels.
        lookup_us: Time to look one key up.
        refused_wrongly: Of ``VALID_KEYS`` valid keys.
    """

    way: str
    bytes: int
    lookup_us: float
    refused_wrongly: int


@attrs.frozen
class Affinity:
    """Finding the engine that caches a prefix.

    Attributes:
        way: No index, exact index or filters.
        hit_share: Share of requests that found their prefix cached.
        state_kb: What one node keeps for a zone's engines.
        decide_us: Time to choose an engine.
    """

    way: str
    hit_share: float
    state_kb: float
    decide_us: float


def measure_withdrawn(false_positives: float) -> list[Withdrawn]:
    """Returns both ways of keeping withdrawn keys."""
    keys = [f"customer-{number}-key" for number in range(WITHDRAWN)]
    valid = [f"valid-{number}-key" for number in range(VALID_KEYS)]
    exact = set(keys)
    bloom = BloomFilter(WITHDRAWN, false_positives)
    for key in keys:
        bloom.add(key)
    size = sum(len(key) + 2 for key in keys)
    return [
        Withdrawn("exact set", size, *_look_up(exact, valid)),
        Withdrawn(
            f"filter at {false_positives:g}",
            bloom.size // 8,
            *_look_up(bloom, valid),
        ),
    ]


def _look_up(index: set[str] | BloomFilter, keys: list[str]) -> tuple:
    began_at = time.perf_counter()
    found = sum(key in index for key in keys)
    elapsed = time.perf_counter() - began_at
    return round(1e6 * elapsed / len(keys), 2), found


class Fleet:
    """Engines with caches, and an index of them that lags."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.names = [f"engine-{number}" for number in range(ENGINES)]
        self.caches = {n: collections.OrderedDict() for n in self.names}
        self.loads = dict.fromkeys(self.names, 0)
        self.holders: dict[str, list[str]] = {}
        self.filters: dict[str, BloomFilter] = {}

    def draw_prefix(self) -> str:
        """Returns a prefix, a few of them far more often than most."""
        rank = int(PREFIXES * self.rng.random() ** 4)
        return f"prefix-{rank}"

    def serve(self, name: str, prefix: str) -> bool:
        """Runs a request; tells whether the prefix was cached."""
        cache = self.caches[name]
        self.loads[name] += 1
        hit = prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if len(cache) > CACHE_ENTRIES:
            cache.popitem(last=False)
        return hit

    def lightest(self, names: list[str]) -> str:
        """Returns the lighter of two drawn."""
        pair = self.rng.sample(names, min(2, len(names)))
        return min(pair, key=self.loads.__getitem__)

    def choose_by_hash(self, prefix: str) -> str:
        """Chooses by rendezvous hashing with bounded load."""
        bound = 1.25 * sum(self.loads.values()) / ENGINES + 1
        for name in rendezvous.rank(prefix, self.names)[:2]:
            if self.loads[name] <= bound:
                return name
        return self.lightest(self.names)

    def choose_by_exact(self, prefix: str) -> str:
        """Chooses among the engines that the index names."""
        return self.lightest(self.holders.get(prefix) or self.names)

    def choose_by_filter(self, prefix: str) -> str:
        """Chooses among the engines whose filters name the prefix."""
        named = [n for n in self.names if prefix in self.filters[n]]
        return self.lightest(named or self.names)

    def index(self, false_positives: float) -> None:
        """Brings both indexes up to date, as cache events would."""
        self.holders = {}
        for name, cache in self.caches.items():
            bloom = BloomFilter(CACHE_ENTRIES, false_positives)
            for prefix in cache:
                self.holders.setdefault(prefix, []).append(name)
                bloom.add(prefix)
            self.filters[name] = bloom


def measure_affinity(way: str, false_positives: float) -> Affinity:
    """Returns how one way of choosing engines fares."""
    fleet = Fleet(seed=1)
    fleet.index(false_positives)
    choose = {
        "no index (rendezvous)": fleet.choose_by_hash,
        "exact index": fleet.choose_by_exact,
        "filters": fleet.choose_by_filter,
    }[way]
    hits = counted = 0
    spent_s = 0.0
    for number in range(REQUESTS):
        if number % INDEX_EVERY == 0 and way != "no index (rendezvous)":
            fleet.index(false_positives)
        prefix = fleet.draw_prefix()
        began_at = time.perf_counter()
        name = choose(prefix)
        spent_s += time.perf_counter() - began_at
        hit = fleet.serve(name, prefix)
        if number >= REQUESTS // 2:
            hits += hit
            counted += 1
    state = {
        "no index (rendezvous)": 0.0,
        "exact index": ENGINES * CACHE_ENTRIES * 8 / 1000,
        "filters": ENGINES * fleet.filters["engine-0"].size / 8 / 1000,
    }[way]
    return Affinity(
        way,
        round(hits / counted, 3),
        round(state, 1),
        round(1e6 * spent_s / REQUESTS, 1),
    )


def main() -> int:
    """Weighs the ways from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    results: list[Withdrawn | Affinity] = []
    for rate in (1e-2, 1e-6):
        results += measure_withdrawn(rate)
    for way in ("no index (rendezvous)", "exact index", "filters"):
        results.append(measure_affinity(way, 1e-2))
    if arguments.json:
        print(orjson.dumps([attrs.asdict(r) for r in results]).decode())
    else:
        for result in results:
            print(result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
