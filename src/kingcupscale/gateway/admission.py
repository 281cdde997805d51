"""Admission of requests: routing and authentication by configuration."""

from collections.abc import Callable

from kingcupscale import errors
from kingcupscale.fleet import catalogue
from kingcupscale.gateway import inboundrequest

# A node has no configuration only for a moment after its start.
NOT_READY_RETRY_S = 0.5


class Admission:
    """Finds the route of a request and authenticates its organisation.

    Args:
        current_catalogue: Returns the configuration in force.
        find_staleness_error: Returns an error if the configuration may be too
            old to reject requests by, or None.
    """

    def __init__(
        self,
        current_catalogue: Callable[[], catalogue.Catalogue | None],
        find_staleness_error: Callable[[], errors.ServiceError | None],
    ) -> None:
        self.current_catalogue = current_catalogue
        self.find_staleness_error = find_staleness_error

    def admit(
        self, inbound: inboundrequest.InboundRequest
    ) -> tuple[catalogue.Route, catalogue.Organisation | None]:
        """Returns a request's route and organisation.

        Raises:
            ServiceError: If there is no route, the key gives no access, or
                the configuration may be too old to tell.
        """
        current = self._require_catalogue()
        route = current.find_route(inbound.host, inbound.path)
        if route is None:
            raise self.make_refusal(errors.ResultCode.ROUTE_UNKNOWN)
        return route, self.authenticate(route, inbound.key)

    def authenticate(
        self, route: catalogue.Route | None, key: str
    ) -> catalogue.Organisation | None:
        """Returns the organisation of a key; None if no key is required.

        No key is required on open routes, and while the configuration has no
        organisations.

        Raises:
            ServiceError: ``KEY_REFUSED``, or the staleness error if the
                configuration may be too old to tell.
        """
        is_open = route is not None and route.is_open
        current = self._require_catalogue()
        if is_open or not current.organisations:
            return None
        organisation = current.find_organisation(key)
        if organisation is None:
            raise self.make_refusal(errors.ResultCode.KEY_REFUSED)
        return organisation

    def make_refusal(self, code: errors.ResultCode) -> errors.ServiceError:
        """Returns an error that rejects a request by the configuration.

        If the configuration may be too old, it is the staleness error instead,
        because a newer configuration may admit the request.
        """
        return self.find_staleness_error() or errors.ServiceError(code)

    def _require_catalogue(self) -> catalogue.Catalogue:
        current = self.current_catalogue()
        if current is None:
            raise errors.ServiceError(
                errors.ResultCode.NOT_READY, retry_after_s=NOT_READY_RETRY_S
            )
        return current
