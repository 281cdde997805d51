"""Connection pools that keep idle connections as long as a server does.

A connection that the client closes too early costs a new one, and one that the
server closes first can fail the next request. A server that announces its idle
timeout in the ``Keep-Alive`` header allows the client to close just before it.
"""

from collections.abc import Iterable
import re

import httpcore

# The client closes idle connections this long before the server does.
MARGIN_S = 1.0
# Longest idle time, whatever a server announces.
MAX_IDLE_S = 30.0
_TIMEOUT = re.compile(r"(?:timeout\s*=\s*)?([0-9]{1,9})", re.IGNORECASE)


def parse_idle_s(value: str | None) -> float | None:
    """Returns for how many seconds a ``Keep-Alive`` header allows to be idle.

    The header is "timeout=8, max=100" or just the seconds. Returns None if
    there is none or it is invalid.
    """
    for part in (value or "").split(","):
        found = _TIMEOUT.fullmatch(part.strip())
        if found:
            announced_s = float(found.group(1))
            return min(MAX_IDLE_S, max(0.0, announced_s - MARGIN_S))
    return None


class KeepAlivePool(httpcore.AsyncConnectionPool):
    """A connection pool of one address whose idle timeout can change.

    The timeout applies to connections that are opened later, because a
    connection keeps the one that it was opened with.

    Args:
        max_connections: Most open connections.
        idle_s: Timeout of idle connections.
        socket_options: Options of the connections' sockets.
        backend: Opens connections; None for the default of the event loop.

    Attributes:
        idle_s: Timeout of idle connections that are opened now.
        max_idle_s: Longest timeout so far.
    """

    def __init__(
        self,
        max_connections: int,
        idle_s: float,
        socket_options: Iterable[httpcore.SOCKET_OPTION],
        backend: httpcore.AsyncNetworkBackend | None,
    ) -> None:
        super().__init__(
            max_connections=max_connections,
            max_keepalive_connections=max_connections,
            network_backend=backend,
        )
        self.idle_s = idle_s
        self.max_idle_s = idle_s
        self.socket_options = socket_options
        self.backend = backend

    def set_idle_s(self, idle_s: float) -> None:
        """Sets the idle timeout of connections that are opened from now on."""
        self.idle_s = idle_s
        self.max_idle_s = max(self.max_idle_s, idle_s)

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Returns a new connection with the present idle timeout."""
        return httpcore.AsyncHTTPConnection(
            origin=origin,
            keepalive_expiry=self.idle_s,
            network_backend=self.backend,
            socket_options=self.socket_options,
        )

    def has_idle_connection(self) -> bool:
        """Returns whether a connection is idle and can be used again.

        It stops at the first, because each check polls a socket.
        """
        return any(
            connection.is_idle() and not connection.has_expired()
            for connection in self.connections
        )
