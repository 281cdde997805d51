"""Peer calls over gRPC, bridged to trio.

gRPC's own threads wait on the sockets; every handler and every caller runs
in trio.
"""

import collections
from concurrent import futures
import functools
from typing import Any

import grpc
import trio

from kingcupscale.peering import transport

SERVICE = "kingcupscale.peering.Peer"
CHANNELS_KEPT = 24
SERVER_THREADS = 4
STOP_GRACE_S = 1.0
RECONNECT_MAX_MS = 2000

_OPTIONS = [
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.so_reuseport", 0),
]


class GrpcPeerTransport:
    """Calls peers, keeping channels to the latest few."""

    def __init__(self) -> None:
        self.channels: collections.OrderedDict[str, grpc.Channel] = (
            collections.OrderedDict()
        )

    async def call(
        self,
        address: str,
        method: transport.Method,
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Returns the reply of the node at an address."""
        multicallable = self._channel(address).unary_unary(
            f"/{SERVICE}/{method.name}",
            request_serializer=method.request.SerializeToString,
            response_deserializer=method.reply.FromString,
        )
        reply = multicallable.future(request, timeout=timeout_s)
        await _wait(reply)
        try:
            return reply.result()
        except (grpc.RpcError, grpc.FutureCancelledError) as e:
            raise transport.PeerError(f"{address} {method.name}") from e

    def _channel(self, address: str) -> grpc.Channel:
        channel = self.channels.get(address)
        if channel is None:
            channel = grpc.insecure_channel(address, options=_OPTIONS)
            self.channels[address] = channel
            self._drop_oldest()
        self.channels.move_to_end(address)
        return channel

    def _drop_oldest(self) -> None:
        while len(self.channels) > CHANNELS_KEPT:
            self.channels.popitem(last=False)[1].close()

    def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()


async def _wait(reply: Any) -> None:
    done = trio.Event()
    token = trio.lowlevel.current_trio_token()
    reply.add_done_callback(lambda _: _wake(token, done))
    try:
        await done.wait()
    except trio.Cancelled:
        reply.cancel()
        raise


def _wake(token: trio.lowlevel.TrioToken, done: trio.Event) -> None:
    try:
        token.run_sync_soon(done.set)
    except trio.RunFinishedError:
        return


async def serve(
    service: transport.PeerService,
    bind: str,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a node's peer handlers until cancelled.

    Args:
        service: The handlers; may be filled later.
        bind: ``host:port``; port 0 lets the system choose.
        task_status: Told the bound ``host:port``.
    """
    server = grpc.server(
        futures.ThreadPoolExecutor(SERVER_THREADS, "peer"), options=_OPTIONS
    )
    token = trio.lowlevel.current_trio_token()
    handlers = {
        method.name: _make_handler(service, method, token)
        for method in transport.METHODS
    }
    server.add_generic_rpc_handlers(
        [grpc.method_handlers_generic_handler(SERVICE, handlers)]
    )
    port = server.add_insecure_port(bind)
    server.start()
    task_status.started(f"{bind.rpartition(':')[0]}:{port}")
    try:
        await trio.sleep_forever()
    finally:
        stopped = server.stop(STOP_GRACE_S)
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(stopped.wait)


def _make_handler(
    service: transport.PeerService,
    method: transport.Method,
    token: trio.lowlevel.TrioToken,
) -> grpc.RpcMethodHandler:
    def behaviour(request: Any, context: grpc.ServicerContext) -> Any:
        handler = service.handlers.get(method.name)
        if handler is None:
            return context.abort(grpc.StatusCode.UNAVAILABLE, "starting")
        try:
            return trio.from_thread.run(
                functools.partial(handler, request), trio_token=token
            )
        except (trio.RunFinishedError, trio.Cancelled):
            return context.abort(grpc.StatusCode.UNAVAILABLE, "stopping")

    return grpc.unary_unary_rpc_method_handler(
        behaviour,
        request_deserializer=method.request.FromString,
        response_serializer=method.reply.SerializeToString,
    )
