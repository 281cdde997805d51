"""The OpenAI-style interface for callers, whole and streamed."""

from collections.abc import AsyncIterator
import contextlib
import functools
import uuid

import attrs
import orjson

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import metrics as metric
from kingcupscale.configuration import document
from kingcupscale.configuration import keys
from kingcupscale.serving import generation
from kingcupscale.serving import sessions
from kingcupscale.web import message

MAX_TOKENS_LIMIT = 8192
MAX_TOKENS_DEFAULT = codec.PositiveInt(256)
WHOLE_CHUNK_TOKENS = 64
# Tokens of a streamed piece; a short answer comes in this many pieces or more.
STREAM_CHUNK_TOKENS = 16
STREAM_PIECES_LEAST = 4


@attrs.frozen
class CompletionRequest:
    """Body of ``POST /v1/completions``.

    Attributes:
        model: Name of an engine service, or ``service/trainer`` for the
            newest weights of a trainer.
        prompt: Text to continue.
        max_tokens: Most tokens to generate.
        stream: Whether to send pieces as server-sent events.
        seed: Chooses the sample.
        temperature: Accepted and left to the engine's default.
        user: Accepted and not used.
    """

    model: str
    prompt: str
    max_tokens: codec.PositiveInt = MAX_TOKENS_DEFAULT
    stream: bool = False
    seed: int = 0
    temperature: float = 1.0
    user: str = ""


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@attrs.frozen
class ChatRequest:
    """Body of ``POST /v1/chat/completions``; see ``CompletionRequest``."""

    model: str
    messages: list[ChatMessage]
    max_tokens: codec.PositiveInt = MAX_TOKENS_DEFAULT
    stream: bool = False
    seed: int = 0
    temperature: float = 1.0
    user: str = ""

    def to_completion(self) -> CompletionRequest:
        """Returns the conversation as one prompt."""
        lines = [f"{m.role}: {m.content}" for m in self.messages]
        return CompletionRequest(
            self.model,
            "\n".join([*lines, "assistant:"]),
            self.max_tokens,
            self.stream,
            self.seed,
        )


class _Shape:
    """How answers look: text completions or chat messages."""

    def __init__(self, model: str, is_chat: bool, created: int) -> None:
        self.model = model
        self.is_chat = is_chat
        self.created = created
        self.answer_id = f"cmpl-{uuid.uuid4().hex}"

    def whole(self, text: str, prompt_tokens: int, tokens: int) -> bytes:
        """Returns the body of a whole answer."""
        choice = {"index": 0, "finish_reason": "stop"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return self._dump(
            "chat.completion" if self.is_chat else "text_completion",
            choice,
            {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens,
            },
        )

    def piece(self, text: str, is_first: bool) -> bytes:
        """Returns the server-sent event of some text."""
        if not self.is_chat:
            return self._event({"text": text}, None)
        role = {"role": "assistant"} if is_first else {}
        return self._event({"delta": {**role, "content": text}}, None)

    def end(self) -> bytes:
        """Returns the server-sent event that says that the text is whole."""
        return self._event(
            {"delta": {}} if self.is_chat else {"text": ""}, "stop"
        )

    def _event(self, content: dict[str, object], reason: str | None) -> bytes:
        choice = {"index": 0, "finish_reason": reason, **content}
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        return b"data: " + self._dump(kind, choice, None) + b"\n\n"

    def _dump(
        self, kind: str, choice: dict[str, object], usage: object
    ) -> bytes:
        body = {
            "id": self.answer_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }
        if usage is not None:
            body["usage"] = usage
        return orjson.dumps(body)


class Completions:
    """Serves completions on engines.

    Args:
        generator: Runs the jobs.
        open_sessions: Counts the requests.
        clock: Tells the time.
        metrics: Histograms.
    """

    def __init__(
        self,
        generator: generation.Generator,
        open_sessions: sessions.Sessions,
        clock: clocks.Clock,
        metrics: metric.Metrics,
    ) -> None:
        self.generator = generator
        self.sessions = open_sessions
        self.clock = clock
        self.metrics = metrics

    async def serve(
        self, request: message.Request, grant: keys.Grant, is_chat: bool
    ) -> message.Response:
        """Returns the answer to one request, whole or streamed."""
        if is_chat:
            body = request.parse(ChatRequest).to_completion()
        else:
            body = request.parse(CompletionRequest)
        job = self._make_job(body, grant)
        created = int(self.clock.now().timestamp())
        shape = _Shape(body.model, is_chat, created)
        if not body.stream:
            return await self._serve_whole(job, grant, shape)
        events = self._serve_stream(job, grant, shape)
        first = await anext(events)
        headers = {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
        }
        return message.Response(200, headers, chunks=_resume(first, events))

    def _make_job(
        self, body: CompletionRequest, grant: keys.Grant
    ) -> generation.Job:
        if body.max_tokens > MAX_TOKENS_LIMIT:
            raise errors.ServiceError(
                errors.ResultCode.BODY_INVALID,
                f"max_tokens: found {body.max_tokens}, expected at most"
                f" {MAX_TOKENS_LIMIT}",
            )
        service, _, adapter = body.model.partition("/")
        pools = self.generator.pools
        pools.get(service, document.ServiceKind.ENGINE)
        chunk = WHOLE_CHUNK_TOKENS
        if body.stream:
            least = max(1, body.max_tokens // STREAM_PIECES_LEAST)
            chunk = min(STREAM_CHUNK_TOKENS, least)
        return generation.Job(
            service,
            grant.label,
            grant.organisation,
            grant.service_class,
            pools.replica.document.classes[grant.service_class],
            adapter,
            body.prompt,
            body.seed,
            body.max_tokens,
            chunk,
        )

    async def _serve_whole(
        self, job: generation.Job, grant: keys.Grant, shape: _Shape
    ) -> message.Response:
        with self.sessions.open(grant) as session:
            tokens = await session.run(self._collect, job)
        prompt_tokens = len(job.prompt.split())
        body = shape.whole(" ".join(tokens), prompt_tokens, len(tokens))
        return message.Response(200, {"content-type": "application/json"}, body)

    async def _collect(self, job: generation.Job) -> list[str]:
        started_at = self.clock.monotonic()
        tokens: list[str] = []
        async with contextlib.aclosing(self.generator.generate(job)) as pieces:
            async for piece in pieces:
                if not tokens:
                    self._record(job, metric.Measure.FIRST_TOKEN_MS, started_at)
                tokens += piece.tokens
        self._record(job, metric.Measure.TOTAL_MS, started_at)
        return tokens

    async def _serve_stream(
        self, job: generation.Job, grant: keys.Grant, shape: _Shape
    ) -> AsyncIterator[bytes]:
        started_at = self.clock.monotonic()
        pieces = self.generator.generate(job)
        is_first = True
        with self.sessions.open(grant) as session:
            async with contextlib.aclosing(pieces):
                step = functools.partial(anext, pieces, None)
                while True:
                    try:
                        piece = await session.run(step)
                    except errors.ServiceError as e:
                        if is_first:
                            raise
                        yield _error_event(e)
                        return
                    if piece is None:
                        break
                    if is_first:
                        self._record(
                            job, metric.Measure.FIRST_TOKEN_MS, started_at
                        )
                    text = " ".join(piece.tokens)
                    text = text if is_first else " " + text
                    yield shape.piece(text, is_first)
                    is_first = False
        yield shape.end()
        self._record(job, metric.Measure.TOTAL_MS, started_at)
        yield b"data: [DONE]\n\n"

    def _record(
        self, job: generation.Job, measure: metric.Measure, since: float
    ) -> None:
        elapsed_ms = 1000 * (self.clock.monotonic() - since)
        self.metrics.record(job.label, job.class_name, measure, elapsed_ms)


async def _resume(
    first: bytes, events: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yields an event taken beforehand, then the rest."""
    async with contextlib.aclosing(events) as rest:
        yield first
        async for event in rest:
            yield event


def _error_event(error: errors.ServiceError) -> bytes:
    """Returns the event that ends a stream that cannot become whole."""
    error.run = errors.Run.UNKNOWN
    return b"data: " + orjson.dumps(error.to_body()) + b"\n\n"
