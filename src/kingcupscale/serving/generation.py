"""Generating on engines, whole and in order, whatever breaks on the way."""

from collections.abc import AsyncIterator
import contextlib
import uuid

import attrs
import orjson

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import events
from kingcupscale import hashing
from kingcupscale import metrics as metric
from kingcupscale.configuration import document
from kingcupscale.providers import engine
from kingcupscale.serving import routing
from kingcupscale.serving import scheduler
from kingcupscale.serving import services
from kingcupscale.usage import counter
from kingcupscale.web import httpclient
from kingcupscale.web import message

PREFIX_CHARACTERS = 64
PIECE_TIMEOUT_S = 10.0
ATTEMPTS = 5
ORGANISATION_HEADER = "x-organisation"


@attrs.define
class Job:
    """What is to be generated.

    Attributes:
        service: Name of the engine service.
        label: What engines call the organisation.
        organisation: Name of the organisation.
        class_name: Name of the class.
        service_class: Its targets.
        adapter: Whose weights; empty for the base model.
        prompt: Text to continue.
        seed: Chooses the sample.
        max_tokens: Most tokens.
        chunk_tokens: Tokens to gather in a piece.
        affinity: Draws like jobs to the same engines; empty for the prompt's
            prefix.
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
class Piece:
    """Some tokens of an answer, in order and without gaps.

    Attributes:
        tokens: The tokens.
        version: Weight version that generated them.
        server: Engine that did.
        done: Whether the answer is whole with this piece.
    """

    tokens: list[str]
    version: int
    server: str
    done: bool


class _BrokenError(Exception):
    """An answer that broke off or is not ours."""


class Generator:
    """Runs jobs on engines, going on elsewhere when one breaks.

    Args:
        pools: The services.
        http_client: Carries the requests.
        counters: Counts the tokens.
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

    async def generate(self, job: Job) -> AsyncIterator[Piece]:
        """Yields the pieces of one answer.

        Raises:
            ServiceError: If it cannot be brought to an end.
        """
        pool = self.pools.get(job.service, document.ServiceKind.ENGINE)
        pool.budget.note_request()
        held: list[str] = []
        excluded: set[str] = set()
        for attempt in range(ATTEMPTS):
            if attempt and not pool.budget.take():
                break
            ticket = self._make_ticket(job, excluded, len(held))
            try:
                pieces = self._attempt(pool, job, ticket, list(held))
                async with contextlib.aclosing(pieces):
                    async for piece in pieces:
                        held += piece.tokens
                        yield piece
                        if piece.done:
                            return
            except _BrokenError as e:
                self._note_broken(pool, ticket, str(e))
                excluded = self._exclude(pool, ticket, excluded)
        raise errors.ServiceError(
            errors.ResultCode.BACKEND_FAILED,
            "the engines broke off too often",
            errors.Run.UNKNOWN if held else errors.Run.NOT_RUN,
        )

    def _make_ticket(
        self, job: Job, excluded: set[str], held: int
    ) -> scheduler.Ticket:
        affinity = job.affinity or job.prompt[:PREFIX_CHARACTERS]
        wish = routing.Wish(
            hashing.short(affinity),
            job.service_class.cheap,
            frozenset(excluded),
        )
        return scheduler.Ticket(
            job.organisation,
            job.service_class,
            max(1, job.max_tokens - held),
            wish,
        )

    def _note_broken(
        self, pool: services.ServicePool, ticket: scheduler.Ticket, reason: str
    ) -> None:
        events.log(
            events.Event.ANSWER_REJECTED,
            service=pool.name,
            server=ticket.server.name if ticket.server else "",
            reason=reason,
        )
        if ticket.server is not None:
            pool.router.note_failure(ticket.server)

    def _exclude(
        self,
        pool: services.ServicePool,
        ticket: scheduler.Ticket,
        excluded: set[str],
    ) -> set[str]:
        """Avoids the failed server while there are others."""
        if ticket.server is not None:
            excluded = excluded | {ticket.server.name}
        wish = attrs.evolve(ticket.wish, excluded=frozenset(excluded))
        return excluded if pool.router.usable(wish) else set()

    async def _attempt(
        self,
        pool: services.ServicePool,
        job: Job,
        ticket: scheduler.Ticket,
        held: list[str],
    ) -> AsyncIterator[Piece]:
        asked_at = self.clock.monotonic()
        async with pool.scheduler.slot(ticket) as state:
            queue_ms = 1000 * (self.clock.monotonic() - asked_at)
            self.metrics.record(
                job.label, job.class_name, metric.Measure.QUEUE_MS, queue_ms
            )
            pieces = self._stream(pool, job, state, held)
            async with contextlib.aclosing(pieces):
                async for piece in pieces:
                    yield piece

    async def _stream(
        self,
        pool: services.ServicePool,
        job: Job,
        state: routing.ServerState,
        held: list[str],
    ) -> AsyncIterator[Piece]:
        order = _make_order(job, held)
        request = message.json_request("/generate", order)
        request.headers[ORGANISATION_HEADER] = job.label
        position = len(held)
        last: Piece | None = None
        if not held:
            self.counters.add(
                job.label, job.class_name, 1, len(job.prompt.split())
            )
        try:
            async with self.http_client.open(
                state.server.address, request, PIECE_TIMEOUT_S
            ) as response:
                await _check_status(response)
                self._note_load(pool, state, response)
                async with contextlib.aclosing(_lines(response)) as lines:
                    async for line in lines:
                        if last is not None:
                            raise _BrokenError("a piece after the last")
                        chunk = _read_chunk(line, order, position)
                        self._count(job, chunk)
                        position += len(chunk.tokens)
                        piece = Piece(
                            chunk.tokens, chunk.version, state.name, chunk.done
                        )
                        if chunk.done:
                            last = piece
                        else:
                            yield piece
        except httpclient.RequestError as e:
            raise _BrokenError(e.reason) from e
        if last is None:
            raise _BrokenError("the answer ended early")
        pool.router.note_success(state)
        yield last

    def _count(self, job: Job, chunk: engine.GenerateChunk) -> None:
        self.counters.add(
            job.label, job.class_name, generated_tokens=len(chunk.tokens)
        )

    def _note_load(
        self,
        pool: services.ServicePool,
        state: routing.ServerState,
        response: message.Response,
    ) -> None:
        running = response.headers.get(engine.LOAD_HEADER, "").split("/")[0]
        if running.isdigit():
            pool.router.note_load(state, int(running))


def _make_order(job: Job, held: list[str]) -> engine.GenerateRequest:
    return engine.GenerateRequest(
        uuid.uuid4().hex,
        job.adapter,
        job.prompt,
        job.seed,
        codec.PositiveInt(job.max_tokens),
        job.service_class.priority,
        codec.PositiveInt(job.chunk_tokens),
        held,
    )


async def _check_status(response: message.Response) -> None:
    if response.status == 200:
        return
    await response.read()
    raise _BrokenError(f"status {response.status}")


async def _lines(response: message.Response) -> AsyncIterator[bytes]:
    if response.chunks is None:
        return
    rest = b""
    async with contextlib.aclosing(response.chunks) as chunks:
        async for chunk in chunks:
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                yield line


def _read_chunk(
    line: bytes, order: engine.GenerateRequest, position: int
) -> engine.GenerateChunk:
    """Reads one piece and makes sure that it is the next of our answer."""
    try:
        chunk = engine.GenerateChunk(**orjson.loads(line))
    except (orjson.JSONDecodeError, TypeError) as e:
        raise _BrokenError("an unreadable piece") from e
    if chunk.request_id != order.request_id:
        raise _BrokenError("a piece of another answer")
    if chunk.start != position:
        raise _BrokenError("a piece out of order")
    return chunk
