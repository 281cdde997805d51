"""Real node processes under SIGKILL, SIGSTOP and SIGTERM."""

import os
import pathlib
import random
import signal
import tempfile
import time
import unittest

import parameterized
import trio

from bench import deployment as deployments
from kingcupscale import clock as clocks
from kingcupscale.fakes import callers
from kingcupscale.fakes import judge
from kingcupscale.fakes import tables as sample
from kingcupscale.rollouts import trainer as trainers
from kingcupscale.web import httpclient

NODES = 3
LIMIT_S = 90
EXIT_LIMIT_S = 60


async def stop_and_continue(pid):
    os.kill(pid, signal.SIGSTOP)
    await trio.sleep(12)
    os.kill(pid, signal.SIGCONT)


async def kill(pid):
    os.kill(pid, signal.SIGKILL)


async def terminate(pid):
    os.kill(pid, signal.SIGTERM)


class Session:
    """Callers and a trainer before real processes while a signal strikes."""

    def __init__(self, deployment, record, victim):
        self.deployment = deployment
        self.record = record
        self.victim = victim
        self.http_client = httpclient.PooledHttpClient()
        self.clock = clocks.SystemClock()
        self.nodes = [
            callers.NodeAddress(node.name, node.listeners.callers)
            for node in deployment.nodes
        ]

    async def run(self, strike):
        async with trio.open_nursery() as nursery:
            for issued in self.deployment.issued:
                nursery.start_soon(self._call, issued)
            await trio.sleep(2)
            if strike is terminate:
                name = self.nodes[self.victim].name
                self.record.draining[name] = self.clock.monotonic()
            async with trio.open_nursery() as working:
                pid = self.deployment.pids[self.victim]
                working.start_soon(strike, pid)
                working.start_soon(self._train)
            nursery.cancel_scope.cancel()
        await self.http_client.aclose()

    async def _call(self, issued):
        caller = callers.Caller(
            self.http_client,
            callers.Balancer(self.nodes),
            issued,
            self.record,
            self.clock,
            random.Random(1),
        )
        for number in range(10**6):
            await caller.complete(stream=bool(number % 2))
            await caller.quote(f"order-{number}")

    async def _train(self):
        client = trainers.TrainerClient(
            self.http_client,
            [node.address for node in self.nodes],
            self.deployment.trainer_keys[0].text,
            self.clock,
        )
        client.current = self.victim
        specification = callers.make_step("trainer-1", 0, 0, 12, 4, 400)
        await callers.run_step(client, "trainer-1", specification, self.record)


def wait_for_exit(pid):
    deadline = time.monotonic() + EXIT_LIMIT_S
    while time.monotonic() < deadline:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
        if text.rpartition(")")[2].split()[0] == "Z":
            return True
        time.sleep(0.1)
    return False


class SignalTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("kill", kill), ("stop", stop_and_continue), ("term", terminate)]
    )
    def test_signal_breaks_no_promise(self, _, strike):
        record = judge.Record(sample.FRESHNESS_VERSIONS)
        with (
            tempfile.TemporaryDirectory() as folder,
            deployments.running(pathlib.Path(folder), NODES) as deployment,
        ):
            session = Session(deployment, record, victim=0)

            async def main():
                with trio.fail_after(LIMIT_S):
                    await session.run(strike)

            trio.run(main)
            if strike is terminate:
                self.assertTrue(wait_for_exit(deployment.pids[0]))
        self.assertEqual(judge.broken_for_callers(record), [])
        self.assertEqual(len(record.deliveries), 12)
        served = {a.status for a in record.answers}
        self.assertIn(200, served)
