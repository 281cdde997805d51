"""The clients of a soak test and the checks on what they receive.

Callers send single requests, trainers run batches, and an auditor rereads the
results of batches. ``Observations`` collects their responses and checks the
invariants.
"""

import functools

import orjson
import trio

from kingcupscale.platform import names
from kingcupscale.web import httpclient
from kingcupscale.web import message
from tests.platform import harness

CALL_TIMEOUT_S = 2.0
BATCH_TIMEOUT_S = 12.0
STEP_TIMEOUT_S = 8.0
ITEMS_PER_BATCH = 8
# Statuses which promise that the request did not run and will not run later.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Code of the refusal of a request under which servers crash.
BLOCKED_CODE = b'"code":1216'
# This long after the response to a DELETE, no request of the batch may run.
CANCEL_GRACE_S = 3.0


class Observations:
    """Records what clients received, and violated invariants as problems.

    Attributes:
        problems: Violated invariants, each with its time and details.
        once_statuses: Statuses of calls that may run at most once, by request
            id.
        accepted: Number of items by batch, for batches answered with 202.
        refused: Batches whose latest response other than 202 was a 503.
        results_by_batch: Results read so far, in order of position.
        deleted_at: When the DELETE of a batch was answered.
        served: Single calls that were answered with status 200.
        calls_sent: Single calls that were sent.
    """

    def __init__(self, world):
        self.world = world
        self.problems = []
        self.once_statuses = {}
        self.accepted = {}
        self.refused = set()
        self.results_by_batch = {}
        self.deleted_at = {}
        self.served = 0
        self.calls_sent = 0

    def add_problem(self, *details):
        """Records a problem with the current time."""
        self.problems.append((round(trio.current_time(), 3), *details))

    def check_response(self, request_id, status, response):
        """Checks the response to a single call."""
        if status == 200:
            self.served += 1
            signature = response.headers.get(names.SIGNATURE)
            if signature != f"signed-{request_id}":
                self.add_problem("signature", request_id, signature)
            if response.body != b"the answer":
                self.add_problem("body", request_id, response.body[:40])
        elif status in (401, 403, 404):
            self.add_problem("denied", request_id, status)
        elif status and BLOCKED_CODE in response.body:
            self.add_problem("harmless call blocked", request_id)

    def check_page(self, batch_id, after, page, node):
        """Checks a page of results against the results read before."""
        known_results = self.results_by_batch[batch_id]
        for position, result in enumerate(page["results"], after):
            if (
                position < len(known_results)
                and known_results[position] != result
            ):
                self.add_problem("changed", batch_id, position, node)
            if position == len(known_results):
                if result["id"] in {r["id"] for r in known_results}:
                    self.add_problem("twice", batch_id, result["id"], node)
                self._check_result(batch_id, result)
                known_results.append(result)

    def _check_result(self, batch_id, result):
        if result["state"] != "done":
            self.add_problem("sample failed", batch_id, result["id"])
            return
        if result["text"] != harness.text_of(40):
            self.add_problem("text", batch_id, result["id"])
        number = result["id"].rpartition("i")[2]
        if result["score"] != f"signed-{batch_id}-s{number}":
            self.add_problem("score", batch_id, result["score"])
        run_versions = {
            r.version for r in self.world.runs if r.request == result["id"]
        }
        if (
            not result["versions"]
            or not set(result["versions"]) <= run_versions
        ):
            self.add_problem(
                "versions", batch_id, result["versions"], sorted(run_versions)
            )

    def check_end(self):
        """Checks the invariants that can be checked only after the run."""
        runs = {}
        for run in self.world.runs:
            runs.setdefault(run.request, []).append(run)
        for request_id, status in self.once_statuses.items():
            count = len(runs.get(request_id, ()))
            if count > 1:
                self.add_problem(
                    "ran more than once: id, count", request_id, count
                )
            if status in NOT_RUN_STATUSES and count:
                self.add_problem("call ran though refused", request_id, status)
        for batch_id, deleted_at in self.deleted_at.items():
            late_requests = [
                run.request
                for run in self.world.runs
                if run.request.startswith(batch_id + "-i")
                and run.at > deleted_at + CANCEL_GRACE_S
            ]
            if late_requests:
                self.add_problem(
                    "ran after the batch was deleted", batch_id, late_requests
                )
        for batch_id in self.refused - set(self.accepted):
            if any(name.startswith(batch_id + "-") for name in runs):
                self.add_problem("batch ran though refused", batch_id)
        for window, reports in self.world.cloud.reports.items():
            serialized_counts = [
                orjson.dumps(r[2], option=orjson.OPT_SORT_KEYS) for r in reports
            ]
            if len(set(serialized_counts)) > 1:
                self.add_problem("conflicting usage reports for window", window)
        for violation in self.world.violations:
            self.add_problem("server", violation)


class Client:
    """Sends requests to the nodes over pooled connections."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.http_client = httpclient.PooledHttpClient()

    def pick_node(self):
        """Returns a random node."""
        return self.rng.choice(self.world.nodes)

    async def send(self, node, method, path, body=b"", timeout_s=2.0, **fields):
        """Returns the status and the response, or 0 and None without one."""
        headers = {
            "host": harness.HOST,
            names.KEY: harness.KEY,
            names.DEADLINE_MS: str(int(timeout_s * 1000)),
            **{name.replace("_", "-"): text for name, text in fields.items()},
        }
        path, _, query = path.partition("?")
        request = message.Request(method, path, query, headers, body)
        address = node.caller_proxy.address
        try:
            response = await httpclient.fetch(
                self.http_client, address, request, timeout_s
            )
        except httpclient.RequestError:
            return 0, None
        return response.status, response


class Caller(Client):
    """Sends single calls, one at a time."""

    def __init__(self, world, observations, name, rng):
        super().__init__(world, rng)
        self.observations = observations
        self.name = name

    async def run(self):
        """Sends calls until cancelled."""
        for number in range(10**9):
            path = self.rng.choice([harness.CALL_PATH, "/once/"])
            request_id = f"{self.name}-{number}"
            self.observations.calls_sent += 1
            status, response = await self.send(
                self.pick_node(),
                "POST",
                path + "x",
                b"question",
                CALL_TIMEOUT_S,
                **{names.REQUEST_ID: request_id},
            )
            self.observations.check_response(request_id, status, response)
            if path == "/once/":
                self.observations.once_statuses[request_id] = status
            await trio.sleep(self.rng.uniform(0.0, 0.1))


class Trainer(Client):
    """Submits, reads and deletes batches, and publishes weight versions."""

    def __init__(self, world, observations, name, rng):
        super().__init__(world, rng)
        self.observations = observations
        self.name = name

    async def run(self):
        """Runs training steps until cancelled."""
        for step in range(10**9):
            await self.train(f"{self.name}b{step}")
            if self.rng.random() < 0.5:
                self.world.publish_version()

    async def train(
        self, batch_id, timeout_s=STEP_TIMEOUT_S, items=ITEMS_PER_BATCH
    ):
        """Runs one step; returns whether all results arrived in time."""
        observations = self.observations
        with trio.move_on_after(timeout_s):
            await self._submit(batch_id, items)
            while len(observations.results_by_batch[batch_id]) < items:
                await self.read(
                    batch_id, len(observations.results_by_batch[batch_id])
                )
        if batch_id not in observations.accepted:
            return False
        await self._delete(batch_id)
        return len(observations.results_by_batch[batch_id]) == items

    async def _submit(self, batch_id, items):
        body = harness.make_batch(batch_id, items=items)
        while True:
            status, _ = await self.send(
                self.pick_node(),
                "POST",
                harness.BATCH_PATH + batch_id,
                body,
                BATCH_TIMEOUT_S,
                **{names.REQUEST_ID: batch_id},
            )
            if status == 202:
                self.observations.results_by_batch.setdefault(batch_id, [])
                self.observations.accepted[batch_id] = items
                return
            if status not in (0, 500, 502, 503, 504):
                self.observations.add_problem("batch", batch_id, status)
            if status == 503:
                self.observations.refused.add(batch_id)
            elif batch_id in self.observations.refused:
                self.observations.refused.discard(batch_id)
            await trio.sleep(0.2)

    async def read(self, batch_id, after=0):
        """Reads results from a random node, starting at position ``after``."""
        node = self.pick_node()
        status, response = await self.send(
            node,
            "GET",
            f"{names.BATCHES_PATH}{batch_id}?after={after}",
            timeout_s=2.5,
            **{names.WAIT_MS: "500"},
        )
        if status == 200:
            page = orjson.loads(response.body)
            self.observations.check_page(batch_id, after, page, node.name)
            return
        if status in (404, 410):
            self.observations.add_problem("lost", batch_id, status, node.name)
        await trio.sleep(0.1)

    async def _delete(self, batch_id):
        status = 0
        while status != 200:
            status, _ = await self.send(
                self.pick_node(), "DELETE", names.BATCHES_PATH + batch_id
            )
            if status == 404:
                self.observations.add_problem(
                    "batch unknown at its DELETE", batch_id
                )
        self.observations.deleted_at[batch_id] = trio.current_time()


class Auditor(Trainer):
    """Rereads the trainers' batches from the start, from a random node."""

    async def run(self):
        """Reads batches until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.3))
            if self.observations.accepted:
                await self.read(
                    self.rng.choice(sorted(self.observations.accepted))
                )


async def is_ready(node):
    """Returns whether the readiness endpoint of a node answers with 200."""
    request = message.Request(
        "GET", names.READY_PATH, "", {"host": node.readiness_address}
    )
    fetch = functools.partial(
        httpclient.fetch,
        httpclient.PooledHttpClient(),
        node.readiness_address,
        request,
    )
    try:
        return (await fetch(1.0)).status == 200
    except httpclient.RequestError:
        return False
