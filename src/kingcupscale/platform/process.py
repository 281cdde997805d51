"""A node's process on the platform: clients, listeners and signals."""

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
from kingcupscale.peering import commits
from kingcupscale.peering import counts
from kingcupscale.peering import handover
from kingcupscale.peering import loads
from kingcupscale.peering import relay
from kingcupscale.platform import cloud
from kingcupscale.platform import documents
from kingcupscale.platform import frontend
from kingcupscale.platform import names
from kingcupscale.platform import servers
from kingcupscale.platform import settingsfile
from kingcupscale.platform import store
from kingcupscale.web import httpclient
from kingcupscale.web import limits
from kingcupscale.web import message
from kingcupscale.web import server

# Servers close idle connections; one that is idle this long is not reused.
SERVER_IDLE_S = 8.0
STORE_IDLE_S = 20.0
# A transaction of another node has 32 values of a megabyte at the most, which
# travel as base64.
PEER_BODY_BYTES = 64 * 1024 * 1024
GC_ALLOCATIONS = 50_000

KEYS = dependencies.Keys(
    names.CONFIGURATION_KEY,
    names.SERVERS_PREFIX,
    names.VERSIONS_PREFIX,
    names.RETIREMENTS_PREFIX,
    names.RETIREMENT_STATES_PREFIX,
)
DECODERS = dependencies.Decoders(
    documents.decode_catalogue,
    documents.decode_server,
    documents.decode_target_version,
    documents.encode_retirement_state,
)


@attrs.frozen
class Exchangers:
    """What carries a node's calls, by whom they go to."""

    store: httpclient.HttpClient
    servers: httpclient.HttpClient
    peers: httpclient.HttpClient
    cloud: httpclient.HttpClient


def make_runtime(
    settings: deployment.SiteSettings,
    exchangers: Exchangers,
    clock: clocks.Clock,
    rng: random.Random,
) -> runtimes.Runtime:
    """Returns a node that speaks the platform's wire.

    Args:
        settings: What it is told.
        exchangers: What carries its calls.
        clock: Tells the time.
        rng: Decides among equals.
    """
    client = cloud.PlatformCloud(exchangers.cloud, settings.cloud)
    return runtimes.Runtime(
        settings,
        dependencies.Dependencies(
            store.PlatformStore(exchangers.store, settings.store),
            servers.PlatformServers(exchangers.servers),
            client,
            client,
            clock,
            rng,
            relay.HttpRelayClient(exchangers.peers),
            commits.HttpCommitClient(exchangers.peers),
            handover.HttpCopyClient(exchangers.peers),
            loads.HttpLoadClient(exchangers.peers),
            counts.HttpCountsClient(exchangers.peers),
            KEYS,
            DECODERS,
        ),
    )


def make_frontend(runtime: runtimes.Runtime) -> frontend.Frontend:
    """Returns the handler for a node's callers."""
    return frontend.Frontend(
        runtime.callers, runtime.clock, lambda: runtime.is_draining
    )


@attrs.frozen
class Options:
    """What a process is told beside its settings.

    Attributes:
        path: The file that the settings were read from.
        metrics_port: Port for metrics; 0 for none.
        lines: Where log lines go.
    """

    path: str
    metrics_port: int = 0
    lines: logs.LineWriter | None = None


async def run(settings: deployment.SiteSettings, options: Options) -> None:
    """Runs a node until a signal begins its planned stop and that has ended.

    Args:
        settings: What it is told.
        options: What it is told beside them.
    """
    path = options.path
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
    events.log(
        events.Event.NODE_STARTED,
        node=settings.node,
        role=settings.role,
        zone=settings.zone,
        settings=path,
    )
    if not settings.callers:
        await _wait_for_stop(path)
        return
    exchangers = Exchangers(
        httpclient.PooledHttpClient(idle_s=STORE_IDLE_S),
        httpclient.PooledHttpClient(idle_s=SERVER_IDLE_S),
        httpclient.PooledHttpClient(idle_s=SERVER_IDLE_S),
        httpclient.PooledHttpClient(idle_s=SERVER_IDLE_S),
    )
    runtime = make_runtime(
        settings, exchangers, clocks.SystemClock(), random.Random()
    )
    handler = make_frontend(runtime)
    own_limits = limits.constant(limits.Limits(body_bytes=PEER_BODY_BYTES))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_await_signal, runtime, path)
        await nursery.start(
            functools.partial(
                server.serve,
                handler,
                settings.callers,
                runtime.current_limits,
                runtime.stopped.wait,
                graceful_timeout_s=settings.bounds.grace_s,
            )
        )
        await nursery.start(
            server.serve,
            functools.partial(_answer_readiness, runtime),
            settings.readiness,
            own_limits,
            runtime.stopped.wait,
        )
        await nursery.start(
            server.serve,
            runtime.handle_peer_request,
            settings.peers,
            own_limits,
            runtime.stopped.wait,
        )
        if options.metrics_port:
            host = settings.readiness.rpartition(":")[0]
            await nursery.start(
                server.serve,
                exposition.MetricsHandler(runtime, options.lines),
                f"{host}:{options.metrics_port}",
                own_limits,
                runtime.stopped.wait,
            )
        await runtime.run()
        events.log(events.Event.NODE_STOPPED, node=settings.node)


async def _answer_readiness(
    runtime: runtimes.Runtime, request: message.Request
) -> message.Response:
    is_ready = request.path == names.READY_PATH and runtime.is_ready()
    return message.Response(200 if is_ready else 503)


async def _await_signal(runtime: runtimes.Runtime, path: str) -> None:
    await _wait_for_stop(path)
    runtime.drain_requested.set()


async def _wait_for_stop(path: str) -> None:
    """Waits for the signal to stop, and checks the settings at a reload.

    What the settings name is fixed for the life of the process, so a reload
    only tells whether the file could be used at the next start.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            problems: list[str] = []
            try:
                settingsfile.load(path)
            except settings_errors.SettingsError as e:
                problems = e.problems
            events.log(
                events.Event.SETTINGS_RELOADED, path=path, problems=problems
            )
