"""Who may send what: routes and keys by the configuration in force."""

from collections.abc import Callable

from kingcupscale import errors
from kingcupscale.fleet import catalogue
from kingcupscale.gateway import inboundrequest

# A node without a configuration has started just now.
NOT_READY_RETRY_S = 0.5


class Admission:
    """Finds routes and organisations.

    Args:
        current_catalogue: Returns the configuration in force.
        find_staleness_error: Returns why it justifies no refusal now, or None.
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
            ServiceError: If there is no route, or the key gives no access, or
                that can't be known.
        """
        configured = self._configured()
        route = configured.find_route(inbound.host, inbound.path)
        if route is None:
            raise self.make_refusal(errors.ResultCode.ROUTE_UNKNOWN)
        return route, self.authenticate(route, inbound.key)

    def authenticate(
        self, route: catalogue.Route | None, key: str
    ) -> catalogue.Organisation | None:
        """Returns the organisation that holds a key; None on open routes.

        Raises:
            ServiceError: ``KEY_REFUSED``, or that this can't be known.
        """
        is_open = route is not None and route.is_open
        configured = self._configured()
        if is_open or not configured.organisations:
            return None
        organisation = configured.find_organisation(key)
        if organisation is None:
            raise self.make_refusal(errors.ResultCode.KEY_REFUSED)
        return organisation

    def make_refusal(self, code: errors.ResultCode) -> errors.ServiceError:
        """Returns a refusal by the configuration, or why there is none."""
        return self.find_staleness_error() or errors.ServiceError(code)

    def _configured(self) -> catalogue.Catalogue:
        configured = self.current_catalogue()
        if configured is None:
            raise errors.ServiceError(
                errors.ResultCode.NOT_READY, retry_after_s=NOT_READY_RETRY_S
            )
        return configured
