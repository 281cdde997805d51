"""The bound on the age of the weights that generate a sample."""

import attrs


@attrs.frozen
class StalenessRule:
    """Limits how many versions a sample may be behind the trainer.

    Attributes:
        versions: Maximum number of versions behind; None for no bound.

    Example:
        >>> rule = StalenessRule(versions=2)
        >>> rule.oldest_allowed(7)
        5
        >>> rule.allows(4, trainer_version=7)
        False
    """

    versions: int | None

    def oldest_allowed(self, trainer_version: int) -> int:
        """Returns the oldest version that may generate a sample's tokens."""
        if self.versions is None:
            return 0
        return max(0, trainer_version - self.versions)

    def allows(self, version: int, trainer_version: int) -> bool:
        """Returns whether tokens of a version may be delivered."""
        return version >= self.oldest_allowed(trainer_version)
