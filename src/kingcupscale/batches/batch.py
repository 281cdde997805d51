"""Data types of a batch, its items and their results.

The classes are also the stored form, so their field names are part of it.
"""

import enum

import attrs


class ResultState(enum.Enum):
    """Outcome of an item."""

    DONE = "done"
    FAILED = "errored"


@attrs.frozen
class Scorer:
    """The scoring call for an item's finished text.

    Attributes:
        id: Request id of the call.
        host: Host that the call is sent to.
        path: Path of the call.
        body: Body of the call.
    """

    id: str
    host: str
    path: str
    body: bytes


@attrs.frozen
class Item:
    """One sample to generate.

    Attributes:
        id: Id of the item, unique in its batch.
        path: Request path at the backend server.
        headers: Request headers, with names in lower case.
        body: Request body.
        tokens: Number of prompt tokens plus the maximum of output tokens.
        group: Group of the sample. Samples of one group share a prompt.
        scorer: The scoring call; None if the sample is not scored.
        length_hint: Output tokens that the caller expects; 0 if unknown.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    group: str
    scorer: Scorer | None
    length_hint: int = 0


@attrs.frozen
class Batch:
    """Items that are submitted together.

    Attributes:
        id: Id of the batch.
        organisation: Organisation that owns the batch.
        route: Name of the route that received the batch.
        host: Host of that route.
        step: Training step of the batch; 0 if the client sent none.
        model: The model that is trained.
        minimum_version: Oldest weight version that may generate tokens.
        wanted_groups: Number of complete groups that the trainer waits for.
        items: The items.
    """

    id: str
    organisation: str
    route: str
    host: str
    step: int
    model: str
    minimum_version: int
    wanted_groups: int
    items: list[Item]

    def find_problem(self) -> str | None:
        """Returns why the batch is invalid, or None if it is valid."""
        if not self.items:
            return "a batch must have at least one item, but it has none"
        ids = {item.id for item in self.items}
        if len(ids) != len(self.items):
            return "item ids must be unique, but two items have the same id"
        return None


@attrs.frozen
class Result:
    """Result of an item, as stored.

    Attributes:
        item: Id of the item.
        state: Outcome of the item.
        text: Data of all stream events, joined by line feeds.
        versions: Weight versions that generated the text, ascending.
        score: Signature of the scoring response; empty if not scored.
    """

    item: str
    state: ResultState
    text: str = ""
    versions: list[int] = attrs.field(factory=list)
    score: str = ""
