"""Zones that a request may be sent to by its allowed regions.

A rule that cannot be fulfilled excludes servers instead of being dropped: a
zone without a configured region is in no region, and an unknown region in a
list contains no zone.
"""

from collections.abc import Mapping

from kingcupscale import events


class Residency:
    """Translates allowed regions into allowed zones.

    Args:
        zone_regions: The region of each zone.

    Attributes:
        reported: Unknown regions that have been logged.
    """

    def __init__(self, zone_regions: Mapping[str, str]) -> None:
        self.zone_regions = zone_regions
        self.reported: set[str] = set()

    def allowed_zones(
        self, *allowed_regions: frozenset[str]
    ) -> frozenset[str] | None:
        """Returns the zones that all of several lists of regions allow.

        Args:
            *allowed_regions: Each list; an empty one allows all regions.

        Returns:
            The zones; None if no list restricts them.
        """
        for regions in allowed_regions:
            self._report_unknown(regions)
        return self.peek_zones(*allowed_regions)

    def peek_zones(
        self, *allowed_regions: frozenset[str]
    ) -> frozenset[str] | None:
        """Returns as ``allowed_zones``, but logs nothing."""
        restrictions = [regions for regions in allowed_regions if regions]
        if not restrictions:
            return None
        allowed = frozenset.intersection(*restrictions)
        return frozenset(
            zone
            for zone, region in self.zone_regions.items()
            if region in allowed
        )

    def _report_unknown(self, regions: frozenset[str]) -> None:
        unknown = regions - set(self.zone_regions.values()) - self.reported
        self.reported |= unknown
        for region in sorted(unknown):
            events.log(events.Event.REGION_UNKNOWN, region=region)


def allows(zones: frozenset[str] | None, zone: str) -> bool:
    """Returns whether a zone is among the allowed ones; None allows all."""
    return zones is None or zone in zones
