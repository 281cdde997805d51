"""Makes the crash records of a node known to all nodes, in two ways.

The node that verified a crash sends the record to every other node, again until
each has accepted it. That needs no store, and reaches nodes that were cut off
or have started since. In addition, it writes the record to the store, from
which all nodes read it, even after this node has ended. Every node passes
blocked requests on to one random node at intervals, in case their first sender
ends while the store is silent.
"""

import random
from typing import Protocol

import attrs
import trio

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale import events
from kingcupscale.crashes import guard as guards
from kingcupscale.crashes import records
from kingcupscale.fleet import registry
from kingcupscale.peering import calls
from kingcupscale.peering import crashreports
from kingcupscale.storage import decoding
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores

PREFIX = "kingcupscale/crashes/"
# Interval at which records are sent to the nodes that have not accepted them.
SEND_INTERVAL_S = 0.5
# Interval at which blocked requests are passed on to a random node.
FORWARD_INTERVAL_S = 1.0
# Nodes that are sent records at the same time.
MAX_CONCURRENT_SENDS = 8
# Most records in one message to another node.
MAX_RECORDS_PER_MESSAGE = 50
# A record of a single crash is not written to the store: most of them belong to
# requests that were cut off along with another one.
MIN_STORED_CRASHES = 2
# A write that failed is retried after this time.
STORE_RETRY_S = 1.0

_converter = codec.make_wire_converter()


class Peers(Protocol):
    """The other nodes."""

    def addresses(self) -> dict[str, str]:
        """Returns the other nodes' addresses by name."""
        ...


@attrs.define(eq=False)
class OwnReport:
    """A record that this node has to make known.

    Attributes:
        accepted: The nodes that have accepted it, with the version of the
            record.
    """

    accepted: dict[str, records.CrashRecord] = attrs.field(factory=dict)


class CrashSharing:
    """Sends the records of a node to others, and receives theirs.

    Args:
        node: Name of this node.
        guard: Keeps the records.
        peers: The other nodes.
        client: Sends records to other nodes.
        store: The shared store.
        mirror: The mirror of the store.
        clock: The clock.
        rng: Chooses the node to pass records on to.

    Attributes:
        own: What this node has verified, by fingerprint.
        unwritten: Fingerprints of the records to write to the store.
    """

    def __init__(
        self,
        node: str,
        guard: guards.CrashGuard[registry.Server],
        peers: Peers,
        client: crashreports.CrashReportClient,
        store: stores.Store,
        mirror: mirrors.StoreMirror,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.guard = guard
        self.records = guard.records
        self.peers = peers
        self.client = client
        self.store = store
        self.mirror = mirror
        self.clock = clock
        self.rng = rng
        self.own: dict[str, OwnReport] = {}
        self.unwritten: set[str] = set()
        self.has_records = trio.Event()
        self.has_unwritten = trio.Event()
        guard.on_change = self._note_change
        mirror.subscribe(PREFIX, self._apply_entry)

    def _note_change(self, fingerprint: str) -> None:
        self.own.setdefault(fingerprint, OwnReport())
        self.unwritten.add(fingerprint)
        self.has_unwritten.set()
        self.has_records.set()

    def receive(self, reports: crashreports.CrashReports) -> None:
        """Merges the records that another node has sent."""
        for record in reports.records[:MAX_RECORDS_PER_MESSAGE]:
            self._merge(record, reports.sender)

    def _apply_entry(self, entry: stores.Entry) -> None:
        """Merges a record from the store.

        The removal of an entry means nothing: each node removes records by
        their age.
        """
        if not entry.value:
            return
        record = decoding.decode_entry(entry, _decode)
        if record is not None and entry.key == PREFIX + record.fingerprint:
            self._merge(record, "store")

    def _merge(self, record: records.CrashRecord, source: str) -> None:
        if self.guard.merge(record, source):
            self.has_records.set()

    async def run(self) -> None:
        """Shares records until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_forever)
            nursery.start_soon(self._forward_forever)
            while True:
                await self._wait_for_records()
                self._remove_expired()
                await self.send_own()
                await self.clock.sleep_aligned(SEND_INTERVAL_S)

    async def _wait_for_records(self) -> None:
        while not self.records.records:
            await self.has_records.wait()
            self.has_records = trio.Event()

    def _remove_expired(self) -> None:
        self.guard.remove_expired()
        for fingerprint in self.own.keys() - self.records.records.keys():
            del self.own[fingerprint]

    async def send_own(self) -> None:
        """Sends own records to the nodes that have not accepted them."""
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_SENDS)
        async with trio.open_nursery() as nursery:
            for name, address in self.peers.addresses().items():
                missing = [
                    record
                    for record in self._own_records()
                    if self.own[record.fingerprint].accepted.get(name) != record
                ]
                if missing:
                    nursery.start_soon(
                        self._send, name, address, missing, limiter
                    )

    def _own_records(self) -> list[records.CrashRecord]:
        """Returns the own records that are still kept."""
        return [
            self.records.records[fingerprint]
            for fingerprint in self.own
            if fingerprint in self.records.records
        ]

    async def _send(
        self,
        name: str,
        address: str,
        missing: list[records.CrashRecord],
        limiter: trio.CapacityLimiter,
    ) -> None:
        """Sends records to one node; a failure is retried later."""
        sent = missing[:MAX_RECORDS_PER_MESSAGE]
        try:
            async with limiter:
                await self.client.send(
                    address, crashreports.CrashReports(self.node, sent)
                )
        except calls.PeerError as e:
            events.log(events.Event.CRASHES_UNSENT, peer=name, reason=e.reason)
            return
        for record in sent:
            report = self.own.get(record.fingerprint)
            if report is not None:
                report.accepted[name] = record

    async def _forward_forever(self) -> None:
        """Passes blocked requests on to random nodes."""
        limiter = trio.CapacityLimiter(1)
        while True:
            await self._wait_for_records()
            blocked = self.records.blocked()
            addresses = sorted(self.peers.addresses().items())
            if blocked and addresses:
                name, address = self.rng.choice(addresses)
                await self._send(name, address, blocked, limiter)
            await self.clock.sleep_aligned(FORWARD_INTERVAL_S)

    async def _write_forever(self) -> None:
        """Writes own records to the store, again until that succeeds."""
        while True:
            if not self.unwritten:
                self.has_unwritten = trio.Event()
                await self.has_unwritten.wait()
            # The record may change while it is written; it is written again
            # then.
            fingerprint = self.unwritten.pop()
            try:
                await self._write(fingerprint)
            except (stores.StoreError, stores.LeaseEndedError) as e:
                self.unwritten.add(fingerprint)
                events.log(
                    events.Event.STORE_FAILED,
                    node=self.node,
                    reason=f"crash record: {e}",
                )
                await self.clock.sleep(STORE_RETRY_S)

    async def _write(self, fingerprint: str) -> None:
        """Writes one record, merged with the one in the store.

        It gets a lease as long as its retention, so that the store removes it.

        Raises:
            StoreError: If the store does not respond.
            LeaseEndedError: If the lease has expired meanwhile.
        """
        key = PREFIX + fingerprint
        while True:
            stored = await self.store.get(key)
            if stored is not None:
                self._apply_entry(stored)
            record = self.records.records.get(fingerprint)
            is_minor = (
                record is None or len(record.crashes) < MIN_STORED_CRASHES
            )
            if record is None or (stored is None and is_minor):
                return
            lease = await self.store.grant(records.RETENTION_S)
            revision = stores.ABSENT if stored is None else stored.revision
            put = stores.Put(key, _converter.dumps(record), lease)
            is_written = await self.store.commit(
                stores.Transaction([stores.Condition(key, revision)], [put])
            )
            if is_written is not None:
                return


def _decode(value: bytes) -> records.CrashRecord:
    """Returns the record that a stored value encodes.

    Raises:
        ValueError: If the value is not JSON.
        cattrs.BaseValidationError: If its structure does not match.
    """
    return _converter.loads(value, records.CrashRecord)
