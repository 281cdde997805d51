"""Reading of the platform's settings file and checks of the deploy file."""

import pathlib
import tempfile
import unittest

import parameterized

from kingcupscale import settings
from kingcupscale.platform import deployfile
from kingcupscale.platform import settingsfile

ROOT = pathlib.Path(__file__).parents[2]
GOOD = {
    "node": "n1",
    "zone": "a",
    "listen.front": "10.0.0.1:80",
    "provider.address": "10.0.0.9:1",
    "cloud.address": "10.0.0.8:1",
    "cloud.duties": "metering,autoscaling",
    "bounds.leaseMs": "3000",
    "bounds.graceS": "8",
    "new.field": "left out",
}


def write(folder, text):
    path = pathlib.Path(folder) / "file"
    path.write_text(text, encoding="utf-8")
    return str(path)


class SettingsFileTest(unittest.TestCase):
    def _load(self, **changes):
        fields = {**GOOD, **changes}
        text = "\n".join(f"{k}={v}" for k, v in fields.items() if v is not None)
        with tempfile.TemporaryDirectory() as folder:
            return settingsfile.load(write(folder, text))

    @parameterized.parameterized.expand(
        [
            ("both", {"limits.cpuShare": "0.43", "limits.cores": "1.2"}, 0.516),
            ("share", {"limits.cpuShare": "0.5"}, 0.5),
            ("cores", {"limits.cores": "2.5"}, 2.5),
            ("neither", {}, None),
        ]
    )
    def test_capacity_is_the_share_of_a_core_times_its_speed(
        self, _, fields, expected
    ):
        """Guards against weak nodes that count as strong."""
        loaded = self._load(**fields, **{"limits.memoryMb": "560"})
        self.assertEqual(loaded.capacity_cores, expected)
        self.assertEqual(loaded.memory_mb, 560)

    def test_fields_are_converted_to_seconds(self):
        loaded = self._load()
        self.assertEqual(loaded.bounds.lease_s, 3.0)
        self.assertEqual(loaded.callers, "10.0.0.1:80")
        self.assertTrue(loaded.reports_usage and loaded.orders_servers)

    @parameterized.parameterized.expand(
        [
            ("no_name", {"node": None}, "node"),
            ("no_store", {"provider.address": None}, "provider.address"),
            ("not_a_number", {"bounds.leaseMs": "soon"}, "bounds.leaseMs"),
            ("below_zero", {"bounds.graceS": "-1"}, "bounds.graceS"),
        ]
    )
    def test_every_problem_is_reported(self, _, changes, name):
        with self.assertRaises(settings.SettingsError) as caught:
            self._load(**changes)
        self.assertIn(name, "\n".join(caught.exception.problems))

    @parameterized.parameterized.expand(
        [
            ("vm", {"limits.memoryMb": "200"}, "memory_bytes", 60_000_000),
            ("unknown_vm", {}, "memory_bytes", 153_600_000),
            ("set", {"clients.memoryMb": "16"}, "memory_bytes", 16 << 20),
            ("descriptors", {"limits.maxFds": "400"}, "connections", 300),
            ("connections", {"clients.connections": "99"}, "connections", 99),
            (
                "address",
                {"clients.memoryMb": "1", "clients.addressShare": "0.5"},
                "address_bytes",
                1 << 19,
            ),
            ("wait", {"clients.waitMs": "700"}, "wait_s", 0.7),
            ("rate", {"clients.bodyBytesPerS": "5"}, "body_bytes_per_s", 5.0),
            ("window", {"clients.bodyWindowMs": "300"}, "body_window_s", 0.3),
            ("stall", {"clients.sendStallMs": "900"}, "send_stall_s", 0.9),
        ]
    )
    def test_limits_on_clients_follow_from_settings(
        self, _, changes, name, expected
    ):
        self.assertEqual(getattr(self._load(**changes).clients, name), expected)

    def test_missing_file(self):
        with self.assertRaises(settings.SettingsError):
            settingsfile.load("/nowhere/settings.conf")


class DeployFileTest(unittest.TestCase):
    def test_own_file_is_valid(self):
        path = ROOT / "deploy" / "system.toml"
        self.assertEqual(deployfile.check(str(path)), [])

    def test_requirements_match_the_package(self):
        package = settings.read_toml(str(ROOT / "pyproject.toml"))
        wanted = package["project"]["dependencies"]
        lines = (ROOT / "requirements.txt").read_text("utf-8").split()
        self.assertEqual(lines, wanted)

    @parameterized.parameterized.expand(
        [
            ("no_build", "[roles.a]\n", "build"),
            ("no_roles", 'build = "x"\n', "roles"),
            (
                "share_too_large",
                'build = "x"\n[roles.a]\nrun = "p"\non = "front"\nshare = 2\n',
                "share",
            ),
            (
                "no_program",
                'build = "x"\n[roles.a]\nrun = "python3 no.py"\n'
                'on = "front"\nshare = 1\nserves = ["front"]\n',
                "no.py",
            ),
            (
                "no_role_serves_store",
                'build = "x"\n[roles.a]\nrun = "p"\non = "front"\nshare = 1\n'
                'serves = ["front"]\n',
                "store",
            ),
            (
                "unknown_field",
                'build = "x"\n[roles.a]\nrum = "p"\n',
                "rum",
            ),
        ]
    )
    def test_problems_are_reported(self, _, text, word):
        with tempfile.TemporaryDirectory() as folder:
            problems = deployfile.check(write(folder, text))
        self.assertIn(word, "\n".join(problems))
