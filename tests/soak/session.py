"""One seeded soak: traffic, faults, healing and what must hold in the end."""

import pathlib
import tempfile

import attrs
import trio

from tests.soak import callers
from tests.soak import faults
from tests.soak import world as worlds

CALLERS = 3
TRAINERS = 2
# Nodes are ready and batches are whole this long after the last fault.
RECOVERY_S = 15.0
# What a node may keep resident at the design size, plus what the interpreter
# keeps of modules that only tests use.
MEMORY_MB = 64.0
PAGE_BYTES = 4096


@attrs.define
class Outcome:
    """What one seed has shown.

    Attributes:
        seed: The seed.
        problems: Promises that were broken.
        faults: What struck when.
        asked: Single calls that were sent.
        served: Single calls that were answered with success.
        batches: Batches that were accepted.
        memory_mb: Most memory that a node kept resident.
    """

    seed: int
    problems: list
    faults: list
    asked: int = 0
    served: int = 0
    batches: int = 0
    memory_mb: float = 0.0


async def run(seed, seconds, folder=None):
    """Runs one seed and returns its outcome; logs stay in the folder."""
    with tempfile.TemporaryDirectory() as temporary:
        async with trio.open_nursery() as nursery:
            chosen = pathlib.Path(folder or temporary) / f"seed-{seed}"
            chosen.mkdir(parents=True, exist_ok=True)
            world = worlds.World(
                chosen, nursery, worlds.make_rng(seed, "platform")
            )
            session = Session(world, seed)
            try:
                await session.run(seconds)
            finally:
                with trio.CancelScope(shield=True):
                    failed = await world.close()
            for name, (code, words) in failed.items():
                session.observed.note("exit code", name, code, words)
            session.observed.check_end()
            nursery.cancel_scope.cancel()
    return session.outcome(seed)


class Session:
    """The traffic and faults of one seed."""

    def __init__(self, world, seed):
        self.world = world
        self.seed = seed
        self.observed = callers.Observed(world)
        self.faults = faults.Faults(world, worlds.make_rng(seed, "faults"))
        self.memory_mb = 0.0

    def _rng(self, purpose):
        return worlds.make_rng(self.seed, purpose)

    async def run(self, seconds):
        """Runs traffic under faults, then checks the recovery."""
        await self.world.open()
        await self._wait_until_ready("at the start")
        async with trio.open_nursery() as traffic:
            traffic.start_soon(self._watch_memory)
            for number in range(CALLERS):
                name = f"c{number}"
                caller = callers.Caller(
                    self.world, self.observed, name, self._rng(name)
                )
                traffic.start_soon(caller.run)
            for number in range(TRAINERS):
                traffic.start_soon(self._trainer(f"t{number}").run)
            auditor = callers.Auditor(
                self.world, self.observed, "a", self._rng("a")
            )
            traffic.start_soon(auditor.run)
            await self.faults.run(seconds)
            self.world.heal()
            await self._wait_until_ready("after the faults")
            await trio.sleep(2.0)
            traffic.cancel_scope.cancel()
        await self._check_recovery()

    def _trainer(self, name):
        return callers.Trainer(self.world, self.observed, name, self._rng(name))

    async def _wait_until_ready(self, when):
        with trio.move_on_after(RECOVERY_S):
            for node in self.world.nodes:
                while node.is_to_end or not await callers.is_ready(node):
                    code = node.restart_ended()
                    if code is not None:
                        self.observed.note("ended by itself", node.name, code)
                    await trio.sleep(0.1)
            return
        self.observed.note("not ready", when)

    async def _check_recovery(self):
        trainer = self._trainer("last")
        if not await trainer.train("last-batch", RECOVERY_S):
            self.observed.note("no step after the faults")
        for batch_id, items in sorted(self.observed.accepted.items()):
            if batch_id in self.observed.ended_at:
                continue
            with trio.move_on_after(RECOVERY_S):
                known = self.observed.results[batch_id]
                while len(known) < items:
                    await trainer.read(batch_id, len(known))
            if len(known) < items:
                self.observed.note("not whole", batch_id, len(known), items)

    async def _watch_memory(self):
        while True:
            for node in self.world.nodes:
                if node.process.poll() is None:
                    path = pathlib.Path(f"/proc/{node.process.pid}/statm")
                    pages = int(path.read_text(encoding="ascii").split()[1])
                    used_mb = pages * PAGE_BYTES / 1e6
                    self.memory_mb = max(self.memory_mb, used_mb)
            await trio.sleep(0.5)

    def outcome(self, seed):
        """Returns what was seen."""
        if self.memory_mb > MEMORY_MB:
            self.observed.note("memory", round(self.memory_mb, 1))
        return Outcome(
            seed,
            self.observed.problems,
            self.faults.log,
            self.observed.asked,
            self.observed.served,
            len(self.observed.accepted),
            round(self.memory_mb, 1),
        )
