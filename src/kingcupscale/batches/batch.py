"""A batch of items, their results, and how the store holds both."""

import enum

import attrs


class ResultState(enum.Enum):
    """How an item ended."""

    DONE = "done"
    FAILED = "errored"


@attrs.frozen
class Scorer:
    """The call that scores an item's finished text."""

    id: str
    host: str
    path: str
    body: bytes


@attrs.frozen
class Item:
    """One sample to generate.

    Attributes:
        id: Its identity.
        path: Path at a backend server.
        headers: Headers that go with it, lower case.
        body: Its body.
        tokens: Prompt tokens and the most output tokens, together.
        group: Samples of one group share a prompt.
        scorer: The call that scores it; None if it needs none.
        length_hint: Output tokens that its caller expects; 0 if unknown.
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
    """Items that are submitted at once.

    Attributes:
        id: Its identity.
        organisation: Whose it is.
        route: Name of the route it came by.
        host: Host of that route.
        step: The trainer's step.
        model: The model that is trained.
        minimum_version: Oldest weight version that may generate its tokens.
        wanted_groups: Whole groups for which the trainer waits.
        items: Its items.
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
        """Returns what makes it unusable, or None."""
        if not self.items:
            return "a batch needs items"
        ids = {item.id for item in self.items}
        if len(ids) != len(self.items):
            return "two items bear the same id"
        return None


@attrs.frozen
class Result:
    """How an item ended, as listed.

    Attributes:
        item: The item's identity.
        state: Whether it is done.
        text: Data of all events, joined by line feeds.
        versions: Weight versions that made an event of the text, ascending.
        score: Signature of the scoring call.
    """

    item: str
    state: ResultState
    text: str = ""
    versions: list[int] = attrs.field(factory=list)
    score: str = ""
