"""The query of ``GET /explain``, which two kinds of nodes answer."""

import urllib.parse

from kingcupscale import errors

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


def decode_priority(text: str | None) -> int | None:
    """Returns a class priority; None if it is not given.

    Raises:
        ServiceError: ``EXPLAIN_INVALID``.
    """
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
