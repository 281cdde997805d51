"""The HTTP API for callers.

Authenticates requests, maps each key to its organisation and each path to its
handler, and serves the health checks.
"""

from typing import Protocol
import urllib.parse

from kingcupscale import errors
from kingcupscale.configuration import admission as admissions
from kingcupscale.configuration import document
from kingcupscale.configuration import keys
from kingcupscale.serving import completion
from kingcupscale.serving import plainservices
from kingcupscale.serving import sessions
from kingcupscale.web import httprouter
from kingcupscale.web import message

SERVICES_PREFIX = "/services/"
OPEN_PREFIX = "/open/"
ROLLOUTS_PREFIX = "/v1/rollouts/"
DRAIN_RETRY_AFTER_S = 1.0


class RolloutHandler(Protocol):
    """Serves trainers' requests."""

    async def serve(
        self, request: message.Request, grant: keys.Grant
    ) -> message.Response:
        """Returns the response to one request of a trainer."""
        ...


class CallerApi:
    """Handles callers' requests.

    The caller's key is checked and removed here, so that no backend server
    receives it.

    Args:
        key_ring: Authenticates the keys.
        admission: Decides whether the node may admit requests.
        open_sessions: The node's open requests.
        completions: Serves completion requests.
        plain_service_client: Calls plain services.
        rollouts: Serves trainers' requests.

    Attributes:
        is_unready: Whether the readiness check fails, so that the load balancer
            sends no new requests.
        is_draining: Whether new requests are rejected.
        active: Number of requests in progress.
    """

    def __init__(
        self,
        key_ring: keys.KeyRing,
        admission: admissions.Admission,
        open_sessions: sessions.Sessions,
        completions: completion.Completions,
        plain_service_client: plainservices.PlainServiceClient,
        rollouts: RolloutHandler,
    ) -> None:
        self.key_ring = key_ring
        self.admission = admission
        self.sessions = open_sessions
        self.completions = completions
        self.plain_service_client = plain_service_client
        self.rollouts = rollouts
        self.is_unready = False
        self.is_draining = False
        self.active = 0
        self.routes = httprouter.HttpRouter()
        self.routes.add("GET", "/health/live", self._serve_live)
        self.routes.add("GET", "/health/ready", self._serve_ready)
        self.routes.add("GET", "/v1/models", self._serve_models)
        self.routes.add("POST", "/v1/completions", self._serve_text)
        self.routes.add("POST", "/v1/chat/completions", self._serve_chat)
        self.routes.add_prefix(SERVICES_PREFIX, self._serve_plain)
        self.routes.add_prefix(OPEN_PREFIX, self._serve_open)
        self.routes.add_prefix(ROLLOUTS_PREFIX, self._serve_rollouts)

    async def __call__(self, request: message.Request) -> message.Response:
        """Returns the response to one request."""
        self.active += 1
        try:
            return await self.routes(request)
        finally:
            self.active -= 1

    def _authenticate(self, request: message.Request) -> keys.Grant:
        """Returns the access rights of the request's key and removes the key.

        Raises:
            ServiceError: If the node admits no requests or the key is invalid.
        """
        self._check_admitting()
        key_text = keys.read_bearer(request.headers)
        grant = self.key_ring.authenticate(key_text)
        request.headers.pop("authorization", None)
        _check_exposure(request, key_text)
        return grant

    def _check_admitting(self) -> None:
        if self.is_draining:
            raise errors.ServiceError(
                errors.ResultCode.DRAINING, retry_after_s=DRAIN_RETRY_AFTER_S
            )
        self.admission.check()

    async def _serve_live(self, _: message.Request) -> message.Response:
        return message.json_response({"live": True})

    async def _serve_ready(self, _: message.Request) -> message.Response:
        if self.is_unready:
            raise errors.ServiceError(errors.ResultCode.DRAINING)
        self._check_admitting()
        return message.json_response({"ready": True})

    async def _serve_models(self, request: message.Request) -> message.Response:
        self._authenticate(request)
        document_ = self.key_ring.replica.document
        models = [
            {"id": name, "object": "model"}
            for name, service in sorted(document_.services.items())
            if service.kind is document.ServiceKind.ENGINE
        ]
        return message.json_response({"object": "list", "data": models})

    async def _serve_text(self, request: message.Request) -> message.Response:
        grant = self._authenticate(request)
        return await self.completions.serve(request, grant, is_chat=False)

    async def _serve_chat(self, request: message.Request) -> message.Response:
        grant = self._authenticate(request)
        return await self.completions.serve(request, grant, is_chat=True)

    async def _serve_rollouts(
        self, request: message.Request
    ) -> message.Response:
        grant = self._authenticate(request)
        if not grant.trainer:
            raise errors.ServiceError(
                errors.ResultCode.FORBIDDEN,
                "expected a trainer's key, found another kind of key",
            )
        with self.sessions.open(grant) as session:
            return await session.run(self.rollouts.serve, request, grant)

    async def _serve_plain(self, request: message.Request) -> message.Response:
        grant = self._authenticate(request)
        return await self._call_plain(request, SERVICES_PREFIX, grant)

    async def _serve_open(self, request: message.Request) -> message.Response:
        self._check_admitting()
        path = "/" + request.path.removeprefix(OPEN_PREFIX)
        route = self._find_open_route(path)
        organisations = self.key_ring.replica.document.organisations
        grant = keys.Grant(
            "",
            route.organisation,
            organisations[route.organisation].label,
            route.service_class,
        )
        request.headers.pop("authorization", None)
        return await self._call_plain(request, OPEN_PREFIX, grant)

    def _find_open_route(self, path: str) -> document.OpenRoute:
        segments = urllib.parse.unquote(path).split("/")
        if "." in segments or ".." in segments:
            raise errors.ServiceError(
                errors.ResultCode.ROUTE_UNKNOWN,
                "the path contains a dot segment",
            )
        for route in self.key_ring.replica.document.open_routes.values():
            prefix = f"/{route.service}{route.path}"
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return route
        raise errors.ServiceError(
            errors.ResultCode.ROUTE_UNKNOWN, "no open route matches the path"
        )

    async def _call_plain(
        self, request: message.Request, prefix: str, grant: keys.Grant
    ) -> message.Response:
        service, slash, path = request.path.removeprefix(prefix).partition("/")
        call = plainservices.Call(service, slash + path or "/", request, grant)
        with self.sessions.open(grant) as session:
            return await session.run(self.plain_service_client.call, call)


def _check_exposure(request: message.Request, key_text: str) -> None:
    """Rejects a request that would pass its key on to a backend server.

    Raises:
        ServiceError: ``KEY_EXPOSED``.
    """
    in_headers = any(key_text in value for value in request.headers.values())
    target = urllib.parse.unquote(f"{request.path}?{request.query}")
    if key_text in target or in_headers or key_text.encode() in request.body:
        raise errors.ServiceError(errors.ResultCode.KEY_EXPOSED)
