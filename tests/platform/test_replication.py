"""Replicas of texts on nodes that run the same items at the same time.

Guards against a text that is joined from the events of two runs: after several
nodes were killed and restarted, two of them may run the same items.
"""

import unittest

import parameterized
import trio

from kingcupscale.fleet import serverclient
from kingcupscale.peering import replication
from tests import virtual
from tests.platform import harness


def _events(first, last, run):
    return [
        serverclient.StreamEvent(number, f"{run}{number}", 1)
        for number in range(first, last + 1)
    ]


class ReplicationTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("continues", _events(1, 5, "a"), "a", True),
            ("differs_in_events", _events(1, 5, "b"), "a", False),
            ("differs_in_length", _events(1, 4, "a"), "a", False),
            ("receiver_has_none", [], "a", False),
            ("sent_from_the_start", _events(1, 5, "b"), "", True),
        ]
    )
    @virtual.on_virtual_time
    async def test_texts_of_two_runs_are_not_joined(
        self, _, known, run, is_applied
    ):
        async with harness.launch(nodes=1) as site:
            runtime = site.nodes[0].runtime
            coordinator = runtime.services["engines"].coordinator
            coordinator.partial_texts["i1"] = list(known)
            events = _events(6, 8, run)
            before = replication.digest(_events(1, 5, run))
            if not run:
                events, before = _events(1, 8, "c"), ""
            text = replication.TextUpdate("i1", events, before=before)
            request = replication.ReplicationRequest("engines", [text])
            self.assertEqual(coordinator.apply_copy(request), is_applied)
            expected = known
            if is_applied:
                expected = events if not run else known + events
            self.assertEqual(coordinator.partial_texts["i1"], expected)

    @virtual.on_virtual_time
    async def test_text_that_is_out_of_sync_is_sent_in_full(self):
        """Several nodes were killed and restarted; two run the same items."""
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
            sender = holder.runtime.services["engines"].coordinator
            found = [
                text
                for node in others
                for text in node.runtime.services[
                    "engines"
                ].coordinator.partial_texts.values()
                if len(text) > 3
            ]
            self.assertEqual(len(found), 6)
            texts = [sample.events for sample in sender.open_samples()]
            for text in found:
                self.assertTrue(any(t[: len(text)] == text for t in texts))
