"""Usage counters that only grow and merge without coordination."""

import attrs

Name = tuple[str, str]
Cell = tuple[str, str, str]
Totals = tuple[int, int, int]

NOTHING: Totals = (0, 0, 0)


@attrs.frozen
class Row:
    """The totals of one organisation and class at one incarnation.

    Attributes:
        incarnation: ``node/number`` of the node's run that counted.
        organisation: Label of the organisation.
        service_class: Name of the class.
        totals: Requests, prompt tokens and generated tokens since the start
            of that run.
    """

    incarnation: str
    organisation: str
    service_class: str
    totals: list[int]

    @property
    def cell(self) -> Cell:
        """Incarnation, organisation and class."""
        return (self.incarnation, self.organisation, self.service_class)

    def as_totals(self) -> Totals:
        """Returns the totals as counters hold them."""
        return (self.totals[0], self.totals[1], self.totals[2])


@attrs.frozen
class Copy:
    """Rows that travel between nodes."""

    rows: list[Row]


class Counters:
    """The totals of all incarnations known to one node.

    Each cell is written by one incarnation only and only grows, so merging
    takes the larger value and any order of arrival gives the same.

    Args:
        incarnation: The node's own.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.cells: dict[Cell, Totals] = {}

    def add(
        self,
        organisation: str,
        service_class: str,
        requests: int = 0,
        prompt_tokens: int = 0,
        generated_tokens: int = 0,
    ) -> None:
        """Counts something this node served."""
        cell = (self.incarnation, organisation, service_class)
        old = self.cells.get(cell, NOTHING)
        self.cells[cell] = (
            old[0] + requests,
            old[1] + prompt_tokens,
            old[2] + generated_tokens,
        )

    def merge(self, copy: Copy) -> None:
        """Takes in rows from another node."""
        for row in copy.rows:
            known = self.cells.get(row.cell)
            self.cells[row.cell] = larger(known, row.as_totals())

    def copy(self, known: dict[Cell, Totals]) -> Copy:
        """Returns the rows that differ from what a receiver knows."""
        return Copy(
            [
                Row(*cell, list(totals))
                for cell, totals in sorted(self.cells.items())
                if known.get(cell) != totals
            ]
        )


def larger(known: Totals | None, heard: Totals) -> Totals:
    """Returns the larger of two readings of one cell."""
    if known is None:
        return heard
    return (
        max(known[0], heard[0]),
        max(known[1], heard[1]),
        max(known[2], heard[2]),
    )
