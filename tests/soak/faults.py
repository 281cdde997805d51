"""Faults from outside the processes, in series that overlap."""

import signal

import trio

from tests.platform import harness

PAUSE_LEAST_S = 0.2
PAUSE_MOST_S = 1.5
SHORTEST_S = 0.3
LONGEST_S = 4.0


class Faults:
    """Strikes a world at random.

    Args:
        world: What to strike.
        rng: Decides what strikes when.

    Attributes:
        log: What has struck, with its time.
    """

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.log = []

    async def run(self, seconds):
        """Strikes for a while; the last faults end by then."""
        kinds = (
            self.pause_node,
            self.kill_node,
            self.stop_node,
            self.reload_node,
            self.silence_link,
            self.reset_link,
            self.delay_link,
            self.refuse_link,
            self.cut_server,
            self.slow_server,
            self.stop_store,
            self.slow_store,
            self.lose_store_answers,
            self.forget_store_history,
            self.stop_cloud,
            self.step_clock,
            self.change_configuration,
        )
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    await trio.sleep(
                        self.rng.uniform(PAUSE_LEAST_S, PAUSE_MOST_S)
                    )
                    kind = self.rng.choice(kinds)
                    for_s = self.rng.uniform(SHORTEST_S, LONGEST_S)
                    nursery.start_soon(kind, for_s)

    def _note(self, *words):
        self.log.append((round(trio.current_time(), 3), *words))

    def _node(self):
        return self.rng.choice(self.world.nodes)

    async def pause_node(self, for_s):
        """Stops a process for a while, as a suspended VM."""
        node = self._node()
        self._note("pause", node.name, for_s)
        node.pause(True)
        try:
            await trio.sleep(for_s)
        finally:
            node.pause(False)

    async def kill_node(self, for_s):
        """Kills a process and starts it again."""
        node = self._node()
        self._note("kill", node.name, for_s)
        node.send(signal.SIGKILL)
        await trio.sleep(for_s)
        await self._start(node)

    async def stop_node(self, for_s):
        """Stops a process as planned and starts it again."""
        node = self._node()
        self._note("stop", node.name)
        node.send(signal.SIGTERM)
        await self._start(node)

    async def _start(self, node):
        ended = node.process
        while ended.poll() is None:
            await trio.sleep(0.05)
        # Another fault that overlaps may have started it again.
        if node.process is ended:
            node.is_paused = False
            node.start()

    async def reload_node(self, for_s):
        """Has a process read its settings again."""
        node = self._node()
        self._note("reload", node.name)
        if node.starts:
            node.send(signal.SIGHUP)

    def _link(self):
        return self.rng.choice(self._node().links())

    async def silence_link(self, for_s):
        """Lets nothing through one way or both ways."""
        link = self._link()
        ways = self.rng.choice([{"up"}, {"down"}, {"up", "down"}])
        self._note("silence", link.target, sorted(ways), for_s)
        link.silent = ways
        await trio.sleep(for_s)
        link.heal()

    async def reset_link(self, for_s):
        """Resets all connections of a link."""
        link = self._link()
        self._note("reset", link.target)
        link.reset_all()

    async def delay_link(self, for_s):
        """Holds back each piece on a link."""
        link = self._link()
        self._note("delay", link.target, for_s)
        link.delay_s = self.rng.uniform(0.02, 0.3)
        await trio.sleep(for_s)
        link.heal()

    async def refuse_link(self, for_s):
        """Resets the connections of a link and all new ones."""
        link = self._link()
        self._note("refuse", link.target, for_s)
        link.is_refusing = True
        link.reset_all()
        await trio.sleep(for_s)
        link.heal()

    async def cut_server(self, for_s):
        """Cuts a backend server off and takes its entry away."""
        name = self.rng.choice(sorted(self.world.servers))
        self._note("cut server", name, for_s)
        link = self.world.server_links[name]
        link.is_refusing = True
        link.reset_all()
        await trio.sleep(for_s)
        link.heal()

    async def slow_server(self, for_s):
        """Makes a backend server slow."""
        chosen = self.rng.choice(list(self.world.servers.values()))
        self._note("slow server", chosen.id, for_s)
        usual_s = chosen.event_s
        chosen.event_s = 5 * usual_s
        await trio.sleep(for_s)
        chosen.event_s = usual_s

    async def stop_store(self, for_s):
        """Has the store refuse everything."""
        self._note("store down", for_s)
        self.world.store.is_down = True
        await trio.sleep(for_s)
        self.world.store.is_down = False

    async def slow_store(self, for_s):
        """Has the store do things late."""
        self._note("store slow", for_s)
        self.world.unreliable.late_s = self.rng.uniform(0.1, 1.0)
        await trio.sleep(for_s)
        self.world.unreliable.late_s = 0.0

    async def lose_store_answers(self, for_s):
        """Has the store do things without answering."""
        self._note("store answers lost", for_s)
        self.world.unreliable.lost_share = self.rng.uniform(0.05, 0.4)
        await trio.sleep(for_s)
        self.world.unreliable.lost_share = 0.0

    async def forget_store_history(self, for_s):
        """Has the store discard its history."""
        self._note("store history")
        self.world.store.compact()

    async def stop_cloud(self, for_s):
        """Has the intake of usage reports refuse everything."""
        self._note("cloud down", for_s)
        self.world.cloud.is_down = True
        await trio.sleep(for_s)
        self.world.cloud.is_down = False

    async def step_clock(self, for_s):
        """Sets a node's wall clock wrong for a while."""
        node = self._node()
        offset_s = self.rng.uniform(-0.9, 0.9)
        self._note("clock", node.name, offset_s)
        node.offsets.write_text(str(offset_s), encoding="ascii")
        await trio.sleep(for_s)
        node.offsets.write_text("0", encoding="ascii")

    async def change_configuration(self, for_s):
        """Writes a configuration with a further key."""
        self._note("configuration")
        self.world.configurations += 1
        number = self.world.configurations
        self.world.write_configuration(
            harness.make_configuration(
                number, keys=(harness.KEY, f"further-{number}")
            )
        )
