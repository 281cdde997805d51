"""What a model engine speaks: generation, orders, load."""

from collections.abc import Callable
import enum

import attrs

from kingcupscale import codec
from kingcupscale.providers import calls
from kingcupscale.web import httpclient
from kingcupscale.web import message

LOAD_HEADER = "x-engine-load"
REQUEST_ID_HEADER = "x-request-id"


@attrs.frozen
class GenerateRequest:
    """Asks an engine to generate.

    Attributes:
        request_id: Comes back on every piece of the answer.
        adapter: Whose weights to use; empty for the base model.
        prompt: Text to continue.
        seed: Chooses the sample; the same seed and weights give the same.
        max_tokens: Most tokens in all, ``resume`` included.
        priority: Higher goes first.
        chunk_tokens: Tokens to gather in a piece.
        resume: Tokens that an earlier engine generated already.
    """

    request_id: str
    adapter: str
    prompt: str
    seed: int
    max_tokens: codec.PositiveInt
    priority: int = 0
    chunk_tokens: codec.PositiveInt = codec.PositiveInt(16)
    resume: list[str] = attrs.field(factory=list)


@attrs.frozen
class GenerateChunk:
    """A piece of an engine's answer, one JSON line.

    Attributes:
        request_id: Of the request it answers.
        start: Position of the first token, counted from 0.
        tokens: The tokens.
        version: Weight version that generated them.
        done: Whether the answer is whole with this piece.
    """

    request_id: str
    start: int
    tokens: list[str]
    version: int
    done: bool


class OrderKind(enum.Enum):
    """What an engine can be told."""

    STAGE = "stage"
    ACTIVATE = "activate"
    DROP = "drop"


@attrs.frozen
class EngineOrder:
    """An order to an engine.

    Attributes:
        order_id: The same at every sending.
        epoch: Fencing number of the zone's lease.
        kind: What to do.
        adapter: Whose weights.
        version: Which version of them.
    """

    order_id: str
    epoch: int
    kind: OrderKind
    adapter: str
    version: int


@attrs.frozen
class EngineState:
    """What an engine says of itself.

    Attributes:
        accepted: Whether the order was taken (true for a plain question).
        reason: Why not.
        active: Active version by adapter.
        staged: Staged version by adapter.
    """

    accepted: bool
    reason: str
    active: dict[str, int]
    staged: dict[str, int]


async def send_order(
    http_client: httpclient.HttpClient,
    address: str,
    order: EngineOrder,
    timeout_s: float,
    before_send: Callable[[], None],
) -> EngineState:
    """Sends an order on behalf of a zone's lease holder.

    Raises:
        calls.PlatformError: If no answer comes.
    """
    request = message.json_request("/orders", order)
    request.headers["connection"] = "close"
    request.before_send = before_send
    return await calls.call(
        http_client, address, request, EngineState, timeout_s
    )


async def read_state(
    http_client: httpclient.HttpClient, address: str, timeout_s: float
) -> EngineState:
    """Asks an engine which versions it holds."""
    request = message.Request("GET", "/state")
    return await calls.call(
        http_client, address, request, EngineState, timeout_s
    )
