"""Pauses of engines that reject samples.

The load pattern: an engine rejects the samples of a model for some seconds
while it loads weights. Without longer pauses, each sample of a step is sent to
it again every 0.1 s; without an end, the engine stays idle after its load.
"""

import unittest

import parameterized
import trio

from kingcupscale.batches import rejections
from tests import virtual
from tests.batches import test_decisions
from tests.platform import harness


def replay(load_s, samples_at_once=6, news_at=None, seconds=4.0):
    """Returns how many samples an engine rejects, and when one runs."""
    server = test_decisions.make_server("e", versions={"m": 1})
    pauses = rejections.Rejections()
    rejected = 0
    for tick in range(int(seconds / 0.05)):
        now = tick * 0.05
        if news_at is not None and tick == round(news_at / 0.05):
            server.no_samples_until["m"] = now
        if server.no_samples_until.get("m", 0.0) > now:
            continue
        if now >= load_s:
            pauses.end(server, "m")
            return rejected, now
        for _ in range(samples_at_once):
            pauses.record(server, "m", now, now + 0.01)
        rejected += samples_at_once
    return rejected, seconds


class RejectionsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            # Pauses of 0.1, 0.2, 0.4, 0.8 and 1.6 s; samples that were sent
            # together count once.
            ("long_load", 2.4, None, 5, 3.4),
            ("short_load", 0.05, None, 1, 0.2),
            ("news_ends_the_pause", 1.6, 1.6, 5, 1.6),
        ]
    )
    def test_pauses(self, _, load_s, news_at, most_rounds, latest):
        rejected, ran_at = replay(load_s, news_at=news_at)
        self.assertLessEqual(rejected, 6 * most_rounds)
        self.assertLessEqual(ran_at, latest)

    def test_pause_is_bounded_and_starts_small_after_a_run_or_news(self):
        server = test_decisions.make_server("e")
        pauses = rejections.Rejections()
        for now in range(0, 80, 8):
            pauses.record(server, "m", now, now)
        self.assertEqual(server.no_samples_until["m"], 72 + 1.6)
        pauses.end(server, "m")
        self.assertEqual(server.no_samples_until["m"], 0.0)
        pauses.record(server, "m", 80.0, 80.0)
        self.assertEqual(server.no_samples_until["m"], 80.1)
        server.no_samples_until["m"] = 81.0  # News: closed until then.
        pauses.record(server, "m", 80.5, 80.5)
        self.assertEqual(server.no_samples_until["m"], 81.0)
        pauses.record(server, "m", 90.0, 90.0)
        self.assertEqual(server.no_samples_until["m"], 90.2)

    @virtual.on_virtual_time
    async def test_engines_that_reject_for_seconds_get_few_samples(self):
        async with harness.launch() as site:
            engines = [s for s in site.servers.values() if s.versions]
            rejected = []
            for engine in engines:
                engine.is_full = True
                engine.reject = lambda status=503: (
                    rejected.append(trio.current_time())
                    or harness.message.Response(
                        status, {harness.names.NOT_RUN: "1"}
                    )
                )
            await site.submit(site.nodes[0])
            await trio.sleep(4)
            for engine in engines:
                engine.is_full = False
            self.assertEqual(len(await site.read_all(site.nodes[0])), 4)
            # Pauses of 0.1 s make 40 rounds of 4 samples.
            self.assertLess(len(rejected), 4 * 10)
