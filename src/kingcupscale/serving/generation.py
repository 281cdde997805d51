"""Generates text on engines and resumes on another engine after a failure.

Owns the attempts of a job and the validation of the engines' responses: the
tokens of a job are yielded in order, without gaps or repetitions.
"""

from collections.abc import AsyncIterator
import contextlib
import uuid

import attrs
import orjson
import trio

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale import metrics as metric
from kingcupscale.configuration import document
from kingcupscale.providers import engine
from kingcupscale.serving import crashwatch
from kingcupscale.serving import routing
from kingcupscale.serving import scheduler
from kingcupscale.serving import services
from kingcupscale.usage import counter
from kingcupscale.web import httpclient
from kingcupscale.web import message

AFFINITY_PREFIX_CHARACTERS = 64
CHUNK_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 5
# Longest line of a response. A chunk holds at most 64 tokens of a few bytes, so
# a longer line is assumed never to end.
MAX_LINE_BYTES = 64 * 1024
# Most bytes of a response for each token that the job allows. A chunk of one
# token has some 110 bytes around it.
MAX_TOKEN_BYTES = 256
ORGANISATION_HEADER = "x-organisation"


@attrs.define
class Job:
    """A text to generate.

    Attributes:
        service: Name of the engine service.
        label: The organisation's name towards engines.
        organisation: Name of the organisation.
        class_name: Name of the service class.
        service_class: The service class.
        adapter: The trainer whose weights to use; empty for the base model.
        prompt: Text to continue.
        seed: Seed of the sampling.
        max_tokens: Maximum number of tokens.
        chunk_tokens: Tokens that an engine sends in one chunk.
        affinity: Jobs of the same affinity key prefer the same engines; empty
            to use the prompt's prefix as the key.
    """

    service: str
    label: str
    organisation: str
    class_name: str
    service_class: document.ServiceClass
    adapter: str
    prompt: str
    seed: int
    max_tokens: int
    chunk_tokens: int
    affinity: str = ""


@attrs.frozen
class TokenChunk:
    """Consecutive tokens of a response.

    Attributes:
        tokens: The tokens.
        version: Weight version that generated them.
        server: Name of the engine that generated them.
        done: Whether this is the last chunk of the response.
    """

    tokens: list[str]
    version: int
    server: str
    done: bool


class _InvalidResponseError(Exception):
    """An engine's response failed, ended early or had the wrong content."""


class Generator:
    """Runs jobs on engines and resumes them on another engine after a failure.

    Args:
        pools: The services.
        http_client: Sends the requests.
        counters: Usage counters.
        metrics: Histograms.
    """

    def __init__(
        self,
        pools: services.Services,
        http_client: httpclient.HttpClient,
        counters: counter.Counters,
        metrics: metric.Metrics,
    ) -> None:
        self.pools = pools
        self.http_client = http_client
        self.counters = counters
        self.metrics = metrics
        self.clock = pools.clock

    async def generate(
        self, job: Job, watch: crashwatch.Watch = crashwatch.UNWATCHED
    ) -> AsyncIterator[TokenChunk]:
        """Yields the chunks of one response.

        Args:
            job: The text to generate.
            watch: Is told of the attempts, and may prevent them.

        Raises:
            ServiceError: If the response could not be completed.
        """
        pool = self.pools.get(job.service, document.ServiceKind.ENGINE)
        pool.retry_budget.record_request()
        received: list[str] = []
        excluded: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            await watch.check()
            if attempt and not pool.retry_budget.try_spend():
                break
            slot_request = self._make_slot_request(job, excluded, len(received))
            try:
                token_chunks = self._run_attempt(
                    pool, job, slot_request, list(received), watch
                )
                async with contextlib.aclosing(token_chunks):
                    async for token_chunk in token_chunks:
                        received += token_chunk.tokens
                        yield token_chunk
                        if token_chunk.done:
                            return
            except _InvalidResponseError as e:
                self._record_failed_attempt(pool, slot_request, str(e))
                excluded = self._exclude(pool, slot_request, excluded)
        raise errors.ServiceError(
            errors.ResultCode.BACKEND_FAILED,
            "expected a complete response, every attempt on an engine failed",
            errors.Run.UNKNOWN if received else errors.Run.NOT_RUN,
        )

    def _make_slot_request(
        self, job: Job, excluded: set[str], received: int
    ) -> scheduler.SlotRequest:
        affinity = job.affinity or job.prompt[:AFFINITY_PREFIX_CHARACTERS]
        requirements = routing.ServerRequirements(
            hashing.hex64(affinity),
            job.service_class.cheap,
            frozenset(excluded),
        )
        return scheduler.SlotRequest(
            job.organisation,
            job.service_class,
            max(1, job.max_tokens - received),
            requirements,
        )

    def _record_failed_attempt(
        self,
        pool: services.ServicePool,
        slot_request: scheduler.SlotRequest,
        reason: str,
    ) -> None:
        events.log(
            events.Event.ANSWER_REJECTED,
            service=pool.name,
            server=slot_request.server.name if slot_request.server else "",
            reason=reason,
        )
        if slot_request.server is not None:
            pool.router.record_failure(slot_request.server)

    def _exclude(
        self,
        pool: services.ServicePool,
        slot_request: scheduler.SlotRequest,
        excluded: set[str],
    ) -> set[str]:
        """Excludes the failed server unless no other server is usable."""
        if slot_request.server is not None:
            excluded = excluded | {slot_request.server.name}
        requirements = attrs.evolve(
            slot_request.requirements, excluded=frozenset(excluded)
        )
        return excluded if pool.router.usable(requirements) else set()

    async def _run_attempt(
        self,
        pool: services.ServicePool,
        job: Job,
        slot_request: scheduler.SlotRequest,
        received: list[str],
        watch: crashwatch.Watch,
    ) -> AsyncIterator[TokenChunk]:
        queued_at = self.clock.monotonic()
        async with pool.scheduler.slot(slot_request) as state:
            queue_ms = 1000 * (self.clock.monotonic() - queued_at)
            self.metrics.record(
                job.label, job.class_name, metric.Measure.QUEUE_MS, queue_ms
            )
            token_chunks = self._stream(pool, job, state, received, watch)
            async with contextlib.aclosing(token_chunks):
                async for token_chunk in token_chunks:
                    yield token_chunk

    async def _stream(
        self,
        pool: services.ServicePool,
        job: Job,
        state: routing.ServerState,
        received: list[str],
        watch: crashwatch.Watch,
    ) -> AsyncIterator[TokenChunk]:
        """Yields the remaining chunks of a response from one engine.

        The last chunk is yielded only once the engine's response has ended,
        because a chunk after it makes the response invalid.
        """
        generate_request = _make_request(job, received)
        request = message.json_request("/generate", generate_request)
        request.headers[ORGANISATION_HEADER] = job.label
        request.before_send = watch.check_and_send
        position = len(received)
        last: TokenChunk | None = None
        if not received:
            self.counters.add(
                job.label, job.class_name, 1, len(job.prompt.split())
            )
        try:
            async with self.http_client.open(
                state.server.address, request, CHUNK_TIMEOUT_S
            ) as response:
                await _check_status(response)
                self._record_load(pool, state, response)
                max_bytes = MAX_TOKEN_BYTES * job.max_tokens + MAX_LINE_BYTES
                split = _split_lines(response, max_bytes)
                async with contextlib.aclosing(split) as lines:
                    async for line in lines:
                        if last is not None:
                            raise _InvalidResponseError(
                                "found a chunk after the last one"
                            )
                        chunk = _decode_chunk(line, generate_request, position)
                        self._count_tokens(job, chunk)
                        position += len(chunk.tokens)
                        token_chunk = TokenChunk(
                            chunk.tokens, chunk.version, state.name, chunk.done
                        )
                        if chunk.done:
                            last = token_chunk
                        else:
                            yield token_chunk
        except httpclient.RequestError as e:
            watch.note_failure(state, e)
            raise _InvalidResponseError(e.reason) from e
        if last is None:
            raise _InvalidResponseError(
                "the response ended before its last chunk"
            )
        pool.router.record_success(state)
        watch.note_answer()
        yield last

    def _count_tokens(self, job: Job, chunk: engine.GenerateChunk) -> None:
        self.counters.add(
            job.label, job.class_name, generated_tokens=len(chunk.tokens)
        )

    def _record_load(
        self,
        pool: services.ServicePool,
        state: routing.ServerState,
        response: message.Response,
    ) -> None:
        running = response.headers.get(engine.LOAD_HEADER, "").split("/")[0]
        if running.isdigit():
            pool.router.record_load(state, int(running))


def _make_request(job: Job, received: list[str]) -> engine.GenerateRequest:
    return engine.GenerateRequest(
        uuid.uuid4().hex,
        job.adapter,
        job.prompt,
        job.seed,
        codec.PositiveInt(job.max_tokens),
        job.service_class.priority,
        codec.PositiveInt(job.chunk_tokens),
        received,
    )


async def _check_status(response: message.Response) -> None:
    """Checks that a response succeeded.

    The body of an error is read so that its connection can be used again.
    """
    if response.status == 200:
        return
    with trio.move_on_after(CHUNK_TIMEOUT_S):
        await response.read_at_most(MAX_LINE_BYTES)
    raise _InvalidResponseError(f"status {response.status}")


async def _split_lines(
    response: message.Response, max_bytes: int
) -> AsyncIterator[bytes]:
    """Yields the complete lines of a response.

    Raises:
        _InvalidResponseError: If a line or the whole response is too long.
    """
    if response.chunks is None:
        return
    size = 0
    rest = b""
    async with contextlib.aclosing(response.chunks) as chunks:
        async for chunk in chunks:
            size += len(chunk)
            if size > max_bytes:
                raise _InvalidResponseError("the response exceeds its limit")
            *lines, rest = (rest + chunk).split(b"\n")
            if len(rest) > MAX_LINE_BYTES:
                raise _InvalidResponseError("a chunk exceeds the size limit")
            for line in lines:
                yield line


def _decode_chunk(
    line: bytes, generate_request: engine.GenerateRequest, position: int
) -> engine.GenerateChunk:
    """Decodes one chunk and checks that it continues this response."""
    try:
        chunk = engine.GenerateChunk(**orjson.loads(line))
    except (orjson.JSONDecodeError, TypeError) as e:
        raise _InvalidResponseError("a chunk could not be decoded") from e
    if chunk.request_id != generate_request.request_id:
        raise _InvalidResponseError("a chunk belongs to another response")
    if chunk.start != position:
        raise _InvalidResponseError(
            "a chunk does not start at the expected token"
        )
    return chunk
