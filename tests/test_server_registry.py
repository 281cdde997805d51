"""Ejection of backend servers that fail.

Requests that are in flight together fail together. If each of them doubled the
ejection time, one short fault would eject a server for seconds.
"""

import unittest

import parameterized

from kingcupscale.fleet import registry


def _make_server():
    entry = registry.ServerEntry(
        "e1", "engines", "e1:80", "a", registry.ServerState.READY, 4, 1
    )
    return registry.Server(entry)


class EjectionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("one", [10.0], 10.4),
            ("many_at_once", [10.0, 10.01, 10.1, 10.2, 10.3, 10.39], 10.4),
            ("again_after_ejection", [10.0, 10.4], 11.2),
            ("many_per_ejection", [10.0, 10.1, 10.5, 10.6, 10.9], 11.3),
            ("repeatedly", [10.0, 11.0, 12.0, 14.0, 18.0, 24.0], 29.0),
        ]
    )
    def test_concurrent_failures_count_once(self, _, failed_at, until):
        server = _make_server()
        for at in failed_at:
            server.record_failure(at)
        self.assertFalse(server.is_usable(until - 0.01))
        self.assertTrue(server.is_usable(until + 0.01))
