"""Peer transport over gRPC.

gRPC's own threads wait on the sockets. All handlers and callers run in trio.
"""

import collections
from concurrent import futures
import functools
from typing import Any

import grpc
import trio

from kingcupscale.peering import transport

SERVICE = "kingcupscale.peering.Peer"
MAX_CHANNELS = 24
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
    """Calls peers and caches the most recently used channels."""

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
        """Returns the reply of the node at an address.

        Raises:
            PeerError: If the call fails or exceeds its timeout.
        """
        multicallable = self._channel(address).unary_unary(
            f"/{SERVICE}/{method.name}",
            request_serializer=method.request.SerializeToString,
            response_deserializer=method.reply.FromString,
        )
        reply = multicallable.future(request, timeout=timeout_s)
        await _wait_until_done(reply)
        try:
            return reply.result()
        except (grpc.RpcError, grpc.FutureCancelledError) as e:
            raise transport.PeerError(f"{address} {method.name}") from e

    def _channel(self, address: str) -> grpc.Channel:
        channel = self.channels.get(address)
        if channel is None:
            channel = grpc.insecure_channel(address, options=_OPTIONS)
            self.channels[address] = channel
            self._evict_channels()
        self.channels.move_to_end(address)
        return channel

    def _evict_channels(self) -> None:
        while len(self.channels) > MAX_CHANNELS:
            self.channels.popitem(last=False)[1].close()

    def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()


async def _wait_until_done(reply: Any) -> None:
    done = trio.Event()
    token = trio.lowlevel.current_trio_token()
    reply.add_done_callback(lambda _: _set_event(token, done))
    try:
        await done.wait()
    except trio.Cancelled:
        reply.cancel()
        raise


def _set_event(token: trio.lowlevel.TrioToken, done: trio.Event) -> None:
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
        service: The handlers; more can be registered while serving.
        bind: ``host:port`` to listen on; with port 0 the system chooses one.
        task_status: Receives the ``host:port`` that the server listens on.
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
    def handle_call(request: Any, context: grpc.ServicerContext) -> Any:
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
        handle_call,
        request_deserializer=method.request.FromString,
        response_serializer=method.reply.SerializeToString,
    )
