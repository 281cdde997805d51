"""Runs the soak test of one seed.

A run sends traffic while random faults are injected, then clears the faults
and checks that the nodes recover and that no invariant was violated.
"""

import pathlib
import tempfile

import attrs
import trio

from tests.soak import callers
from tests.soak import faults
from tests.soak import world as worlds

CALLERS = 3
TRAINERS = 2
# Time limit for the nodes to become ready, at the start and after the last
# fault, and then for each accepted batch to complete.
RECOVERY_S = 15.0
# Limit on the resident memory of a node: its budget at the design size plus the
# memory of modules that only tests import.
MEMORY_MB = 64.0
PAGE_BYTES = 4096


@attrs.define
class Outcome:
    """The result of running one seed.

    Attributes:
        seed: The seed.
        problems: Violated invariants, each with its time and details.
        faults: The injected faults, each with its time.
        calls_sent: Single calls that were sent.
        served: Single calls that were answered with status 200.
        batches: Batches that were accepted.
        memory_mb: Peak resident memory of any node.
    """

    seed: int
    problems: list
    faults: list
    calls_sent: int = 0
    served: int = 0
    batches: int = 0
    memory_mb: float = 0.0


async def run(seed, seconds, folder=None):
    """Runs one seed and returns its outcome.

    Settings and logs are kept if a folder is given.
    """
    with tempfile.TemporaryDirectory() as temporary:
        async with trio.open_nursery() as nursery:
            log_folder = pathlib.Path(folder or temporary) / f"seed-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            world = worlds.World(
                log_folder, nursery, worlds.make_rng(seed, "platform")
            )
            session = Session(world, seed)
            try:
                await session.run(seconds)
            finally:
                with trio.CancelScope(shield=True):
                    failed_nodes = await world.close()
            for name, (code, output_lines) in failed_nodes.items():
                session.observations.add_problem(
                    "exit code", name, code, output_lines
                )
            for name, code in world.failed_stops:
                session.observations.add_problem("planned stop", name, code)
            session.observations.check_end()
            nursery.cancel_scope.cancel()
    return session.outcome(seed)


class Session:
    """Runs the traffic and faults of one seed and collects the results."""

    def __init__(self, world, seed):
        self.world = world
        self.seed = seed
        self.observations = callers.Observations(world)
        self.faults = faults.Faults(world, worlds.make_rng(seed, "faults"))
        self.memory_mb = 0.0

    def _rng(self, purpose):
        return worlds.make_rng(self.seed, purpose)

    async def run(self, seconds):
        """Runs traffic while faults are injected, then checks the recovery."""
        await self.world.open()
        await self._wait_until_ready("at the start")
        async with trio.open_nursery() as traffic:
            traffic.start_soon(self._monitor_memory)
            for number in range(CALLERS):
                name = f"c{number}"
                caller = callers.Caller(
                    self.world, self.observations, name, self._rng(name)
                )
                traffic.start_soon(caller.run)
            for number in range(TRAINERS):
                traffic.start_soon(self._trainer(f"t{number}").run)
            auditor = callers.Auditor(
                self.world, self.observations, "a", self._rng("a")
            )
            traffic.start_soon(auditor.run)
            await self.faults.run(seconds)
            self.world.heal()
            await self._wait_until_ready("after the faults")
            await trio.sleep(2.0)
            traffic.cancel_scope.cancel()
        await self._check_recovery()

    def _trainer(self, name):
        return callers.Trainer(
            self.world, self.observations, name, self._rng(name)
        )

    async def _wait_until_ready(self, phase):
        with trio.move_on_after(RECOVERY_S):
            for node in self.world.nodes:
                while node.is_stop_requested or not await callers.is_ready(
                    node
                ):
                    code = node.restart_if_exited()
                    if code is not None:
                        self.observations.add_problem(
                            "unexpected exit: node, code", node.name, code
                        )
                    await trio.sleep(0.1)
            return
        self.observations.add_problem("nodes not ready in time", phase)

    async def _check_recovery(self):
        trainer = self._trainer("last")
        if not await trainer.train("last-batch", RECOVERY_S):
            self.observations.add_problem("step incomplete after the faults")
        for batch_id, item_count in sorted(self.observations.accepted.items()):
            if batch_id in self.observations.deleted_at:
                continue
            with trio.move_on_after(RECOVERY_S):
                results = self.observations.results_by_batch[batch_id]
                while len(results) < item_count:
                    await trainer.read(batch_id, len(results))
            if len(results) < item_count:
                self.observations.add_problem(
                    "batch incomplete: id, got, expected",
                    batch_id,
                    len(results),
                    item_count,
                )

    async def _monitor_memory(self):
        while True:
            for node in self.world.nodes:
                if node.process.poll() is None:
                    path = pathlib.Path(f"/proc/{node.process.pid}/statm")
                    pages = int(path.read_text(encoding="ascii").split()[1])
                    used_mb = pages * PAGE_BYTES / 1e6
                    self.memory_mb = max(self.memory_mb, used_mb)
            await trio.sleep(0.5)

    def outcome(self, seed):
        """Returns the outcome; memory above ``MEMORY_MB`` is a problem."""
        if self.memory_mb > MEMORY_MB:
            self.observations.add_problem("memory", round(self.memory_mb, 1))
        return Outcome(
            seed,
            self.observations.problems,
            self.faults.log,
            self.observations.calls_sent,
            self.observations.served,
            len(self.observations.accepted),
            round(self.memory_mb, 1),
        )
