"""A node in this process whose listeners are on loopback, in a thread."""

import functools
import socket
import threading

import eliot
import trio

from kingcupscale import events
from kingcupscale.operating import exposition
from kingcupscale.platform import process
from kingcupscale.web import clientguard
from kingcupscale.web import clientlimits
from kingcupscale.web import limits
from kingcupscale.web import server
from tests.platform import harness

# Ends a test that hangs.
SOCKET_TIMEOUT_S = 15.0
START_LIMIT_S = 30.0
LIMITS = limits.constant(
    limits.Limits(
        body_bytes=64 * 1024,
        header_bytes=16 * 1024,
        body_timeout_s=5.0,
        idle_s=5.0,
    )
)


class FuzzSite:
    """Listeners for callers, other nodes and metrics.

    Attributes:
        addresses: ``(host, port)`` by name of the listener.
        failures: Log events of requests that ended with an internal error.
    """

    def __init__(self):
        self.addresses = {}
        self.failures = []
        self.started = threading.Event()
        self.token = None
        self.scope = None
        self.thread = threading.Thread(target=trio.run, args=(self._run,))

    def start(self):
        eliot.add_destinations(self._record)
        self.thread.start()
        if not self.started.wait(START_LIMIT_S):
            raise AssertionError("the listeners did not start")

    def stop(self):
        trio.from_thread.run_sync(self.scope.cancel, trio_token=self.token)
        self.thread.join()
        eliot.remove_destination(self._record)

    def _record(self, fields):
        if fields.get("event") == events.Event.REQUEST_FAILED.number:
            self.failures.append(fields)

    async def _run(self):
        self.token = trio.lowlevel.current_trio_token()
        with trio.CancelScope() as self.scope:
            async with harness.launch(nodes=1) as site:
                await self._listen(site)
                self.started.set()
                await trio.sleep_forever()

    async def _listen(self, site):
        runtime = site.nodes[0].runtime
        handlers = {
            process.CALLERS: site.nodes[0].frontend,
            process.PEERS: runtime.handle_peer_request,
        }
        names = (process.CALLERS, process.PEERS, process.METRICS)
        guard = clientguard.ClientGuard(clientlimits.derive(), names)
        handlers[process.METRICS] = exposition.MetricsHandler(
            runtime, None, guard
        )
        site.nursery.start_soon(guard.run)
        for name, handler in handlers.items():
            address = await site.nursery.start(
                functools.partial(server.serve, guard=guard, listener=name),
                handler,
                "127.0.0.1:0",
                LIMITS,
                trio.sleep_forever,
            )
            host, _, port = address.rpartition(":")
            self.addresses[name] = (host, int(port))

    def exchange(self, listener, data, is_complete=False):
        """Sends bytes and returns what is answered.

        Unless the request is complete and asks for the connection to be closed,
        the end of the stream is sent too, which cancels the request.
        """
        answer = b""
        with socket.create_connection(
            self.addresses[listener], SOCKET_TIMEOUT_S
        ) as client:
            try:
                client.sendall(data)
                if not is_complete:
                    client.shutdown(socket.SHUT_WR)
                while part := client.recv(65536):
                    answer += part
            except TimeoutError:
                raise
            except OSError:
                # The node has closed the connection.
                pass
        return answer

    def check(self, listener):
        """Fails unless the next ordinary request is answered."""
        path, expected = {
            process.CALLERS: ("/lots/unknown", b"HTTP/1.1 404 "),
            process.PEERS: ("/alive", b"HTTP/1.1 200 "),
            process.METRICS: ("/metrics", b"HTTP/1.1 200 "),
        }[listener]
        head = f"GET {path} HTTP/1.1\r\nhost: {harness.HOST}\r\n"
        head += f"api-key: {harness.KEY}\r\nconnection: close\r\n"
        body = b""
        if listener == process.PEERS:
            head = head.replace("GET", "POST")
            body = b"{}"
        head += f"content-length: {len(body)}\r\n\r\n"
        answer = self.exchange(listener, head.encode() + body, True)
        if not answer.startswith(expected):
            raise AssertionError(f"{listener} answered {answer[:80]!r}")
        if self.failures:
            raise AssertionError(f"failed requests: {self.failures[-1]}")
