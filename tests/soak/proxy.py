"""A loopback proxy whose connections can be delayed, cut and silenced."""

import contextlib
import functools
import socket
import struct

import trio

CHUNK_BYTES = 65_536
# Linger time of zero has the kernel send a reset instead of an end.
RESET = struct.pack("ii", 1, 0)

_ENDED = (trio.BrokenResourceError, trio.ClosedResourceError)


class Proxy:
    """Passes connections on to one address.

    Args:
        target: ``host:port`` to pass on to.
        host: Where it listens.

    Attributes:
        address: ``host:port`` where it listens.
        delay_s: Seconds for which each piece is held back.
        is_refusing: Whether new connections are reset.
        silent: Directions that nothing gets through: "up" towards the target,
            "down" from it.
    """

    def __init__(self, target: str, host: str) -> None:
        self.target = target
        self.host = host
        self.address = ""
        self.delay_s = 0.0
        self.is_refusing = False
        self.silent: set[str] = set()
        self.streams: set[trio.SocketStream] = set()
        self.healed = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host=self.host)
        port = listener.socket.getsockname()[1]
        self.address = f"{self.host}:{port}"
        await trio.serve_listeners(
            self._pass_on, [listener], task_status=task_status
        )

    def reset_all(self):
        """Resets all open connections."""
        for stream in list(self.streams):
            _reset(stream)

    def heal(self):
        """Ends all disturbances."""
        self.delay_s = 0.0
        self.is_refusing = False
        self.silent = set()
        healed, self.healed = self.healed, trio.Event()
        healed.set()

    async def _pass_on(self, near):
        if self.is_refusing:
            _reset(near)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(near)
            return
        self.streams |= {near, far}
        try:
            async with near, far, trio.open_nursery() as nursery:
                for words in ((near, far, "up"), (far, near, "down")):
                    nursery.start_soon(
                        functools.partial(self._pump, *words, nursery)
                    )
        finally:
            self.streams -= {near, far}

    async def _pump(self, source, sink, direction, nursery):
        with contextlib.suppress(*_ENDED):
            while True:
                piece = await source.receive_some(CHUNK_BYTES)
                while direction in self.silent:
                    await self.healed.wait()
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if not piece:
                    await sink.send_eof()
                    return
                await sink.send_all(piece)
        _reset(source)
        _reset(sink)
        nursery.cancel_scope.cancel()


def _reset(stream):
    with contextlib.suppress(OSError, *_ENDED):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        stream.socket.close()
