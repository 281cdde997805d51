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


async def terminate_repeatedly(pid):
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        os.kill(pid, number)
        await trio.sleep(0.2)


STOPS = (terminate, terminate_repeatedly)


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
            if strike in STOPS:
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
    """Returns the wait status of a process that ends; None if it runs on."""
    deadline = time.monotonic() + EXIT_LIMIT_S
    while time.monotonic() < deadline:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        if fields[0] == "Z":
            return int(fields[-1])
        time.sleep(0.1)
    return None


class SignalTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("kill", kill),
            ("stop", stop_and_continue),
            ("term", terminate),
            ("series", terminate_repeatedly),
        ]
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
            if strike in STOPS:
                self.assertEqual(wait_for_exit(deployment.pids[0]), 0)
        self.assertEqual(judge.broken_for_callers(record), [])
        self.assertEqual(len(record.deliveries), 12)
        served = {a.status for a in record.answers}
        self.assertIn(200, served)
