"""Limits on the memory and the connections that clients may take up."""

import resource

import attrs

_MIB = 1 << 20
# Memory that is assumed for a VM that does not state it.
DEFAULT_MEMORY_MB = 512.0
# The rest is for the interpreter, the mirror of the store, complete batches,
# and the buffers of connections. On the smallest VM (200 MB), three quarters of
# this share hold one body of 32 MiB beside small requests.
MEMORY_SHARE = 0.3
# Connections from clients as a share of the descriptors. A node needs others
# for its own connections to servers, to the store and to other nodes.
CONNECTION_SHARE = 0.75
# Share that one address may take up. A load balancer or a network address
# translation makes all callers come from a few addresses, so the limit only
# leaves a remainder to others.
ADDRESS_SHARE = 0.9
# Each connection costs about 40 kB even when it is idle.
MAX_CONNECTIONS = 4096
MIN_CONNECTIONS = 16


@attrs.frozen
class ClientLimits:
    """Limits of a process, over all of its listeners.

    Attributes:
        memory_bytes: Bytes held for requests that are read or handled.
        address_bytes: The same for the clients of one address.
        connections: Open connections.
        address_connections: Open connections from one address.
        body_bytes_per_s: While memory is scarce, a body that arrives more
            slowly than this is refused.
        body_window_s: Time for which a body must be slower than that.
        wait_s: Time that a request waits for memory before it is refused.
        send_stall_s: Timeout for sending each part of a response.
    """

    memory_bytes: int
    address_bytes: int
    connections: int
    address_connections: int
    body_bytes_per_s: float = 16 * 1024
    # Shorter than the time after which other nodes close a connection whose
    # bytes stay unacknowledged.
    wait_s: float = 1.0
    body_window_s: float = 0.75
    send_stall_s: float = 30.0


def derive(
    memory_mb: float = 0.0,
    max_fds: int = 0,
    budget_mb: float = 0.0,
    connections: int = 0,
    address_share: float = ADDRESS_SHARE,
    **others: float,
) -> ClientLimits:
    """Returns the limits for a VM.

    Args:
        memory_mb: Memory of the VM in MB; 0 if unknown.
        max_fds: Most open descriptors; 0 for the limit of the process.
        budget_mb: Memory for requests in MiB; 0 for a share of the VM's.
        connections: Most open connections; 0 for a share of the descriptors.
        address_share: Share of memory and connections for one address.
        **others: The fields of ``ClientLimits`` that are not derived.
    """
    budget = int(budget_mb * _MIB)
    if not budget:
        memory = (memory_mb or DEFAULT_MEMORY_MB) * 1_000_000
        budget = int(MEMORY_SHARE * memory)
    if not connections:
        descriptors = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        connections = int(CONNECTION_SHARE * descriptors)
        if not 0 < connections < MAX_CONNECTIONS:
            connections = MAX_CONNECTIONS
    connections = max(MIN_CONNECTIONS, connections)
    return ClientLimits(
        memory_bytes=budget,
        address_bytes=int(address_share * budget),
        connections=connections,
        address_connections=max(1, int(address_share * connections)),
        **others,
    )
