"""What a node on the platform reaches the world by."""

from collections.abc import Callable
import random

import attrs

from kingcupscale import clock as clocks
from kingcupscale.capacity import fleetsize
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.peering import commits
from kingcupscale.peering import counts
from kingcupscale.peering import relay
from kingcupscale.peering import replication
from kingcupscale.peering import weightloads
from kingcupscale.storage import store as stores
from kingcupscale.usage import windows


@attrs.frozen
class Keys:
    """Where operators and servers write in the store.

    Attributes:
        configuration: The configuration's key.
        servers: Prefix of the servers' entries.
        versions: Prefix of the versions that trainers name.
        retirements: Prefix of requests to empty a VM.
        retirement_states: Prefix of the answers to them.
    """

    configuration: str
    servers: str
    versions: str
    retirements: str
    retirement_states: str


@attrs.frozen
class Decoders:
    """How what they write is read; each raises ``ValueError``."""

    catalogue: Callable[[bytes], catalogue.Catalogue]
    server: Callable[[str, bytes], registry.ServerEntry]
    target_version: Callable[[bytes], tuple[str, int]]
    retirement_state: Callable[[str], bytes]


@attrs.frozen
class Dependencies:
    """What a node reaches the world by.

    Attributes:
        store: The shared store.
        servers: Calls backend servers.
        intake: Takes usage reports.
        provider: Takes orders for servers.
        clock: Tells the time.
        rng: Decides among equals.
        relay: Asks other nodes for changes.
        commits: Has other nodes write to the store.
        copies: Sends texts on their way to other nodes.
        loads: Tells other nodes what engines load.
        counts: Tells the node that reports usage what was counted.
        keys: Where operators and servers write.
        decoders: How that is read.
    """

    store: stores.Store
    servers: serverclient.ServerClient
    intake: windows.Intake
    provider: fleetsize.Provider
    clock: clocks.Clock
    rng: random.Random
    relay: relay.RelayClient
    commits: commits.CommitClient
    copies: replication.ReplicationClient
    loads: weightloads.WeightLoadClient
    counts: counts.CountsClient
    keys: Keys
    decoders: Decoders
