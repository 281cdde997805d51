"""Scores samples with the trainer's scoring service."""

from typing import Protocol

import attrs
import orjson

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale.configuration import keys
from kingcupscale.rollouts import messages
from kingcupscale.serving import plainservices
from kingcupscale.web import message

SCORE_PATH = "/score"


@attrs.frozen
class ScoreRequest:
    """Request to a scoring service."""

    prompt: str
    text: str


@attrs.frozen
class ScoreResponse:
    """Response of a scoring service."""

    score: float


class Scorer(Protocol):
    """Scores samples."""

    async def score(self, prompt: str, sample: messages.Sample) -> float:
        """Returns a sample's score."""
        ...


class ServiceScorer:
    """Scores samples with a plain service; its calls may be retried.

    Args:
        plain_service_client: Calls the scoring service.
        service: Name of the scoring service.
        grant: The access rights to call it with.
    """

    def __init__(
        self,
        plain_service_client: plainservices.PlainServiceClient,
        service: str,
        grant: keys.Grant,
    ) -> None:
        self.plain_service_client = plain_service_client
        self.service = service
        self.grant = grant

    async def score(self, prompt: str, sample: messages.Sample) -> float:
        """Returns a sample's score.

        Raises:
            ServiceError: If the service returns no valid score.
        """
        request = message.json_request(
            SCORE_PATH, ScoreRequest(prompt, " ".join(sample.tokens))
        )
        call = plainservices.Call(
            self.service,
            SCORE_PATH,
            request,
            self.grant,
            is_background=True,
        )
        response = await self.plain_service_client.call(call)
        try:
            return codec.decode(ScoreResponse, response.body).score
        except (codec.DecodeError, orjson.JSONDecodeError) as e:
            raise errors.ServiceError(
                errors.ResultCode.ANSWER_REJECTED,
                "the response of the scoring service contains no score",
                errors.Run.RAN,
            ) from e
