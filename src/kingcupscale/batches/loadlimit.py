"""Limits how many engines load weights at the same time.

Concurrent loads slow each other down beyond a number that depends on the
deployment's storage and network and that no setting tells. The limit is
therefore learned from how long loads take: it grows by one while loads are as
fast as the fastest ones, and shrinks by a factor when they are slower.
"""

import collections
import statistics

import attrs

# Share of the engines that may load at the same time until loads have been
# measured.
INITIAL_SHARE = 0.42
MIN_LIMIT = 2
# Factor of a decrease.
DECREASE = 0.7
# Loads are slow if their median exceeds the shortest ones by this share of
# their time and at least by this time. An engine's status shows the end of a
# load up to 0.4 s late, which alone moves the median by 0.2 s.
SLOW_SHARE = 0.3
SLOW_S = 0.45
# Number of load times that are compared with the shortest ones, and how many
# suffice if they are all long.
COMPARED = 8
COMPARED_IF_ALL_LONG = 4
# Load times that are kept to find the shortest ones, and which share of them
# counts as shortest. They span several changes of the limit: with fewer, loads
# that are always slow would count as short. A single low value can come from a
# load that another leader had begun.
KEPT = 200
SHORTEST_SHARE = 0.05
# Load time that is assumed in place of this many first ones. A new leader may
# begin with too many loads and would take their times for the shortest.
EXPECTED_LOAD_S = 1.2
EXPECTED_COUNT = 8
# Rounds of loads at the limit that precede an increase, those that precede one
# to a limit at which loads were slow, which double each time that they are slow
# there again, and their upper limit.
ROUNDS = 1
ROUNDS_TO_SLOW = 8
MAX_ROUNDS = 64


def _make_durations() -> collections.deque[float]:
    return collections.deque(EXPECTED_COUNT * [EXPECTED_LOAD_S], maxlen=KEPT)


@attrs.define
class LoadLimit:
    """How many engines may load at the same time.

    Attributes:
        limit: The limit; 0 until the number of engines is known.
        durations: Latest load times in seconds.
        compared: Load times in seconds that have not been compared yet.
        at_limit: Number of loads since the last change of the limit that ran
            while the limit did not allow another one that was due.
        changed_at: Monotonic time of that change.
        slow_limit: Limit at which loads were slow last; 0 if none.
        first_limit: Limit that the present number of engines would have begun
            with.
        rounds_to_slow: Rounds of loads before it is tried again.
        is_measured: Whether a load has been measured.
    """

    limit: int = 0
    durations: collections.deque[float] = attrs.field(factory=_make_durations)
    compared: list[float] = attrs.field(factory=list)
    at_limit: int = 0
    changed_at: float = -1e9
    slow_limit: int = 0
    first_limit: int = 0
    rounds_to_slow: int = ROUNDS_TO_SLOW
    is_measured: bool = False

    def current(self, engines: int) -> int:
        """Returns the limit.

        The number of engines sets only the first limit, until a load has been
        measured. What slows loads down is shared by the engines and does not
        grow with them. An autoscaler may start with few engines, so the limit
        doubles up to the first limit of the present engines as long as no loads
        were slow.

        Args:
            engines: Number of engines that accept work.
        """
        self.first_limit = max(MIN_LIMIT, int(engines * INITIAL_SHARE))
        if engines and not self.is_measured:
            self.limit = self.first_limit
        return max(MIN_LIMIT, self.limit)

    def shortest_s(self) -> float:
        """Returns the seconds that a load takes while few others run."""
        ordered = sorted(self.durations)
        return ordered[int(len(ordered) * SHORTEST_SHARE)]

    def typical_s(self) -> float:
        """Returns the seconds that a load takes at the median."""
        return statistics.median(self.durations)

    def record(
        self, ordered_at: float, now: float, peak: int, is_limited: bool
    ) -> None:
        """Records a completed load and adapts the limit.

        A load that ended without its version must not be recorded: its time
        tells something about its engine only.

        Args:
            ordered_at: Monotonic time of its order.
            now: Monotonic time of its end.
            peak: Most loads in progress during it, including itself.
            is_limited: Whether another load was due meanwhile that the limit
                did not allow.
        """
        self.is_measured = True
        self.durations.append(now - ordered_at)
        # It began before the change, or so few ran that a decrease would not
        # have delayed any of them.
        if ordered_at < self.changed_at or peak < DECREASE * self.limit:
            return
        self.compared.append(now - ordered_at)
        self.at_limit += is_limited
        is_slow = self._is_slow()
        needed = self.limit if self._is_starting() else COMPARED
        if not is_slow and len(self.compared) < min(COMPARED, needed):
            return
        if is_slow and self.limit <= MIN_LIMIT:
            # So few loads do not slow each other down: loads take longer now.
            self.durations = collections.deque(self.compared, maxlen=KEPT)
            self.slow_limit = 0
        elif is_slow:
            is_again = self.limit == self.slow_limit
            rounds = 2 * self.rounds_to_slow if is_again else ROUNDS_TO_SLOW
            self.rounds_to_slow = min(MAX_ROUNDS, rounds)
            self.slow_limit = self.limit
            self._change(max(MIN_LIMIT, int(self.limit * DECREASE)), now)
        elif self.at_limit >= self.limit * self._rounds():
            self._change(self._next_limit(), now)
        self.compared.clear()

    def _is_starting(self) -> bool:
        """Returns whether the limit may still double."""
        return not self.slow_limit and self.limit < self.first_limit

    def _next_limit(self) -> int:
        if not self._is_starting():
            return self.limit + 1
        return min(2 * self.limit, self.first_limit)

    def _is_slow(self) -> bool:
        """Returns whether loads take longer than while few others run."""
        shortest_s = self.shortest_s()
        slow_s = shortest_s + max(SLOW_S, SLOW_SHARE * shortest_s)
        if len(self.compared) < COMPARED:
            is_enough = len(self.compared) >= COMPARED_IF_ALL_LONG
            return is_enough and min(self.compared) > slow_s
        return statistics.median(self.compared) > slow_s

    def _rounds(self) -> int:
        """Returns the rounds of loads at the limit before an increase."""
        is_slow_next = 0 < self.slow_limit <= self.limit + 1
        return self.rounds_to_slow if is_slow_next else ROUNDS

    def _change(self, limit: int, now: float) -> None:
        self.limit = limit
        self.changed_at = now
        self.at_limit = 0
