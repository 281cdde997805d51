"""Decides to which servers a request may be sent.

It is consulted when a server is chosen and again right before the first byte of
the request, because the state may change while a connection is opened.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools

from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient


class Eligibility:
    """Applies the rules that exclude servers from requests.

    Args:
        servers: Registry of the backend servers.
    """

    def __init__(self, servers: registry.ServerRegistry) -> None:
        self.servers = servers

    def find_exclusion(self, server: registry.Server) -> str:
        """Returns why a server may not be sent a request; empty if it may."""
        if server.is_evacuated():
            return f"zone {server.entry.zone} is evacuated"
        return ""

    def filter(
        self, servers: Iterable[registry.Server]
    ) -> list[registry.Server]:
        """Returns the servers to which a request may be sent."""
        return [s for s in servers if not self.find_exclusion(s)]

    def guard(
        self,
        server: registry.Server,
        before_send: Callable[[], None] | None = None,
    ) -> Callable[[], None]:
        """Returns the check right before the first byte of a request.

        Args:
            server: The server that the request goes to.
            before_send: Another check that comes first; None for none.

        Returns:
            A function that raises ``IneligibleError`` if the server may not
            be sent the request any more.
        """
        return functools.partial(self._check, server, before_send)

    def _check(
        self,
        server: registry.Server,
        before_send: Callable[[], None] | None,
    ) -> None:
        if before_send is not None:
            before_send()
        reason = self.find_exclusion(server)
        if reason:
            raise serverclient.IneligibleError(reason)
