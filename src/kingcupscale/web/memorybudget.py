"""Decides which requests may hold memory while they are read or handled.

Load pattern: many connections send bodies, most of which stop just short of
their end and stay open, while ordinary callers send small requests.
"""

import collections
from collections.abc import Callable
import enum

import attrs

from kingcupscale.web import chunkpacer
from kingcupscale.web import clientlimits

# What a request holds besides its body: what has been received but not passed
# on yet (two copies of one read, and two chunks in a queue), headers and tasks.
# A small chunk costs nothing more, because it is copied into the body at once.
REQUEST_BYTES = 32 * 1024
# A request that holds no more than this is small.
SMALL_BYTES = 128 * 1024
# Share of the memory that only small requests may use.
SMALL_SHARE = 0.25
# Interval between sweeps.
SWEEP_INTERVAL_S = 0.25
# A longer interval means that the process itself stalled, and read nothing that
# clients had sent.
MAX_SWEEP_GAP_S = 3 * SWEEP_INTERVAL_S


class Refusal(enum.Enum):
    """Why a request is refused although it is within the size limits."""

    NO_MEMORY = "no_memory"
    TOO_SLOW = "too_slow"
    MANY_VALUES = "many_values"


def ignore() -> None:
    """The default of callbacks that are not set."""


@attrs.define(eq=False)
class Claim:
    """The memory that one request holds.

    Attributes:
        address: Address of the client.
        number: Position in the order of all requests.
        held: Bytes held.
        wanted: Bytes that it waits for; 0 if it does not wait.
        wanted_at: Monotonic time at which it began to wait.
        is_reading: Whether its body is incomplete.
        received: Bytes of the body received since the last sweep.
        swept_at: Monotonic time of the last sweep.
        fast_at: Monotonic time at which its body last arrived fast enough, or
            at which it last waited for memory.
        refusal: Why it is refused; None if it is not.
        on_granted: Called when it gets what it waits for.
        on_refused: Called when it is refused.
    """

    address: str
    number: int
    held: int = 0
    wanted: int = 0
    wanted_at: float = 0.0
    is_reading: bool = True
    received: int = 0
    swept_at: float = 0.0
    fast_at: float = 0.0
    refusal: Refusal | None = None
    on_granted: Callable[[], None] = ignore
    on_refused: Callable[[], None] = ignore

    def is_small(self, added: int = 0) -> bool:
        """Returns whether it holds little, with some bytes added."""
        return self.held + added <= SMALL_BYTES


class Budget:
    """The memory for the requests of all listeners of a process.

    A request draws on it before more of its body is read, and waits if there
    is not enough. Small requests come first. While one waits, requests whose
    bodies arrive too slowly are refused, and if that does not help in time, the
    newer half of the large requests that wait, so that the others proceed.

    Args:
        limits: The limits of the process.
        monotonic: Returns the monotonic time in seconds.

    Attributes:
        claims: The requests that hold memory or wait for it.
        waiting: Those of them that wait.
        held: Bytes held in total.
        swept_at: Monotonic time of the last sweep; None before the first.
        opened: Number of requests so far.
        refused: Number of refused requests, by reason.
        pacer: Paces bodies that consist of small chunks.
    """

    def __init__(
        self,
        limits: clientlimits.ClientLimits,
        monotonic: Callable[[], float],
    ) -> None:
        self.limits = limits
        self.monotonic = monotonic
        self.pacer = chunkpacer.ChunkPacer()
        self.claims: set[Claim] = set()
        self.waiting: set[Claim] = set()
        self.held = 0
        self.swept_at: float | None = None
        self.opened = 0
        self.held_by_address: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[Refusal] = collections.Counter()

    def open(self, address: str) -> Claim:
        """Returns the claim of a new request; it holds nothing yet."""
        now = self.monotonic()
        self.opened += 1
        claim = Claim(address, self.opened, swept_at=now, fast_at=now)
        self.claims.add(claim)
        return claim

    def draw(self, claim: Claim, size: int) -> bool:
        """Draws bytes, or has the claim wait for them.

        Returns:
            Whether the claim has got them. If not, ``on_granted`` or
            ``on_refused`` is called later.
        """
        if not self._fits(claim, size) or self._must_queue(claim, size):
            claim.wanted = size
            claim.wanted_at = self.monotonic()
            self.waiting.add(claim)
            return False
        self.add(claim, size)
        return True

    def add(self, claim: Claim, size: int) -> None:
        """Draws bytes that are held already, also beyond the budget."""
        claim.held += size
        self.held += size
        self.held_by_address[claim.address] += size

    def release(self, claim: Claim) -> None:
        """Releases everything that a claim holds, and serves the others."""
        if claim not in self.claims:
            return
        self.claims.discard(claim)
        self._stop_waiting(claim)
        self._subtract(claim, claim.held)
        self._grant_waiting()

    def shrink(self, claim: Claim, size: int) -> None:
        """Releases some of the bytes that a claim holds."""
        self._subtract(claim, min(size, claim.held))
        self._grant_waiting()

    def _subtract(self, claim: Claim, size: int) -> None:
        claim.held -= size
        self.held -= size
        self.held_by_address[claim.address] -= size
        if not self.held_by_address[claim.address]:
            del self.held_by_address[claim.address]

    def large_bytes(self) -> int:
        """Returns how much memory large requests may use."""
        return int((1 - SMALL_SHARE) * self.limits.memory_bytes)

    def available_to(self, claim: Claim) -> int:
        """Returns how much memory the other claims leave to this one."""
        return self.limits.memory_bytes - (self.held - claim.held)

    def count_refused(self, reason: Refusal) -> None:
        """Counts a request that was refused while it was handled."""
        self.refused[reason] += 1

    def sweep(self) -> None:
        """Refuses requests if others have to wait; called regularly."""
        now = self.monotonic()
        gap_s = 0.0 if self.swept_at is None else now - self.swept_at
        self.swept_at = now
        if gap_s > MAX_SWEEP_GAP_S:
            self._exclude(gap_s, now)
            return
        slow = [claim for claim in self.claims if self._is_slow(claim, now)]
        waiting = self._in_order()
        if slow and waiting:
            self._refuse_slow(slow, sum(claim.wanted for claim in waiting))
        elif waiting:
            self._refuse_late(waiting, now)

    def _exclude(self, gap_s: float, now: float) -> None:
        """Excludes a time in which the process stalled from all waits."""
        for claim in self.claims:
            claim.fast_at = claim.swept_at = now
            claim.received = 0
        for claim in self.waiting:
            claim.wanted_at = min(now, claim.wanted_at + gap_s)

    def _is_slow(self, claim: Claim, now: float) -> bool:
        """Returns whether a body has arrived too slowly for some time.

        A claim that waits for memory is not slow, because nothing is read.
        """
        needed = self.limits.body_bytes_per_s * (now - claim.swept_at)
        if claim.wanted or claim.received >= needed:
            claim.fast_at = now
        claim.swept_at = now
        claim.received = 0
        if not claim.is_reading or claim.refusal:
            return False
        return now - claim.fast_at >= self.limits.body_window_s

    def _refuse_slow(self, slow: list[Claim], missing: int) -> None:
        """Refuses slow requests, the largest first, until enough is free."""
        slow.sort(key=lambda claim: claim.held, reverse=True)
        for claim in slow:
            if missing <= 0:
                return
            missing -= claim.held
            self._refuse(claim, Refusal.TOO_SLOW)

    def _refuse_late(self, waiting: list[Claim], now: float) -> None:
        """Refuses requests that have waited too long, or block each other."""
        late = [c for c in waiting if now - c.wanted_at >= self.limits.wait_s]
        for claim in late:
            if claim.is_small(claim.wanted):
                self._refuse(claim, Refusal.NO_MEMORY)
        large = [c for c in waiting if not c.is_small(c.wanted)]
        if any(claim in late for claim in large):
            self._refuse_newer(large, large[0] in late)

    def _refuse_newer(self, large: list[Claim], is_oldest_late: bool) -> None:
        """Refuses the newer half of large claims, so that the oldest proceeds.

        More are refused if that does not free enough for it. Otherwise, if new
        ones keep arriving, the oldest would wait beside the second oldest.
        """
        oldest, *others = large
        missing = self.held + oldest.wanted - self.large_bytes()
        kept = (len(large) - 1) // 2
        while others and (len(others) > kept or missing > 0):
            claim = others.pop()
            missing -= claim.held
            self._refuse(claim, Refusal.NO_MEMORY)
        if is_oldest_late and (missing > 0 or len(large) == 1):
            self._refuse(oldest, Refusal.NO_MEMORY)

    def _refuse(self, claim: Claim, reason: Refusal) -> None:
        if claim.refusal is not None:
            return
        claim.refusal = reason
        self._stop_waiting(claim)
        self.refused[reason] += 1
        claim.on_refused()

    def _stop_waiting(self, claim: Claim) -> None:
        self.waiting.discard(claim)
        claim.wanted = 0

    def _in_order(self) -> list[Claim]:
        """Returns the claims that wait: small ones first, then by age."""
        return sorted(
            self.waiting, key=lambda c: (not c.is_small(c.wanted), c.number)
        )

    def _grant_waiting(self) -> None:
        for claim in self._in_order() if self.waiting else ():
            if self._fits(claim, claim.wanted):
                size = claim.wanted
                self._stop_waiting(claim)
                claim.fast_at = self.monotonic()
                self.add(claim, size)
                claim.on_granted()
            elif not claim.is_small(claim.wanted):
                # A newer large request must not overtake this one.
                return

    def _must_queue(self, claim: Claim, size: int) -> bool:
        """Returns whether an older large request already waits."""
        if claim.is_small(size):
            return False
        return any(
            other.number < claim.number and not other.is_small(other.wanted)
            for other in self.waiting
        )

    def _fits(self, claim: Claim, size: int) -> bool:
        if self.held == claim.held:
            # A single request is served up to the largest size allowed.
            return True
        is_small = claim.is_small(size)
        total = self.limits.memory_bytes if is_small else self.large_bytes()
        if self.held + size > total and not self._is_only_large(claim, size):
            return False
        of_address = self.held_by_address[claim.address]
        if of_address == claim.held:
            return True
        return of_address + size <= self.limits.address_bytes

    def _is_only_large(self, claim: Claim, size: int) -> bool:
        """Returns whether the others hold only what is kept for small ones."""
        large = self.large_bytes()
        others = self.held - claim.held
        is_in_small_part = others <= self.limits.memory_bytes - large
        return is_in_small_part and claim.held + size <= large
