"""Whether a node may take work, by what it knows."""

from collections.abc import Callable

from kingcupscale import clock as clocks
from kingcupscale import deployment
from kingcupscale import errors
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import peers
from kingcupscale.storage import mirror as mirrors

# Other nodes are likely to take what this one refuses.
RETRY_AFTER_S = 0.5
# Share of the time within which a configuration must be in force, for which a
# view of it justifies a refusal; a view grows older while it is judged.
VIEW_SHARE = 0.9


class Readiness:
    """Tells why a node takes nothing, if it does not.

    Args:
        mirror: The mirror of the store.
        others: The other nodes.
        clock: Tells the time.
        bounds: Within which time a change is in force.
        current_catalogue: Returns the configuration in force.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        others: peers.Peers,
        clock: clocks.Clock,
        bounds: deployment.Bounds,
        current_catalogue: Callable[[], catalogue.Catalogue | None],
    ) -> None:
        self.mirror = mirror
        self.peers = others
        self.clock = clock
        self.bounds = bounds
        self.current_catalogue = current_catalogue

    def admission_error(self) -> errors.ServiceError | None:
        """Returns why the node takes nothing now, or None."""
        if self.current_catalogue() is None:
            code = errors.ResultCode.NOT_READY
        elif self.is_isolated():
            code = errors.ResultCode.ISOLATED
        else:
            return None
        return errors.ServiceError(code, retry_after_s=RETRY_AFTER_S)

    def staleness_error(self) -> errors.ServiceError | None:
        """Returns why the configuration justifies no refusal now, or None.

        A newer one may allow what this one does not. What this one allows is
        served all the same: an outage of the store makes all nodes old.
        """
        age_s = self.mirror.essential_age_s()
        if age_s <= VIEW_SHARE * self.bounds.apply_s:
            return None
        return errors.ServiceError(
            errors.ResultCode.CONFIGURATION_OLD,
            f"The node's configuration is as of {age_s:.1f} s ago.",
            retry_after_s=RETRY_AFTER_S,
        )

    def is_isolated(self) -> bool:
        """Tells whether a withdrawn key might still be taken for good here.

        While no node reaches the store, nothing changes there either; a node
        that hears from no other one can't know that.
        """
        in_force_s = self.bounds.apply_s + self.bounds.apply_stretch_s
        if self.mirror.essential_age_s() <= in_force_s:
            return False
        silent_s = self.clock.monotonic() - self.peers.answered_at
        is_alone = silent_s > self.bounds.contact_s
        return is_alone and bool(self.peers.addresses())
