"""A stand-in for a plain service, such as a shop or a loan desk."""

import attrs

from kingcupscale import clock as clocks
from kingcupscale import hashing
from kingcupscale.rollouts import scoring
from kingcupscale.web import message


@attrs.frozen
class Execution:
    """One call that the service carried out.

    Attributes:
        request_id: The id the exchange carried.
        organisation: The label it came with.
        method: HTTP method.
        path: Path as the service saw it.
        body_digest: Digest of the body, as in the answer.
        at: Monotonic seconds.
    """

    request_id: str
    organisation: str
    method: str
    path: str
    body_digest: str
    at: float


@attrs.frozen
class ServiceAnswer:
    """What the service answers, checkable from the request alone."""

    organisation: str
    path: str
    body_digest: str


class FakeService:
    """Carries out every call it gets, scores included, and remembers it.

    Args:
        clock: Tells the time.
        work_s: Seconds a call takes.

    Attributes:
        executions: All calls carried out, in order.
        headers_seen: Every header value that ever arrived.
    """

    def __init__(self, clock: clocks.Clock, work_s: float = 0.005) -> None:
        self.clock = clock
        self.work_s = work_s
        self.executions: list[Execution] = []
        self.headers_seen: set[str] = set()

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers one call."""
        self.headers_seen.update(request.headers.values())
        request_id = request.headers.get("x-request-id", "")
        organisation = request.headers.get("x-organisation", "")
        digest = body_digest(request.body)
        self.executions.append(
            Execution(
                request_id,
                organisation,
                request.method,
                request.path,
                digest,
                self.clock.monotonic(),
            )
        )
        await self.clock.sleep(self.work_s)
        response = self._answer(request, organisation, digest)
        response.headers["x-request-id"] = request_id
        return response

    def _answer(
        self, request: message.Request, organisation: str, digest: str
    ) -> message.Response:
        if request.path == scoring.SCORE_PATH:
            score = int(digest[:4], 16) / 0xFFFF
            return message.json_response(scoring.ScoreResponse(score))
        answer = ServiceAnswer(organisation, request.path, digest)
        return message.json_response(answer)


def body_digest(body: bytes) -> str:
    """Returns the digest that an answer to this body carries."""
    return hashing.hex128(body)
