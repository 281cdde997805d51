"""Declares the external dependencies that are injected into a node."""

from collections.abc import Callable
import random

import attrs

from kingcupscale import clock as clocks
from kingcupscale.capacity import autoscaler
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.fleet import serverclient
from kingcupscale.peering import announcements
from kingcupscale.peering import commits
from kingcupscale.peering import counts
from kingcupscale.peering import crashreports
from kingcupscale.peering import relay
from kingcupscale.peering import replication
from kingcupscale.peering import weightloads
from kingcupscale.storage import store as stores
from kingcupscale.usage import windows


@attrs.frozen
class Keys:
    """Keys and key prefixes of the platform's entries in the store.

    Attributes:
        configuration: The configuration's key.
        servers: Prefix of the servers' entries.
        versions: Prefix of the target weight versions that trainers set.
        retirements: Prefix of requests to retire a VM.
        retirement_states: Prefix of the responses to these requests.
        evacuations: Prefix of the evacuated zones' keys.
    """

    configuration: str
    servers: str
    versions: str
    retirements: str
    retirement_states: str
    evacuations: str


@attrs.frozen
class Decoders:
    """Functions that decode and encode the values under ``Keys``.

    Decoding raises ``ValueError`` for an invalid value.

    Attributes:
        catalogue: Decodes the configuration.
        server: Decodes a backend server's entry, given the server's id.
        target_version: Decodes a model and its target weight version.
        retirement_state: Encodes the state of a VM's retirement.
    """

    catalogue: Callable[[bytes], catalogue.Catalogue]
    server: Callable[[str, bytes], registry.ServerEntry]
    target_version: Callable[[bytes], tuple[str, int]]
    retirement_state: Callable[[str], bytes]


@attrs.frozen
class Dependencies:
    """The clients and utilities that a node uses, replaceable in tests.

    Attributes:
        store: The shared store.
        servers: Calls backend servers.
        intake: Receives usage reports.
        provider: Receives orders for servers.
        clock: Source of time.
        rng: Source of random choices and jitter.
        relay: Reads changes of the store from other nodes.
        commits: Writes to the store through other nodes.
        copies: Sends copies of unfinished texts to other nodes.
        loads: Sends the state of engines' weight loads to other nodes.
        counts: Sends usage counts to the node that reports usage.
        announcements: Announces batches to the nodes that run them.
        crash_reports: Tells other nodes about requests that crash servers.
        keys: Keys of the platform's entries in the store.
        decoders: Decode and encode these entries.
    """

    store: stores.Store
    servers: serverclient.ServerClient
    intake: windows.Intake
    provider: autoscaler.Provider
    clock: clocks.Clock
    rng: random.Random
    relay: relay.RelayClient
    commits: commits.CommitClient
    copies: replication.ReplicationClient
    loads: weightloads.WeightLoadClient
    counts: counts.CountsClient
    announcements: announcements.AnnouncementClient
    crash_reports: crashreports.CrashReportClient
    keys: Keys
    decoders: Decoders
