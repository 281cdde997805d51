"""Settings of a node's process, independent of the platform's file format."""

import attrs

from kingcupscale.web import clientlimits


@attrs.frozen
class Bounds:
    """Limits that the deployment requires, times in seconds.

    Attributes:
        contact_s: Time without a disturbance after which a node is healthy;
            also the time without an answer from other nodes after which a node
            may count as isolated.
        drain_s: Time for which a leaving server continues to serve.
        grace_s: Time from the stop signal to the end of the process.
        apply_s: Time until a new configuration is in force.
        apply_extension_s: Extension of ``apply_s`` while the store is
            disturbed.
        lease_s: Time within which a duty must not alternate between holders.
        window_s: Length of a usage window.
        late_s: Time after the end of a window when its report is late.
        cancel_s: Time after the end of a batch within which its requests
            stop being sent.
        retention_s: Time for which an ended batch can still be read.
        evacuate_s: Time until an evacuation of a zone is in effect.
        cold_overage: Factor by which a cold server may exceed its requests per
            second (not a time).
        cold_slack: Requests by which it may exceed them in addition (not a
            time).
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
    evacuate_s: float = 5.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0


@attrs.frozen
class ProcessSettings:
    """The settings of one process.

    Attributes:
        node: Name of the node.
        role: Name of the role that the process runs.
        zone: Availability zone of the node.
        callers: ``host:port`` to listen on for callers; empty for none.
        readiness: ``host:port`` to listen on for readiness probes; empty for
            none.
        peers: ``host:port`` to listen on for other nodes; empty for none.
        store: ``host:port`` of the shared store.
        cloud: ``host:port`` of the API for server orders and usage reports.
        seeds: Addresses of the first peers to contact.
        min_lease_s: Shortest lease that the store grants, in seconds.
        value_bytes: Largest value that the store accepts, in bytes.
        heartbeat_s: Interval at which a backend server updates its entry.
        reports_usage: Whether to send usage reports.
        orders_servers: Whether to order servers.
        bounds: Time limits.
        zone_regions: The region of each zone, including the node's own; empty
            if there are no regions.
        capacity_cores: Processor capacity of the node's VM, in cores of normal
            speed; None if it is not configured.
        memory_mb: Memory of the node's VM in megabytes; 0 if it is not
            configured.
        clients: Limits on the memory and the connections of clients.
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
    zone_regions: dict[str, str] = attrs.field(factory=dict)
    capacity_cores: float | None = None
    memory_mb: float = 0.0
    clients: clientlimits.ClientLimits = attrs.field(
        factory=clientlimits.derive
    )
