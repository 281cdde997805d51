"""Selection of the batches that a node needs with items and results.

A node sends its interest to the node whose changes it follows, which omits the
values of all other batches.
"""

import attrs


@attrs.frozen
class Interest:
    """A filter for the batches whose items and results a node needs.

    Attributes:
        everything: Whether all batches are included.
        models: Models whose batches are included.
        batches: Ids of further batches that are included.
    """

    everything: bool = False
    models: frozenset[str] = frozenset()
    batches: frozenset[str] = frozenset()

    def includes(self, batch_id: str, model: str) -> bool:
        """Returns whether the filter includes a batch of a model."""
        return (
            self.everything or model in self.models or batch_id in self.batches
        )

    def is_wider_than(self, other: "Interest") -> bool:
        """Returns whether it may include a batch that ``other`` excludes."""
        if other.everything:
            return False
        return (
            self.everything
            or not self.models <= other.models
            or not self.batches <= other.batches
        )


EVERYTHING = Interest(everything=True)
