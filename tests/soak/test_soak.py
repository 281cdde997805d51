"""Short soak tests of real node processes under seeded faults.

They rerun the seeds that have failed before; ``seeds.py`` names the causes.
"""

import unittest

import parameterized
import trio

from tests.soak import evacuations
from tests.soak import seeds
from tests.soak import session

STORE = "127.0.0.1:1"
HEALED_AT = 30.0


class SoakTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(seed.number, seed.seconds) for seed in seeds.FAILED]
    )
    def test_promises_hold(self, seed, seconds):
        outcome = trio.run(session.run, seed, seconds)
        self.assertEqual(outcome.problems, [], outcome.faults)
        self.assertGreater(outcome.served, 0)
        self.assertGreater(outcome.batches, 0)
        self.assertGreater(outcome.descriptors, 0)
        # Guards against schedules that are not run.
        kinds = {kind for _, kind, *_ in outcome.faults}
        self.assertLessEqual(
            {"uncontrolled clients", "evacuate", "evacuation ended"}, kinds
        )


class EvacuationCheckTest(unittest.TestCase):
    """Guards against a check that excuses, or blames, the wrong requests.

    Zone "a" is evacuated from 10 to 30 s.
    """

    @parameterized.parameterized.expand(
        [
            ("within_limit", "a", 14.9, [], False),
            ("after_limit", "a", 15.1, [], True),
            ("other_zone", "b", 15.1, [], False),
            ("after_end", "a", 30.1, [], False),
            ("during_outage", "a", 15.1, [(14.0, "store down", 4.0)], False),
            ("soon_after", "a", 22.9, [(14.0, "store down", 4.0)], False),
            ("long_after", "a", 23.1, [(14.0, "store down", 4.0)], True),
            ("outage_before", "a", 15.1, [(6.0, "pause", "n0", 3.9)], True),
            ("outage_later", "a", 17.0, [(16.0, "pause", "n0", 3.0)], True),
            (
                "outages_in_turn",
                "a",
                22.9,
                [(14.0, "store slow", 1.0), (17.0, "reset", STORE)]
                + [(17.5, "silence", STORE, ["up"], 0.5)],
                False,
            ),
            ("other_link", "a", 15.1, [(14.0, "reset", "127.0.0.1:2")], True),
            ("node_killed", "a", 15.1, [(14.0, "kill", "n0", 3.0)], True),
        ]
    )
    def test_late_requests(self, _, zone, at, fault_log, is_late):
        arrival = (zone, "e0", "/x", at)
        late_requests = evacuations.late_requests(
            evacuations.Evacuation("a", 10.0, HEALED_AT),
            [arrival],
            evacuations.outages(fault_log, STORE, HEALED_AT),
        )
        self.assertEqual(late_requests, [arrival] if is_late else [])
