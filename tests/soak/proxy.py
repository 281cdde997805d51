"""A loopback TCP proxy that can delay, stall, reset and refuse connections."""

import contextlib
import functools
import socket
import struct

import trio

CHUNK_BYTES = 65_536
# With a linger time of zero, closing a socket sends RST instead of FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)

_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class Proxy:
    """Forwards connections to one address.

    Args:
        target: ``host:port`` to forward to.
        host: Address to listen on.

    Attributes:
        address: ``host:port`` it listens on.
        delay_s: Seconds by which each chunk is delayed.
        is_refusing: Whether new connections are reset.
        serving: Scope in which it listens.
        closed_s: Seconds for which it does not listen after ``close_for``.
        stalled_directions: Directions in which data is held until ``heal``:
            "up" towards the target, "down" from it.
    """

    def __init__(self, target: str, host: str) -> None:
        self.target = target
        self.host = host
        self.address = ""
        self.delay_s = 0.0
        self.is_refusing = False
        self.serving = trio.CancelScope()
        self.closed_s = 0.0
        self.stalled_directions: set[str] = set()
        self.streams: set[trio.SocketStream] = set()
        self.healed = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled."""
        port = 0
        while True:
            (listener,) = await trio.open_tcp_listeners(port, host=self.host)
            port = listener.socket.getsockname()[1]
            self.address = f"{self.host}:{port}"
            with trio.CancelScope() as self.serving:
                await trio.serve_listeners(
                    self._forward, [listener], task_status=task_status
                )
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(self.closed_s)

    def close_for(self, seconds):
        """Resets all connections and stops listening for some seconds."""
        self.closed_s = seconds
        self.reset_all()
        self.serving.cancel()

    def reset_all(self):
        """Resets all open connections."""
        for stream in list(self.streams):
            _reset(stream)

    def heal(self):
        """Clears all faults and lets stalled data through."""
        self.delay_s = 0.0
        self.is_refusing = False
        self.stalled_directions = set()
        healed, self.healed = self.healed, trio.Event()
        healed.set()

    async def _forward(self, downstream):
        if self.is_refusing:
            _reset(downstream)
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(downstream)
            return
        self.streams |= {downstream, upstream}
        try:
            async with downstream, upstream, trio.open_nursery() as nursery:
                for copy_arguments in (
                    (downstream, upstream, "up"),
                    (upstream, downstream, "down"),
                ):
                    nursery.start_soon(
                        functools.partial(self._copy, *copy_arguments, nursery)
                    )
        finally:
            self.streams -= {downstream, upstream}

    async def _copy(self, source, sink, direction, nursery):
        with contextlib.suppress(*_CONNECTION_ERRORS):
            while True:
                chunk = await source.receive_some(CHUNK_BYTES)
                while direction in self.stalled_directions:
                    await self.healed.wait()
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if not chunk:
                    await sink.send_eof()
                    return
                await sink.send_all(chunk)
        _reset(source)
        _reset(sink)
        nursery.cancel_scope.cancel()


def _reset(stream):
    with contextlib.suppress(OSError, *_CONNECTION_ERRORS):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
        )
        stream.socket.close()
