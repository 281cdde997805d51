"""Callers and trainers before the nodes, and what they must not see."""

import functools

import orjson
import trio

from kingcupscale.platform import names
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests.platform import harness

CALL_LIMIT_S = 2.0
BATCH_LIMIT_S = 12.0
STEP_S = 8.0
ITEMS = 8
# Statuses that say that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A batch whose end was answered sends nothing more after this.
CANCEL_S = 3.0


class Observed:
    """What callers have seen; a promise that was broken is a problem.

    Attributes:
        problems: What must not happen and did.
        calls: Statuses of calls that may run once, by request id.
        accepted: Batches that were answered with 202.
        refused: Batches that were refused at every attempt so far.
        results: Results by batch, in order of position.
        ended_at: When a batch's end was answered.
        served: Calls that were answered with success.
        asked: Calls that were sent.
    """

    def __init__(self, world):
        self.world = world
        self.problems = []
        self.calls = {}
        self.accepted = {}
        self.refused = set()
        self.results = {}
        self.ended_at = {}
        self.served = 0
        self.asked = 0

    def note(self, *words):
        """Notes a problem with its time."""
        self.problems.append((round(trio.current_time(), 3), *words))

    def check_answer(self, request_id, status, response):
        """Checks an answer to a single call."""
        if status == 200:
            self.served += 1
            signature = response.headers.get(names.SIGNATURE)
            if signature != f"signed-{request_id}":
                self.note("signature", request_id, signature)
            if response.body != b"the answer":
                self.note("body", request_id, response.body[:40])
        elif status in (401, 403, 404):
            self.note("denied", request_id, status)

    def check_page(self, batch_id, after, page, node):
        """Compares results with what was read before."""
        known = self.results[batch_id]
        for position, result in enumerate(page["results"], after):
            if position < len(known) and known[position] != result:
                self.note("changed", batch_id, position, node)
            if position == len(known):
                if result["id"] in {r["id"] for r in known}:
                    self.note("twice", batch_id, result["id"], node)
                self._check_result(batch_id, result)
                known.append(result)

    def _check_result(self, batch_id, result):
        if result["state"] != "done":
            self.note("given up", batch_id, result["id"])
            return
        if result["text"] != harness.text_of(40):
            self.note("text", batch_id, result["id"])
        number = result["id"].rpartition("i")[2]
        if result["score"] != f"signed-{batch_id}-s{number}":
            self.note("score", batch_id, result["score"])
        ran = {r.version for r in self.world.runs if r.request == result["id"]}
        if not result["versions"] or not set(result["versions"]) <= ran:
            self.note("versions", batch_id, result["versions"], sorted(ran))

    def check_end(self):
        """Checks what shows only once everything is over."""
        runs = {}
        for run in self.world.runs:
            runs.setdefault(run.request, []).append(run)
        for request_id, status in self.calls.items():
            count = len(runs.get(request_id, ()))
            if count > 1:
                self.note("ran twice", request_id, count)
            if status in NOT_RUN_STATUSES and count:
                self.note("ran though refused", request_id, status)
        for batch_id, ended_at in self.ended_at.items():
            late = [
                run.request
                for run in self.world.runs
                if run.request.startswith(batch_id + "-i")
                and run.at > ended_at + CANCEL_S
            ]
            if late:
                self.note("ran after its end", batch_id, late)
        for batch_id in self.refused - set(self.accepted):
            if any(name.startswith(batch_id + "-") for name in runs):
                self.note("ran though refused", batch_id)
        for window, reports in self.world.cloud.reports.items():
            counts = [
                orjson.dumps(r[2], option=orjson.OPT_SORT_KEYS) for r in reports
            ]
            if len(set(counts)) > 1:
                self.note("window reported differently", window)
        for words in self.world.violations:
            self.note("server", words)


class Client:
    """Sends requests to the nodes over connections that it keeps."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.http_client = httpclient.PooledHttpClient()

    def pick(self):
        """Returns a node."""
        return self.rng.choice(self.world.nodes)

    async def send(self, node, method, path, body=b"", limit_s=2.0, **fields):
        """Returns the status and the answer; status 0 for none."""
        headers = {
            "host": harness.HOST,
            names.KEY: harness.KEY,
            names.DEADLINE_MS: str(int(limit_s * 1000)),
            **{name.replace("_", "-"): text for name, text in fields.items()},
        }
        path, _, query = path.partition("?")
        request = message.Request(method, path, query, headers, body)
        address = node.front.address
        try:
            answer = await httpclient.fetch(
                self.http_client, address, request, limit_s
            )
        except httpclient.RequestError:
            return 0, None
        return answer.status, answer


class Caller(Client):
    """Sends single calls, one after the other."""

    def __init__(self, world, observed, name, rng):
        super().__init__(world, rng)
        self.observed = observed
        self.name = name

    async def run(self):
        """Calls until cancelled."""
        for number in range(10**9):
            path = self.rng.choice([harness.CALL_PATH, "/once/"])
            request_id = f"{self.name}-{number}"
            self.observed.asked += 1
            status, answer = await self.send(
                self.pick(),
                "POST",
                path + "x",
                b"question",
                CALL_LIMIT_S,
                **{names.REQUEST_ID: request_id},
            )
            self.observed.check_answer(request_id, status, answer)
            if path == "/once/":
                self.observed.calls[request_id] = status
            await trio.sleep(self.rng.uniform(0.0, 0.1))


class Trainer(Client):
    """Sends batches, reads and ends them, and names versions."""

    def __init__(self, world, observed, name, rng):
        super().__init__(world, rng)
        self.observed = observed
        self.name = name

    async def run(self):
        """Trains until cancelled."""
        for step in range(10**9):
            await self.train(f"{self.name}b{step}")
            if self.rng.random() < 0.5:
                self.world.name_version()

    async def train(self, batch_id, limit_s=STEP_S, items=ITEMS):
        """Runs one step; returns whether it was whole in time."""
        observed = self.observed
        with trio.move_on_after(limit_s):
            await self._submit(batch_id, items)
            while len(observed.results[batch_id]) < items:
                await self.read(batch_id, len(observed.results[batch_id]))
        if batch_id not in observed.accepted:
            return False
        await self._end(batch_id)
        return len(observed.results[batch_id]) == items

    async def _submit(self, batch_id, items):
        body = harness.make_batch(batch_id, items=items)
        while True:
            status, _ = await self.send(
                self.pick(),
                "POST",
                harness.BATCH_PATH + batch_id,
                body,
                BATCH_LIMIT_S,
                **{names.REQUEST_ID: batch_id},
            )
            if status == 202:
                self.observed.results.setdefault(batch_id, [])
                self.observed.accepted[batch_id] = items
                return
            if status not in (0, 500, 502, 503, 504):
                self.observed.note("batch", batch_id, status)
            if status == 503:
                self.observed.refused.add(batch_id)
            elif batch_id in self.observed.refused:
                self.observed.refused.discard(batch_id)
            await trio.sleep(0.2)

    async def read(self, batch_id, after=0):
        """Reads results at some node."""
        node = self.pick()
        status, answer = await self.send(
            node,
            "GET",
            f"{names.BATCHES_PATH}{batch_id}?after={after}",
            limit_s=2.5,
            **{names.WAIT_MS: "500"},
        )
        if status == 200:
            page = orjson.loads(answer.body)
            self.observed.check_page(batch_id, after, page, node.name)
            return
        if status in (404, 410):
            self.observed.note("lost", batch_id, status, node.name)
        await trio.sleep(0.1)

    async def _end(self, batch_id):
        status = 0
        while status != 200:
            status, _ = await self.send(
                self.pick(), "DELETE", names.BATCHES_PATH + batch_id
            )
            if status == 404:
                self.observed.note("lost at its end", batch_id)
        self.observed.ended_at[batch_id] = trio.current_time()


class Auditor(Trainer):
    """Reads batches of others from the start, at any node."""

    async def run(self):
        """Reads until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.3))
            if self.observed.accepted:
                await self.read(self.rng.choice(sorted(self.observed.accepted)))


async def is_ready(node):
    """Tells whether a node says that it takes callers."""
    request = message.Request(
        "GET", names.READY_PATH, "", {"host": node.readiness}
    )
    fetch = functools.partial(
        httpclient.fetch, httpclient.PooledHttpClient(), node.readiness, request
    )
    try:
        return (await fetch(1.0)).status == 200
    except httpclient.RequestError:
        return False
