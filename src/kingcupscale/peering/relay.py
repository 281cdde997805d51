"""Following another node's mirror instead of the store.

A node that leads a duty watches the store; the others follow its mirror. So
the store's calls do not grow with the number of nodes, results reach readers
without a pause, and a node that the store turns away still learns of changes.
Texts are most of what changes, so a follower names the batches that it wants
to know in full; of the others it is told the keys only.
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
# A follower waits this long for news; an answer that takes longer than this
# and the margin means that the other node is gone.
LONG_POLL_S = 0.5
LONG_POLL_MARGIN_S = 0.3
# A whole batch with its texts takes a while on a narrow link.
COPY_TIMEOUT_S = 1.0
# A node that lives answers at once.
PROBE_TIMEOUT_S = 0.5
STATUS_UNKNOWN = 404
STATUS_TOO_FAR_BEHIND = 410
# Encoded changes kept; all followers ask for the latest ones.
MAX_CACHED_ENCODINGS = 100
# Stands for a value that the follower does not want to know.
OMITTED_VALUE = b""


class RelayError(Exception):
    """A node that cannot be followed at the moment."""


class TooFarBehindError(RelayError):
    """A node that no longer knows the changes that a follower lacks."""


@attrs.frozen
class FollowRequest:
    """What a follower asks.

    Attributes:
        log: Log that it has read from; empty for none.
        number: Number of the last change that it has read.
        revision: Store revision up to which it knows everything.
        everything: Whether it wants all batches in full.
        models: Models whose batches it wants in full.
        batches: Single batches that it wants in full.
    """

    log: str
    number: int
    revision: int
    everything: bool
    models: list[str]
    batches: list[str]

    def position(self) -> changelog.Position:
        """Returns how far the follower has read."""
        return changelog.Position(self.log, self.number, self.revision)

    def interest(self) -> interests.Interest:
        """Returns the batches that it wants."""
        return interests.Interest(
            self.everything, frozenset(self.models), frozenset(self.batches)
        )


@attrs.frozen
class CopyRequest:
    """Asks for all that a node knows of a batch."""

    batch: str


@attrs.frozen
class Probe:
    """Asks whether a node lives."""


class RelayClient(Protocol):
    """Asks other nodes for changes."""

    async def follow(
        self,
        address: str,
        position: changelog.Position,
        interest: interests.Interest,
    ) -> changelog.Changes:
        """Returns changes past a position, waiting for the first wanted one.

        Raises:
            RelayError: If the node does not answer as it should.
        """
        ...

    async def fetch_batch(
        self, address: str, batch_id: str
    ) -> records.RecordSnapshot | None:
        """Returns a batch as another node knows it; None if it does not.

        Raises:
            PeerError: If the node does not answer as it should.
        """
        ...

    async def probe(self, address: str) -> None:
        """Asks a node whether it lives.

        Raises:
            PeerError: If it does not answer.
        """
        ...


class HttpRelayClient:
    """A ``RelayClient`` over HTTP.

    Args:
        http_client: Carries the calls.
    """

    def __init__(self, http_client: httpclient.HttpClient) -> None:
        self.http_client = http_client

    async def follow(
        self,
        address: str,
        position: changelog.Position,
        interest: interests.Interest,
    ) -> changelog.Changes:
        """Returns changes past a position, waiting for the first wanted one."""
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
                self.http_client, address, PATH, follow_request, timeout_s
            )
        except calls.PeerError as e:
            if e.status == STATUS_TOO_FAR_BEHIND:
                raise TooFarBehindError(f"too far behind {address}") from e
            raise RelayError(e.reason) from e
        try:
            return _decode(body)
        except (ValueError, KeyError, TypeError) as e:
            raise RelayError(f"unreadable answer: {e!r}") from e

    async def fetch_batch(
        self, address: str, batch_id: str
    ) -> records.RecordSnapshot | None:
        """Returns a batch as another node knows it; None if it does not."""
        try:
            body = await calls.post(
                self.http_client,
                address,
                COPY_PATH,
                CopyRequest(batch_id),
                COPY_TIMEOUT_S,
            )
        except calls.PeerError as e:
            if e.status == STATUS_UNKNOWN:
                return None
            raise
        return calls.decode_answer(body, records.RecordSnapshot)

    async def probe(self, address: str) -> None:
        """Asks a node whether it lives."""
        await calls.post(
            self.http_client, address, PROBE_PATH, Probe(), PROBE_TIMEOUT_S
        )


class BatchIndex(Protocol):
    """What a node knows of the batches that followers ask for."""

    records: dict[str, records.Record]

    def model_of(self, batch_id: str) -> str | None:
        """Returns the model that a batch trains, if that is known."""
        ...

    async def load(
        self, batch_id: str, is_read: bool, asks_nodes: bool
    ) -> records.Record | None:
        """Has a batch known in full; None if it does not exist.

        Raises:
            ServiceError: If that cannot be known.
        """
        ...


class RelayHandler:
    """Answers followers from this node's mirror.

    Args:
        mirror: The mirror.
        batch_cache: The batches.
    """

    def __init__(
        self, mirror: mirrors.StoreMirror, batch_cache: BatchIndex
    ) -> None:
        self.mirror = mirror
        self.batch_cache = batch_cache
        self.encoding_cache: dict[tuple[str, int], bytes] = {}

    async def __call__(self, request: message.Request) -> message.Response:
        """Answers a follower."""
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
        asked_at = self.mirror.clock.monotonic()
        with trio.move_on_after(LONG_POLL_S):
            await self._wait_for_wanted_change(position, interest)
        # Read after the wait: a change may have come as it ended, and the
        # position that is told must not pass it.
        found = self.mirror.log.since(position)
        if found is None or any(self._lacks_value(e, interest) for e in found):
            return message.Response(STATUS_TOO_FAR_BEHIND)
        return message.Response(
            200,
            {"content-type": "application/json"},
            self._encode(found, interest, asked_at - self.mirror.current_at),
        )

    async def _serve_batch(self, copy_request: CopyRequest) -> message.Response:
        record = self.batch_cache.records.get(copy_request.batch)
        if record is None and not self.mirror.is_following:
            # The others ask here, so that one node reads it for all of them.
            record = await self.batch_cache.load(
                copy_request.batch, is_read=True, asks_nodes=False
            )
        if record is None or not record.is_current:
            return message.Response(STATUS_UNKNOWN)
        return message.Response(
            200,
            {"content-type": "application/json"},
            calls.encode(record.snapshot(self.mirror.revision)),
        )

    async def _wait_for_wanted_change(
        self, position: changelog.Position, interest: interests.Interest
    ) -> None:
        """Waits for a change that the follower wants, or that is lost."""
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
        """Tells whether a follower wants to know a change in full."""
        batch_id = records.batch_id_of(entry.key)
        if batch_id is None:
            return True
        model = self.batch_cache.model_of(batch_id)
        return model is None or interest.includes(batch_id, model)

    def _lacks_value(
        self, entry: stores.Entry, interest: interests.Interest
    ) -> bool:
        """Tells whether a value is wanted that this node was not told."""
        return (
            entry.value == OMITTED_VALUE
            and records.batch_id_of(entry.key) is not None
            and self._is_wanted(entry, interest)
        )

    def _encode(
        self,
        entries: list[stores.Entry],
        interest: interests.Interest,
        age_s: float,
    ) -> bytes:
        return orjson.dumps(
            {
                "log": self.mirror.log.id,
                "number": self.mirror.log.number,
                "revision": self.mirror.revision,
                "age_s": age_s,
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
        return self._encode_once(entry)

    def _encode_once(self, entry: stores.Entry) -> orjson.Fragment:
        """Returns an entry's encoding, kept for the other followers."""
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
        entries, position, float(fields["age_s"]), int(fields["checksum"])
    )
