"""Callers, trainers and operators that note what they see."""

import itertools
import random
from typing import Any

import attrs
import orjson
import trio

from kingcupscale import clock as clocks
from kingcupscale import codec
from kingcupscale.configuration import editor as editors
from kingcupscale.fakes import judge
from kingcupscale.fakes import service as fake_service
from kingcupscale.fakes import tables
from kingcupscale.fakes import text
from kingcupscale.operating import messages as operating
from kingcupscale.rollouts import messages
from kingcupscale.rollouts import trainer as trainers
from kingcupscale.serving import plainservices
from kingcupscale.web import httpclient
from kingcupscale.web import message

TIMEOUT_S = 40.0
ATTEMPTS = 12
PAUSE_S = 0.3
OPERATOR_TIMEOUT_S = 20.0


@attrs.frozen
class NodeAddress:
    """A node's callers' or operators' listener."""

    name: str
    address: str


class Balancer:
    """Hands out nodes in turn, as the platform's balancer does.

    Attributes:
        nodes: The nodes it knows; changed as nodes come and go.
    """

    def __init__(self, nodes: list[NodeAddress]) -> None:
        self.nodes = nodes
        self.turns = itertools.count()

    def next(self) -> NodeAddress:
        """Returns the next node."""
        return self.nodes[next(self.turns) % len(self.nodes)]


class Caller:
    """A caller of one organisation.

    Args:
        http_client: Carries the requests.
        balancer: Hands out nodes.
        issued: The key.
        record: Where it notes what it sees.
        clock: Tells the time.
        rng: Chooses prompts.
    """

    def __init__(
        self,
        http_client: httpclient.HttpClient,
        balancer: Balancer,
        issued: tables.Issued,
        record: judge.Record,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.http_client = http_client
        self.balancer = balancer
        self.issued = issued
        self.record = record
        self.clock = clock
        self.rng = rng
        self.numbers = itertools.count()

    def _headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self.issued.text}"}

    async def complete(self, stream: bool = False) -> judge.Answer:
        """Asks for a completion, again until it has an answer."""
        name = self.issued.organisation
        prompt = f"quote for {name} number {next(self.numbers)}"
        body = {
            "model": tables.ENGINE_SERVICE,
            "prompt": prompt,
            "max_tokens": 40,
            "stream": stream,
        }
        request = message.json_request("/v1/completions", body, self._headers())
        expected = _expected_text(prompt, 40)
        read = _read_stream if stream else _read_whole

        def is_right(response: message.Response) -> bool:
            return read(response.body) == expected

        return await self._ask(request, is_right)

    async def quote(self, idempotency_key: str = "") -> judge.Answer:
        """Places an order at the plain service, at most once."""
        name = self.issued.organisation
        body = orjson.dumps(
            {"from": name, "number": next(self.numbers), "key": idempotency_key}
        )
        digest = fake_service.body_digest(body)
        self.record.once.add(digest)
        headers = {**self._headers(), "content-type": "application/json"}
        if idempotency_key:
            headers[plainservices.IDEMPOTENCY_HEADER] = idempotency_key
        path = f"/services/{tables.PLAIN_SERVICE}/quotes"
        request = message.Request("POST", path, "", headers, body)

        def is_right(response: message.Response) -> bool:
            answer = codec.decode(fake_service.ServiceAnswer, response.body)
            is_ours = answer.organisation == self.issued.label
            return is_ours and answer.body_digest == digest

        return await self._ask(
            request, is_right, digest, retry_unknown=bool(idempotency_key)
        )

    async def _ask(
        self,
        request: message.Request,
        is_right: Any,
        digest: str = "",
        retry_unknown: bool = True,
    ) -> judge.Answer:
        for _ in range(ATTEMPTS):
            answer = await self._ask_once(request, is_right, digest)
            self.record.answers.append(answer)
            if answer.status in (200, 401, 422):
                break
            if answer.run != "not_run" and not retry_unknown:
                break
            await self.clock.sleep(PAUSE_S)
        return answer

    async def _ask_once(
        self, request: message.Request, is_right: Any, digest: str
    ) -> judge.Answer:
        node = self.balancer.next()
        answer = judge.Answer(
            self.issued.label,
            self.issued.key_id,
            self.clock.monotonic(),
            0,
            digest=digest,
            node=node.name,
        )
        asked = attrs.evolve(request, headers=dict(request.headers))
        try:
            response = await httpclient.fetch(
                self.http_client, node.address, asked, TIMEOUT_S
            )
        except trio.Cancelled:
            self.record.answers.append(attrs.evolve(answer, run="unknown"))
            raise
        except httpclient.RequestError as e:
            run = "" if e.may_have_been_sent else "not_run"
            return attrs.evolve(answer, run=run, is_cut=e.may_have_been_sent)
        if response.status != 200:
            return attrs.evolve(
                answer, status=response.status, run=_read_run(response.body)
            )
        if _ends_in_error(response.body):
            return attrs.evolve(answer, status=502, run="unknown")
        return attrs.evolve(answer, status=200, is_right=is_right(response))


def _expected_text(prompt: str, max_tokens: int) -> str:
    count = text.length(prompt, 0, max_tokens)
    return " ".join(text.token("", prompt, 0, at, 0) for at in range(count))


def _read_run(body: bytes) -> str:
    try:
        return str(orjson.loads(body)["error"]["run"])
    except (ValueError, KeyError, TypeError):
        return ""


def _events(body: bytes) -> list[bytes]:
    lines = body.split(b"\n\n")
    return [line.removeprefix(b"data: ") for line in lines if line]


def _ends_in_error(body: bytes) -> bool:
    """Tells a stream that says itself that it is not whole."""
    if not body.startswith(b"data: "):
        return False
    return b'{"error"' in _events(body)[-1][:10]


def _read_whole(body: bytes) -> str:
    return str(orjson.loads(body)["choices"][0]["text"])


def _read_stream(body: bytes) -> str:
    *pieces, last = _events(body)
    if last != b"[DONE]":
        return ""
    return "".join(_read_whole(piece) for piece in pieces)


async def run_step(
    client: trainers.TrainerClient,
    name: str,
    specification: messages.StepSpecification,
    record: judge.Record,
) -> None:
    """Runs a trainer's step and notes the groups."""
    async for group in client.run_step(specification):
        delivery = judge.Delivery(name, specification, group, client.version)
        record.deliveries.append(delivery)


def make_step(
    trainer: str,
    number: int,
    version: int,
    groups: int,
    samples: int,
    max_tokens: int,
) -> messages.StepSpecification:
    """Returns a step of a trainer."""
    return messages.StepSpecification(
        codec.NaturalInt(number),
        codec.NaturalInt(version),
        [
            messages.GroupSpecification(
                codec.NaturalInt(group),
                f"grade bundle {number}-{group} for {trainer}",
            )
            for group in range(groups)
        ],
        codec.PositiveInt(samples),
        codec.PositiveInt(max_tokens),
        seed=number,
    )


class Operator:
    """An operator at one node's listener.

    Args:
        http_client: Carries the requests.
        address: ``host:port`` of the listener.
        key: The operator's key.
        record: Where they note what they see.
        clock: Tells the time.
    """

    def __init__(
        self,
        http_client: httpclient.HttpClient,
        address: str,
        key: str,
        record: judge.Record,
        clock: clocks.Clock,
    ) -> None:
        self.http_client = http_client
        self.address = address
        self.headers = {"authorization": f"Bearer {key}"}
        self.record = record
        self.clock = clock

    async def call(
        self, method: str, path: str, body: object = None
    ) -> message.Response:
        """Sends one request.

        Raises:
            RequestError: If no answer comes.
        """
        data = b"" if body is None else codec.encode(body)
        request = message.Request(method, path, "", dict(self.headers), data)
        return await httpclient.fetch(
            self.http_client, self.address, request, OPERATOR_TIMEOUT_S
        )

    async def status(self) -> operating.StatusResponse:
        """Returns how the node stands, and notes its revision."""
        response = await self.call("GET", "/status")
        status = codec.decode(operating.StatusResponse, response.body)
        if status.admitting:
            self.record.readings.append(
                judge.RevisionReading(
                    status.node,
                    status.incarnation,
                    status.revision,
                    self.clock.monotonic(),
                )
            )
        return status

    async def apply(
        self, tables_: dict[str, Any], reason: str
    ) -> message.Response:
        """Applies tables on the revision that the node has."""
        status = await self.status()
        body = operating.ApplyRequest(
            tables_, codec.NaturalInt(status.revision), reason
        )
        return self._note(await self.call("POST", "/configuration", body))

    async def withdraw(
        self, key_id: str, reason: str, emergency: bool = False
    ) -> message.Response:
        """Withdraws a key."""
        body = operating.WithdrawRequest(codec.Name(key_id), reason, emergency)
        response = await self.call("POST", "/keys/withdraw", body)
        if response.status == 200:
            self.record.withdrawn[key_id] = self.clock.monotonic()
        return self._note(response)

    def _note(self, response: message.Response) -> message.Response:
        if response.status == 200:
            accepted = codec.decode(editors.AcceptedChange, response.body)
            now = self.clock.monotonic()
            self.record.accepted.setdefault(accepted.revision, now)
        return response
