"""When a node's view of the store is new enough to act on."""

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
            ("new", 0.2, False, 0.1, True),
            ("almost_old", 2.9, False, 0.1, True),
            ("old_beside_nodes_that_answer", 3.1, False, 0.1, False),
            ("old_by_a_reading_that_takes_long", 21.0, False, 21.0, False),
            ("store_silent_for_the_others_too", 9.0, True, 0.5, True),
            ("store_silent_and_others_not_asked_since", 3.5, True, 2.0, False),
            ("store_silent_and_others_too", 9.0, True, 4.5, False),
            ("store_silent_and_no_other_node", 9.0, True, None, True),
            ("alone_but_behind", 9.0, False, None, False),
        ]
    )
    @virtual.on_virtual_time
    async def test_old_view_is_told_from_a_silent_store(
        self, _, age_s, is_unreachable, peer_answered_s, is_current
    ):
        await trio.sleep(NOW_S)
        now = trio.current_time()
        peer_answered_at = (
            None if peer_answered_s is None else now - peer_answered_s
        )
        view = views.View(
            Mirror(now - age_s, is_unreachable),
            virtualtime.VirtualClock(),
            "n",
            BOUND_S,
            lambda: peer_answered_at,
        )
        self.assertEqual(view.is_current(), is_current)
