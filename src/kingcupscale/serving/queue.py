"""A queue ordered by priority, then fairly among organisations."""

import collections
from typing import Generic
from typing import TypeVar

import attrs

T = TypeVar("T")


@attrs.define(eq=False)
class Entry(Generic[T]):
    """A queued item.

    Attributes:
        item: The queued item.
        priority: Items of a higher priority are served first.
        organisation: The organisation that the item belongs to.
        cost: Expected cost in tokens.
    """

    item: T
    priority: int
    organisation: str
    cost: float


class FairQueue(Generic[T]):
    """Serves the highest priority first, and fairly within a priority.

    Implements start-time fair queueing: each organisation has a virtual time
    that advances by the cost of its served items, and the organisation with
    the lowest virtual time is served next. An organisation that was idle
    continues no earlier than at the virtual time of the last served item, so
    that it gets no credit for the time it was idle.

    Attributes:
        waiting: Queued entries by priority and organisation.
        virtual_times: Virtual time by priority and organisation.
        min_virtual_times: Virtual time of the last served item, by priority.
        length: Number of queued entries.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, dict[str, collections.deque[Entry[T]]]] = {}
        self.virtual_times: dict[tuple[int, str], float] = {}
        self.min_virtual_times: dict[int, float] = {}
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def count(self, priority: int) -> int:
        """Returns the number of queued entries of a priority."""
        return sum(map(len, self.waiting.get(priority, {}).values()))

    def push(self, entry: Entry[T]) -> None:
        """Appends an entry to the queue of its organisation."""
        queues = self.waiting.setdefault(entry.priority, {})
        if entry.organisation not in queues:
            queues[entry.organisation] = collections.deque()
            self._init_virtual_time(entry.priority, entry.organisation)
        queues[entry.organisation].append(entry)
        self.length += 1

    def _init_virtual_time(self, priority: int, organisation: str) -> None:
        key = (priority, organisation)
        floor = self.min_virtual_times.get(priority, 0.0)
        self.virtual_times[key] = max(self.virtual_times.get(key, 0.0), floor)

    def candidates(self) -> list[Entry[T]]:
        """Returns the first entry of each organisation in order of service."""
        return [
            queues[organisation][0]
            for priority, queues in sorted(self.waiting.items(), reverse=True)
            for organisation in sorted(
                queues,
                key=lambda name: (self.virtual_times[(priority, name)], name),
            )
        ]

    def take(self, entry: Entry[T]) -> None:
        """Removes an entry that is being served and charges its cost."""
        key = (entry.priority, entry.organisation)
        floor = max(
            self.min_virtual_times.get(entry.priority, 0.0),
            self.virtual_times[key],
        )
        self.min_virtual_times[entry.priority] = floor
        self.remove(entry)
        self.charge(entry, entry.cost)

    def remove(self, entry: Entry[T]) -> None:
        """Removes an entry without charging its cost."""
        queues = self.waiting[entry.priority]
        queues[entry.organisation].remove(entry)
        self.length -= 1
        if not queues[entry.organisation]:
            del queues[entry.organisation]
        if not queues:
            del self.waiting[entry.priority]

    def charge(self, entry: Entry[T], cost: float) -> None:
        """Adds a cost to the virtual time of the entry's organisation."""
        key = (entry.priority, entry.organisation)
        self.virtual_times[key] = self.virtual_times.get(key, 0.0) + cost
