"""Sends the scoring calls of finished texts."""

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

# Time limit of one scoring call, including the time in the queue and retries.
# Each attempt also has the time limit of its route, which is shorter.
CALL_TIMEOUT_S = 30.0
# Status by which a server says that it has run a call and failed.
FAILED_STATUS = 500
# Pause before a failed scoring call is repeated.
RETRY_PAUSE_S = 0.1


class Scorer:
    """Scores texts by forwarding their scoring calls.

    Args:
        call_forwarder: Forwards calls to backend servers.
        clock: Clock for times and pauses.
        current_catalogue: Returns the configuration in force.
        guard: Checks that requests may still be sent.
        on_scored: Called with a sample and its score.
        on_failed: Called with a sample that can't be scored and the reason.
    """

    def __init__(
        self,
        call_forwarder: forwarder.Forwarder,
        clock: clocks.Clock,
        current_catalogue: Callable[[], catalogue.Catalogue | None],
        guard: sendguard.SendGuard,
        on_scored: Callable[[samples.Sample, str], None],
        on_failed: Callable[[samples.Sample, str], None],
    ) -> None:
        self.forwarder = call_forwarder
        self.clock = clock
        self.current_catalogue = current_catalogue
        self.guard = guard
        self.on_scored = on_scored
        self.on_failed = on_failed

    async def score(self, sample: samples.Sample) -> None:
        """Sends a sample's scoring call until it is scored or has failed."""
        scorer = sample.item.scorer
        if scorer is None:
            self.on_scored(sample, "")
            return
        while sample.result is None:
            try:
                self.guard.check(sample)
                response = await self.forwarder.forward(
                    self._make_call(sample, scorer)
                )
                score = response.signature if response.status < 300 else ""
            except serverclient.NotSentError:
                await self.clock.sleep(RETRY_PAUSE_S)
                continue
            except errors.ServiceError as e:
                events.log(
                    events.Event.SCORING_FAILED,
                    item=sample.id,
                    request=scorer.id,
                    reason=str(e),
                )
                await self.clock.sleep(RETRY_PAUSE_S)
                continue
            if score:
                self.on_scored(sample, score)
            else:
                self._record_score_failure(sample, response.status)
                await self.clock.sleep(RETRY_PAUSE_S)

    def _record_score_failure(
        self, sample: samples.Sample, status: int
    ) -> None:
        """Records a response without a score; fails a sample with too many.

        Only failures that the server itself reports count: status 500. A time
        limit that has passed, for example, says nothing about the sample.
        """
        is_failure = status == FAILED_STATUS
        sample.score_failures += is_failure
        events.log(
            events.Event.SCORING_FAILED,
            item=sample.id,
            request=sample.item.scorer.id if sample.item.scorer else "",
            reason=f"no score in the response, status {status}",
            failures=sample.score_failures,
        )
        scorer = sample.item.scorer
        configured = self.current_catalogue()
        if not is_failure or scorer is None or configured is None:
            return
        route = configured.find_route(scorer.host, scorer.path)
        if route and sample.score_failures >= route.max_attempts:
            self.on_failed(sample, "scoring call failed at every attempt")

    def _make_call(
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
            timeout_s=CALL_TIMEOUT_S,
            received_at=self.clock.monotonic(),
            is_background=True,
            on_behalf_of=sample.record.batch.organisation,
            before_send=functools.partial(self.guard.check, sample),
        )
