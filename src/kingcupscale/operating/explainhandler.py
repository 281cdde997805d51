"""Handles ``GET /explain``: decodes the query and encodes the explanation."""

from kingcupscale import errors
from kingcupscale import runtime as runtimes
from kingcupscale.operating import explain
from kingcupscale.operating import explainbatch
from kingcupscale.operating import explainquery
from kingcupscale.operating import explanations
from kingcupscale.web import message


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
            found = self.explain(explainquery.decode_query(request.query))
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
                raise explainquery.make_invalid(
                    f"{others[0]}: cannot be used with batch"
                )
            return explainbatch.explain_batch(
                self.runtime, fields["batch"], fields.get("item", "")
            )
        if "item" in fields:
            raise explainquery.make_invalid("item: expected batch too")
        return explain.explain_call(self.runtime, decode_question(fields))


def decode_question(fields: dict[str, str]) -> explain.Question:
    """Returns the request that the parameters describe.

    Raises:
        ServiceError: ``EXPLAIN_INVALID``.
    """
    for name in ("host", "path"):
        if name not in fields:
            raise explainquery.make_invalid(f"{name}: expected a value")
    if not fields["path"].startswith("/"):
        raise explainquery.make_invalid(
            "path: expected a slash at its beginning"
        )
    return explain.Question(
        method=fields.get("method", "POST").upper(),
        host=fields["host"],
        path=fields["path"].partition("?")[0],
        organisation=fields.get("organisation", ""),
        priority=explainquery.decode_priority(fields.get("priority")),
        service=fields.get("service", ""),
    )
