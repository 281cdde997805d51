"""Measures call rates and propagation times of a fleet in virtual time."""

import collections
import statistics

import attrs
import trio

from kingcupscale.fakes import cluster as clusters
from kingcupscale.fakes import faults
from kingcupscale.fakes import virtualtime

STEADY_S = 20.0
PROPAGATION_LIMIT_S = 120.0
POLL_S = 0.05
ZONES = 6
NODES_PER_RACK = 16


@attrs.frozen
class Fleet:
    """Call rates and propagation times of a fleet of one size.

    Attributes:
        nodes: Number of nodes.
        peer_calls_per_s: Mean calls of a node to other nodes.
        store_calls_per_s: Calls of the whole fleet to the store.
        store_writes_per_s: Writes among these calls.
        largest_store_calls_per_s: Calls to the store by the busiest node.
        change_s: Time until a change is in force on every node.
        withdrawn_s: Time until every node refuses a withdrawn key.
        gossip_only_s: Time until a change is in force on every node if all
            pushes are lost.
        rack_lost_s: Time until two changes are in force on every running node
            after a rack has failed.
        detected_s: Time until every running node has detected the failed nodes
            of the rack; None if not within ``PROPAGATION_LIMIT_S``.
    """

    nodes: int
    peer_calls_per_s: float
    store_calls_per_s: float
    store_writes_per_s: float
    largest_store_calls_per_s: float
    change_s: float
    withdrawn_s: float
    gossip_only_s: float
    rack_lost_s: float
    detected_s: float | None


class CountingPlan(faults.FaultPlan):
    """Counts calls by caller and kind, and can drop pushed changes.

    Attributes:
        peer_calls: Number of calls to other nodes, by caller.
        store_calls: Number of calls to the store, by caller.
        drops_pushes: Whether pushed changes are lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.peer_calls: collections.Counter[str] = collections.Counter()
        self.store_calls: collections.Counter[str] = collections.Counter()
        self.drops_pushes = False

    def begin(
        self, caller: str, target: str, operation: str
    ) -> faults.Fault | None:
        """Counts a call and returns the fault to inject, or None."""
        if target == "key_value":
            self.store_calls[caller] += 1
        elif " " not in operation:
            self.peer_calls[caller] += 1
        if self.drops_pushes and operation == "PushChanges":
            return faults.Fault.ERROR_BEFORE
        return None


def measure(nodes: int) -> Fleet:
    """Measures a fleet of this number of nodes."""
    return virtualtime.run(_measure, nodes)


async def _measure(nodes: int) -> Fleet:
    cluster_settings = clusters.ClusterSettings(
        nodes=nodes, zones=ZONES, engines=ZONES, trainers=0, window_s=60
    )
    plan = CountingPlan()
    async with clusters.running(cluster_settings, plan) as cluster:
        await trio.sleep(15)
        call_rates = await _measure_call_rates(cluster, plan)
        change_s = await _time_change(cluster, "customer-2", 11)
        withdrawn_s = await _time_withdrawal(cluster)
        plan.drops_pushes = True
        gossip_only_s = await _time_change(cluster, "customer-2", 12)
        plan.drops_pushes = False
        rack_lost_s, detected_s = await _fail_rack(cluster)
    return Fleet(
        nodes,
        *call_rates,
        round(change_s, 2),
        round(withdrawn_s, 2),
        round(gossip_only_s, 2),
        round(rack_lost_s, 2),
        detected_s,
    )


async def _measure_call_rates(
    cluster: clusters.Cluster, plan: CountingPlan
) -> tuple[float, float, float, float]:
    plan.peer_calls.clear()
    plan.store_calls.clear()
    writes = len(cluster.world.store.writes)
    await trio.sleep(STEADY_S)
    writes = len(cluster.world.store.writes) - writes
    return (
        round(statistics.mean(plan.peer_calls.values()) / STEADY_S, 2),
        round(plan.store_calls.total() / STEADY_S, 2),
        round(writes / STEADY_S, 2),
        round(max(plan.store_calls.values()) / STEADY_S, 2),
    )


async def _time_change(
    cluster: clusters.Cluster, organisation: str, streams: int
) -> float:
    started_at = trio.current_time()
    cluster.nursery.start_soon(_apply_change, cluster, organisation, streams)
    await _wait_until(
        cluster,
        lambda document: (
            document.organisations[organisation].streams == streams
        ),
    )
    return trio.current_time() - started_at


async def _apply_change(
    cluster: clusters.Cluster, organisation: str, streams: int
) -> None:
    tables = dict(cluster.tables["organisations"])
    tables[organisation] = {"label": f"org-{organisation}", "streams": streams}
    operator = cluster.operator("node-1")
    response = await operator.apply({"organisations": tables}, "bench")
    if response.status != 200:
        raise RuntimeError(response.body.decode())


async def _time_withdrawal(cluster: clusters.Cluster) -> float:
    started_at = trio.current_time()
    key_id = cluster.issued[0].key_id
    operator = cluster.operator("node-2")
    cluster.nursery.start_soon(operator.withdraw, key_id, "bench")
    await _wait_until(cluster, lambda document: key_id not in document.keys)
    return trio.current_time() - started_at


async def _wait_until(cluster: clusters.Cluster, is_met) -> None:
    with trio.fail_after(PROPAGATION_LIMIT_S):
        while not all(
            is_met(running.node.replica.document)
            for name, running in cluster.nodes.items()
            if cluster.network.processes[name].is_up
        ):
            await trio.sleep(POLL_S)


async def _fail_rack(
    cluster: clusters.Cluster,
) -> tuple[float, float | None]:
    """Crashes the nodes of a rack, then makes two changes.

    The nodes of the rack are evenly spaced among the names of the nodes.

    Returns:
        The time until the changes are in force, and the time until the failures
        are detected; None if not within the limit.
    """
    names = cluster.node_names()
    count = max(1, min(NODES_PER_RACK, len(names) // 4))
    failed = names[2 :: max(1, len(names) // count)][:count]
    started_at = trio.current_time()
    # Otherwise the cluster would restart the crashed nodes.
    cluster.network.on_crash = lambda _: None
    for name in failed:
        cluster.network.crash(name)
    await _time_change(cluster, "customer-2", 13)
    await _time_change(cluster, "customer-1", 14)
    change_s = trio.current_time() - started_at
    with trio.move_on_after(PROPAGATION_LIMIT_S):
        while not _is_detected_by_all(cluster, set(failed)):
            await trio.sleep(POLL_S)
        return change_s, round(trio.current_time() - started_at, 2)
    return change_s, None


def _is_detected_by_all(cluster: clusters.Cluster, failed: set[str]) -> bool:
    for name, running in cluster.nodes.items():
        if name in failed:
            continue
        if failed & {m.name for m in running.node.members.alive()}:
            return False
    return True
