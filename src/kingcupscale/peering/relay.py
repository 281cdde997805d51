"""Relays changes of the store from one node's mirror to its followers.

The nodes that lead a service watch the store; the other nodes follow one of
their mirrors by long polls. The load on the store therefore does not grow with
the number of nodes, results reach readers without a polling delay, and a node
that cannot reach the store still receives changes. Most of the data are texts
of batches, so a follower names the batches that it needs in full; for the
others it receives keys without values.
"""

import base64
from typing import Protocol

import attrs
import orjson
import trio

from kingcupscale.batches import interest as interests
from kingcupscale.batches import record as records
from kingcupscale.peering import calls
from kingcupscale.storage import changelog
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores
from kingcupscale.web import httpclient
from kingcupscale.web import message

PATH = "/relay"
COPY_PATH = "/relay-copy"
PROBE_PATH = "/alive"
# A long poll ends after this time without a change. If the response takes
# longer than this plus the margin, the other node is down.
LONG_POLL_S = 0.5
LONG_POLL_MARGIN_S = 0.3
# A whole batch with its texts takes some time on a link of low bandwidth.
COPY_TIMEOUT_S = 1.0
# A running node responds to a probe at once.
PROBE_TIMEOUT_S = 0.5
STATUS_BATCH_UNKNOWN = 404
STATUS_TOO_FAR_BEHIND = 410
# Size of the cache of encoded changes; all followers request the latest ones.
MAX_CACHED_ENCODINGS = 100
# Largest time since a mirror received changes that is sent; JSON has no
# infinity.
MAX_ADVANCED_S = 3600.0
# Sent in place of a value that the follower does not need.
OMITTED_VALUE = b""


class RelayError(Exception):
    """A node cannot be followed at present."""


class TooFarBehindError(RelayError):
    """The followed node no longer has the changes that the follower lacks."""


@attrs.frozen
class FollowRequest:
    """A follower's request for changes.

    Attributes:
        log: Id of the change log that it has read from; empty for none.
        number: Number of the last change that it has read.
        revision: Store revision up to which it has all changes.
        everything: Whether it needs all batches in full.
        models: Models whose batches it needs in full.
        batches: Ids of other batches that it needs in full.
    """

    log: str
    number: int
    revision: int
    everything: bool
    models: list[str]
    batches: list[str]

    def position(self) -> changelog.Position:
        """Returns the follower's position in the change log."""
        return changelog.Position(self.log, self.number, self.revision)

    def interest(self) -> interests.Interest:
        """Returns the batches that the follower needs in full."""
        return interests.Interest(
            self.everything, frozenset(self.models), frozenset(self.batches)
        )


@attrs.frozen
class CopyRequest:
    """Requests a node's state of a batch, in full."""

    batch: str


@attrs.frozen
class Probe:
    """Checks whether a node is running."""


class RelayClient(Protocol):
    """Reads changes from other nodes."""

    async def follow(
        self,
        address: str,
        position: changelog.Position,
        interest: interests.Interest,
    ) -> changelog.Changes:
        """Returns changes after a position; waits for one of interest.

        Raises:
            RelayError: If the node cannot be followed.
        """
        ...

    async def fetch_batch(
        self, address: str, batch_id: str
    ) -> records.RecordSnapshot | None:
        """Returns another node's state of a batch; None if it has none.

        Raises:
            PeerError: If the call fails.
        """
        ...

    async def probe(self, address: str) -> None:
        """Checks whether a node is running.

        Raises:
            PeerError: If it does not respond.
        """
        ...


class HttpRelayClient:
    """A ``RelayClient`` over HTTP.

    Args:
        http_client: Sends the requests.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def follow(
        self,
        address: str,
        position: changelog.Position,
        interest: interests.Interest,
    ) -> changelog.Changes:
        """Returns changes after a position; waits for one of interest."""
        follow_request = FollowRequest(
            position.log,
            position.number,
            position.revision,
            interest.everything,
            sorted(interest.models),
            sorted(interest.batches),
        )
        timeout_s = LONG_POLL_S + LONG_POLL_MARGIN_S
        try:
            body = await calls.post(
                self.http_client,
                address,
                PATH,
                follow_request,
                timeout_s,
                httpclient.MAX_BODY_BYTES,
            )
        except calls.PeerError as e:
            if e.status == STATUS_TOO_FAR_BEHIND:
                raise TooFarBehindError(
                    f"{address} no longer has the needed changes"
                ) from e
            raise RelayError(e.reason) from e
        try:
            return _decode(body)
        except (ValueError, KeyError, TypeError) as e:
            raise RelayError(f"invalid response: {e!r}") from e

    async def fetch_batch(
        self, address: str, batch_id: str
    ) -> records.RecordSnapshot | None:
        """Returns another node's state of a batch; None if it has none."""
        try:
            body = await calls.post(
                self.http_client,
                address,
                COPY_PATH,
                CopyRequest(batch_id),
                COPY_TIMEOUT_S,
                httpclient.MAX_BODY_BYTES,
            )
        except calls.PeerError as e:
            if e.status == STATUS_BATCH_UNKNOWN:
                return None
            raise
        return calls.decode_response(body, records.RecordSnapshot)

    async def probe(self, address: str) -> None:
        """Checks whether a node is running."""
        await calls.post(
            self.http_client, address, PROBE_PATH, Probe(), PROBE_TIMEOUT_S
        )


class BatchIndex(Protocol):
    """A node's batches, as needed to answer followers."""

    records: dict[str, records.Record]

    def model_of(self, batch_id: str) -> str | None:
        """Returns the model that a batch trains, or None if unknown."""
        ...

    async def load(
        self, batch_id: str, is_read: bool, asks_nodes: bool
    ) -> records.Record | None:
        """Returns a batch loaded in full, or None if it does not exist.

        Raises:
            ServiceError: If the store cannot be read.
        """
        ...

    async def confirm(self, record: records.Record) -> bool:
        """Returns whether a record is as complete as the store."""
        ...


class RelayHandler:
    """Serves followers from this node's mirror.

    Args:
        mirror: The mirror of the store.
        batch_cache: Cache of the batches.
    """

    def __init__(
        self, mirror: mirrors.StoreMirror, batch_cache: BatchIndex
    ) -> None:
        self.mirror = mirror
        self.batch_cache = batch_cache
        self.encoding_cache: dict[tuple[str, int], bytes] = {}

    async def __call__(self, request: message.Request) -> message.Response:
        """Handles a request of another node."""
        if request.path == PROBE_PATH:
            return message.Response(200)
        if request.path == COPY_PATH:
            return await self._serve_batch(
                calls.decode(request.body, CopyRequest)
            )
        follow_request = calls.decode(request.body, FollowRequest)
        position, interest = (
            follow_request.position(),
            follow_request.interest(),
        )
        if self.mirror.current_at < 0:
            return message.Response(STATUS_TOO_FAR_BEHIND)
        requested_at = self.mirror.clock.monotonic()
        with trio.move_on_after(LONG_POLL_S):
            await self._wait_for_wanted_change(position, interest)
        # Read the log after the wait: a change may have been added as the wait
        # ended, and the position in the response must not skip it.
        found = self.mirror.log.since(position)
        if found is None or any(self._lacks_value(e, interest) for e in found):
            return message.Response(STATUS_TOO_FAR_BEHIND)
        return message.Response(
            200,
            {"content-type": "application/json"},
            self._encode(found, interest, requested_at),
        )

    async def _serve_batch(self, copy_request: CopyRequest) -> message.Response:
        record = self.batch_cache.records.get(copy_request.batch)
        if record is None and not self.mirror.is_following:
            # Other nodes request batches here, so that one node reads each from
            # the store for all of them.
            record = await self.batch_cache.load(
                copy_request.batch, is_read=True, asks_nodes=False
            )
        if record is None or not await self.batch_cache.confirm(record):
            return message.Response(STATUS_BATCH_UNKNOWN)
        return message.Response(
            200,
            {"content-type": "application/json"},
            calls.encode(record.snapshot(self.mirror.revision)),
        )

    async def _wait_for_wanted_change(
        self, position: changelog.Position, interest: interests.Interest
    ) -> None:
        """Waits until the log has a change of interest, or has dropped one."""
        scanned_to = position
        while True:
            found = self.mirror.log.since(scanned_to)
            if found is None or any(
                self._is_wanted(e, interest) for e in found
            ):
                return
            log = self.mirror.log
            scanned_to = changelog.Position(
                log.id, log.number, scanned_to.revision
            )
            await self.mirror.changed.wait()

    def _is_wanted(
        self, entry: stores.Entry, interest: interests.Interest
    ) -> bool:
        """Returns whether a follower needs a change in full."""
        batch_id = records.batch_id_of(entry.key)
        if batch_id is None:
            return True
        model = self.batch_cache.model_of(batch_id)
        return model is None or interest.includes(batch_id, model)

    def _lacks_value(
        self, entry: stores.Entry, interest: interests.Interest
    ) -> bool:
        """Returns whether this node lacks a value that the follower needs."""
        return (
            entry.value == OMITTED_VALUE
            and records.batch_id_of(entry.key) is not None
            and self._is_wanted(entry, interest)
        )

    def _encode(
        self,
        entries: list[stores.Entry],
        interest: interests.Interest,
        requested_at: float,
    ) -> bytes:
        advanced_s = requested_at - self.mirror.advanced_at
        return orjson.dumps(
            {
                "log": self.mirror.log.id,
                "number": self.mirror.log.number,
                "revision": self.mirror.revision,
                "age_s": requested_at - self.mirror.current_at,
                "advanced_s": min(advanced_s, MAX_ADVANCED_S),
                "unreachable": self.mirror.is_unreachable,
                "checksum": str(self.mirror.checksum),
                "entries": [self._encode_one(e, interest) for e in entries],
            }
        )

    def _encode_one(
        self, entry: stores.Entry, interest: interests.Interest
    ) -> orjson.Fragment | list[str | int | None]:
        if entry.value and not self._is_wanted(entry, interest):
            omitted = attrs.evolve(entry, value=OMITTED_VALUE)
            return _fields_of(omitted)
        return self._encode_cached(entry)

    def _encode_cached(self, entry: stores.Entry) -> orjson.Fragment:
        """Returns an entry's encoding, cached for the other followers."""
        cache_key = (entry.key, entry.revision)
        encoded = self.encoding_cache.get(cache_key)
        if encoded is None:
            encoded = orjson.dumps(_fields_of(entry))
            self.encoding_cache[cache_key] = encoded
            while len(self.encoding_cache) > MAX_CACHED_ENCODINGS:
                del self.encoding_cache[next(iter(self.encoding_cache))]
        return orjson.Fragment(encoded)


def _fields_of(entry: stores.Entry) -> list[str | int | None]:
    value = entry.value
    text = None if value is None else base64.b64encode(value).decode()
    return [entry.key, text, entry.revision, entry.created]


def _decode(body: bytes) -> changelog.Changes:
    fields = orjson.loads(body)
    entries = [
        stores.Entry(
            key,
            None if value is None else base64.b64decode(value),
            int(revision),
            int(created),
        )
        for key, value, revision, created in fields["entries"]
    ]
    position = changelog.Position(
        fields["log"], int(fields["number"]), int(fields["revision"])
    )
    return changelog.Changes(
        entries,
        position,
        float(fields["age_s"]),
        int(fields["checksum"]),
        # A node of an earlier release does not send these fields.
        float(fields.get("advanced_s", MAX_ADVANCED_S)),
        bool(fields.get("unreachable", True)),
    )
