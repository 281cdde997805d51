"""Which batches a node needs to know in full."""

import attrs


@attrs.frozen
class Interest:
    """The batches whose items and results a node wants to be told.

    Attributes:
        everything: Whether it wants all of them.
        models: Models whose batches it wants.
        batches: Single batches that it wants.
    """

    everything: bool = False
    models: frozenset[str] = frozenset()
    batches: frozenset[str] = frozenset()

    def includes(self, batch_id: str, model: str) -> bool:
        """Tells whether a batch of a model is wanted."""
        return (
            self.everything or model in self.models or batch_id in self.batches
        )

    def is_wider_than(self, other: "Interest") -> bool:
        """Tells whether it includes a batch that another one may not."""
        if other.everything:
            return False
        return (
            self.everything
            or not self.models <= other.models
            or not self.batches <= other.batches
        )


EVERYTHING = Interest(everything=True)
