"""What a node is told of its deployment, in the product's own terms."""

import attrs


@attrs.frozen
class Bounds:
    """Times within which the deployment wants things done, in seconds.

    Attributes:
        contact_s: Undisturbed time after which a node counts as healthy.
        drain_s: For which a leaving server goes on serving.
        grace_s: Between a stop's signal and the end of the process.
        apply_s: Within which a configuration is in force.
        apply_extension_s: More of it while the store is disturbed.
        lease_s: Within which holders of a duty must not take turns.
        window_s: Length of a usage window.
        late_s: After a window's end, when its report is late.
        cancel_s: Within which nothing of an ended batch is sent any more.
        retention_s: For which an ended batch can still be read.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    apply_extension_s: float = 5.0
    lease_s: float = 3.0
    window_s: float = 5.0
    late_s: float = 10.0
    cancel_s: float = 3.0
    retention_s: float = 120.0


@attrs.frozen
class ProcessSettings:
    """What a process is told of itself and of its surroundings.

    Attributes:
        node: Its name.
        role: Name of the role it runs.
        zone: Its availability zone.
        callers: ``host:port`` for callers; empty if it serves none.
        readiness: ``host:port`` for readiness; empty likewise.
        peers: ``host:port`` for other nodes; empty likewise.
        store: ``host:port`` of the shared store.
        cloud: ``host:port`` of the interface for orders and usage reports.
        seeds: Peers to begin with.
        min_lease_s: Shortest lease that the store grants.
        value_bytes: Largest value that the store holds.
        heartbeat_s: Between two entries of a backend server.
        reports_usage: Whether usage reports are wanted.
        orders_servers: Whether servers may be ordered.
        bounds: Times within which things are wanted.
    """

    node: str
    role: str
    zone: str
    callers: str
    readiness: str
    peers: str
    store: str
    cloud: str
    seeds: tuple[str, ...]
    min_lease_s: float
    value_bytes: int
    heartbeat_s: float
    reports_usage: bool
    orders_servers: bool
    bounds: Bounds
