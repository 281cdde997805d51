"""Injects random, overlapping faults from outside the node processes."""

import signal

import trio

from tests.platform import harness

MIN_INTERVAL_S = 0.2
MAX_INTERVAL_S = 1.5
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0


class Faults:
    """Injects faults into a world at random.

    Each fault is a method that takes a duration; faults without one, such as
    ``reset_link``, ignore it.

    Args:
        world: The world under test.
        rng: Chooses the faults and their times.

    Attributes:
        log: The injected faults, each with its time.
    """

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.log = []

    async def run(self, seconds):
        """Injects faults for some seconds, then cancels those still active."""
        kinds = (
            self.pause_node,
            self.kill_node,
            self.stop_node,
            self.reload_node,
            self.stall_link,
            self.reset_link,
            self.delay_link,
            self.refuse_link,
            self.disconnect_server,
            self.slow_server,
            self.stop_store,
            self.slow_store,
            self.lose_store_responses,
            self.compact_store_history,
            self.stop_cloud,
            self.step_clock,
            self.change_configuration,
        )
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(
                        self.rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
                    )
                    kind = self.rng.choice(kinds)
                    duration_s = self.rng.uniform(
                        MIN_DURATION_S, MAX_DURATION_S
                    )
                    nursery.start_soon(kind, duration_s)

    def _record(self, *details):
        self.log.append((round(trio.current_time(), 3), *details))

    def _choose_node(self):
        return self.rng.choice(self.world.nodes)

    async def pause_node(self, duration_s):
        """Suspends a process for a while, as when its VM is suspended."""
        node = self._choose_node()
        self._record("pause", node.name, duration_s)
        node.pause(True)
        try:
            await trio.sleep(duration_s)
        finally:
            node.pause(False)

    async def kill_node(self, duration_s):
        """Kills a process and restarts it."""
        node = self._choose_node()
        self._record("kill", node.name, duration_s)
        node.send(signal.SIGKILL)
        await trio.sleep(duration_s)
        await self._restart(node)

    async def stop_node(self, duration_s):
        """Shuts a process down cleanly and restarts it."""
        node = self._choose_node()
        self._record("stop", node.name)
        node.send(signal.SIGTERM)
        await self._restart(node)

    async def _restart(self, node):
        old_process = node.process
        while old_process.poll() is None:
            await trio.sleep(0.05)
        node.check_stop(old_process.returncode)
        # An overlapping fault may have restarted it already.
        if node.process is old_process:
            node.is_paused = False
            node.start()

    async def reload_node(self, duration_s):
        """Makes a process reload its settings."""
        node = self._choose_node()
        self._record("reload", node.name)
        if node.starts:
            node.send(signal.SIGHUP)

    def _choose_link(self):
        return self.rng.choice(self._choose_node().links())

    async def stall_link(self, duration_s):
        """Stalls a link in one direction or both."""
        link = self._choose_link()
        directions = self.rng.choice([{"up"}, {"down"}, {"up", "down"}])
        self._record("silence", link.target, sorted(directions), duration_s)
        link.stalled_directions = directions
        await trio.sleep(duration_s)
        link.heal()

    async def reset_link(self, duration_s):
        """Resets all connections of a link."""
        link = self._choose_link()
        self._record("reset", link.target)
        link.reset_all()

    async def delay_link(self, duration_s):
        """Delays each chunk on a link."""
        link = self._choose_link()
        self._record("delay", link.target, duration_s)
        link.delay_s = self.rng.uniform(0.02, 0.3)
        await trio.sleep(duration_s)
        link.heal()

    async def refuse_link(self, duration_s):
        """Resets the open connections of a link and any new ones."""
        link = self._choose_link()
        self._record("refuse", link.target, duration_s)
        link.is_refusing = True
        link.reset_all()
        await trio.sleep(duration_s)
        link.heal()

    async def disconnect_server(self, duration_s):
        """Resets and refuses all connections to a backend server."""
        name = self.rng.choice(sorted(self.world.servers))
        self._record("disconnect server", name, duration_s)
        link = self.world.server_links[name]
        link.is_refusing = True
        link.reset_all()
        await trio.sleep(duration_s)
        link.heal()

    async def slow_server(self, duration_s):
        """Makes a backend server five times slower."""
        chosen_server = self.rng.choice(list(self.world.servers.values()))
        self._record("slow server", chosen_server.id, duration_s)
        normal_s = chosen_server.event_s
        chosen_server.event_s = 5 * normal_s
        await trio.sleep(duration_s)
        chosen_server.event_s = normal_s

    async def stop_store(self, duration_s):
        """Makes the store refuse all requests."""
        self._record("store down", duration_s)
        self.world.store.is_down = True
        await trio.sleep(duration_s)
        self.world.store.is_down = False

    async def slow_store(self, duration_s):
        """Makes the store apply requests late."""
        self._record("store slow", duration_s)
        self.world.unreliable_store.max_delay_s = self.rng.uniform(0.1, 1.0)
        await trio.sleep(duration_s)
        self.world.unreliable_store.max_delay_s = 0.0

    async def lose_store_responses(self, duration_s):
        """Makes the store apply some requests without a timely response."""
        self._record("store responses lost", duration_s)
        self.world.unreliable_store.lost_response_rate = self.rng.uniform(
            0.05, 0.4
        )
        await trio.sleep(duration_s)
        self.world.unreliable_store.lost_response_rate = 0.0

    async def compact_store_history(self, duration_s):
        """Compacts the history of the store, at times after a silence."""
        is_silent = self.rng.random() < 0.5
        self._record("store history compacted", is_silent)
        if is_silent:
            await self.world.store.compact_after_silence()
        else:
            self.world.store.compact()

    async def stop_cloud(self, duration_s):
        """Makes the usage reporting endpoint refuse all requests."""
        self._record("cloud down", duration_s)
        self.world.cloud.is_down = True
        await trio.sleep(duration_s)
        self.world.cloud.is_down = False

    async def step_clock(self, duration_s):
        """Shifts the wall clock of a node for a while."""
        node = self._choose_node()
        offset_s = self.rng.uniform(-0.9, 0.9)
        self._record("clock", node.name, offset_s)
        node.clock_offset_file.write_text(str(offset_s), encoding="ascii")
        await trio.sleep(duration_s)
        node.clock_offset_file.write_text("0", encoding="ascii")

    async def change_configuration(self, duration_s):
        """Writes a configuration with an additional key."""
        self._record("configuration")
        self.world.configuration_count += 1
        number = self.world.configuration_count
        self.world.write_configuration(
            harness.make_configuration(
                number, keys=(harness.KEY, f"further-{number}")
            )
        )
