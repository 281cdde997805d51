"""Compares probabilistic filters with exact sets and with no index.

Two uses are compared: the set of keys withdrawn while the store is unreachable,
and the index of prompt prefixes that each engine caches. The filter is a
replicated grow-only Bloom filter, after Xiong, "Conflict-Free Replicated
Probabilistic Filter": replicas are merged by a bitwise or, and entries cannot
be removed.
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
INDEX_INTERVAL = 2_000
WITHDRAWN = 200
VALID_KEYS = 100_000


class BloomFilter:
    """A grow-only Bloom filter whose replicas merge by a bitwise or.

    Args:
        entries: Number of entries that the filter is sized for.
        false_positives: Target false-positive rate at that number of entries.
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
        """Merges another replica into this one."""
        self.bits |= other.bits

    def __contains__(self, text: str) -> bool:
        mask = self._mask(text)
        return self.bits & mask == mask


@attrs.frozen
class WithdrawnKeysResult:
    """Result of one way to store withdrawn keys.

    Attributes:
        way: Exact set or filter.
        bytes: Size of the set when sent to another node.
        lookup_us: Time to look up one key.
        refused_wrongly: Number of false positives among ``VALID_KEYS`` valid
            keys.
    """

    way: str
    bytes: int
    lookup_us: float
    refused_wrongly: int


@attrs.frozen
class PrefixAffinityResult:
    """Result of one way to find an engine that caches a prefix.

    Attributes:
        way: No index, exact index or filters.
        hit_share: Fraction of requests whose prefix was cached.
        state_kb: Size of one node's index of the engines of a zone.
        decide_us: Time to choose an engine.
    """

    way: str
    hit_share: float
    state_kb: float
    decide_us: float


def measure_withdrawn(false_positives: float) -> list[WithdrawnKeysResult]:
    """Measures an exact set and a filter of withdrawn keys."""
    keys = [f"customer-{number}-key" for number in range(WITHDRAWN)]
    valid = [f"valid-{number}-key" for number in range(VALID_KEYS)]
    exact = set(keys)
    bloom = BloomFilter(WITHDRAWN, false_positives)
    for key in keys:
        bloom.add(key)
    size = sum(len(key) + 2 for key in keys)
    return [
        WithdrawnKeysResult("exact set", size, *_time_lookups(exact, valid)),
        WithdrawnKeysResult(
            f"filter at {false_positives:g}",
            bloom.size // 8,
            *_time_lookups(bloom, valid),
        ),
    ]


def _time_lookups(index: set[str] | BloomFilter, keys: list[str]) -> tuple:
    started_at = time.perf_counter()
    found = sum(key in index for key in keys)
    elapsed = time.perf_counter() - started_at
    return round(1e6 * elapsed / len(keys), 2), found


class Fleet:
    """Simulated engines with prefix caches, and two indexes of the caches.

    The indexes lag behind: caches change between calls of ``rebuild_indexes``.

    Attributes:
        caches: The cached prefixes of each engine, least recently used first.
        loads: Number of requests served by each engine.
        holders: The exact index: names of the engines that cache a prefix.
        filters: The other index: a filter of the prefixes of each engine.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.names = [f"engine-{number}" for number in range(ENGINES)]
        self.caches = {n: collections.OrderedDict() for n in self.names}
        self.loads = dict.fromkeys(self.names, 0)
        self.holders: dict[str, list[str]] = {}
        self.filters: dict[str, BloomFilter] = {}

    def draw_prefix(self) -> str:
        """Returns a random prefix from a skewed distribution.

        A few prefixes are far more frequent than most.
        """
        rank = int(PREFIXES * self.rng.random() ** 4)
        return f"prefix-{rank}"

    def serve(self, name: str, prefix: str) -> bool:
        """Runs a request and returns whether its prefix was cached."""
        cache = self.caches[name]
        self.loads[name] += 1
        hit = prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if len(cache) > CACHE_ENTRIES:
            cache.popitem(last=False)
        return hit

    def less_loaded(self, names: list[str]) -> str:
        """Returns the less loaded of two randomly chosen engines."""
        pair = self.rng.sample(names, min(2, len(names)))
        return min(pair, key=self.loads.__getitem__)

    def choose_by_hash(self, prefix: str) -> str:
        """Chooses by rendezvous hashing with bounded load."""
        bound = 1.25 * sum(self.loads.values()) / ENGINES + 1
        for name in rendezvous.rank(prefix, self.names)[:2]:
            if self.loads[name] <= bound:
                return name
        return self.less_loaded(self.names)

    def choose_by_exact(self, prefix: str) -> str:
        """Chooses among the engines that the exact index lists."""
        return self.less_loaded(self.holders.get(prefix) or self.names)

    def choose_by_filter(self, prefix: str) -> str:
        """Chooses among the engines whose filters contain the prefix."""
        matching = [n for n in self.names if prefix in self.filters[n]]
        return self.less_loaded(matching or self.names)

    def rebuild_indexes(self, false_positives: float) -> None:
        """Updates both indexes, as cache events from the engines would."""
        self.holders = {}
        for name, cache in self.caches.items():
            bloom = BloomFilter(CACHE_ENTRIES, false_positives)
            for prefix in cache:
                self.holders.setdefault(prefix, []).append(name)
                bloom.add(prefix)
            self.filters[name] = bloom


def measure_affinity(way: str, false_positives: float) -> PrefixAffinityResult:
    """Measures one way to choose engines.

    Only the second half of the requests counts for the hit rate; the first half
    fills the caches.
    """
    fleet = Fleet(seed=1)
    fleet.rebuild_indexes(false_positives)
    choose = {
        "no index (rendezvous)": fleet.choose_by_hash,
        "exact index": fleet.choose_by_exact,
        "filters": fleet.choose_by_filter,
    }[way]
    hits = counted = 0
    spent_s = 0.0
    for number in range(REQUESTS):
        if number % INDEX_INTERVAL == 0 and way != "no index (rendezvous)":
            fleet.rebuild_indexes(false_positives)
        prefix = fleet.draw_prefix()
        started_at = time.perf_counter()
        name = choose(prefix)
        spent_s += time.perf_counter() - started_at
        hit = fleet.serve(name, prefix)
        if number >= REQUESTS // 2:
            hits += hit
            counted += 1
    state = {
        "no index (rendezvous)": 0.0,
        "exact index": ENGINES * CACHE_ENTRIES * 8 / 1000,
        "filters": ENGINES * fleet.filters["engine-0"].size / 8 / 1000,
    }[way]
    return PrefixAffinityResult(
        way,
        round(hits / counted, 3),
        round(state, 1),
        round(1e6 * spent_s / REQUESTS, 1),
    )


def main() -> int:
    """Runs the comparison from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    results: list[WithdrawnKeysResult | PrefixAffinityResult] = []
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
