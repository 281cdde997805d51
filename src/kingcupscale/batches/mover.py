"""Moves runs from engines that stay slow to others.

Such a run is cancelled. Its sample waits again, and keeps its text for the next
run.
"""

from kingcupscale.batches import generation
from kingcupscale.batches import moving
from kingcupscale.batches import placement
from kingcupscale.batches import sample as samples
from kingcupscale.fleet import registry

# Pause between two checks. The caller's loop may run more often.
CHECK_INTERVAL_S = 0.05


class Mover:
    """Moves the runs of one service.

    Args:
        servers: Registry of the backend servers.
        generator: Runs samples and measures the engines' speed.

    Attributes:
        next_check: Monotonic time of the next check.
    """

    def __init__(
        self,
        servers: registry.ServerRegistry,
        generator: generation.Generator,
    ) -> None:
        self.servers = servers
        self.generator = generator
        self.next_check = 0.0

    def move_slow_runs(
        self,
        open_samples: list[samples.Sample],
        usable: list[registry.Server],
        waiting: int,
        now: float,
    ) -> None:
        """Cancels runs whose samples would finish sooner on another engine.

        Must be called regularly also while no slot is free, because it
        measures for how long runs have been slow.

        Args:
            open_samples: The samples of all batches that run here.
            usable: Engines that accept work.
            waiting: Number of waiting samples, for which slots are left free.
            now: Monotonic time.
        """
        if now < self.next_check:
            return
        self.next_check = now + CHECK_INTERVAL_S
        runs = self._measure_runs(open_samples, now)
        free = [s for s in usable if s.load(now) < s.entry.slots]
        if not free:
            return
        event_s = self.generator.event_s
        min_event_s = event_s * min(
            placement.completion_cost(s, now, False) for s in free
        )
        needed_slots = waiting
        for sample, run in runs:
            expected = sample.expected_tokens() / self.generator.event_tokens
            if not moving.should_move(run, min_event_s, expected):
                continue
            current = self.servers.servers.get(sample.server)
            others = [
                s
                for s in free
                if s.id != sample.server and placement.can_run(sample, s, now)
            ]
            free_slots = sum(s.entry.slots - s.in_flight for s in others)
            if not others or current is None or free_slots <= needed_slots:
                continue
            lowest_cost = min(
                placement.completion_cost(s, now, False) for s in others
            )
            if moving.should_move(run, lowest_cost * event_s, expected):
                sample.moves += 1
                needed_slots += 1
                current.update_relative_latency(
                    run.event_s / max(1e-6, event_s)
                )
                sample.run_scope.cancel()

    def _measure_runs(
        self, open_samples: list[samples.Sample], now: float
    ) -> list[tuple[samples.Sample, moving.RunProgress]]:
        """Returns the progress of all runs."""
        return [
            (
                sample,
                moving.RunProgress(
                    sample.run_events,
                    len(sample.events),
                    sample.seconds_per_event(now),
                    sample.moves,
                    sample.slow_s(now, self.generator.event_s),
                ),
            )
            for sample in open_samples
            if sample.stage is samples.Stage.GENERATING
        ]
