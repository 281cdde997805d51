"""An in-memory wire between processes, with faults and partitions."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

import attrs
import trio

from kingcupscale.fakes import faults
from kingcupscale.peering import transport
from kingcupscale.web import httpclient
from kingcupscale.web import message
from kingcupscale.web import server

PAUSE_S = 20.0
CUT_OFF_S = 25.0
LATE_S = 8.0
LONGEST_FAULT_S = 45.0
LATENCY_S = 0.0015


@attrs.define
class Process:
    """One process on the wire.

    Attributes:
        name: Its name.
        is_up: False once it has crashed.
        resumed: Set while it is not paused.
        crash: Ends its tasks.
    """

    name: str
    is_up: bool = True
    resumed: trio.Event = attrs.field(factory=trio.Event)
    crash: Callable[[], None] = attrs.field(default=lambda: None)

    def __attrs_post_init__(self) -> None:
        self.resumed.set()


class Network:
    """Carries requests in memory, on any clock.

    Args:
        nursery: Runs what arrives late.
        plan: Where faults strike.

    Attributes:
        handlers: By address, with the name of the process behind it.
        cuts: Pairs of processes that cannot reach each other.
        disturbed_until: Virtual time at which the last fault so far ends.
        on_store_down: Called when the plan takes the store down.
        on_crash: Called with the name of a process that has crashed.
    """

    def __init__(self, nursery: trio.Nursery, plan: faults.FaultPlan) -> None:
        self.nursery = nursery
        self.plan = plan
        self.handlers: dict[str, tuple[str, message.Handler]] = {}
        self.peer_services: dict[str, tuple[str, transport.PeerService]] = {}
        self.processes: dict[str, Process] = {}
        self.cuts: set[frozenset[str]] = set()
        self.last_bodies: dict[str, bytes] = {}
        self.disturbed_until = 0.0
        self.on_store_down: Callable[[], None] = lambda: None
        self.on_crash: Callable[[str], None] = lambda _: None

    def add(self, name: str, crash: Callable[[], None]) -> Process:
        """Adds a process that has just started."""
        process = Process(name, crash=crash)
        self.processes[name] = process
        return process

    def serve(self, name: str, address: str, handler: message.Handler) -> None:
        """Serves a handler of a process under an address."""
        self.processes.setdefault(name, Process(name))
        self.handlers[address] = (name, handler)

    def serve_peers(
        self, name: str, address: str, service: transport.PeerService
    ) -> None:
        """Serves a node's peer handlers under an address."""
        self.peer_services[address] = (name, service)

    def cut(self, one: str, other: str) -> None:
        """Keeps two processes from reaching each other."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Removes all cuts."""
        self.cuts.clear()

    def cut_off(self, name: str) -> None:
        """Keeps a process from reaching any other."""
        for other in self.processes:
            if other != name:
                self.cut(name, other)

    def crash(self, name: str) -> None:
        """Ends a process without warning."""
        process = self.processes[name]
        if process.is_up:
            process.is_up = False
            process.crash()
            self.on_crash(name)

    def pause(self, name: str, seconds: float) -> None:
        """Suspends a process for a while."""
        process = self.processes[name]
        if process.resumed.is_set():
            process.resumed = trio.Event()
            self.nursery.start_soon(self._resume_later, process, seconds)

    async def _resume_later(self, process: Process, seconds: float) -> None:
        await trio.sleep(seconds)
        process.resumed.set()

    async def gate(self, name: str) -> None:
        """Holds a process that is paused, and one that has crashed."""
        process = self.processes.get(name)
        if process is None:
            return
        await process.resumed.wait()
        if not process.is_up:
            await trio.sleep_forever()

    def is_up(self, name: str) -> bool:
        """Tells whether a process runs; one that was never added does."""
        process = self.processes.get(name)
        return process is None or process.is_up

    def reaches(self, caller: str, target: str) -> bool:
        """Tells whether a call would get through now."""
        is_cut = frozenset((caller, target)) in self.cuts
        return self.is_up(target) and not is_cut

    def strike(self, fault: faults.Fault | None, caller: str, to: str) -> None:
        """Lets a fault take place that is more than this call's."""
        if fault is not None:
            self.disturbed_until = trio.current_time() + LONGEST_FAULT_S
        if fault is faults.Fault.CALLER_CRASHED:
            self.crash(caller)
        elif fault is faults.Fault.TARGET_CRASHED:
            self.crash(to)
        elif fault is faults.Fault.CALLER_PAUSED:
            self.pause(caller, PAUSE_S)
        elif fault is faults.Fault.STORE_DOWN:
            self.on_store_down()
        elif fault is faults.Fault.CALLER_CUT_OFF:
            self.cut_off(caller)
            self.nursery.start_soon(self._heal_later)

    async def _heal_later(self) -> None:
        await trio.sleep(CUT_OFF_S)
        self.heal()


class MemoryHttpClient:
    """Carries a process's HTTP requests over the network.

    Args:
        network: The network.
        caller: Name of the process.
    """

    def __init__(self, network: Network, caller: str) -> None:
        self.network = network
        self.caller = caller

    def has_idle_connection(self, address: str) -> bool:
        """Returns that there is none: each request is on its own."""
        return False

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Returns whether a process listens on an address."""
        name, handler = self.network.handlers.get(address, ("", None))
        await trio.sleep(LATENCY_S)
        if handler is None or not self.network.is_up(name):
            return False
        if not self._reaches(name):
            await trio.sleep(timeout_s)
            return None
        return True

    @contextlib.asynccontextmanager
    async def open(
        self, address: str, request: message.Request, timeout_s: float
    ) -> AsyncIterator[message.Response]:
        """Sends a request; see ``httpclient.HttpClient``."""
        network = self.network
        name, handler = network.handlers.get(address, ("", None))
        operation = f"{request.method} {request.path}"
        fault = network.plan.begin(self.caller, name or address, operation)
        network.strike(fault, self.caller, name)
        await network.gate(self.caller)
        await trio.sleep(LATENCY_S)
        is_refused = fault is faults.Fault.ERROR_BEFORE
        if handler is None or is_refused or not self._reaches(name):
            raise httpclient.RequestError("refused", may_have_been_sent=False)
        request.before_send()
        if fault is faults.Fault.CALLER_PAUSED_SENDING:
            network.pause(self.caller, PAUSE_S)
            await network.gate(self.caller)
        if fault is faults.Fault.REQUEST_LATE:
            await self._send_late(handler, request, timeout_s)
        response = await self._answer(handler, request, timeout_s)
        if not network.is_up(name):
            raise httpclient.RequestError(
                "server disconnected",
                may_have_been_sent=True,
                is_connection_lost=True,
            )
        await self._spoil(fault, operation, response)
        await network.gate(self.caller)
        chunks = self._chunks(response, name, timeout_s, fault, operation)
        try:
            yield message.Response(
                response.status, dict(response.headers), chunks=chunks
            )
        finally:
            with trio.CancelScope(shield=True):
                await chunks.aclose()

    def _reaches(self, name: str) -> bool:
        return self.network.reaches(self.caller, name)

    async def _send_late(
        self,
        handler: message.Handler,
        request: message.Request,
        timeout_s: float,
    ) -> None:
        """Delivers a request after its caller has given up on it."""
        self.network.nursery.start_soon(_deliver_late, handler, request)
        await trio.sleep(timeout_s)
        raise httpclient.RequestError("timed out", may_have_been_sent=True)

    async def _answer(
        self,
        handler: message.Handler,
        request: message.Request,
        timeout_s: float,
    ) -> message.Response:
        arrived = attrs.evolve(request, before_send=message.allow_send)
        with trio.move_on_after(timeout_s):
            return await server.run_handler(handler, arrived)
        raise httpclient.RequestError("timed out", may_have_been_sent=True)

    async def _spoil(
        self,
        fault: faults.Fault | None,
        operation: str,
        response: message.Response,
    ) -> None:
        if fault is faults.Fault.ANSWER_LOST:
            await response.read()
            raise httpclient.RequestError(
                "answer lost", may_have_been_sent=True
            )
        if fault is faults.Fault.ANSWER_LATE:
            await trio.sleep(LATE_S)
        if fault is faults.Fault.ANSWER_CROSSED:
            await response.read()
            response.body = self.network.last_bodies.get(operation, b"{}")
            response.headers["x-request-id"] = "another"

    async def _chunks(
        self,
        response: message.Response,
        name: str,
        timeout_s: float,
        fault: faults.Fault | None,
        operation: str,
    ) -> AsyncIterator[bytes]:
        is_cut = fault is faults.Fault.ANSWER_CUT
        if response.chunks is None:
            if is_cut:
                raise httpclient.RequestError(
                    "cut off", may_have_been_sent=True
                )
            self.network.last_bodies[operation] = response.body
            yield response.body
            return
        async with contextlib.aclosing(response.chunks) as chunks:
            while True:
                chunk = await self._next(chunks, timeout_s)
                await self.network.gate(self.caller)
                if not self._reaches(name):
                    raise httpclient.RequestError(
                        "cut off",
                        may_have_been_sent=True,
                        is_connection_lost=not self.network.is_up(name),
                    )
                if chunk is None:
                    return
                if is_cut:
                    yield chunk[: len(chunk) // 2]
                    return
                self.network.last_bodies[operation] = chunk
                yield chunk

    async def _next(self, chunks: Any, timeout_s: float) -> bytes | None:
        with trio.move_on_after(timeout_s):
            return await anext(chunks, None)
        raise httpclient.RequestError("timed out", may_have_been_sent=True)


async def _deliver_late(
    handler: message.Handler, request: message.Request
) -> None:
    await trio.sleep(LATE_S)
    arrived = attrs.evolve(request, before_send=message.allow_send)
    response = await server.run_handler(handler, arrived)
    await response.read()


class MemoryPeerTransport:
    """Carries a node's peer calls over the network.

    Args:
        network: The network.
        caller: Name of the process.
    """

    def __init__(self, network: Network, caller: str) -> None:
        self.network = network
        self.caller = caller

    async def call(
        self,
        address: str,
        method: transport.Method,
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Returns the reply of the node at an address."""
        network = self.network
        name, service = network.peer_services.get(address, ("", None))
        fault = network.plan.begin(self.caller, name or address, method.name)
        network.strike(fault, self.caller, name)
        await network.gate(self.caller)
        is_refused = fault is faults.Fault.ERROR_BEFORE
        if service is None or is_refused or not self._reaches(name):
            await trio.sleep(timeout_s)
            raise transport.PeerError(address)
        arrived = method.request.FromString(request.SerializeToString())
        with trio.move_on_after(timeout_s):
            await trio.sleep(LATENCY_S)
            if fault is faults.Fault.REQUEST_LATE:
                await trio.sleep(LATE_S)
            await network.gate(name)
            reply = await service.handlers[method.name](arrived)
            await network.gate(name)
            if fault is faults.Fault.ANSWER_LATE:
                await trio.sleep(LATE_S)
            await network.gate(self.caller)
            if fault is not faults.Fault.ANSWER_LOST and self._reaches(name):
                return method.reply.FromString(reply.SerializeToString())
        raise transport.PeerError(address)

    def _reaches(self, name: str) -> bool:
        return self.network.reaches(self.caller, name)
