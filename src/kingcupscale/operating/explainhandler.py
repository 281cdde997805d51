"""Handles ``GET /explain``: decodes the query and encodes the explanation."""

import urllib.parse

from kingcupscale import errors
from kingcupscale import runtime as runtimes
from kingcupscale.operating import explain
from kingcupscale.operating import explainbatch
from kingcupscale.operating import explanations
from kingcupscale.web import message

PATH = "/explain"
PARAMETERS = (
    "method",
    "host",
    "path",
    "organisation",
    "priority",
    "batch",
    "item",
    "service",
)
# Least urgent class priority.
MAX_PRIORITY = 9


class ExplainHandler:
    """Answers where a request or a batch would be sent now.

    Args:
        runtime: The node.
    """

    def __init__(self, runtime: runtimes.Runtime) -> None:
        self.runtime = runtime

    async def __call__(self, request: message.Request) -> message.Response:
        """Returns the explanation as JSON, or a numbered error."""
        try:
            if request.method != "GET":
                raise errors.ServiceError(errors.ResultCode.METHOD_NOT_ALLOWED)
            found = self.explain(decode_query(request.query))
        except errors.ServiceError as e:
            return message.error_response(e)
        return message.json_response(found)

    def explain(
        self, fields: dict[str, str]
    ) -> explanations.CallExplanation | explanations.BatchExplanation:
        """Returns the explanation for the parameters of a query.

        Raises:
            ServiceError: ``EXPLAIN_INVALID`` if they are invalid; or because
                there is no such batch or item.
        """
        if "batch" in fields:
            others = sorted(fields.keys() - {"batch", "item"})
            if others:
                raise make_invalid(f"{others[0]}: cannot be used with batch")
            return explainbatch.explain_batch(
                self.runtime, fields["batch"], fields.get("item", "")
            )
        if "item" in fields:
            raise make_invalid("item: expected batch too")
        return explain.explain_call(self.runtime, decode_question(fields))


def decode_query(query: str) -> dict[str, str]:
    """Returns the parameters of a query.

    Raises:
        ServiceError: ``EXPLAIN_INVALID``. It does not repeat values, which may
            be keys by mistake.
    """
    try:
        pairs = urllib.parse.parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=len(PARAMETERS),
        )
    except ValueError:
        raise make_invalid("expected a query of name=value pairs") from None
    fields = dict(pairs)
    if fields.keys() - set(PARAMETERS):
        raise make_invalid(f"expected parameters among {', '.join(PARAMETERS)}")
    if len(fields) != len(pairs):
        raise make_invalid("expected each parameter once")
    empty = sorted(name for name, value in fields.items() if not value)
    if empty:
        raise make_invalid(f"{empty[0]}: expected a value")
    return fields


def decode_question(fields: dict[str, str]) -> explain.Question:
    """Returns the request that the parameters describe.

    Raises:
        ServiceError: ``EXPLAIN_INVALID``.
    """
    for name in ("host", "path"):
        if name not in fields:
            raise make_invalid(f"{name}: expected a value")
    if not fields["path"].startswith("/"):
        raise make_invalid("path: expected a slash at its beginning")
    return explain.Question(
        method=fields.get("method", "POST").upper(),
        host=fields["host"],
        path=fields["path"].partition("?")[0],
        organisation=fields.get("organisation", ""),
        priority=_decode_priority(fields.get("priority")),
        service=fields.get("service", ""),
    )


def _decode_priority(text: str | None) -> int | None:
    if text is None:
        return None
    is_digit = len(text) == 1 and text in "0123456789"
    if not is_digit:
        raise make_invalid(
            f"priority: expected a number from 0 to {MAX_PRIORITY}"
        )
    return int(text)


def make_invalid(detail: str) -> errors.ServiceError:
    """Returns the error for an invalid question."""
    return errors.ServiceError(errors.ResultCode.EXPLAIN_INVALID, detail)


def encode_query(fields: dict[str, str]) -> str:
    """Returns the query for parameters; those without a value are omitted."""
    return urllib.parse.urlencode({n: v for n, v in fields.items() if v})
