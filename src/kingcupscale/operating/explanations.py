"""Messages that say where a request or a batch would be sent, and why.

Servers are in the order in which they would be chosen; excluded ones come last.
Text that the asker sent is not repeated, because it may contain a key.
"""

import attrs

from kingcupscale import errors


@attrs.frozen
class Exclusion:
    """Why a server gets no request now.

    Attributes:
        reason: A value of ``fleet.exclusions.Reason``.
        detail: The figures behind it; may be empty.
        seconds_left: Seconds until it ends by itself; None if not known.
    """

    reason: str
    detail: str
    seconds_left: float | None


@attrs.frozen
class Server:
    """A server and the figures that rank it.

    Attributes:
        id: Its id.
        zone: Its availability zone.
        rank: 1 for the first choice; servers of equal rank are chosen at
            random; None if it is excluded.
        cost: Lowest is chosen; None if it is excluded.
        in_flight: This node's requests on it.
        other_requests: Other nodes' requests, by its last report.
        report_age_s: Age of that report in seconds; None without one.
        slots: Requests that it runs concurrently.
        slowness: How long work takes by a valid report; 1 is normal; None on a
            node that does not measure it.
        failures: Consecutive failures.
        relative_latency: Mean latency relative to its service; None on a node
            that does not measure it.
        is_cold: Whether requests to it are limited because it is cold.
        version: Weight version of the batch's model; None for calls.
        excluded: Why it is excluded; empty if it is not.
    """

    id: str
    zone: str
    rank: int | None
    cost: float | None
    in_flight: int
    other_requests: int
    report_age_s: float | None
    slots: int
    slowness: float | None
    failures: int
    relative_latency: float | None
    is_cold: bool
    version: int | None
    excluded: list[Exclusion]


@attrs.frozen
class Rejection:
    """The rejection that a request would get.

    Attributes:
        code: Number of the result code.
        name: Name of the result code.
        status: HTTP status.
        message: Message of the error.
        retry_after_s: Shortest and longest ``Retry-After`` in seconds, which
            differ by random jitter; None without one.
        is_certain: Whether it is rejected now; else only if no server accepts
            it within its wait.
    """

    code: int
    name: str
    status: int
    message: str
    retry_after_s: tuple[float, float] | None
    is_certain: bool


def make_rejection(
    error: errors.ServiceError,
    is_certain: bool,
    retry_after_s: tuple[float, float] | None = None,
) -> Rejection:
    """Returns the message for an error."""
    if retry_after_s is None and error.retry_after_s is not None:
        retry_after_s = (error.retry_after_s, error.retry_after_s)
    return Rejection(
        error.code.number,
        error.code.name.lower(),
        error.code.status,
        error.detail,
        retry_after_s,
        is_certain,
    )


@attrs.frozen
class Service:
    """A service that a request may go to.

    Attributes:
        name: Name of the service.
        probability: With which the service is picked for a request.
        expected_wait_s: Seconds until a server may be chosen; None if not
            known.
        longest_wait_s: Seconds after which a call stops waiting for a server;
            None if it does not stop.
        servers: Its servers.
        rejection: What a rejection would say; None if it rejects nothing.
    """

    name: str
    probability: float
    expected_wait_s: float | None
    longest_wait_s: float | None
    servers: list[Server]
    rejection: Rejection | None


@attrs.frozen
class View:
    """The node that answers, and how recent its view is.

    Attributes:
        node: Name of the node.
        zone: Its availability zone.
        configuration: Version of the configuration; 0 without one.
        age_s: Seconds since the node's view was known to be current; None if
            it never was.
    """

    node: str
    zone: str
    configuration: int
    age_s: float | None


@attrs.frozen
class CallExplanation:
    """Where a request would be sent.

    Attributes:
        view: The node that answers.
        route: Name of the route; empty if there is none.
        kind: Kind of the route.
        organisation: Name of the organisation; empty for none.
        priority: Class priority; 0 is the most urgent.
        zones: The allowed zones; None for all.
        services: The services that it may go to.
        rejection: Why it would be rejected before a server is chosen; None if
            it would not be.
        notes: Further sentences.
    """

    view: View
    route: str
    kind: str
    organisation: str
    priority: int | None
    zones: list[str] | None
    services: list[Service]
    rejection: Rejection | None
    notes: list[str]


@attrs.frozen
class Item:
    """An item of a batch, as the node that runs it sees it.

    Attributes:
        id: Its id.
        group: Its group.
        stage: Stage of its processing; ``finished`` if its result is stored,
            ``unknown`` on a node that does not run the batch.
        server: Engine of its latest run; empty for none.
        events: Number of events of its text so far.
        position: Number of samples of this node that are placed before it;
            None if it does not wait here.
        fails_in_s: Seconds until it fails if it still waits then.
    """

    id: str
    group: str
    stage: str
    server: str
    events: int
    position: int | None
    fails_in_s: float


@attrs.frozen
class BatchExplanation:
    """Where the samples of a batch would be sent.

    Attributes:
        view: The node that answers.
        batch: Id of the batch.
        is_open: Whether it lacks results and has not ended.
        route: Name of its route.
        organisation: Name of its organisation; empty for none.
        model: Its model.
        minimum_version: Oldest weight version that may generate its texts.
        target_version: Newest version that a trainer named; 0 for none.
        priority: Class priority; 0 is the most urgent.
        zones: The allowed zones; None for all.
        total: Number of its items.
        finished: Number of stored results.
        stages: Number of items by stage on this node; empty on others.
        holder: Node that holds the model's duty; empty for none.
        runs_here: Whether this node runs it.
        item: The item that the engines are ranked for; None if none is left.
        service: The engines; None if the route leads to no service.
        notes: Further sentences.
    """

    view: View
    batch: str
    is_open: bool
    route: str
    organisation: str
    model: str
    minimum_version: int
    target_version: int
    priority: int | None
    zones: list[str] | None
    total: int
    finished: int
    stages: dict[str, int]
    holder: str
    runs_here: bool
    item: Item | None
    service: Service | None
    notes: list[str]
