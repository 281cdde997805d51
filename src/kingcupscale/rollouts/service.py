"""The rollout API for trainers on one node.

Owns the node's open steps; handles requests to open, fetch from and cancel a
step and to publish a weight version.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import metrics as metric
from kingcupscale.configuration import keys
from kingcupscale.configuration import replica as replicas
from kingcupscale.providers import calls
from kingcupscale.providers import weightstore
from kingcupscale.rollouts import messages
from kingcupscale.rollouts import publication
from kingcupscale.rollouts import scoring
from kingcupscale.rollouts import staleness
from kingcupscale.rollouts import step as steps
from kingcupscale.serving import generation
from kingcupscale.serving import plainservices
from kingcupscale.web import message

MAX_STEPS_PER_TRAINER = 4

Handler = Callable[[message.Request, keys.Grant], Awaitable[message.Response]]


class RolloutService:
    """Runs rollout steps and handles trainers' requests for them.

    Args:
        replica: The node's replica of the configuration.
        generator: Generates the samples.
        plain_service_client: Calls scoring services.
        publications: Publishes weight versions.
        weights: The weight store.
        metrics: Staleness histograms.
        clock: Source of the time.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        generator: generation.Generator,
        plain_service_client: plainservices.PlainServiceClient,
        publications: publication.Publications,
        weights: weightstore.WeightStore,
        metrics: metric.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self.replica = replica
        self.generator = generator
        self.plain_service_client = plain_service_client
        self.publications = publications
        self.weights = weights
        self.metrics = metrics
        self.clock = clock
        self.steps: dict[tuple[str, int], steps.Step] = {}
        self.step_sender, self.step_receiver = trio.open_memory_channel[
            steps.Step
        ](64)
        self.handlers: dict[str, Handler] = {
            messages.STEPS_PATH: self._open,
            messages.FETCH_PATH: self._fetch,
            messages.CANCEL_PATH: self._cancel,
            messages.WEIGHTS_PATH: self._publish,
        }

    async def run(self) -> None:
        """Runs newly opened steps until cancelled."""
        async with trio.open_nursery() as nursery:
            async for step in self.step_receiver:
                nursery.start_soon(self._run_step, step)

    async def _run_step(self, step: steps.Step) -> None:
        await step.run()
        key = (step.context.trainer, step.specification.step)
        self.steps.pop(key, None)
        events.log(
            events.Event.STEP_ENDED,
            node=self.replica.node,
            trainer=step.context.trainer,
            step=step.specification.step,
            remaining=step.remaining(),
        )

    async def serve(
        self, request: message.Request, grant: keys.Grant
    ) -> message.Response:
        """Returns the response to one request of a trainer."""
        handler = self.handlers.get(request.path)
        if handler is None:
            raise errors.ServiceError(errors.ResultCode.ROUTE_UNKNOWN)
        if request.method != "POST":
            raise errors.ServiceError(errors.ResultCode.METHOD_NOT_ALLOWED)
        return await handler(request, grant)

    async def _open(
        self, request: message.Request, grant: keys.Grant
    ) -> message.Response:
        body = request.parse(messages.OpenRequest)
        specification = body.specification
        _check_groups(specification)
        key = (grant.trainer, specification.step)
        step = self.steps.get(key)
        if step is None:
            step = await self._start(specification, grant, body)
        elif step.specification != specification:
            raise errors.ServiceError(errors.ResultCode.STEP_CONFLICT)
        return message.json_response(
            messages.StepResponse(specification.step, step.remaining())
        )

    async def _start(
        self,
        specification: messages.StepSpecification,
        grant: keys.Grant,
        body: messages.OpenRequest,
    ) -> steps.Step:
        open_steps = [key for key in self.steps if key[0] == grant.trainer]
        if len(open_steps) >= MAX_STEPS_PER_TRAINER:
            raise errors.ServiceError(
                errors.ResultCode.QUEUE_FULL,
                f"expected fewer than {MAX_STEPS_PER_TRAINER} open steps;"
                " cancel one",
                retry_after_s=1,
            )
        step = steps.Step(specification, self._make_context(grant))
        step.mark_received(body.received)
        self.steps[grant.trainer, specification.step] = step
        events.log(
            events.Event.STEP_OPENED,
            node=self.replica.node,
            trainer=grant.trainer,
            step=specification.step,
            groups=len(specification.groups),
        )
        await self.step_sender.send(step)
        return step

    def _make_context(self, grant: keys.Grant) -> steps.StepContext:
        document = self.replica.document
        trainer = document.trainers[grant.trainer]
        service_class = document.classes[trainer.service_class]
        template = generation.Job(
            trainer.service,
            grant.label,
            f"{grant.organisation}/{grant.trainer}",
            trainer.service_class,
            service_class,
            grant.trainer,
            "",
            0,
            1,
            1,
        )
        scorer = None
        if trainer.scorer:
            scorer_grant = attrs.evolve(
                grant, service_class=trainer.service_class
            )
            scorer = scoring.ServiceScorer(
                self.plain_service_client, trainer.scorer, scorer_grant
            )
        return steps.StepContext(
            grant.trainer,
            template,
            staleness.StalenessRule(service_class.freshness_versions),
            self.generator,
            scorer,
            self.metrics,
            self.clock,
        )

    def _find(self, grant: keys.Grant, number: int) -> steps.Step:
        step = self.steps.get((grant.trainer, number))
        if step is None:
            raise errors.ServiceError(
                errors.ResultCode.STEP_UNKNOWN,
                f"step {number} is not open on this node; open it to resume",
            )
        return step

    async def _fetch(
        self, request: message.Request, grant: keys.Grant
    ) -> message.Response:
        body = request.parse(messages.FetchRequest)
        step = self._find(grant, body.step)
        return message.json_response(await step.fetch(body))

    async def _cancel(
        self, request: message.Request, grant: keys.Grant
    ) -> message.Response:
        body = request.parse(messages.CancelRequest)
        step = self._find(grant, body.step)
        step.cancel()
        return message.json_response(
            messages.StepResponse(body.step, step.remaining())
        )

    async def _publish(
        self, request: message.Request, grant: keys.Grant
    ) -> message.Response:
        body = request.parse(messages.PublishRequest)
        await self._check_weights(grant.trainer, body.version)
        service = self.replica.document.trainers[grant.trainer].service
        await self.publications.publish(grant.trainer, service, body.version)
        return message.json_response(body)

    async def _check_weights(self, trainer: str, version: int) -> None:
        """Checks that a version is complete in the weight store.

        Otherwise engines would be ordered to stage missing weights.
        """
        try:
            manifest = await self.weights.describe(trainer, version)
        except calls.PlatformError as e:
            raise errors.ServiceError(
                errors.ResultCode.STORE_UNAVAILABLE,
                f"the request to the weight store failed: {e.reason}",
                retry_after_s=1,
            ) from e
        if not manifest.ready:
            raise errors.ServiceError(
                errors.ResultCode.WEIGHTS_MISSING,
                f"version {version} of {trainer} is incomplete in the store",
                retry_after_s=1,
            )

    def cancel_all(self) -> None:
        """Cancels all steps; trainers resume them on another node."""
        for step in list(self.steps.values()):
            step.cancel()


def _check_groups(specification: messages.StepSpecification) -> None:
    numbers = [group.group for group in specification.groups]
    if not numbers or len(set(numbers)) < len(numbers):
        raise errors.ServiceError(
            errors.ResultCode.BODY_INVALID,
            "specification.groups: expected one or more, with unique numbers",
        )
