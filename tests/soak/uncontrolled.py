"""Injects uncontrolled clients beside the ordinary callers."""

import collections

import trio

from tests.hostile import clients

MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 3.0
MIN_DURATION_S = 1.0
MAX_DURATION_S = 4.0
# A group of the largest size exceeds, with the ordinary connections, what a
# node accepts under ``world.CLIENT_CONNECTIONS``.
MIN_CONNECTIONS = 16
MAX_CONNECTIONS = 96
# Share of the groups that connect to the listener for callers, the only one
# that reads large bodies of anyone.
CALLERS_SHARE = 0.6
KINDS = (
    clients.announce_too_much,
    clients.send_too_much,
    clients.withhold_end,
    clients.withhold_large_chunk,
    clients.withhold_small_chunk,
    clients.withhold_end_of_head,
    clients.send_nothing,
)


class UncontrolledClients:
    """Connects groups of uncontrolled clients to nodes at random.

    Args:
        world: The world under test.
        rng: Chooses the groups and their times; nothing else may use it.

    Attributes:
        log: The groups, each with its time.
        connected: Number of groups that are connected, by address.
    """

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.log = []
        self.connected = collections.Counter()

    async def run(self, seconds):
        """Connects groups for some seconds, then disconnects all of them."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(
                        self.rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
                    )
                    nursery.start_soon(self._connect, *self._draw())

    def _draw(self):
        node = self.rng.choice(self.world.nodes)
        is_callers = self.rng.random() < CALLERS_SHARE
        address = (
            node.caller_address
            if is_callers
            else self.rng.choice([node.readiness_address, node.peer_address])
        )
        client = self.rng.choice(KINDS)
        number = self.rng.randint(MIN_CONNECTIONS, MAX_CONNECTIONS)
        duration_s = self.rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        self.log.append(
            (
                round(trio.current_time(), 3),
                "uncontrolled clients",
                client.__name__,
                number,
                address,
                duration_s,
            )
        )
        return client, number, address, duration_s

    async def _connect(self, client, number, address, duration_s):
        self.connected[address] += 1
        try:
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as nursery:
                    for _ in range(number):
                        nursery.start_soon(clients.run, client, address)
        finally:
            self.connected[address] -= 1
