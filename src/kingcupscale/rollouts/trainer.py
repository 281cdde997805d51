"""Client library for trainers.

Runs rollout steps and publishes weight versions, and switches to another node
after a failure.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterable

import attrs
import orjson

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import errors
from kingcupscale.rollouts import messages
from kingcupscale.rollouts import ranges
from kingcupscale.web import httpclient
from kingcupscale.web import message

REQUEST_TIMEOUT_S = 30.0
FETCH_WAIT_S = 5.0
RETRY_DELAY_S = 0.25
PERMANENT_ERROR_CODES = (
    errors.ResultCode.BODY_INVALID.number,
    errors.ResultCode.STEP_CONFLICT.number,
    errors.ResultCode.VERSION_CONFLICT.number,
    errors.ResultCode.KEY_REFUSED.number,
    errors.ResultCode.KEY_WITHDRAWN.number,
    errors.ResultCode.FORBIDDEN.number,
)


class TrainerError(Exception):
    """A request failed with an error that retries cannot resolve.

    Args:
        code: Number of the result code.
        detail: Error message from the node.
    """

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


@attrs.define
class TrainerStatistics:
    """Counters of a client.

    Attributes:
        repeated_groups: Number of repeated groups that were dropped.
        node_changes: Number of switches to another node.
    """

    repeated_groups: int = 0
    node_changes: int = 0


class TrainerClient:
    """Runs rollout steps on any available node.

    Args:
        http_client: Sends the requests.
        nodes: ``host:port`` of the nodes' listeners for callers, or of the
            load balancer.
        key: The trainer's key.
        clock: Source of the time.

    Attributes:
        version: The trainer's weight version; set by ``publish``.

    Example:
        async for group in client.run_step(specification):
            learn(group)
        await client.publish(client.version + 1)
    """

    def __init__(
        self,
        http_client: httpclient.HttpClient,
        nodes: list[str],
        key: str,
        clock: clocks.Clock,
    ) -> None:
        self.http_client = http_client
        self.nodes = nodes
        self.headers = {"authorization": f"Bearer {key}"}
        self.clock = clock
        self.node_index = 0
        self.version = 0
        self.statistics = TrainerStatistics()

    async def run_step(
        self, specification: messages.StepSpecification
    ) -> AsyncIterator[messages.Group]:
        """Yields each group of a step once, within the staleness bound.

        Args:
            specification: The step; identical whenever the step is run again.

        Raises:
            TrainerError: If a retry cannot resolve the error.
        """
        wanted = {group.group for group in specification.groups}
        received: set[int] = set()
        await self._open(specification, received)
        while received != wanted:
            fetched = await self._fetch(specification, received)
            if fetched is None:
                await self._open(specification, received)
                continue
            for group in fetched.groups:
                if group.group in received or group.group not in wanted:
                    self.statistics.repeated_groups += 1
                    continue
                received.add(group.group)
                yield group
        await self._finish(specification, received)

    async def _open(
        self, specification: messages.StepSpecification, received: set[int]
    ) -> None:
        body = messages.OpenRequest(specification, ranges.to_ranges(received))
        await self._post_with_retries(messages.STEPS_PATH, body)

    async def _fetch(
        self, specification: messages.StepSpecification, received: Iterable[int]
    ) -> messages.FetchResponse | None:
        """Fetches groups; returns None if the step must be opened again."""
        body = messages.FetchRequest(
            specification.step,
            codec.NaturalInt(max(self.version, specification.version)),
            ranges.to_ranges(received),
            wait_s=FETCH_WAIT_S,
        )
        try:
            response = await self._post(messages.FETCH_PATH, body)
            return codec.decode(messages.FetchResponse, response.body)
        except (httpclient.RequestError, errors.ServiceError, ValueError):
            await self._switch_node()
            return None

    async def _finish(
        self, specification: messages.StepSpecification, received: set[int]
    ) -> None:
        """Cancels the step so that the node frees it before its timeout."""
        body = messages.CancelRequest(specification.step)
        try:
            await self._post(messages.CANCEL_PATH, body)
        except (httpclient.RequestError, errors.ServiceError):
            return

    async def publish(self, version: int) -> None:
        """Publishes a version that is complete in the weight store."""
        body = messages.PublishRequest(codec.PositiveInt(version))
        await self._post_with_retries(messages.WEIGHTS_PATH, body)
        self.version = max(self.version, version)

    async def _post_with_retries(self, path: str, body: object) -> None:
        while True:
            try:
                await self._post(path, body)
                return
            except (httpclient.RequestError, errors.ServiceError):
                await self._switch_node()

    async def _switch_node(self) -> None:
        self.statistics.node_changes += 1
        self.node_index = (self.node_index + 1) % len(self.nodes)
        await self.clock.sleep(RETRY_DELAY_S)

    async def _post(self, path: str, body: object) -> message.Response:
        request = message.json_request(path, body, dict(self.headers))
        node = self.nodes[self.node_index]
        response = await httpclient.fetch(
            self.http_client, node, request, REQUEST_TIMEOUT_S
        )
        if response.status == 200:
            return response
        raise _read_error(response)


def _read_error(response: message.Response) -> Exception:
    try:
        error = orjson.loads(response.body)["error"]
        code, detail = int(error["code"]), str(error["message"])
    except (ValueError, KeyError, TypeError):
        code, detail = 0, f"status {response.status}"
    if code in PERMANENT_ERROR_CODES:
        return TrainerError(code, detail)
    return errors.ServiceError(errors.ResultCode.BACKEND_FAILED, detail)


async def collect(
    client: TrainerClient, specification: messages.StepSpecification
) -> list[messages.Group]:
    """Returns all groups of a step.

    Args:
        client: The trainer's client.
        specification: The step.
    """
    return [group async for group in client.run_step(specification)]
