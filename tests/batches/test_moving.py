"""Moves of running samples to other engines.

The load pattern: engines are often slow for 0.6 s, when a move costs more than
it saves, and seldom for many seconds, when a whole step would wait for them.
"""

import random
import types
import unittest

import parameterized

from kingcupscale.batches import mover
from kingcupscale.batches import moving
from kingcupscale.batches import sample
from tests.batches import test_decisions


def replay_moves(share, factor, lasting_s, engines=18, seconds=40.0):
    """Returns when runs would move; one engine is slow from 5 s on."""
    rng = random.Random(11)
    runs = [
        (e, test_decisions.make_sample(f"s{e}-{r}"))
        for e in range(engines)
        for r in range(6)
    ]
    next_at = {run: rng.uniform(0.0, 0.05) for _, run in runs}
    history = {e: [False, False] for e in range(engines)}
    moved = []
    for tick in range(int(seconds / 0.01)):
        now = tick * 0.01
        if tick % 60 == 0:
            for past in history.values():
                past.append(rng.random() < share and not all(past[-2:]))
        for engine, run in list(runs):
            lasts = engine == 0 and 5.0 <= now < 5.0 + lasting_s
            slow = factor if lasts else 2.5 if history[engine][-1] else 1.0
            if now >= next_at[run]:
                run.append(
                    sample.serverclient.StreamEvent(
                        len(run.events) + 1, "t", 1
                    ),
                    now,
                )
                next_at[run] = now + 0.045 * slow * rng.uniform(0.85, 1.15)
            if tick % 5:
                continue
            progress = moving.RunProgress(
                run.run_events,
                10,
                run.seconds_per_event(now),
                0,
                run.slow_s(now, 0.045),
            )
            if moving.should_move(progress, 0.045, 60):
                moved.append(now)
                runs.remove((engine, run))
    return moved


class MovingTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "slow_and_long",
                moving.RunProgress(6, 30, 0.1, 0, 2.0),
                0.025,
                100,
                True,
            ),
            (
                "slow_at_its_end",
                moving.RunProgress(18, 20, 0.03, 0, 2.0),
                0.02,
                24,
                False,
            ),
            (
                "as_fast",
                moving.RunProgress(6, 30, 0.03, 0, 2.0),
                0.025,
                100,
                False,
            ),
            (
                "too_early",
                moving.RunProgress(2, 2, 0.5, 0, 2.0),
                0.025,
                100,
                False,
            ),
            (
                "moved_often",
                moving.RunProgress(6, 30, 0.2, 4, 2.0),
                0.025,
                100,
                False,
            ),
            (
                "slow_for_a_moment",
                moving.RunProgress(6, 30, 0.1, 0, 1.2),
                0.025,
                100,
                False,
            ),
            (
                "other_unknown",
                moving.RunProgress(4, 4, 0.025, 0, 2.0),
                0.0,
                300,
                False,
            ),
            (
                "past_its_hint",
                moving.RunProgress(6, 90, 0.1, 0, 2.0),
                0.025,
                20,
                True,
            ),
        ]
    )
    def test_should_move(self, _, run, other, expected, is_moved):
        self.assertEqual(moving.should_move(run, other, expected), is_moved)

    @parameterized.parameterized.expand(
        [
            # 15 % of the engines are 2.5 times slower for 0.6 s at a time, at
            # most twice in a row.
            ("short_slowdowns", 0.15, 2.5, 0.0, 0),
            # One of them stays slow, and loses all of its runs.
            ("lasting_slowdown", 0.0, 3.0, 8.0, 6),
            ("lasting_among_short", 0.15, 3.0, 8.0, 6),
        ]
    )
    def test_replay(self, _, share, factor, lasting_s, expected):
        moved = replay_moves(share, factor, lasting_s)
        self.assertEqual(len(moved), expected)
        self.assertTrue(all(5.0 < at <= 6.7 for at in moved), moved)

    @parameterized.parameterized.expand(
        [
            ("slow", 0.14, 0, True),
            ("as_fast_as_others", 0.05, 0, False),
            ("free_slots_are_left_for_waiting_samples", 0.14, 8, False),
        ]
    )
    def test_run_is_cancelled(self, _, event_s, waiting, is_moved):
        servers = [test_decisions.make_server(f"e{i}") for i in range(2)]
        generator = types.SimpleNamespace(event_s=0.045, event_tokens=30.0)
        moves = mover.Mover(
            types.SimpleNamespace(servers={s.id: s for s in servers}), generator
        )
        run = test_decisions.make_sample("s", tokens=3000)
        run.stage = sample.Stage.GENERATING
        run.server = "e0"
        run.run_scope = types.SimpleNamespace(cancel=lambda: moved.append(now))
        moved = []
        for tick in range(200):
            now = tick * 0.01
            if int(now / event_s) > len(run.events):
                number = len(run.events) + 1
                run.append(sample.serverclient.StreamEvent(number, "t", 1), now)
            moves.move_slow_runs([run], servers, waiting, now)
        self.assertEqual(bool(moved), is_moved)
        self.assertTrue(all(at > 1.2 for at in moved), moved)
        self.assertTrue(not moved or moved[0] < 1.9, moved)
