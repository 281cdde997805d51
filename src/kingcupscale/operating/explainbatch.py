"""Explains where the samples of a batch would be sent now, without sending.

The node that holds the duty of the batch's model places its samples. Another
node answers with its own view of the engines.
"""

import collections

from kingcupscale import errors
from kingcupscale import leadership
from kingcupscale import runtime as runtimes
from kingcupscale.batches import order
from kingcupscale.batches import placement
from kingcupscale.batches import record as records
from kingcupscale.batches import sample as samples
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import exclusions
from kingcupscale.operating import explain
from kingcupscale.operating import explanations

UNKNOWN_STAGE = "unknown"


def explain_batch(
    runtime: runtimes.Runtime, batch_id: str, item_id: str = ""
) -> explanations.BatchExplanation:
    """Returns where the samples of a batch would be sent.

    Args:
        runtime: The node.
        batch_id: Id of the batch.
        item_id: The item to rank the engines for; empty for the next one.

    Raises:
        ServiceError: ``BATCH_UNKNOWN`` or ``ITEM_UNKNOWN``, or
            ``EXPLAIN_UNSUPPORTED`` if this node holds no copy of the batch.
    """
    record = runtime.batch_cache.records.get(batch_id)
    if record is None:
        raise _make_missing_error(runtime, batch_id)
    return _Explainer(runtime, record).explain(item_id)


def _make_missing_error(
    runtime: runtimes.Runtime, batch_id: str
) -> errors.ServiceError:
    model = runtime.batch_cache.model_of(batch_id)
    if model is None:
        return errors.ServiceError(errors.ResultCode.BATCH_UNKNOWN)
    holders = {
        runtime.peers.holder(leadership.model_duty_name(service, model))
        for service in runtime.services
    } - {""}
    return errors.ServiceError(
        errors.ResultCode.EXPLAIN_UNSUPPORTED,
        f"this node holds no copy of the batch; its model {model} is run by"
        f" {', '.join(sorted(holders)) or 'no node'}",
    )


class _Explainer:
    """Explains one batch.

    Args:
        runtime: The node.
        record: The batch.

    Attributes:
        route: The batch's route; None if it leads to no service.
        coordinator: Runs the batches of the route's service; None if this node
            has none.
        progress: The batch's samples; None if it does not run here.
    """

    def __init__(
        self, runtime: runtimes.Runtime, record: records.Record
    ) -> None:
        self.runtime = runtime
        self.record = record
        self.batch = record.batch
        self.route = self._find_route()
        self.service = self.route.shares[0].service if self.route else ""
        for share in self.route.shares if self.route else ():
            if share.service in runtime.services:
                self.service = share.service
                break
        duty = runtime.services.get(self.service)
        self.coordinator = duty.coordinator if duty else None
        self.progress = (
            self.coordinator.progress.get(self.batch.id)
            if self.coordinator
            else None
        )

    def _find_route(self) -> catalogue.Route | None:
        configured = self.runtime.current_catalogue()
        if configured is None:
            return None
        return next(
            (
                configured.find_route(self.batch.host, item.path)
                for item in self.batch.items[:1]
            ),
            None,
        )

    def explain(self, item_id: str) -> explanations.BatchExplanation:
        """Returns the explanation for an item, or for the next one."""
        runtime, batch, route = self.runtime, self.batch, self.route
        zones = (
            runtime.eligibility.peek_zones(route, batch.organisation)
            if route
            else None
        )
        sample = self._find_sample(item_id)
        duty = leadership.model_duty_name(self.service, batch.model)
        return explanations.BatchExplanation(
            view=explain.make_view(runtime),
            batch=batch.id,
            is_open=self.record.is_open(),
            route=route.name if route else "",
            organisation=batch.organisation,
            model=batch.model,
            minimum_version=batch.minimum_version,
            target_version=runtime.cluster_state.target_versions.get(
                batch.model, 0
            ),
            priority=route.priority if route else None,
            zones=explain.list_zones(zones),
            total=len(batch.items),
            finished=len(self.record.results),
            stages=self._count_stages(),
            holder=runtime.peers.holder(duty),
            runs_here=self.progress is not None,
            item=self._describe_item(sample) if sample else None,
            service=self._explain_engines(sample, zones) if sample else None,
            notes=self._notes(),
        )

    def _count_stages(self) -> dict[str, int]:
        if self.progress is None:
            return {}
        return dict(
            collections.Counter(
                sample.stage.value for sample in self.progress.samples.values()
            )
        )

    def _notes(self) -> list[str]:
        notes = []
        if self.route is None:
            notes.append("no route of the configuration leads to its engines")
        if not self.record.is_open():
            notes.append("it is not open, so no sample of it is sent")
        elif self.progress is None:
            notes.append(
                "another node runs it, with its own counts of requests; ask"
                " the holder of the duty"
            )
        if not self.runtime.view.peek_current():
            notes.append("this node's view is too old to send samples")
        return notes

    def _find_sample(self, item_id: str) -> samples.Sample | None:
        """Returns an item's sample, or the one that is placed next.

        Raises:
            ServiceError: ``ITEM_UNKNOWN``.
        """
        known = [item.id for item in self.batch.items]
        if item_id and item_id not in known:
            raise errors.ServiceError(errors.ResultCode.ITEM_UNKNOWN)
        if self.route is None:
            return None
        if item_id:
            return self._sample_of(item_id, self.route)
        ordered = [s for s in self._waiting() if s.record is self.record]
        if ordered:
            return ordered[0]
        left = [i for i in known if not self.record.has_result(i)]
        return self._sample_of(left[0], self.route) if left else None

    def _sample_of(
        self, item_id: str, route: catalogue.Route
    ) -> samples.Sample:
        """Returns an item's sample, or a new one if it does not run here."""
        if self.progress and item_id in self.progress.samples:
            return self.progress.samples[item_id]
        item = next(i for i in self.batch.items if i.id == item_id)
        return samples.Sample(item, self.record, route)

    def _waiting(self) -> list[samples.Sample]:
        """Returns this node's waiting samples in the order of placement."""
        if self.coordinator is None:
            return []
        open_samples = self.coordinator.open_samples()
        now = self.runtime.clock.monotonic()
        ready = [
            s
            for s in open_samples
            if s.stage is samples.Stage.WAITING and s.not_before <= now
        ]
        return order.sort_waiting(
            ready,
            open_samples,
            self.coordinator.generator.speed(),
            self._now_ms(),
        )

    def _now_ms(self) -> int:
        return int(self.runtime.clock.now().timestamp() * 1000)

    def _describe_item(self, sample: samples.Sample) -> explanations.Item:
        waiting = [waiting.id for waiting in self._waiting()]
        runs_here = bool(self.progress and sample.id in self.progress.samples)
        stage = sample.stage.value if runs_here else UNKNOWN_STAGE
        if self.record.has_result(sample.id):
            stage = samples.Stage.FINISHED.value
        age_s = (self._now_ms() - self.record.submitted_ms) / 1000
        return explanations.Item(
            id=sample.id,
            group=sample.item.group,
            stage=stage,
            server=sample.server,
            events=len(sample.events),
            position=waiting.index(sample.id) if sample.id in waiting else None,
            fails_in_s=round(sample.route.max_age_s - age_s, explain.DECIMALS),
        )

    def _explain_engines(
        self, sample: samples.Sample, zones: frozenset[str] | None
    ) -> explanations.Service:
        now = self.runtime.clock.monotonic()
        excluded = {
            engine: exclusions.find_for_sample(
                self.runtime.eligibility,
                engine,
                zones,
                self.batch.model,
                self.batch.minimum_version,
            )
            for engine in self.runtime.server_registry.list_servers(
                self.service
            )
        }
        holders = (
            self.coordinator.prompt_holders.get(sample.item.group, set())
            if self.coordinator
            else set()
        )
        costs = {
            engine.id: placement.completion_cost(
                engine, now, engine.id in holders
            )
            for engine, found in excluded.items()
            if not found
        }
        return explanations.Service(
            name=self.service,
            probability=1.0,
            expected_wait_s=explain.expected_wait_s(excluded.values()),
            longest_wait_s=None,
            servers=explain.list_servers(
                self.runtime, excluded, costs, self.batch.model
            ),
            rejection=None,
        )
