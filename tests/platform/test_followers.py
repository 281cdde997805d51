"""Choice of the followed leader, and the leader's work under load.

Guards against all nodes following the same leader, against a follower that
stays without changes because one leader fails, and against load orders that
wait for the leader's other work.
"""

import collections
import random
import unittest

import attrs
import parameterized
import trio

from kingcupscale.batches import interest
from kingcupscale.fakes import virtualtime
from kingcupscale.fleet import nodeentry
from kingcupscale.fleet import peers
from kingcupscale.peering import relay
from kingcupscale.storage import changelog
from kingcupscale.storage import locks
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from kingcupscale.storage import view as views
from tests import virtual
from tests.platform import harness

FLEET = [f"n{number}" for number in range(55)]
POSITION = changelog.Position("", 0, 0)
# Most followers of a leader, as a multiple of an even share.
MAX_SHARE = 1.5


class FakeRelayClient:
    """Returns no changes from each node that is not silent.

    Attributes:
        silent: Addresses of the nodes that do not respond.
        ages: Age of a node's mirror and time since it received changes, in
            seconds, by address; others are recent.
        is_cut_off: Whether the store does not respond to any node.
        asked: Addresses that were asked, in order.
    """

    def __init__(self):
        self.silent = set()
        self.is_cut_off = False
        self.ages = {}
        self.asked = []

    async def follow(self, address, position, interest):
        self.asked.append(address)
        if address in self.silent:
            raise relay.RelayError("no response")
        age_s, advanced_s = self.ages.get(address, (0.0, 0.0))
        return changelog.Changes(
            [], position, age_s, 0, advanced_s, self.is_cut_off
        )


def make_peers(node, leaders):
    """Returns a node's peers in a fleet whose services have these leaders."""
    mirror = mirrors.StoreMirror(None, None, node, None, None)
    duties = [f"service {number}" for number in range(len(leaders))]
    for name in FLEET:
        value = nodeentry.encode(name, None, 0.0)
        mirror.apply(stores.Entry(locks.NODES_PREFIX + name, value, 1, 1))
    for duty, leader in zip(duties, leaders, strict=True):
        key, value = locks.DUTIES_PREFIX + duty, f"{leader} 7".encode()
        mirror.apply(stores.Entry(key, value, 1, 1))
    found = peers.Peers(
        node,
        FakeRelayClient(),
        None,
        virtualtime.VirtualClock(),
        random.Random(1),
        lambda: duties,
    )
    found.mirror = mirror
    return found


class FollowerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("two", ["n3", "n7"]),
            ("three", ["n3", "n7", "n40"]),
            ("one_with_two_duties", ["n3", "n3", "n7"]),
        ]
    )
    def test_followers_are_distributed_over_the_leaders(self, _, leaders):
        preferred = collections.Counter()
        for node in FLEET:
            if node not in leaders:
                found = make_peers(node, leaders).leaders()
                self.assertEqual(sorted(found), sorted(set(leaders)))
                preferred[found[0]] += 1
        even = preferred.total() / len(set(leaders))
        self.assertEqual(set(preferred), set(leaders))
        self.assertLessEqual(max(preferred.values()), MAX_SHARE * even)

    def test_followers_of_a_leader_that_stays_move_only_to_the_new_one(self):
        for node in FLEET[20:]:
            before = make_peers(node, ["n3", "n7"]).leaders()[0]
            after = make_peers(node, ["n3", "n9"]).leaders()[0]
            if before == "n3":
                self.assertIn(after, ("n3", "n9"))

    @virtual.on_virtual_time
    async def test_other_leader_is_followed_while_the_preferred_one_fails(
        self,
    ):
        found = make_peers("n20", ["n3", "n7"])
        preferred, other = found.leaders()
        found.client.silent = {preferred}
        for _ in range(3):
            self.assertIsNotNone(
                await found.fetch_changes(POSITION, interest.EVERYTHING, False)
            )
        self.assertEqual(found.client.asked, [preferred, other, other, other])
        self.assertEqual(found.followed, other)
        found.client.silent = set()
        await trio.sleep(2 * peers.RETRY_PAUSE_S)
        await found.fetch_changes(POSITION, interest.EVERYTHING, False)
        self.assertEqual(found.followed, preferred)

    @parameterized.parameterized.expand(
        [
            ("preferred_is_behind", [(3.0, 0.1)], 1),
            ("both_are_behind", [(3.0, 0.1), (3.0, 0.1)], 0),
            ("preferred_receives_nothing", [(3.0, 9.0)], 1),
        ]
    )
    @virtual.on_virtual_time
    async def test_recent_leader_is_preferred(self, _, ages, expected):
        found = make_peers("n20", ["n3", "n7"])
        leaders = found.leaders()
        found.client.ages = dict(zip(leaders, ages, strict=False))
        for _ in range(2):
            changes = await found.fetch_changes(
                POSITION, interest.EVERYTHING, False
            )
        self.assertTrue(changes.is_recent(0.0) or changes.is_advancing(0.0))
        self.assertEqual(found.followed, leaders[expected])
        self.assertLessEqual(len(found.client.asked), 3)

    @virtual.on_virtual_time
    async def test_time_spent_on_a_silent_leader_does_not_age_the_next(self):
        found = make_peers("n20", ["n3", "n7"])
        preferred, other = found.leaders()
        found.client.ages = {other: (0.5, 9.0)}
        follow = found.client.follow

        async def follow_slowly(address, position, wanted):
            if address == preferred:
                await trio.sleep(0.8)
                raise relay.RelayError("no response")
            return await follow(address, position, wanted)

        found.client.follow = follow_slowly
        changes = await found.fetch_changes(
            POSITION, interest.EVERYTHING, False
        )
        self.assertAlmostEqual(changes.age_s, -0.3)
        self.assertTrue(changes.is_recent(0.8))

    @parameterized.parameterized.expand(
        [
            ("behind", [(4.0, 0.1)], False),
            ("cut_off", [(4.0, 9.0), (4.0, 9.0)], True),
            ("behind_beside_one_cut_off", [(4.0, 0.1), (4.0, 9.0)], False),
        ]
    )
    @virtual.on_virtual_time
    async def test_old_view_is_current_only_without_any_store(
        self, _, ages, is_current
    ):
        # A node that reaches the store may be old because it is behind, while
        # the store takes changes.
        found = make_peers("n20", ["n3", "n7"])
        await trio.sleep(100)
        found.mirror.clock = found.clock
        found.mirror.current_at = trio.current_time() - 9.0
        found.mirror.is_unreachable = True
        found.client.is_cut_off = True
        found.client.ages = dict(zip(found.leaders(), ages, strict=False))
        await found.fetch_changes(POSITION, interest.EVERYTHING, False)
        view = views.View(
            found.mirror, found.clock, "n20", 4.0, found.peer_cut_off_at
        )
        self.assertEqual(view.is_current(), is_current)

    def test_leader_does_not_follow_itself(self):
        self.assertEqual(make_peers("n3", ["n3", "n7"]).leaders(), ["n7"])


class LoadOrderTest(unittest.TestCase):
    @parameterized.parameterized.expand(["autoscaler", "deletions"])
    @virtual.on_virtual_time
    async def test_loads_do_not_wait_for(self, blocked):
        async with harness.launch() as site:
            leader = site.holder().runtime
            duty = leader.services["engines"]
            if blocked == "autoscaler":
                leader.settings = attrs.evolve(
                    leader.settings, orders_servers=True
                )
                duty.autoscaler.run_once = trio.sleep_forever
            else:
                duty.retention.remove_older_than = lambda _: (
                    trio.sleep_forever()
                )
                duty.retention_ran_at = -1000.0
            await trio.sleep(1)
            site.set_target_version(2)
            await trio.sleep(1)
            versions = {order["version"] for _, order, _ in site.orders}
            self.assertIn(2, versions)

    @virtual.on_virtual_time
    async def test_loads_are_ordered_only_while_the_duty_is_held(self):
        async with harness.launch() as site:
            other = site.other(site.holder()).runtime.services["engines"]
            steps = []

            async def step(nursery):
                steps.append(other.lock.is_held())

            other.loader.step = step
            site.set_target_version(2)
            await trio.sleep(2)
            self.assertEqual(steps, [])
            site.network.crash(site.holder().name)
            await trio.sleep(5)
            self.assertIn(True, steps)
            self.assertNotIn(False, steps)
