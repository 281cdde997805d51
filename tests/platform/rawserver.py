"""A server on real sockets that sends whatever bytes a test wants."""

import trio


class RawServer:
    """Serves connections with ``serve_connection``, which subclasses define.

    Attributes:
        address: ``host:port``.
    """

    def __init__(self):
        self.address = ""

    async def serve(self, host="127.0.0.1", *, task_status):
        (listener,) = await trio.open_tcp_listeners(0, host=host)
        name, port = listener.socket.getsockname()
        self.address = f"{name}:{port}"
        await trio.serve_listeners(
            self.serve_connection, [listener], task_status=task_status
        )
