"""The HTTP API for operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from kingcupscale import codec
from kingcupscale import errors
from kingcupscale import settings as node_settings
from kingcupscale.configuration import change as changes
from kingcupscale.configuration import check
from kingcupscale.configuration import document
from kingcupscale.configuration import editor as editors
from kingcupscale.configuration import keys
from kingcupscale.operating import explainquery
from kingcupscale.operating import explanations
from kingcupscale.operating import handover
from kingcupscale.operating import messages
from kingcupscale.web import httprouter
from kingcupscale.web import message

Handler = Callable[[message.Request, str], Awaitable[message.Response]]


class OperatorApi:
    """Serves the operator API; each operator authenticates with their own key.

    Args:
        operators: Digests of the operators' keys, by operator name.
        editor: Accepts configuration changes.
        reporter: Creates handover reports.
        read_status: Returns the node's status.
        drain: Starts the node's planned stop.
        explain: Explains the request that the parameters of a query describe.
    """

    def __init__(
        self,
        operators: dict[codec.Name, node_settings.OperatorKey],
        editor: editors.Editor,
        reporter: handover.HandoverReporter,
        read_status: Callable[[], messages.StatusResponse],
        drain: Callable[[], None],
        explain: Callable[[dict[str, str]], explanations.CallExplanation],
    ) -> None:
        self.operators = operators
        self.editor = editor
        self.replica = editor.replica
        self.reporter = reporter
        self.read_status = read_status
        self.drain = drain
        self.explain = explain
        self.routes = httprouter.HttpRouter()
        self._add_route("GET", "/status", self._serve_status)
        self._add_route("GET", "/handover", self._serve_handover)
        self._add_route("GET", "/configuration", self._serve_configuration)
        self._add_route("POST", "/configuration", self._apply)
        self._add_route("POST", "/configuration/diff", self._serve_diff)
        self._add_route("POST", "/keys/grant", self._grant)
        self._add_route("POST", "/keys/withdraw", self._withdraw)
        self._add_route("POST", "/drain", self._drain)
        self._add_route("GET", explainquery.PATH, self._serve_explanation)

    def _add_route(self, method: str, path: str, handler: Handler) -> None:
        async def serve(request: message.Request) -> message.Response:
            return await handler(request, self._authenticate(request))

        self.routes.add(method, path, serve)

    async def __call__(self, request: message.Request) -> message.Response:
        """Handles one request."""
        return await self.routes(request)

    def _authenticate(self, request: message.Request) -> str:
        """Returns the name of the operator whose key a request carries."""
        text = keys.read_bearer(request.headers)
        if not text:
            raise errors.ServiceError(errors.ResultCode.KEY_MISSING)
        for name, key in self.operators.items():
            if keys.matches(key.salt, key.digest, text):
                return name
        raise errors.ServiceError(errors.ResultCode.KEY_REFUSED)

    async def _serve_status(
        self, _: message.Request, operator: str
    ) -> message.Response:
        return message.json_response(self.read_status())

    async def _serve_explanation(
        self, request: message.Request, operator: str
    ) -> message.Response:
        fields = explainquery.decode_query(request.query)
        return message.json_response(self.explain(fields))

    async def _serve_handover(
        self, _: message.Request, operator: str
    ) -> message.Response:
        return message.json_response(await self.reporter.report())

    async def _serve_configuration(
        self, _: message.Request, operator: str
    ) -> message.Response:
        entries = {
            path: _remove_digest(path, entry)
            for path, entry in self.replica.entries.items()
        }
        return message.json_response(
            messages.ConfigurationResponse(
                self.replica.revision, document.unflatten(entries)
            )
        )

    async def _apply(
        self, request: message.Request, operator: str
    ) -> message.Response:
        body = request.parse(messages.ApplyRequest)
        proposal = editors.Proposal(
            self._find_changes(body.tables),
            body.if_revision,
            operator,
            body.reason,
            body.without_majority,
        )
        return await self._propose(proposal)

    async def _propose(self, proposal: editors.Proposal) -> message.Response:
        if not proposal.reason.strip():
            raise errors.ServiceError(
                errors.ResultCode.BODY_INVALID,
                "reason: expected a non-empty text, found none",
            )
        return message.json_response(await self.editor.propose(proposal))

    def _find_changes(self, tables: dict[str, Any]) -> dict[str, Any]:
        """Returns the entries that change if the given tables are applied."""
        unknown = sorted(tables.keys() - set(document.TABLES))
        if unknown:
            raise errors.ServiceError(
                errors.ResultCode.CONFIGURATION_INVALID,
                "expected names of configuration tables, found:"
                f" {', '.join(unknown)}",
            )
        self._check_tables(tables)
        present = {
            path: entry
            for path, entry in self.replica.entries.items()
            if path.partition("/")[0] in tables
        }
        return changes.difference(present, document.flatten(tables))

    def _check_tables(self, tables: dict[str, Any]) -> None:
        merged = {**document.unflatten(self.replica.entries), **tables}
        try:
            check.check(merged)
        except check.ConfigurationError as e:
            raise errors.ServiceError(
                errors.ResultCode.CONFIGURATION_INVALID, str(e)
            ) from e

    async def _serve_diff(
        self, request: message.Request, operator: str
    ) -> message.Response:
        body = request.parse(messages.DiffRequest)
        lines = changes.describe(self._find_changes(body.tables))
        return message.json_response(
            messages.DiffResponse(self.replica.revision, lines)
        )

    async def _grant(
        self, request: message.Request, operator: str
    ) -> message.Response:
        body = request.parse(messages.GrantRequest)
        path = f"keys/{body.key_id}"
        if path in self.replica.entries:
            raise errors.ServiceError(
                errors.ResultCode.REVISION_CONFLICT,
                f"expected a new key id, but key {body.key_id} exists",
            )
        return await self._propose(
            editors.Proposal(
                {path: body.key}, self.replica.revision, operator, body.reason
            )
        )

    async def _withdraw(
        self, request: message.Request, operator: str
    ) -> message.Response:
        body = request.parse(messages.WithdrawRequest)
        if body.emergency:
            accepted = await self.editor.withdraw_in_emergency(
                body.key_id, operator, body.reason
            )
            return message.json_response(accepted)
        path = f"keys/{body.key_id}"
        if path not in self.replica.entries:
            return await self._confirm_withdrawn(path)
        return await self._propose(
            editors.Proposal(
                {path: None}, self.replica.revision, operator, body.reason
            )
        )

    async def _confirm_withdrawn(self, path: str) -> message.Response:
        """Confirms the withdrawal of a key that was already removed.

        An operator repeats the request if the response to the first was lost.
        """
        if not any(path in change.entries for change in self.replica.recent):
            raise errors.ServiceError(
                errors.ResultCode.ROUTE_UNKNOWN,
                f"no entry {path} in the configuration or its recent changes",
            )
        return message.json_response(await self.editor.push_newest())

    async def _drain(
        self, _: message.Request, operator: str
    ) -> message.Response:
        self.drain()
        return message.json_response({"draining": True})


def _remove_digest(path: str, entry: Any) -> Any:
    if not path.startswith("keys/"):
        return entry
    return {k: v for k, v in entry.items() if k not in ("salt", "digest")}
