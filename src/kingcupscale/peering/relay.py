"""Following another node's mirror instead of the store.

A node that leads a duty watches the store; the others follow its mirror. So
the store's calls do not grow with the number of nodes, results reach readers
without a pause, and a node that the store turns away still learns of changes.
"""

import base64
from typing import Protocol

import orjson
import trio

from kingcupscale import errors
from kingcupscale.storage import changelog
from kingcupscale.storage import feed as feeds
from kingcupscale.storage import store as stores
from kingcupscale.web import exchange
from kingcupscale.web import message

PATH = "/relay"
# A follower waits this long for news; an answer that takes longer than this
# and the margin means that the other node is gone.
WAIT_S = 0.5
MARGIN_S = 0.3
CONNECT_S = 0.25
STATUS_BEHIND = 410
# Encoded changes kept; all followers ask for the latest ones.
ENCODED_KEPT = 100


class RelayError(Exception):
    """A node that cannot be followed at the moment."""


class FollowedTooLateError(RelayError):
    """A node that no longer knows the changes that a follower lacks."""


class RelayClient(Protocol):
    """Asks other nodes for changes."""

    async def follow(
        self, address: str, position: changelog.Position
    ) -> changelog.Changes:
        """Returns changes past a position, waiting for the first.

        Raises:
            RelayError: If the node does not answer as it should.
        """
        ...


class HttpRelayClient:
    """A ``RelayClient`` over HTTP.

    Args:
        exchanger: Carries the calls.
    """

    def __init__(self, exchanger: exchange.Exchanger) -> None:
        self.exchanger = exchanger

    async def follow(
        self, address: str, position: changelog.Position
    ) -> changelog.Changes:
        """Returns changes past a position, waiting for the first."""
        query = f"{position.log or '-'}/{position.number}/{position.revision}"
        request = message.Request(
            "GET", f"{PATH}/{query}", "", {"host": address}
        )
        request.connect_timeout_s = CONNECT_S
        try:
            response = await exchange.fetch(
                self.exchanger, address, request, WAIT_S + MARGIN_S
            )
        except exchange.ExchangeError as e:
            raise RelayError(e.reason) from e
        if response.status == STATUS_BEHIND:
            raise FollowedTooLateError(f"too far behind {address}")
        if response.status != 200:
            raise RelayError(f"status {response.status}")
        try:
            return _decode(response.body)
        except (ValueError, KeyError, TypeError) as e:
            raise RelayError(f"unreadable answer: {e!r}") from e


class RelayHandler:
    """Answers followers from this node's mirror.

    Args:
        feed: The mirror.
    """

    def __init__(self, feed: feeds.Feed) -> None:
        self.feed = feed
        self.encoded: dict[tuple[str, int], bytes] = {}

    async def __call__(self, request: message.Request) -> message.Response:
        """Returns changes past the position that the path names."""
        position = _decode_position(request.path)
        found = self.feed.log.since(position)
        if found is None or self.feed.current_at < 0:
            return message.Response(STATUS_BEHIND)
        if not found:
            await self._wait_for_change(position)
            # Read once more: a change may have come as the wait ended, and the
            # position that is told must not pass it.
            found = self.feed.log.since(position)
            if found is None:
                return message.Response(STATUS_BEHIND)
        return message.Response(
            200, {"content-type": "application/json"}, self._encode(found)
        )

    async def _wait_for_change(self, position: changelog.Position) -> None:
        with trio.move_on_after(WAIT_S):
            while self.feed.log.since(position) == []:
                await self.feed.changed.wait()

    def _encode(self, entries: list[stores.Entry]) -> bytes:
        return orjson.dumps(
            {
                "log": self.feed.log.id,
                "number": self.feed.log.number,
                "revision": self.feed.revision,
                "age_s": self.feed.age_s(),
                "entries": [self._encode_once(entry) for entry in entries],
            }
        )

    def _encode_once(self, entry: stores.Entry) -> orjson.Fragment:
        """Returns an entry's encoding, kept for the other followers."""
        place = (entry.key, entry.revision)
        encoded = self.encoded.get(place)
        if encoded is None:
            encoded = orjson.dumps(_fields_of(entry))
            self.encoded[place] = encoded
            while len(self.encoded) > ENCODED_KEPT:
                del self.encoded[next(iter(self.encoded))]
        return orjson.Fragment(encoded)


def _fields_of(entry: stores.Entry) -> list[str | int | None]:
    value = entry.value
    text = None if value is None else base64.b64encode(value).decode()
    return [entry.key, text, entry.revision, entry.created]


def _decode_position(path: str) -> changelog.Position:
    parts = path.removeprefix(PATH).strip("/").split("/")
    if len(parts) != 3 or not all(p.isdigit() for p in parts[1:]):
        raise errors.ServiceError(errors.ResultCode.ROUTE_UNKNOWN)
    return changelog.Position(parts[0], int(parts[1]), int(parts[2]))


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
    # An empty answer was kept back for the whole of the wait, so it tells of
    # a later time than that of the question.
    age_s = float(fields["age_s"]) - (0.0 if entries else WAIT_S)
    return changelog.Changes(entries, position, age_s)
