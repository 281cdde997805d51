"""Runs the soak test of one seed.

A run sends traffic while random faults are injected, then clears the faults
and checks that the nodes recover and that no invariant was violated.
"""

import contextlib
import itertools
import operator
import os
import pathlib
import tempfile

import attrs
import trio

from tests.soak import callers
from tests.soak import evacuations
from tests.soak import fatal
from tests.soak import faults
from tests.soak import uncontrolled
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
        descriptors: Most open descriptors of any node.
    """

    seed: int
    problems: list
    faults: list
    calls_sent: int = 0
    served: int = 0
    batches: int = 0
    memory_mb: float = 0.0
    descriptors: int = 0


async def run(seed, seconds, folder=None):
    """Runs one seed and returns its outcome.

    Settings and logs are kept if a folder is given.
    """
    with tempfile.TemporaryDirectory() as temporary:
        async with trio.open_nursery() as nursery:
            log_folder = pathlib.Path(folder or temporary) / f"seed-{seed}"
            log_folder.mkdir(parents=True, exist_ok=True)
            world = worlds.World(
                log_folder,
                nursery,
                worlds.make_rng(seed, "platform"),
                fatal.PLAIN_SERVERS
                if fatal.is_drawn(seed)
                else worlds.PLAIN_SERVERS,
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
            session.check_evacuations()
            nursery.cancel_scope.cancel()
    return session.outcome(seed)


class Session:
    """Runs the traffic and faults of one seed and collects the results."""

    def __init__(self, world, seed):
        self.world = world
        self.seed = seed
        self.observations = callers.Observations(world)
        self.faults = faults.Faults(world, worlds.make_rng(seed, "faults"))
        # Own generators, so that the draws of ``faults`` stay as they were.
        self.uncontrolled = uncontrolled.UncontrolledClients(
            world, worlds.make_rng(seed, "uncontrolled clients")
        )
        self.evacuations = evacuations.Evacuations(
            world, worlds.make_rng(seed, "evacuations")
        )
        if fatal.is_drawn(seed):
            world.fatal_request = fatal.FatalRequest(
                world,
                self.observations,
                worlds.make_rng(seed, "fatal sender"),
                self.uncontrolled,
            )
        self.healed_at = 0.0
        self.memory_mb = 0.0
        self.descriptors = 0

    def _rng(self, purpose):
        return worlds.make_rng(self.seed, purpose)

    async def run(self, seconds):
        """Runs traffic while faults are injected, then checks the recovery."""
        await self.world.open()
        await self._wait_until_ready("at the start")
        async with trio.open_nursery() as traffic:
            traffic.start_soon(self._monitor_processes)
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
            if self.world.fatal_request:
                traffic.start_soon(self.world.fatal_request.run)
            async with trio.open_nursery() as nursery:
                for schedule in self._schedules():
                    nursery.start_soon(schedule.run, seconds)
            self.world.heal()
            self.healed_at = trio.current_time()
            await self._wait_until_ready("after the faults")
            await trio.sleep(2.0)
            await self.evacuations.finish(self.healed_at)
            traffic.cancel_scope.cancel()
        await self._check_recovery()

    def _schedules(self):
        return self.faults, self.uncontrolled, self.evacuations

    def _logged(self):
        """Returns the schedules, and the fatal request if there is one."""
        fatal_request = self.world.fatal_request
        return (*self._schedules(), *([fatal_request] if fatal_request else ()))

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

    def check_evacuations(self):
        """Checks that no request reached an evacuated zone after the limit."""
        outages = evacuations.outages(
            self.faults.log, self.world.store_address, self.healed_at
        )
        for evacuation in self.evacuations.all:
            late_requests = evacuations.late_requests(
                evacuation, self.world.arrivals, outages
            )
            if late_requests:
                self.observations.add_problem(
                    "requests in an evacuated zone: number, first",
                    len(late_requests),
                    late_requests[0],
                    evacuation,
                )

    async def _monitor_processes(self):
        while True:
            for node in self.world.nodes:
                if node.process.poll() is None:
                    path = pathlib.Path(f"/proc/{node.process.pid}/statm")
                    pages = int(path.read_text(encoding="ascii").split()[1])
                    used_mb = pages * PAGE_BYTES / 1e6
                    self.memory_mb = max(self.memory_mb, used_mb)
                    # Fails for a process that has just ended.
                    with contextlib.suppress(OSError):
                        number = len(os.listdir(path.parent / "fd"))
                        self.descriptors = max(self.descriptors, number)
            await trio.sleep(0.5)

    def outcome(self, seed):
        """Returns the outcome.

        Memory above ``MEMORY_MB`` and descriptors above ``world.MAX_FDS`` are
        problems.
        """
        if self.memory_mb > MEMORY_MB:
            self.observations.add_problem("memory", round(self.memory_mb, 1))
        if self.descriptors > worlds.MAX_FDS:
            self.observations.add_problem("descriptors", self.descriptors)
        return Outcome(
            seed,
            self.observations.problems,
            sorted(
                itertools.chain(*(s.log for s in self._logged())),
                key=operator.itemgetter(0),
            ),
            self.observations.calls_sent,
            self.observations.served,
            len(self.observations.accepted),
            round(self.memory_mb, 1),
            self.descriptors,
        )
