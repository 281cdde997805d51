"""Settings of a node's process, independent of the platform's file format."""

import attrs

from kingcupscale.web import clientlimits


@attrs.frozen
class Bounds:
    """Time limits that the deployment requires, in seconds.

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
    clients: clientlimits.ClientLimits = attrs.field(
        factory=clientlimits.derive
    )
