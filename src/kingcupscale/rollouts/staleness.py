"""The rule that no sample is older than the bound."""

import attrs


@attrs.frozen
class StalenessRule:
    """How far a sample's weights may lie behind the trainer's.

    Attributes:
        versions: Most versions behind; None for no bound.

    Example:
        >>> rule = StalenessRule(versions=2)
        >>> rule.oldest_allowed(7)
        5
        >>> rule.allows(4, trainer_version=7)
        False
    """

    versions: int | None

    def oldest_allowed(self, trainer_version: int) -> int:
        """Returns the oldest version a sample may hold."""
        if self.versions is None:
            return 0
        return max(0, trainer_version - self.versions)

    def allows(self, version: int, trainer_version: int) -> bool:
        """Tells whether tokens of a version may be delivered."""
        return version >= self.oldest_allowed(trainer_version)
