"""Callers, trainers and usage reports together, on virtual time.

Guards against violated invariants in normal operation, and against usage
reports that differ from the tokens that the engines generated.
"""

import unittest

import trio

from kingcupscale.fakes import callers
from kingcupscale.fakes import cluster as clusters
from tests import virtual


class SessionTest(unittest.TestCase):
    @virtual.on_virtual_time
    async def test_callers_trainers_and_usage_together(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            answers = [
                await cluster.caller(0).complete(stream=True),
                await cluster.caller(1).complete(),
                await cluster.caller(1).quote("first"),
            ]
            trainer = cluster.trainer(0)
            for step in range(2):
                specification = callers.make_step(
                    "trainer-1", step, trainer.version, 4, 2, 60
                )
                await callers.run_step(
                    trainer, "trainer-1", specification, cluster.record
                )
                await trainer.publish(step + 1)
                await trio.sleep(12)
            await trio.sleep(15)
            self.assertEqual([a.status for a in answers], [200] * 3)
            self.assertEqual(len(cluster.record.deliveries), 8)
            self.assertEqual(cluster.broken(), [])
            for engine in cluster.world.engines.values():
                self.assertEqual(engine.active, {"trainer-1": 2})

    @virtual.on_virtual_time
    async def test_reported_usage_equals_what_engines_generated(self):
        async with clusters.running(clusters.ClusterSettings()) as cluster:
            for number in range(2):
                await cluster.caller(number).complete()
            await trio.sleep(25)
            generated = {}
            for engine in cluster.world.engines.values():
                for label, tokens in engine.generated.items():
                    generated[label] = generated.get(label, 0) + tokens
            reported = {
                label: figure.generated_tokens
                for (label, _), figure in cluster.world.intake.totals().items()
            }
            self.assertEqual(reported, generated)
