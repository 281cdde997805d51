"""The prompt-prefix cache of a stand-in engine."""

import collections

import attrs

from kingcupscale import hashing
from kingcupscale.web import message

PREFIX_CHARACTERS = 64
EVENTS_KEPT = 1000
EVENTS_LATE = 8


@attrs.frozen
class CacheEvent:
    """A prefix that entered or left the cache.

    Attributes:
        number: Counted up by one; a gap tells of lost events.
        prefix: Digest of the prefix.
        stored: Whether it entered.
    """

    number: int
    prefix: str
    stored: bool


@attrs.frozen
class CacheEvents:
    """The events so far, but for the latest few and every seventh."""

    events: list[CacheEvent]


@attrs.frozen
class CachedPrefix:
    """A prefix with its KV cache, moved between engines."""

    prefix: str
    words: int


class PrefixCache:
    """Remembers the least recently used prefixes up to a limit.

    Args:
        entries: The most prefixes held.

    Attributes:
        hits: Prompts whose prefix was held.
        misses: Prompts whose prefix was not.
    """

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self.number = 0
        self.hits = 0
        self.misses = 0

    def read(self, prompt: str) -> int:
        """Returns how many words of the prompt must be computed."""
        words = len(prompt.split())
        prefix = digest(prompt)
        if prefix in self.prefixes:
            self.hits += 1
            self.prefixes.move_to_end(prefix)
            return 0
        self.misses += 1
        self._store(prefix, words)
        return words

    def _store(self, prefix: str, words: int) -> None:
        self.prefixes[prefix] = words
        self._note(prefix, True)
        while len(self.prefixes) > self.entries:
            self._note(self.prefixes.popitem(last=False)[0], False)

    def _note(self, prefix: str, stored: bool) -> None:
        self.number += 1
        self.events.append(CacheEvent(self.number, prefix, stored))

    async def serve_events(self, _: message.Request) -> message.Response:
        """Answers with events that are late and have gaps."""
        shown = [
            event
            for event in self.events
            if event.number <= self.number - EVENTS_LATE and event.number % 7
        ]
        return message.json_response(CacheEvents(shown))

    async def serve_export(self, request: message.Request) -> message.Response:
        """Answers with a cached prefix, zero words if it is not held."""
        wanted = request.parse(CachedPrefix)
        words = self.prefixes.get(wanted.prefix, 0)
        return message.json_response(CachedPrefix(wanted.prefix, words))

    async def serve_import(self, request: message.Request) -> message.Response:
        """Takes a prefix that another engine exported."""
        given = request.parse(CachedPrefix)
        self._store(given.prefix, given.words)
        return message.json_response(given)


def digest(prompt: str) -> str:
    """Returns the digest under which a prompt's prefix is cached."""
    return hashing.hex64(prompt[:PREFIX_CHARACTERS])
