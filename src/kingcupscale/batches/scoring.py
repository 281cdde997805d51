"""Scoring finished texts."""

from collections.abc import Callable
import functools

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale.batches import batch as batches
from kingcupscale.batches import sample as samples
from kingcupscale.batches import sendguard
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import serverclient
from kingcupscale.gateway import forwarder
from kingcupscale.gateway import inboundrequest

# Longest that one scoring call may wait for room and for answers; each answer
# has its route's own limit, which is shorter.
CALL_LIMIT_S = 30.0
# Pause before a scoring call that failed is sent again.
SCORE_PAUSE_S = 0.1


class Scorer:
    """Scores texts through the routes of their scoring calls.

    Args:
        forward: Passes calls on.
        clock: Tells the time.
        catalogue_now: Returns the configuration in force.
        guard: Checks that requests may still be sent.
        finish: Takes a sample's score.
        fail: Ends a sample that can't be scored, for a reason.
    """

    def __init__(
        self,
        forward: forwarder.Forwarder,
        clock: clocks.Clock,
        catalogue_now: Callable[[], catalogue.Catalogue | None],
        guard: sendguard.SendGuard,
        finish: Callable[[samples.Sample, str], None],
        fail: Callable[[samples.Sample, str], None],
    ) -> None:
        self.forwarder = forward
        self.clock = clock
        self.catalogue_now = catalogue_now
        self.guard = guard
        self.finish = finish
        self.fail = fail

    async def score(self, sample: samples.Sample) -> None:
        """Calls for a sample's score until it has one or can't have one."""
        scorer = sample.item.scorer
        if scorer is None:
            self.finish(sample, "")
            return
        while sample.result is None:
            try:
                self.guard.check(sample)
                answer = await self.forwarder.forward(
                    self._score_call(sample, scorer)
                )
                score = answer.signature if answer.status < 300 else ""
            except serverclient.NotSentError:
                await self.clock.sleep(SCORE_PAUSE_S)
                continue
            except errors.ServiceError as e:
                events.log(
                    events.Event.SCORING_FAILED,
                    item=sample.id,
                    request=scorer.id,
                    reason=str(e),
                )
                await self.clock.sleep(SCORE_PAUSE_S)
                continue
            if score:
                self.finish(sample, score)
            else:
                self._note_score_failure(sample, answer.status)
                await self.clock.sleep(SCORE_PAUSE_S)

    def _note_score_failure(self, sample: samples.Sample, status: int) -> None:
        sample.score_failures += 1
        events.log(
            events.Event.SCORING_FAILED,
            item=sample.id,
            request=sample.item.scorer.id if sample.item.scorer else "",
            reason=f"status {status}",
            failures=sample.score_failures,
        )
        scorer = sample.item.scorer
        configured = self.catalogue_now()
        if scorer is None or configured is None:
            return
        route = configured.find_route(scorer.host, scorer.path)
        if route and sample.score_failures >= route.max_attempts:
            self.fail(sample, "its scoring call failed at every run")

    def _score_call(
        self, sample: samples.Sample, scorer: batches.Scorer
    ) -> inboundrequest.InboundRequest:
        return inboundrequest.InboundRequest(
            request_id=scorer.id,
            method="POST",
            host=scorer.host,
            path=scorer.path,
            query="",
            headers={},
            body=scorer.body,
            key="",
            timeout_s=CALL_LIMIT_S,
            received_at=self.clock.monotonic(),
            is_background=True,
            before_send=functools.partial(self.guard.check, sample),
        )
