"""OpenAI-compatible completions and chat completions.

Owns the request and response formats, and serves responses in one body or as
a stream of server-sent events.
"""

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
from kingcupscale.crashes import guard as guards
from kingcupscale.serving import crashwatch
from kingcupscale.serving import generation
from kingcupscale.serving import sessions
from kingcupscale.web import message

MAX_TOKENS_LIMIT = 8192
MAX_TOKENS_DEFAULT = codec.PositiveInt(256)
UNSTREAMED_CHUNK_TOKENS = 64
# Maximum tokens of a streamed chunk; fewer if max_tokens would otherwise fit
# into fewer than MIN_STREAM_CHUNKS chunks.
STREAM_CHUNK_TOKENS = 16
MIN_STREAM_CHUNKS = 4


@attrs.frozen
class CompletionRequest:
    """Body of ``POST /v1/completions``.

    Attributes:
        model: Name of an engine service, or ``service/trainer`` for a
            trainer's newest weights.
        prompt: Text to continue.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether to stream the response as server-sent events.
        seed: Seed of the sampling.
        temperature: Accepted but ignored; engines use their default.
        user: Accepted but ignored.
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
    """One chat message."""

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


class _ResponseFormat:
    """Formats responses as text completions or chat messages."""

    def __init__(self, model: str, is_chat: bool, created: int) -> None:
        self.model = model
        self.is_chat = is_chat
        self.created = created
        self.response_id = f"cmpl-{uuid.uuid4().hex}"

    def full_body(self, text: str, prompt_tokens: int, tokens: int) -> bytes:
        """Returns the body of a response that is not streamed."""
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

    def chunk_event(self, text: str, is_first: bool) -> bytes:
        """Returns the server-sent event for a chunk of text."""
        if not self.is_chat:
            return self._event({"text": text}, None)
        role = {"role": "assistant"} if is_first else {}
        return self._event({"delta": {**role, "content": text}}, None)

    def end_event(self) -> bytes:
        """Returns the server-sent event that ends a complete response."""
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
            "id": self.response_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }
        if usage is not None:
            body["usage"] = usage
        return orjson.dumps(body)


class Completions:
    """Serves completion requests on engines.

    Args:
        generator: Generates the text.
        open_sessions: The node's open requests.
        clock: Source of the time.
        metrics: Latency histograms.
        crash_guard: Blocks requests under which engines crash.
    """

    def __init__(
        self,
        generator: generation.Generator,
        open_sessions: sessions.Sessions,
        clock: clocks.Clock,
        metrics: metric.Metrics,
        crash_guard: guards.CrashGuard[crashwatch.ServerRun],
    ) -> None:
        self.generator = generator
        self.sessions = open_sessions
        self.clock = clock
        self.metrics = metrics
        self.crash_guard = crash_guard

    async def serve(
        self, request: message.Request, grant: keys.Grant, is_chat: bool
    ) -> message.Response:
        """Returns the response to one request, streamed or in one body."""
        if is_chat:
            body = request.parse(ChatRequest).to_completion()
        else:
            body = request.parse(CompletionRequest)
        job = self._make_job(body, grant)
        created = int(self.clock.now().timestamp())
        response_format = _ResponseFormat(body.model, is_chat, created)
        if not body.stream:
            return await self._serve_full(job, grant, response_format)
        events = self._serve_stream(job, grant, response_format)
        first = await anext(events)
        headers = {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
        }
        return message.Response(200, headers, chunks=_prepend(first, events))

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
        chunk = UNSTREAMED_CHUNK_TOKENS
        if body.stream:
            max_chunk_tokens = max(1, body.max_tokens // MIN_STREAM_CHUNKS)
            chunk = min(STREAM_CHUNK_TOKENS, max_chunk_tokens)
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

    async def _serve_full(
        self,
        job: generation.Job,
        grant: keys.Grant,
        response_format: _ResponseFormat,
    ) -> message.Response:
        with self.sessions.open(grant) as session:
            tokens = await session.run(self._collect, job)
        prompt_tokens = len(job.prompt.split())
        body = response_format.full_body(
            " ".join(tokens), prompt_tokens, len(tokens)
        )
        return message.Response(200, {"content-type": "application/json"}, body)

    def _generate(
        self, job: generation.Job
    ) -> AsyncIterator[generation.TokenChunk]:
        """Returns the chunks of a response; see ``Generator.generate``.

        Requests are equal if they make engines do the same, whatever the other
        fields of their bodies are.
        """
        content = crashwatch.CallContent(
            job.service,
            "POST",
            "/generate",
            "",
            job.organisation,
            codec.encode([job.adapter, job.prompt, job.seed, job.max_tokens]),
        )
        watch = crashwatch.CallWatch(
            self.crash_guard, content, errors.ResultCode.BACKEND_FAILED
        )
        return self.generator.generate(job, watch)

    async def _collect(self, job: generation.Job) -> list[str]:
        started_at = self.clock.monotonic()
        tokens: list[str] = []
        async with contextlib.aclosing(self._generate(job)) as token_chunks:
            async for token_chunk in token_chunks:
                if not tokens:
                    self._record(job, metric.Measure.FIRST_TOKEN_MS, started_at)
                tokens += token_chunk.tokens
        self._record(job, metric.Measure.TOTAL_MS, started_at)
        return tokens

    async def _serve_stream(
        self,
        job: generation.Job,
        grant: keys.Grant,
        response_format: _ResponseFormat,
    ) -> AsyncIterator[bytes]:
        started_at = self.clock.monotonic()
        token_chunks = self._generate(job)
        is_first = True
        with self.sessions.open(grant) as session:
            async with contextlib.aclosing(token_chunks):
                receive_chunk = functools.partial(anext, token_chunks, None)
                while True:
                    try:
                        token_chunk = await session.run(receive_chunk)
                    except errors.ServiceError as e:
                        if is_first:
                            raise
                        yield _error_event(e)
                        return
                    if token_chunk is None:
                        break
                    if is_first:
                        self._record(
                            job, metric.Measure.FIRST_TOKEN_MS, started_at
                        )
                    text = " ".join(token_chunk.tokens)
                    text = text if is_first else " " + text
                    yield response_format.chunk_event(text, is_first)
                    is_first = False
        yield response_format.end_event()
        self._record(job, metric.Measure.TOTAL_MS, started_at)
        yield b"data: [DONE]\n\n"

    def _record(
        self, job: generation.Job, measure: metric.Measure, since: float
    ) -> None:
        elapsed_ms = 1000 * (self.clock.monotonic() - since)
        self.metrics.record(job.label, job.class_name, measure, elapsed_ms)


async def _prepend(
    first: bytes, events: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yields an event that was already received, then the remaining ones."""
    async with contextlib.aclosing(events) as rest:
        yield first
        async for event in rest:
            yield event


def _error_event(error: errors.ServiceError) -> bytes:
    """Returns the event that ends a stream with an error.

    A part of the response was already sent, so the error cannot claim that the
    request has not run.
    """
    error.run = errors.Run.UNKNOWN
    return b"data: " + orjson.dumps(error.to_body()) + b"\n\n"
