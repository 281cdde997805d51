"""Decides for how long an engine that rejected a sample gets no others.

An engine rejects the samples of a model while it loads weights for it. The
pause doubles with each further rejection, and ends when news of the load
arrives or a run shows that the engine accepts samples again.
"""

import weakref

import attrs

from kingcupscale.fleet import registry

MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 1.6


@attrs.frozen
class Pause:
    """The latest pause of a model's samples on an engine.

    Attributes:
        began_at: Monotonic time of the rejection.
        until: Monotonic time at which it ends.
        seconds: The time that the rejection alone added.
    """

    began_at: float
    until: float
    seconds: float


class Rejections:
    """The pauses of all engines.

    Attributes:
        pauses: Latest pause by model, by engine.
    """

    def __init__(self) -> None:
        self.pauses: weakref.WeakKeyDictionary[
            registry.Server, dict[str, Pause]
        ] = weakref.WeakKeyDictionary()

    def record(
        self, server: registry.Server, model: str, sent_at: float, now: float
    ) -> None:
        """Records a rejection and pauses the model's samples on the engine.

        Args:
            server: The engine.
            model: The sample's model.
            sent_at: Monotonic time at which the sample was sent.
            now: Monotonic time.
        """
        pauses = self.pauses.setdefault(server, {})
        latest = pauses.get(model)
        known_until = server.no_samples_until.get(model, 0.0)
        seconds = MIN_PAUSE_S
        # Another time than the pause's comes from news of the load.
        if latest is not None and latest.until == known_until:
            if sent_at < latest.began_at:
                # Samples that are sent together are rejected together.
                return
            seconds = min(MAX_PAUSE_S, 2 * latest.seconds)
        until = max(known_until, now + seconds)
        pauses[model] = Pause(now, until, seconds)
        server.no_samples_until[model] = until

    def end(self, server: registry.Server, model: str) -> None:
        """Ends the pause because the engine has accepted a sample."""
        latest = self.pauses.get(server, {}).pop(model, None)
        if latest and server.no_samples_until.get(model) == latest.until:
            server.no_samples_until[model] = 0.0
