"""Interface of the RPC transport between nodes, and its methods."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs
from google.protobuf import message as protobuf

from kingcupscale.peering import peer_pb2

Handler = Callable[[Any], Awaitable[protobuf.Message]]


@attrs.frozen
class Method:
    """One remote procedure.

    Attributes:
        name: Name of the method in the protocol.
        request: Type of the request.
        reply: Type of the reply.
    """

    name: str
    request: type[protobuf.Message]
    reply: type[protobuf.Message]


GOSSIP = Method("Gossip", peer_pb2.Gossip, peer_pb2.Gossip)
PROBE = Method("Probe", peer_pb2.ProbeRequest, peer_pb2.ProbeReply)
PULL_CHANGES = Method("PullChanges", peer_pb2.PullRequest, peer_pb2.Changes)
PUSH_CHANGES = Method("PushChanges", peer_pb2.Changes, peer_pb2.ChangesAck)
COPY_USAGE = Method("CopyUsage", peer_pb2.Usage, peer_pb2.Empty)
PULL_USAGE = Method("PullUsage", peer_pb2.Empty, peer_pb2.Usage)
METHODS = (GOSSIP, PROBE, PULL_CHANGES, PUSH_CHANGES, COPY_USAGE, PULL_USAGE)


class PeerError(Exception):
    """A peer did not reply in time."""


class PeerTransport(Protocol):
    """Calls remote procedures of other nodes."""

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Returns the reply of the node at an address.

        Raises:
            PeerError: If there is no reply within ``timeout_s`` seconds.
        """
        ...


class PeerService:
    """The handlers for calls of peers; components register theirs."""

    def __init__(self) -> None:
        self.handlers: dict[str, Handler] = {}

    def register(self, method: Method, handler: Handler) -> None:
        """Registers the handler of a method."""
        self.handlers[method.name] = handler
