"""Client of the platform's cloud API for usage reports and server orders."""

from kingcupscale.capacity import autoscaler
from kingcupscale.platform import names
from kingcupscale.storage import locks
from kingcupscale.usage import windows
from kingcupscale.web import httpclient
from kingcupscale.web import message

CALL_TIMEOUT_S = 1.0
# Only the status of a response is used.
MAX_RESPONSE_BYTES = 64 * 1024


class PlatformCloud:
    """Sends usage reports and orders over HTTP.

    Args:
        http_client: The HTTP client.
        address: ``host:port`` of the API.
    """

    def __init__(
        self, http_client: httpclient.HttpClient, address: str
    ) -> None:
        self.http_client = http_client
        self.address = address

    async def report(
        self, window: int, counts: dict[str, int], holder: locks.Holder
    ) -> None:
        """Reports the counts of one usage window."""
        body = {"window": window, "counts": counts}
        try:
            response = await self._post("/usage", body, holder)
        except httpclient.RequestError as e:
            raise windows.ReportError(e.reason, False) from e
        except locks.DutyLostError as e:
            raise windows.ReportError("the duty is not held", False) from e
        if response.status != 200:
            raise windows.ReportError(
                f"status {response.status}", response.status == 409
            )

    async def order(
        self, order: autoscaler.Order, holder: locks.Holder
    ) -> autoscaler.OrderState:
        """Orders the number of servers that a service should have."""
        body = {
            "service": order.service,
            "zone": order.zone,
            "desired": order.number,
        }
        if order.is_spot:
            body["spot"] = True
        try:
            response = await self._post("/scale", body, holder)
        except httpclient.RequestError as e:
            raise autoscaler.OrderError(e.reason) from e
        except locks.DutyLostError as e:
            raise autoscaler.OrderError("the duty is not held") from e
        if response.status == 200:
            return autoscaler.OrderState.ACCEPTED
        # 409 means that a newer holder has sent orders or that the cloud has no
        # servers available.
        if response.status == 409:
            return autoscaler.OrderState.REFUSED
        raise autoscaler.OrderError(f"status {response.status}")

    async def _post(
        self, path: str, body: object, holder: locks.Holder
    ) -> message.Response:
        headers = {
            "host": self.address,
            names.DUTY_HOLDER: holder.node,
            names.FENCING_TOKEN: str(holder.fencing_token),
        }
        request = message.json_request(path, body, headers)
        request.before_send = holder.check
        return await httpclient.fetch(
            self.http_client,
            self.address,
            request,
            CALL_TIMEOUT_S,
            MAX_RESPONSE_BYTES,
        )
