"""Whole sessions for the fault matrix and the golden files."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import attrs
import trio

from kingcupscale.fakes import callers
from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import faults
from kingcupscale.fakes import judge
from kingcupscale.web import httpclient

SESSION_LIMIT_S = 400.0
SETTLE_S = 45.0
WATCH_EVERY_S = 2.0
TRAFFIC_EVERY_S = 1.5
ATTEMPTS = 40
ATTEMPT_EVERY_S = 3.0

Script = Callable[[clusters.Cluster], Awaitable[None]]


@attrs.frozen
class Session:
    """One kind of session.

    Attributes:
        name: Its name.
        size: Size of the cluster.
        script: What people do in it.
    """

    name: str
    size: clusters.ClusterSettings
    script: Script


@attrs.frozen
class Outcome:
    """What a run of a session showed.

    Attributes:
        broken: What was found broken, a line each.
        steps: All calls between processes.
        struck: Places at which a fault took place.
        seconds: Virtual seconds it took.
        record: What callers, trainers and operators saw.
    """

    broken: list[str]
    steps: list[faults.Step]
    struck: list[faults.Place]
    seconds: float
    record: judge.Record


async def rollout_step(cluster: clusters.Cluster) -> None:
    """A trainer runs a step, publishes weights and runs another."""
    trainer = cluster.trainer(0)
    for step in range(2):
        specification = callers.make_step(
            "trainer-1", step, trainer.version, 3, 2, 60
        )
        await callers.run_step(
            trainer, "trainer-1", specification, cluster.record
        )
        await trainer.publish(step + 1)
        await trio.sleep(4)
    await _wait_for_weights(cluster, 2)


async def _wait_for_weights(cluster: clusters.Cluster, version: int) -> None:
    for _ in range(ATTEMPTS):
        active = [
            engine.active.get("trainer-1", 0)
            for engine in cluster.world.engines.values()
        ]
        if min(active) == version:
            return
        await trio.sleep(ATTEMPT_EVERY_S)
    raise TimeoutError(f"engines run {active}, not {version}")


async def loan_desk(cluster: clusters.Cluster) -> None:
    """Callers ask and order; one of their keys is withdrawn."""
    async with trio.open_nursery() as nursery:
        for number in range(len(cluster.issued)):
            nursery.start_soon(_make_traffic, cluster, number)
        await trio.sleep(4)
        await _until_accepted(
            lambda: cluster.operator("node-2").withdraw(
                cluster.issued[0].key_id, "a lost phone"
            ),
            done=lambda: cluster.issued[0].key_id in cluster.record.withdrawn,
        )
        await trio.sleep(judge.WITHDRAWN_WITHIN_S + 4)
        nursery.cancel_scope.cancel()


async def _make_traffic(cluster: clusters.Cluster, number: int) -> None:
    caller = cluster.caller(number)
    for count in range(10**6):
        await caller.complete(stream=bool(count % 2))
        await caller.quote(f"order-{count}")
        await caller.quote()
        await trio.sleep(TRAFFIC_EVERY_S)


async def noon_handover(cluster: clusters.Cluster) -> None:
    """Two operators race, a node is stopped, servers are ordered."""
    async with trio.open_nursery() as nursery:
        for name in ("node-1", "node-2"):
            nursery.start_soon(_change_streams, cluster, name)
    async with trio.open_nursery() as nursery:
        for number in range(len(cluster.issued)):
            nursery.start_soon(_make_traffic, cluster, number)
        await trio.sleep(1)
        cluster.record.draining["node-3"] = cluster.clock.monotonic()
        with contextlib.suppress(httpclient.RequestError):
            await cluster.operator("node-3").call("POST", "/drain")
        await trio.sleep(12)
        del cluster.record.draining["node-3"]
        nursery.cancel_scope.cancel()
    cluster.start_node("node-3")
    await trio.sleep(5)


async def _change_streams(cluster: clusters.Cluster, name: str) -> None:
    """Changes one organisation's limit, on whatever revision is newest."""
    organisation = "customer-1" if name == "node-1" else "customer-2"
    tables = {
        "organisations": {
            **cluster.tables["organisations"],
            organisation: {"label": f"org-{organisation}", "streams": 32},
        }
    }
    await _until_accepted(
        lambda: cluster.operator(name).apply(tables, "noon"), lambda: False
    )


async def _until_accepted(
    attempt: Callable[[], Awaitable[object]], done: Callable[[], bool]
) -> None:
    """Repeats an operator's request until it is answered as accepted."""
    for _ in range(ATTEMPTS):
        try:
            response = await attempt()
        except (httpclient.RequestError, ValueError):
            response = None
        if done() or getattr(response, "status", 0) == 200:
            return
        await trio.sleep(ATTEMPT_EVERY_S)
    raise TimeoutError("no change was accepted")


SESSIONS = {
    session.name: session
    for session in (
        Session("rollout_step", clusters.ClusterSettings(), rollout_step),
        Session("loan_desk", clusters.ClusterSettings(), loan_desk),
        Session(
            "noon_handover",
            clusters.ClusterSettings(
                scaling={
                    "service_class": "rollout",
                    "minimum": 1,
                    "maximum": 2,
                }
            ),
            noon_handover,
        ),
    )
}


async def play(session: Session, plan: faults.FaultPlan) -> Outcome:
    """Plays one session under a plan and judges it."""
    broken: list[str] = []
    async with clusters.running(session.size, plan) as cluster:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_revisions, cluster)
            try:
                with trio.fail_after(SESSION_LIMIT_S):
                    await session.script(cluster)
            except (trio.TooSlowError, TimeoutError) as e:
                broken.append(f"did not finish: {e!r}")
            await trio.sleep(SETTLE_S)
            broken += await _probe_when_calm(cluster)
            nursery.cancel_scope.cancel()
        broken += cluster.broken()
        seconds = cluster.clock.monotonic()
        record = cluster.record
    return Outcome(broken, plan.steps, plan.struck, seconds, record)


async def _watch_revisions(cluster: clusters.Cluster) -> None:
    while True:
        for name in cluster.node_names():
            with contextlib.suppress(httpclient.RequestError, ValueError):
                await cluster.operator(name).status()
        await trio.sleep(WATCH_EVERY_S)


async def _probe_when_calm(cluster: clusters.Cluster) -> list[str]:
    """Returns what does not work once the last fault is over."""
    while True:
        begun_at = cluster.clock.monotonic()
        lines = await _probe(cluster)
        if cluster.network.disturbed_until < begun_at:
            return lines
        await trio.sleep(SETTLE_S)


async def _probe(cluster: clusters.Cluster) -> list[str]:
    """Makes a request for each organisation, on every node in turn."""
    lines = []
    for number, issued in enumerate(cluster.issued):
        if issued.key_id in cluster.record.withdrawn:
            continue
        for _ in cluster.node_names():
            answer = await cluster.caller(number).complete()
            if answer.status != 200:
                lines.append(f"{issued.organisation} is not served in the end")
    for name, running in cluster.nodes.items():
        if not running.node.admission.is_admitting():
            lines.append(f"{name} does not admit in the end")
    if not cluster.world.intake.windows():
        lines.append("no usage window was reported")
    return lines
