"""A client's connection that tracks what it is waiting for."""

import contextlib
import math
import socket
import struct

import trio

from kingcupscale.web import connectionlimits

# SO_LINGER with timeout 0 closes a connection with a TCP reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Most bytes received at once. Hypercorn and h11 hold each of them twice, on
# every connection whose request is being read.
READ_BYTES = 16 * 1024
# The same for large bodies, whose other memory is far more than that.
LARGE_READ_BYTES = 64 * 1024
LARGE_BODY_BYTES = 1 << 20
# A part of a response, which must be sent within the timeout.
SEND_BYTES = 64 * 1024


class WatchedStream(trio.abc.HalfCloseableStream):
    """A connection that tracks whether it is idle, closed or broken.

    Args:
        stream: The connection.

    Attributes:
        socket: The connection's socket.
        closed: Set when nothing can be sent any more.
        address: Address of the client without the port.
        requests: Number of requests being handled.
        received: Bytes received since the start of the request.
        received_at: Time of the event loop at which bytes last arrived.
        is_reading_body: Whether the body of a request is incomplete.
        is_awaiting_body: Whether the application waits for a part of a body;
            if not, it may wait for memory.
        awaiting_since: Time of the event loop at which it began to wait.
        is_evicted: Whether it was closed in the midst of its tasks.
        sending_since: Time of the event loop at which it began to send a part
            of a response; infinity if it sends nothing.
        has_bytes: Whether bytes of a further request have been read.
        is_used: Whether any request has been handled.
        is_reset_on_close: Whether closing it is a reset.
        waiting_since: Time of the event loop at which it became idle, or at
            which the first byte of a request arrived.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.address = _peer_address(stream.socket)
        self.received = 0
        self.received_at = trio.current_time()
        self.is_reading_body = False
        self.is_awaiting_body = False
        self.awaiting_since = trio.current_time()
        self.is_evicted = False
        self.sending_since = math.inf
        self.socket = stream.socket
        self.closed = trio.Event()
        self.requests = 0
        self.has_bytes = False
        self.is_used = False
        self.is_reset_on_close = False
        self.waiting_since = trio.current_time()

    def mark_started(self) -> None:
        """Records that the headers of a request are complete."""
        self.requests += 1
        self.is_reading_body = True

    def mark_awaiting_body(self) -> None:
        """Records that the application waits for a part of the body."""
        self.is_awaiting_body = True
        self.awaiting_since = trio.current_time()

    def mark_handled(self) -> None:
        """Records the end of a request; later bytes belong to the next one."""
        self.requests -= 1
        self.is_reading_body = False
        self.is_awaiting_body = False
        self.received = 0
        self.has_bytes = False
        self.is_used = True
        self.waiting_since = trio.current_time()

    def reset_on_close(self) -> None:
        """Has the connection reset when it is closed.

        A response to a client of HTTP/1.0 ends with its connection, so it would
        look complete if the connection were closed in order.
        """
        self.is_reset_on_close = True
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def candidate(self) -> connectionlimits.Candidate:
        """Returns what decides whether it is closed for another connection."""
        states = connectionlimits.State
        if self.requests:
            is_body = self.is_reading_body and self.is_awaiting_body
            state = states.BODY if is_body else states.HANDLING
            since = max(self.received_at, self.awaiting_since)
        else:
            state = states.HEADERS if self.has_bytes else states.IDLE
            since = self.waiting_since
        return connectionlimits.Candidate(id(self), self.address, state, since)

    def evict(self) -> None:
        """Closes the connection and ends its tasks at once."""
        self.is_evicted = True
        self.closed.set()
        self.socket.close()

    def close_if_idle(self) -> bool:
        """Closes the connection unless a request is being read or handled.

        Returns:
            Whether it was closed.
        """
        return not self.has_bytes and self.close_unless_handling()

    def close_unless_handling(self) -> bool:
        """Closes the connection unless a request is being handled.

        Returns:
            Whether it was closed.
        """
        if self.requests or self.closed.is_set():
            return False
        self.closed.set()
        self.socket.close()
        return True

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Returns received data; empty at the end of the stream."""
        size = READ_BYTES
        if self.received >= LARGE_BODY_BYTES:
            size = LARGE_READ_BYTES
        try:
            data = await self.stream.receive_some(min(size, max_bytes or size))
        except trio.ClosedResourceError:
            return b""
        self.received += len(data)
        self.received_at = trio.current_time()
        if data and not self.has_bytes:
            self.has_bytes = True
            self.waiting_since = self.received_at
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends all of the data."""
        view = memoryview(data)
        try:
            for start in range(0, len(view), SEND_BYTES):
                self.sending_since = trio.current_time()
                await self.stream.send_all(view[start : start + SEND_BYTES])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.set()
            raise
        finally:
            self.sending_since = math.inf

    def close_if_not_read(self, timeout_s: float) -> bool:
        """Closes the connection if sending a part of a response takes too long.

        Returns:
            Whether it was closed.
        """
        if trio.current_time() - self.sending_since < timeout_s:
            return False
        self.reset_on_close()
        self.closed.set()
        self.socket.close()
        return True

    async def wait_send_all_might_not_block(self) -> None:
        """Waits until sending is likely not to block."""
        await self.stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Closes the sending side, unless the connection is to be reset."""
        if not self.is_reset_on_close:
            await self.stream.send_eof()

    async def aclose(self) -> None:
        """Closes the connection."""
        self.closed.set()
        await self.stream.aclose()


def _peer_address(peer: trio.socket.SocketType) -> str:
    """Returns the address of a connection's client; empty if it is gone."""
    try:
        return str(peer.getpeername()[0])
    except OSError:
        return ""
