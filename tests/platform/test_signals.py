"""Signals that come in series, to real node processes.

A signal that is not handled ends a process at once, and with it the requests
that a planned stop still completes.
"""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import parameterized
import trio

from kingcupscale import settings
from kingcupscale.platform import names
from kingcupscale.platform import settingsfile
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests.platform import harness
from tests.soak import callers
from tests.soak import world as worlds

TEST_TIMEOUT_S = 60.0
CALLS = 8
# Each call takes longer than the series of signals.
CALL_S = 1.2
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


@contextlib.asynccontextmanager
async def running_world():
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            world = worlds.World(folder, nursery, worlds.make_rng(1, "signals"))
            try:
                await world.open()
                for node in world.nodes:
                    while not await callers.is_ready(node):
                        await trio.sleep(0.1)
                yield world
            finally:
                with trio.CancelScope(shield=True):
                    await world.close()
            nursery.cancel_scope.cancel()


async def call(address, number, statuses):
    """Sends a call over a new connection and records how it ended."""
    client = httpclient.PooledHttpClient()
    headers = {
        "host": harness.HOST,
        names.KEY: harness.KEY,
        names.REQUEST_ID: f"r{number}",
        names.DEADLINE_MS: "8000",
    }
    path = f"{harness.CALL_PATH}{number}"
    request = message.Request("POST", path, "", headers, b"?")
    try:
        response = await httpclient.fetch(client, address, request, 10.0)
        statuses.append(response.status)
    except httpclient.RequestError as e:
        statuses.append(e.reason)
    await client.aclose()


class PlannedStopTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("reload", (signal.SIGHUP,)),
            ("stop_twice", (signal.SIGTERM,)),
            (
                "series",
                (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT),
            ),
        ]
    )
    def test_signals_during_a_planned_stop_cut_no_request(self, _, series):
        statuses = []

        async def main():
            with trio.fail_after(TEST_TIMEOUT_S):
                async with running_world() as world:
                    await self._stop_under_load(world, series, statuses)

        trio.run(main)
        self.assertEqual(statuses, [200] * CALLS)

    async def _stop_under_load(self, world, series, statuses):
        world.write_configuration(make_patient_configuration())
        await trio.sleep(1.5)
        for server in world.servers.values():
            if server.service == "plain":
                server.event_s = CALL_S
                server.slots = CALLS
        node = world.nodes[0]
        async with trio.open_nursery() as calls:
            for number in range(CALLS):
                calls.start_soon(call, node.caller_address, number, statuses)
            await trio.sleep(0.3)
            node.send(signal.SIGTERM)
            for number in series:
                await trio.sleep(0.1)
                node.send(number)
        self.assertEqual(await node.wait(10.0), 0)


def make_patient_configuration():
    """Returns a configuration whose calls may take some seconds."""
    configuration = harness.make_configuration(2)
    for route in configuration["routes"]:
        route["targetLatencyMs"] = 4000
        route["timeoutMs"] = 8000
    return configuration


# Runs a script that gets SIGHUP while it imports the package.
RELOADED_START = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "kingcupscale":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
del sys.argv[0]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


class StartTest(unittest.TestCase):
    def test_reload_during_the_start_ends_no_process(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings"
            path.write_text(
                "node=s1\nrole=disk\nzone=a\nprovider.address=127.0.0.1:9\n",
                encoding="ascii",
            )
            script = str(ROOT / "deploy" / "node.py")
            command = [sys.executable, "-c", RELOADED_START, script]
            with subprocess.Popen(
                [*command, "--settings", str(path)], stdout=subprocess.PIPE
            ) as process:
                while process.poll() is None and not handles_sigterm(process):
                    time.sleep(0.05)
                process.terminate()
                self.assertEqual(process.wait(10), 0)


def handles_sigterm(process):
    """Returns whether a process has installed a handler for SIGTERM."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text("ascii")
    line = next(li for li in status.splitlines() if li.startswith("SigCgt"))
    return bool(int(line.split()[1], 16) >> (signal.SIGTERM - 1) & 1)


class SettingsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(value,) for value in ("inf", "nan", "1e999", "-1", "many")]
    )
    def test_invalid_number_is_reported(self, value):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings"
            path.write_text(
                "node=s1\nzone=a\nprovider.address=127.0.0.1:9\n"
                f"provider.valueBytes={value}\n",
                encoding="ascii",
            )
            with self.assertRaises(settings.SettingsError):
                settingsfile.load(str(path))
