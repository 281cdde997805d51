"""Order of service: class priority, then fairness among organisations."""

import collections
from typing import Generic
from typing import TypeVar

import attrs

T = TypeVar("T")


@attrs.define(eq=False)
class Entry(Generic[T]):
    """Something that waits.

    Attributes:
        item: What waits.
        priority: Higher is served first.
        organisation: Whose it is.
        cost: Tokens it is expected to take.
    """

    item: T
    priority: int
    organisation: str
    cost: float


class FairQueue(Generic[T]):
    """Serves the highest priority, and in it whoever was served least.

    Each organisation has a virtual time that grows by the tokens it is
    served. One that comes back after a pause starts at the virtual time of
    the last service, so that it cannot save up.
    """

    def __init__(self) -> None:
        self.waiting: dict[int, dict[str, collections.deque[Entry[T]]]] = {}
        self.served: dict[tuple[int, str], float] = {}
        self.floor: dict[int, float] = {}
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def count(self, priority: int) -> int:
        """Returns how many wait at a priority."""
        return sum(map(len, self.waiting.get(priority, {}).values()))

    def push(self, entry: Entry[T]) -> None:
        """Adds an entry behind those of its organisation."""
        queues = self.waiting.setdefault(entry.priority, {})
        if entry.organisation not in queues:
            queues[entry.organisation] = collections.deque()
            self._start(entry.priority, entry.organisation)
        queues[entry.organisation].append(entry)
        self.length += 1

    def _start(self, priority: int, organisation: str) -> None:
        key = (priority, organisation)
        floor = self.floor.get(priority, 0.0)
        self.served[key] = max(self.served.get(key, 0.0), floor)

    def candidates(self) -> list[Entry[T]]:
        """Returns each organisation's first entry, the next to serve first."""
        return [
            queues[organisation][0]
            for priority, queues in sorted(self.waiting.items(), reverse=True)
            for organisation in sorted(
                queues, key=lambda name: (self.served[(priority, name)], name)
            )
        ]

    def take(self, entry: Entry[T]) -> None:
        """Removes an entry that is served and charges its cost."""
        key = (entry.priority, entry.organisation)
        floor = max(self.floor.get(entry.priority, 0.0), self.served[key])
        self.floor[entry.priority] = floor
        self.remove(entry)
        self.charge(entry, entry.cost)

    def remove(self, entry: Entry[T]) -> None:
        """Removes an entry that gives up."""
        queues = self.waiting[entry.priority]
        queues[entry.organisation].remove(entry)
        self.length -= 1
        if not queues[entry.organisation]:
            del queues[entry.organisation]
        if not queues:
            del self.waiting[entry.priority]

    def charge(self, entry: Entry[T], cost: float) -> None:
        """Corrects what an organisation was served, in tokens."""
        key = (entry.priority, entry.organisation)
        self.served[key] = self.served.get(key, 0.0) + cost
