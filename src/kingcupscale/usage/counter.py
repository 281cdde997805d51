"""Grow-only usage counters, which nodes merge without coordination.

Each node counts what it serves and holds the counters of other nodes as well.
Merging takes the maximum per counter (a state-based grow-only counter), so
deltas may arrive late, repeatedly and in any order.
"""

import attrs

# Organisation and service class.
FigureKey = tuple[str, str]
# Incarnation, organisation and service class.
CounterKey = tuple[str, str, str]
# Requests, prompt tokens and generated tokens.
Totals = tuple[int, int, int]

ZERO_TOTALS: Totals = (0, 0, 0)


@attrs.frozen
class Row:
    """The totals that one incarnation counted for an organisation and class.

    Attributes:
        incarnation: ``node/number`` of the run of the node that counted.
        organisation: Label of the organisation.
        service_class: Name of the service class.
        totals: Requests, prompt tokens and generated tokens since the start
            of that run.
    """

    incarnation: str
    organisation: str
    service_class: str
    totals: list[int]

    @property
    def key(self) -> CounterKey:
        """The key of the counter that holds these totals."""
        return (self.incarnation, self.organisation, self.service_class)

    def to_tuple(self) -> Totals:
        """Returns the totals as a tuple."""
        return (self.totals[0], self.totals[1], self.totals[2])


@attrs.frozen
class CounterDelta:
    """Rows that one node sends to another.

    Attributes:
        rows: The rows, ordered by key.
    """

    rows: list[Row]


class Counters:
    """The totals of all incarnations known to one node.

    The totals of a key are increased by one incarnation only and never
    decrease. Merging therefore takes the larger value, and the result does not
    depend on the order in which deltas arrive.

    Args:
        incarnation: The incarnation of this node.

    Attributes:
        totals_by_key: The totals of all known incarnations.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.totals_by_key: dict[CounterKey, Totals] = {}

    def add(
        self,
        organisation: str,
        service_class: str,
        requests: int = 0,
        prompt_tokens: int = 0,
        generated_tokens: int = 0,
    ) -> None:
        """Adds usage that this node served."""
        key = (self.incarnation, organisation, service_class)
        old = self.totals_by_key.get(key, ZERO_TOTALS)
        self.totals_by_key[key] = (
            old[0] + requests,
            old[1] + prompt_tokens,
            old[2] + generated_tokens,
        )

    def merge(self, delta: CounterDelta) -> None:
        """Merges rows from another node."""
        for row in delta.rows:
            known = self.totals_by_key.get(row.key)
            self.totals_by_key[row.key] = merge_totals(known, row.to_tuple())

    def delta(self, known: dict[CounterKey, Totals]) -> CounterDelta:
        """Returns the rows that differ from the totals a receiver has.

        Args:
            known: The receiver's totals; empty to get all rows.
        """
        return CounterDelta(
            [
                Row(*key, list(totals))
                for key, totals in sorted(self.totals_by_key.items())
                if known.get(key) != totals
            ]
        )


def merge_totals(known: Totals | None, received: Totals) -> Totals:
    """Returns the maximum of two values of one counter, per element."""
    if known is None:
        return received
    return (
        max(known[0], received[0]),
        max(known[1], received[1]),
        max(known[2], received[2]),
    )
