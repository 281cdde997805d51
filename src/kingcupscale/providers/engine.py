"""Messages and calls of the model engines: generation, orders, state, load."""

from collections.abc import Callable
import enum

import attrs

from kingcupscale import codec
from kingcupscale.providers import calls
from kingcupscale.web import httpclient
from kingcupscale.web import message

# Response header in which an engine reports its load.
LOAD_HEADER = "x-engine-load"
REQUEST_ID_HEADER = "x-request-id"
# An engine's state lists adapters, with some ten bytes each.
MAX_STATE_BYTES = 256 * 1024


@attrs.frozen
class GenerateRequest:
    """A request to generate tokens.

    Attributes:
        request_id: Repeated in every chunk of the response.
        adapter: The adapter to use; empty for the base model.
        prompt: Text to continue.
        seed: Sampling seed; the same seed and weights give the same sample.
        max_tokens: Maximum number of tokens, including ``resume``.
        priority: Requests of higher priority run first.
        chunk_tokens: Tokens per chunk.
        resume: Tokens that an earlier engine has already generated.
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
    """A chunk of an engine's response, one JSON line.

    Attributes:
        request_id: Id of the request.
        start: Position of the first token, counted from 0.
        tokens: The tokens.
        version: Weight version that generated the tokens.
        done: Whether this is the last chunk.
    """

    request_id: str
    start: int
    tokens: list[str]
    version: int
    done: bool


class OrderKind(enum.Enum):
    """The kinds of orders to an engine."""

    STAGE = "stage"
    ACTIVATE = "activate"
    DROP = "drop"


@attrs.frozen
class EngineOrder:
    """An order to stage, activate or drop a weight version.

    Attributes:
        order_id: Idempotency key; the same each time the order is sent.
        epoch: Fencing token of the zone's lease.
        kind: The kind of order.
        adapter: The adapter.
        version: Its weight version.
    """

    order_id: str
    epoch: int
    kind: OrderKind
    adapter: str
    version: int


@attrs.frozen
class EngineState:
    """The state that an engine reports.

    Attributes:
        accepted: Whether the order was accepted; true if the state was read
            without an order.
        reason: Why the order was rejected.
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
    """Sends an order on behalf of the holder of a zone's lease.

    Args:
        http_client: Sends the HTTP request.
        address: ``host:port`` of the engine.
        order: The order.
        timeout_s: Timeout in seconds.
        before_send: Called just before the order is sent; raises an error if
            it must not be sent any more.

    Raises:
        calls.PlatformError: If the call fails.
    """
    request = message.json_request("/orders", order)
    request.headers["connection"] = "close"
    request.before_send = before_send
    return await calls.call(
        http_client,
        address,
        request,
        EngineState,
        timeout_s,
        MAX_STATE_BYTES,
    )


async def read_state(
    http_client: httpclient.HttpClient, address: str, timeout_s: float
) -> EngineState:
    """Returns an engine's active and staged weight versions.

    Raises:
        calls.PlatformError: If the call fails.
    """
    request = message.Request("GET", "/state")
    return await calls.call(
        http_client,
        address,
        request,
        EngineState,
        timeout_s,
        MAX_STATE_BYTES,
    )
