"""Runs a node as a process: HTTP clients, listeners and signals."""

import functools
import gc
import random
import signal

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import dependencies
from kingcupscale import deployment
from kingcupscale import events
from kingcupscale import logs
from kingcupscale import runtime as runtimes
from kingcupscale import settings as settings_errors
from kingcupscale.operating import exposition
from kingcupscale.peering import announcements
from kingcupscale.peering import commits
from kingcupscale.peering import counts
from kingcupscale.peering import crashreports
from kingcupscale.peering import relay
from kingcupscale.peering import replication
from kingcupscale.peering import weightloads
from kingcupscale.platform import cloud
from kingcupscale.platform import documents
from kingcupscale.platform import frontend
from kingcupscale.platform import names
from kingcupscale.platform import servers
from kingcupscale.platform import settingsfile
from kingcupscale.platform import store
from kingcupscale.web import clientguard
from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server

# Servers close idle connections, so one that was idle this long is not reused.
SERVER_IDLE_S = 8.0
STORE_IDLE_S = 20.0
# A node may send a transaction to another one to commit. It has at most 32
# values of one megabyte, encoded as base64.
PEER_BODY_BYTES = 64 * 1024 * 1024
# Readiness probes and requests for metrics have no body.
PROBE_BODY_BYTES = 64 * 1024
GC_THRESHOLD = 50_000
# Names of the listeners, as in metrics and log events.
CALLERS = "callers"
READINESS = "readiness"
PEERS = "peers"
METRICS = "metrics"

KEYS = dependencies.Keys(
    names.CONFIGURATION_KEY,
    names.SERVERS_PREFIX,
    names.VERSIONS_PREFIX,
    names.RETIREMENTS_PREFIX,
    names.RETIREMENT_STATES_PREFIX,
    names.EVACUATIONS_PREFIX,
)
DECODERS = dependencies.Decoders(
    documents.decode_catalogue,
    documents.decode_server,
    documents.decode_target_version,
    documents.encode_retirement_state,
)


@attrs.frozen
class HttpClients:
    """The HTTP clients of a node, one for each kind of destination."""

    store: httpclient.HttpClient
    servers: httpclient.HttpClient
    peers: httpclient.HttpClient
    cloud: httpclient.HttpClient


def make_runtime(
    settings: deployment.ProcessSettings,
    clients: HttpClients,
    clock: clocks.Clock,
    rng: random.Random,
) -> runtimes.Runtime:
    """Returns a node whose clients use the platform's protocols.

    Args:
        settings: The node's settings.
        clients: Its HTTP clients.
        clock: Source of time.
        rng: Source of random choices and jitter.
    """
    client = cloud.PlatformCloud(clients.cloud, settings.cloud)
    return runtimes.Runtime(
        settings,
        dependencies.Dependencies(
            store.PlatformStore(clients.store, settings.store),
            servers.PlatformServers(clients.servers),
            client,
            client,
            clock,
            rng,
            relay.HttpRelayClient(clients.peers),
            commits.HttpCommitClient(clients.peers),
            replication.HttpReplicationClient(clients.peers),
            weightloads.HttpWeightLoadClient(clients.peers),
            counts.HttpCountsClient(clients.peers),
            announcements.HttpAnnouncementClient(clients.peers),
            crashreports.HttpCrashReportClient(clients.peers),
            KEYS,
            DECODERS,
        ),
    )


def make_frontend(runtime: runtimes.Runtime) -> frontend.Frontend:
    """Returns the HTTP handler for a node's callers."""
    return frontend.Frontend(
        runtime.callers,
        runtime.clock,
        lambda: runtime.is_draining,
        runtime.planned_stop.find_refusal,
    )


@attrs.frozen
class Options:
    """Command-line options of a process.

    Attributes:
        path: The file that the settings were read from.
        metrics_port: Port for metrics; 0 for none.
        lines: Writes the log lines.
    """

    path: str
    metrics_port: int = 0
    lines: logs.LineWriter | None = None


async def run(settings: deployment.ProcessSettings, options: Options) -> None:
    """Runs a node until a signal stops it and the planned stop is complete.

    A process that serves no callers only waits for the signal.

    Args:
        settings: The node's settings.
        options: The process's command-line options.
    """
    path = options.path
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    events.log(
        events.Event.NODE_STARTED,
        node=settings.node,
        role=settings.role,
        zone=settings.zone,
        settings=path,
    )
    if not settings.callers:
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(_handle_signals, path, stopped)
            await stopped.wait()
            nursery.cancel_scope.cancel()
        return
    clients = HttpClients(
        httpclient.PooledHttpClient(idle_s=STORE_IDLE_S),
        httpclient.PooledHttpClient(
            idle_s=SERVER_IDLE_S, follows_keep_alive=True
        ),
        httpclient.PooledHttpClient(idle_s=SERVER_IDLE_S),
        httpclient.PooledHttpClient(idle_s=SERVER_IDLE_S),
    )
    runtime = make_runtime(
        settings, clients, clocks.SystemClock(), random.Random()
    )
    handler = make_frontend(runtime)
    async with trio.open_nursery() as signal_nursery:
        await signal_nursery.start(
            _handle_signals, path, runtime.drain_requested
        )
        await _serve(runtime, handler, options)
        signal_nursery.cancel_scope.cancel()


async def _serve(
    runtime: runtimes.Runtime, handler: frontend.Frontend, options: Options
) -> None:
    """Runs a node and its listeners until the planned stop is complete."""
    guard = clientguard.ClientGuard(
        runtime.settings.clients, (CALLERS, READINESS, PEERS, METRICS)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(guard.run)
        await _serve_guarded(runtime, handler, options, guard)
        nursery.cancel_scope.cancel()


async def _serve_guarded(
    runtime: runtimes.Runtime,
    handler: frontend.Frontend,
    options: Options,
    guard: clientguard.ClientGuard,
) -> None:
    """Runs a node and its listeners, which share a guard."""
    settings = runtime.settings
    peer_limits = limits.constant(limits.Limits(body_bytes=PEER_BODY_BYTES))
    probe_limits = limits.constant(limits.Limits(body_bytes=PROBE_BODY_BYTES))
    serve = functools.partial(
        server.serve,
        graceful_timeout_s=settings.bounds.grace_s,
        time_left=runtime.planned_stop.connections_left_s,
        guard=guard,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(
            functools.partial(
                serve,
                handler,
                settings.callers,
                runtime.current_limits,
                runtime.stopped.wait,
                listener=CALLERS,
            )
        )
        await nursery.start(
            functools.partial(serve, listener=READINESS),
            functools.partial(_handle_readiness, runtime),
            settings.readiness,
            probe_limits,
            runtime.stopped.wait,
        )
        await nursery.start(
            functools.partial(serve, listener=PEERS),
            functools.partial(_handle_peer_request, runtime),
            settings.peers,
            peer_limits,
            runtime.stopped.wait,
        )
        if options.metrics_port:
            host = settings.readiness.rpartition(":")[0]
            await nursery.start(
                functools.partial(serve, listener=METRICS),
                exposition.MetricsHandler(runtime, options.lines, guard),
                f"{host}:{options.metrics_port}",
                probe_limits,
                runtime.stopped.wait,
            )
        await runtime.run()
        events.log(events.Event.NODE_STOPPED, node=settings.node)


async def _handle_readiness(
    runtime: runtimes.Runtime, request: message.Request
) -> message.Response:
    is_ready = request.path == names.READY_PATH and runtime.is_ready()
    return message.Response(200 if is_ready else 503)


async def _handle_peer_request(
    runtime: runtimes.Runtime, request: message.Request
) -> message.Response:
    """Returns the response to a request of another node, whose body is JSON."""
    request.check_decoding(request.body)
    return await runtime.handle_peer_request(request)


async def _handle_signals(
    path: str,
    stop_requested: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Handles signals until cancelled.

    A signal to stop requests the planned stop; a further one changes nothing.
    SIGHUP has the settings file checked. Signals are handled until the process
    ends: outside of the receiver each of them ends it at once, and with it the
    requests that a planned stop still completes.

    Args:
        path: The settings file.
        stop_requested: Set at the first signal to stop.
        task_status: Is started once signals are handled.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                _check_settings(path)
            else:
                stop_requested.set()


def _check_settings(path: str) -> None:
    """Logs whether the settings file is valid for the next start.

    Settings do not change while the process runs.
    """
    problems: list[str] = []
    try:
        settingsfile.load(path)
    except settings_errors.SettingsError as e:
        problems = e.problems
    events.log(events.Event.SETTINGS_RELOADED, path=path, problems=problems)
