"""Copies of texts between nodes that run the same items at a time."""

import unittest

import parameterized
import trio

from kingcupscale.fleet import serverclient
from kingcupscale.peering import handover
from tests import virtual
from tests.platform import harness


def _events(first, last, maker):
    return [
        serverclient.StreamEvent(number, f"{maker}{number}", 1)
        for number in range(first, last + 1)
    ]


class ReplicationTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("goes_on", _events(1, 5, "a"), "a", True),
            ("of_another_run", _events(1, 5, "b"), "a", False),
            ("of_another_length", _events(1, 4, "a"), "a", False),
            ("unknown_so_far", [], "a", False),
            ("from_the_start", _events(1, 5, "b"), "", True),
        ]
    )
    @virtual.on_virtual_time
    async def test_texts_of_two_runs_are_not_joined(
        self, _, known, maker, fits
    ):
        async with harness.launch(nodes=1) as site:
            runtime = site.nodes[0].runtime
            coordinator = runtime.services["engines"].coordinator
            coordinator.partial_texts["i1"] = list(known)
            events = _events(6, 8, maker)
            before = handover.digest(_events(1, 5, maker))
            if not maker:
                events, before = _events(1, 8, "c"), ""
            text = handover.TextUpdate("i1", events, before=before)
            copy = handover.ReplicationRequest("engines", [text])
            self.assertEqual(coordinator.apply_copy(copy), fits)
            expected = known
            if fits:
                expected = events if not maker else known + events
            self.assertEqual(coordinator.partial_texts["i1"], expected)

    @virtual.on_virtual_time
    async def test_text_that_did_not_fit_is_sent_whole(self):
        """Load pattern: several nodes killed and back, two run the items."""
        async with harness.launch(nodes=3) as site:
            holder = site.holder(f"engines/{harness.MODEL}")
            for server in site.servers.values():
                server.length = 400
            await site.submit(site.other(holder), items=6)
            await trio.sleep(2)
            others = [n for n in site.nodes if n is not holder]
            for node in others:
                coordinator = node.runtime.services["engines"].coordinator
                for item in list(coordinator.partial_texts):
                    coordinator.partial_texts[item] = _events(1, 3, "other")
            await trio.sleep(2)
            made = holder.runtime.services["engines"].coordinator
            found = [
                text
                for node in others
                for text in node.runtime.services[
                    "engines"
                ].coordinator.partial_texts.values()
                if len(text) > 3
            ]
            self.assertEqual(len(found), 6)
            texts = [sample.events for sample in made.open_samples()]
            for text in found:
                self.assertTrue(any(t[: len(text)] == text for t in texts))
