"""Short soak tests of real node processes under seeded faults.

They rerun the seeds that have failed before; ``seeds.py`` names the causes.
"""

import random
import types
import unittest

import parameterized
import trio

from tests import virtual
from tests.soak import callers
from tests.soak import evacuations
from tests.soak import fatal
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
        self.assertEqual("server ended" in kinds, fatal.is_drawn(seed))

    def test_some_seeds_have_a_fatal_request(self):
        drawn = {fatal.is_drawn(seed.number) for seed in seeds.FAILED}
        self.assertEqual(drawn, {False, True})


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


class FatalRequestCheckTest(unittest.TestCase):
    """Guards against a check that excuses, or blames, the wrong nodes.

    Three servers end at 0 s, further ones at the given time.
    """

    @parameterized.parameterized.expand(
        [
            ("few", 5.1, 0.0, 3, False),
            ("too_many", 5.1, 0.0, 4, True),
            ("before_contact", 4.9, 0.0, 4, False),
            ("soon_after_disturbance", 9.9, 5.0, 4, False),
            ("long_after_disturbance", 10.1, 5.0, 4, True),
        ]
    )
    @virtual.on_virtual_time
    async def test_tries(self, _, at, disturbed_at, tries, is_late):
        world = types.SimpleNamespace(violations=[])
        observations = callers.Observations(world)
        request = fatal.FatalRequest(
            world, observations, random.Random(1), None
        )
        request.nodes["f"] = types.SimpleNamespace(name="n0")
        request.undisturbed_since["n0"] = trio.current_time() + disturbed_at
        for _ in range(fatal.BLOCKING_ENDS):
            request.check_try("f")
        await trio.sleep(at)
        for _ in range(tries):
            request.check_try("f")
        self.assertEqual(bool(observations.problems), is_late)
