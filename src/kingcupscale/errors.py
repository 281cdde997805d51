"""Numbered result codes and the exceptions that carry them."""

import enum
from typing import Any


class Run(enum.Enum):
    """Whether the work of a refused or failed request was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@enum.unique
class ResultCode(enum.Enum):
    """Every error that a request can end with.

    Each member is (number, HTTP status, summary). docs/RESULT-CODES.md has the
    same table.
    """

    BODY_MALFORMED = (1001, 400, "The body is not JSON in UTF-8.")
    BODY_INVALID = (1002, 422, "The body has missing, unknown or wrong fields.")
    BODY_TOO_LARGE = (1003, 413, "The body exceeds the size limit.")
    BODY_TIMEOUT = (1004, 408, "The body did not arrive in time.")
    ROUTE_UNKNOWN = (1005, 404, "No route matches this path.")
    METHOD_NOT_ALLOWED = (1006, 405, "The path does not allow this method.")
    HEADER_INVALID = (1007, 400, "A header or query value is invalid.")
    HEADERS_TOO_LARGE = (1008, 431, "The headers exceed the size limit.")
    BODY_TOO_SLOW = (1009, 408, "Memory is scarce; the body came too slowly.")
    BODY_VALUES_EXCEEDED = (1010, 413, "The body has too many JSON values.")
    KEY_MISSING = (1101, 401, "The route needs a bearer key.")
    KEY_REFUSED = (1102, 401, "The key is unknown or withdrawn.")
    KEY_WITHDRAWN = (1103, 401, "The key was withdrawn during the request.")
    KEY_EXPOSED = (1104, 400, "The URL, a header or the body contains the key.")
    FORBIDDEN = (1105, 403, "The key does not give access to this.")
    STREAMS_EXCEEDED = (1201, 429, "The organisation has too many streams.")
    QUEUE_FULL = (1202, 503, "The queue of the class is full.")
    DEADLINE_UNMET = (1203, 503, "No server was free within the deadline.")
    NO_SERVER = (1204, 503, "The service has no usable backend server.")
    DRAINING = (1205, 503, "The node is stopping.")
    NOT_READY = (1206, 503, "The node has no current configuration.")
    ISOLATED = (1207, 503, "The node is isolated and rejects requests.")
    CONFIGURATION_OLD = (1208, 503, "The node's configuration may be stale.")
    REGION_EXCLUDED = (1209, 503, "No server is in a region that is allowed.")
    MEMORY_SCARCE = (1213, 503, "The node lacks memory for the request.")
    WAIT_TOO_LONG = (1215, 503, "The expected wait exceeds the time left.")
    CRASHES_SERVERS = (1216, 503, "Servers crash under it, so it is not sent.")
    EXPLAIN_INVALID = (1218, 422, "The question to explain is invalid.")
    EXPLAIN_UNSUPPORTED = (1219, 422, "This node cannot explain that.")
    BACKEND_FAILED = (1301, 502, "The backend server failed; outcome unknown.")
    BACKEND_REFUSED = (1302, 502, "No backend server accepted the request.")
    ANSWER_REJECTED = (1304, 502, "Answer incomplete or for another request.")
    BACKEND_TIMEOUT = (1305, 504, "No backend server answered in time.")
    IDEMPOTENCY_MISMATCH = (1401, 422, "The key was used for another request.")
    IDEMPOTENCY_BUSY = (1402, 409, "The first request is still running.")
    IDEMPOTENCY_UNKNOWN = (1403, 409, "The first request's outcome is unknown.")
    CLAIM_UNAVAILABLE = (1404, 503, "The claim store cannot be reached.")
    STEP_UNKNOWN = (1501, 404, "This node does not hold the step.")
    STEP_CANCELLED = (1502, 409, "The step was cancelled.")
    STEP_CONFLICT = (1503, 409, "The step exists with another specification.")
    VERSION_CONFLICT = (1504, 409, "A newer weight version is published.")
    WEIGHTS_MISSING = (1505, 409, "The weight store lacks part of the version.")
    BATCH_UNKNOWN = (1506, 404, "There is no such batch.")
    BATCH_UNDECIDED = (1507, 504, "It is unknown whether the batch was stored.")
    ITEM_UNKNOWN = (1508, 404, "The batch has no such item.")
    REVISION_CONFLICT = (1601, 409, "The configuration's revision has changed.")
    CONFIGURATION_INVALID = (1602, 422, "The configuration has errors.")
    CONFIGURATION_UNDECIDED = (1603, 503, "The change's outcome is unknown.")
    STORE_UNAVAILABLE = (1701, 503, "The key-value service cannot be reached.")
    MAJORITY_LOST = (1702, 503, "Too few nodes are reachable for a change.")
    LEASE_LOST = (1703, 409, "The lease expired before the order was sent.")
    INTERNAL = (1901, 500, "An unexpected error, logged with a traceback.")

    def __init__(self, number: int, status: int, summary: str) -> None:
        self.number = number
        self.status = status
        self.summary = summary


class ServiceError(Exception):
    """An error that ends a request with a numbered result code.

    Args:
        code: The numbered result code.
        detail: One sentence about this error; the code's summary if empty.
        run: Whether the work was executed. ``NOT_RUN`` only if no byte of the
            request was sent to a backend server.
        retry_after_s: Seconds after which the caller may retry.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        run: Run = Run.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail or code.summary)
        self.code = code
        self.detail = detail or code.summary
        self.run = run
        self.retry_after_s = retry_after_s

    def to_body(self) -> dict[str, Any]:
        """Returns the JSON body of the error response."""
        error: dict[str, Any] = {
            "code": self.code.number,
            "name": self.code.name.lower(),
            "message": self.detail,
            "run": self.run.value,
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = self.retry_after_s
        return {"error": error}

    def __str__(self) -> str:
        return f"{self.code.number} {self.code.name.lower()}: {self.detail}"
