"""Evacuates zones at random and checks that their servers get no requests."""

import math

import attrs
import trio

from kingcupscale.platform import names

MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 2.0
MIN_DURATION_S = 6.0
MAX_DURATION_S = 10.0
# No server has the last one. Only one zone is evacuated at a time, because the
# other one has to serve the calls.
ZONES = ("a", "b", "unknown")
# The default of ``bounds.evacuateMs``.
LIMIT_S = 5.0
# For how long requests are watched after the limit, once the faults are over.
OBSERVED_S = 2.0
# Faults that keep a node from the store for their duration, by their name.
_PROCESS_AND_STORE_FAULTS = frozenset(
    ("pause", "store down", "store slow", "store responses lost")
)
_LINK_FAULTS = frozenset(("silence", "delay", "refuse"))


@attrs.define
class Evacuation:
    """An evacuation of a zone.

    Attributes:
        zone: The zone.
        began_at: Time at which the store had it.
        ended_at: Time at which it was deleted from the store.
    """

    zone: str
    began_at: float
    ended_at: float = math.inf


class Evacuations:
    """Evacuates zones of a world, one at a time.

    Args:
        world: The world under test.
        rng: Chooses the zones and the times; nothing else may use it.

    Attributes:
        all: All evacuations; the last one may not have ended yet.
        log: The same as a log of faults.
    """

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.all = []
        self.log = []

    async def run(self, seconds):
        """Evacuates zones for some seconds; the last one may stay evacuated."""
        with trio.move_on_after(seconds):
            while True:
                await trio.sleep(
                    self.rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
                )
                self._begin(self.rng.choice(ZONES))
                await trio.sleep(
                    self.rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
                )
                self._end()

    async def finish(self, healed_at):
        """Ends the last evacuation once its limit was observed without faults.

        Args:
            healed_at: Time at which all faults had ended.
        """
        if self.all and self.all[-1].ended_at == math.inf:
            began_at = max(healed_at, self.all[-1].began_at)
            await trio.sleep_until(began_at + LIMIT_S + OBSERVED_S)
            self._end()

    def _begin(self, zone):
        self.world.store.put(names.EVACUATIONS_PREFIX + zone, b"{}")
        self.all.append(Evacuation(zone, trio.current_time()))
        self._record("evacuate", zone)

    def _end(self):
        # Nodes may send again from the moment of the deletion.
        evacuation = self.all[-1]
        evacuation.ended_at = trio.current_time()
        self.world.store.remove(names.EVACUATIONS_PREFIX + evacuation.zone)
        self._record("evacuation ended", evacuation.zone)

    def _record(self, *details):
        self.log.append((round(trio.current_time(), 3), *details))


def late_requests(evacuation, arrivals, outages):
    """Returns the requests that reached an evacuated zone after the limit.

    The limit counts from the begin of the evacuation, or again from the end of
    an outage within it, because only nodes that can reach the store are bound
    by it. Outages after the limit excuse nothing: what a node knows of the
    store stays in effect.

    Args:
        evacuation: The evacuation.
        arrivals: Requests to servers, each as (zone, server, path, time).
        outages: Times from which and to which a node could not reach the store.
    """
    limit = evacuation.began_at + LIMIT_S
    for began_at, ended_at in sorted(outages):
        if began_at < limit and ended_at > limit - LIMIT_S:
            limit = ended_at + LIMIT_S
    return [
        arrival
        for arrival in arrivals
        if arrival[0] == evacuation.zone
        and limit < arrival[3] < evacuation.ended_at
    ]


def outages(fault_log, store_address, healed_at):
    """Returns when a node was kept from the store, as (begin, end) times.

    Args:
        fault_log: The log of ``faults.Faults``.
        store_address: ``host:port`` of the store.
        healed_at: Time at which all faults had ended.
    """
    found = []
    for at, kind, *details in fault_log:
        is_link = kind in _LINK_FAULTS and details[0] == store_address
        if is_link or kind in _PROCESS_AND_STORE_FAULTS:
            found.append((at, min(at + details[-1], healed_at)))
        elif kind == "reset" and details[0] == store_address:
            found.append((at, at))
    return found
