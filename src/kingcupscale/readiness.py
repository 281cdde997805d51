"""Decides whether a node may accept requests."""

from collections.abc import Callable

from kingcupscale import clock as clocks
from kingcupscale import deployment
from kingcupscale import errors
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import peers
from kingcupscale.storage import mirror as mirrors

# Short, because another node is likely to accept what this one refuses.
RETRY_AFTER_S = 0.5
# A configuration must be in force within ``apply_s``. A node refuses requests
# by its configuration only up to this share of that time after the last
# update, because the configuration ages further during the check.
MAX_AGE_SHARE = 0.9


class Readiness:
    """Checks whether a node accepts requests and may refuse any.

    It may refuse one by its configuration only while that is recent.

    Args:
        mirror: The local mirror of the store.
        others: The other nodes.
        clock: Source of time.
        bounds: Time limits, such as for applying a configuration.
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
        """Returns the error if the node accepts no requests, or None."""
        if self.current_catalogue() is None:
            code = errors.ResultCode.NOT_READY
        elif self.is_isolated():
            code = errors.ResultCode.ISOLATED
        else:
            return None
        return errors.ServiceError(code, retry_after_s=RETRY_AFTER_S)

    def staleness_error(self) -> errors.ServiceError | None:
        """Returns the error if the configuration may be out of date, or None.

        A request that such a configuration forbids ends with this error, since
        a newer configuration may allow it. Requests that it allows are still
        served: in an outage of the store, every node's configuration is old.
        """
        age_s = self.mirror.essential_age_s()
        if age_s <= MAX_AGE_SHARE * self.bounds.apply_s:
            return None
        return errors.ServiceError(
            errors.ResultCode.CONFIGURATION_OLD,
            f"The node last updated its configuration {age_s:.1f} s ago.",
            retry_after_s=RETRY_AFTER_S,
        )

    def is_isolated(self) -> bool:
        """Returns whether the node has reached no store or node for too long.

        It might then still accept a key that has been withdrawn. While no node
        at all reaches the store, no key is withdrawn, but a node that reaches
        no other node cannot know that.
        """
        in_force_s = self.bounds.apply_s + self.bounds.apply_extension_s
        if self.mirror.essential_age_s() <= in_force_s:
            return False
        silent_s = self.clock.monotonic() - self.peers.answered_at
        is_alone = silent_s > self.bounds.contact_s
        return is_alone and bool(self.peers.addresses())
