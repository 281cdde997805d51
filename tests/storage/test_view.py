"""When a node's view of the store counts as current.

Guards against acting on an old view while other nodes act on newer changes, and
against stopping while no node can reach the store.
"""

import unittest

import attrs
import parameterized
import trio

from kingcupscale.fakes import virtualtime
from kingcupscale.storage import view as views
from tests import virtual

BOUND_S = 4.0
NOW_S = 100.0


@attrs.define
class Mirror:
    current_at: float
    is_unreachable: bool = False

    def age_s(self):
        return trio.current_time() - self.current_at


class ViewTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("recent", 0.2, False, 0.1, True),
            ("almost_old", 2.9, False, 0.1, True),
            ("old_while_other_nodes_respond", 3.1, False, 0.1, False),
            ("old_because_of_a_slow_read", 21.0, False, 21.0, False),
            ("store_unreachable_for_others_too", 9.0, True, 0.5, True),
            (
                "store_unreachable_and_others_not_asked_since",
                3.5,
                True,
                2.0,
                False,
            ),
            ("store_and_other_nodes_unreachable", 9.0, True, 4.5, False),
            ("store_unreachable_and_no_other_node", 9.0, True, None, True),
            ("no_other_node_but_behind", 9.0, False, None, False),
        ]
    )
    @virtual.on_virtual_time
    async def test_old_view_differs_from_an_unreachable_store(
        self, _, age_s, is_unreachable, peer_cut_off_s, is_current
    ):
        await trio.sleep(NOW_S)
        now = trio.current_time()
        peer_cut_off_at = (
            None if peer_cut_off_s is None else now - peer_cut_off_s
        )
        view = views.View(
            Mirror(now - age_s, is_unreachable),
            virtualtime.VirtualClock(),
            "n",
            BOUND_S,
            lambda: peer_cut_off_at,
        )
        self.assertEqual(view.is_current(), is_current)
