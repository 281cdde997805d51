"""Sends a request under which servers end, and checks that nodes block it."""

import functools

import trio

from kingcupscale.platform import names
from tests.platform import harness
from tests.soak import callers
from tests.soak import evacuations
from tests.soak import world as worlds

# Share of the seeds that have a fatal request.
SHARE = 0.5
# One attempt may end three servers. Enough are left in each zone.
PLAIN_SERVERS = 8
BODY = b"fatal"
OTHER_KEY = "key-of-two"
# The first attempt comes among the faults, at a random time up to this one.
MAX_START_S = 6.0
MIN_INTERVAL_S = 0.2
MAX_INTERVAL_S = 1.2
MONITOR_INTERVAL_S = 0.05
# Share of the attempts that are sent among harmless requests, and their number.
CROWD_SHARE = 0.4
CROWD = 4
# Nodes that are undisturbed for this long know what has changed, as for
# evacuations; the protocol allows at least 3 s.
CONTACT_S = evacuations.LIMIT_S
# Ends after which a request is blocked, and further tries that are allowed.
BLOCKING_ENDS = 3
MAX_LATE_TRIES = 3
# A refusal waits for no server; a call waits for one for up to 2 s.
REFUSAL_S = 0.5


def is_drawn(seed):
    """Returns whether a seed has a fatal request."""
    return worlds.make_rng(seed, "crash").random() < SHARE


class FatalRequest(callers.Client):
    """Sends the fatal request again and again, each time with a new id.

    Args:
        world: The world under test.
        observations: Records the problems.
        rng: Chooses the path, the nodes and the times.
        uncontrolled: The uncontrolled clients. A node whose memory they hold
            lets a call wait before it looks at it.

    Attributes:
        path: Path of the request, of a route with or without retries.
        nodes: The nodes that got the request, by request id.
        ends: Times at which servers ended under it.
        tried: Ids under which servers ended.
        late_tries: Ids sent on by nodes that had had time to learn of it.
        undisturbed_since: Time of the last disturbance, by node.
        ready_starts: The start with which a node was last ready, by node.
        log: The same as a log of faults.
    """

    def __init__(self, world, observations, rng, uncontrolled):
        super().__init__(world, rng)
        self.observations = observations
        self.uncontrolled = uncontrolled
        self.path = rng.choice([harness.CALL_PATH, "/once/"]) + "x"
        self.nodes = {}
        self.ends = []
        self.tried = set()
        self.late_tries = []
        self.undisturbed_since = {}
        self.ready_starts = {}
        self.log = []

    def matches(self, request):
        """Returns whether a request at a server is the fatal one."""
        organisation = request.headers.get(names.ORGANISATION)
        return (request.path, organisation, request.body) == (
            self.path,
            harness.ORGANISATION,
            BODY,
        )

    def check_try(self, request_id):
        """Records that a server has ended; checks that few nodes send it."""
        now = trio.current_time()
        node = self.nodes[request_id]
        self.log.append((round(now, 3), "server ended", request_id, node.name))
        if self._must_know(node):
            self.late_tries.append(request_id)
            if len(self.late_tries) > MAX_LATE_TRIES:
                self.observations.add_problem(
                    "fatal request sent", node.name, self.late_tries
                )
        self.ends.append(now)
        self.tried.add(request_id)

    def _must_know(self, node):
        """Returns whether a node has had time to learn of the third end."""
        if len(self.ends) < BLOCKING_ENDS:
            return False
        since = max(
            self.ends[BLOCKING_ENDS - 1], self.undisturbed_since[node.name]
        )
        return trio.current_time() > since + CONTACT_S

    async def run(self):
        """Sends the request until cancelled."""
        async with trio.open_nursery() as nursery:
            for node in self.world.nodes:
                self.undisturbed_since[node.name] = 0.0
                nursery.start_soon(self._monitor, node)
            await trio.sleep(self.rng.uniform(0.0, MAX_START_S))
            for number in range(10**9):
                await trio.sleep(
                    self.rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
                )
                if self.rng.random() < CROWD_SHARE:
                    for place in range(CROWD):
                        nursery.start_soon(
                            self._send_harmless, f"h{number}-{place}", place
                        )
                nursery.start_soon(self._send_fatal, f"f{number}")

    async def _monitor(self, node):
        while True:
            if self._is_disturbed(node) or await self._is_starting(node):
                self.undisturbed_since[node.name] = trio.current_time()
            await trio.sleep(MONITOR_INTERVAL_S)

    def _is_disturbed(self, node):
        store = self.world.unreliable_store
        return (
            node.is_paused
            or node.is_stop_requested
            or node.process.poll() is not None
            or self.world.store.is_down
            or store.max_delay_s > 0
            or store.lost_response_rate > 0
            or any(
                link.is_refusing or link.delay_s or link.stalled_directions
                for link in (node.caller_proxy, node.store_proxy)
            )
        )

    async def _is_starting(self, node):
        """Returns whether a node has not been ready since its start."""
        starts = node.starts
        if self.ready_starts.get(node.name, 1) == starts:
            return False
        if await callers.is_ready(node):
            self.ready_starts[node.name] = starts
        return True

    async def _send_harmless(self, request_id, place):
        """Sends a request that shares all but the body or the caller."""
        body, key = (
            (b"harmless", harness.KEY),
            (b"harmless", harness.KEY),
            (request_id.encode(), harness.KEY),
            (BODY, OTHER_KEY),
        )[place]
        self.observations.calls_sent += 1
        status, response = await self._post(
            self.pick_node(), request_id, body, key
        )
        self.observations.check_response(request_id, status, response)

    def _post(self, node, request_id, body, key):
        fields = {names.REQUEST_ID: request_id, names.KEY: key}
        post = functools.partial(self.send, **fields)
        return post(node, "POST", self.path, body, callers.CALL_TIMEOUT_S)

    def _is_crowded(self, node):
        """Returns whether uncontrolled clients are connected to a node."""
        addresses = (
            node.caller_address,
            node.readiness_address,
            node.peer_address,
        )
        return any(self.uncontrolled.connected[a] for a in addresses)

    async def _send_fatal(self, request_id):
        node = self.pick_node()
        self.nodes[request_id] = node
        is_bound = self._must_know(node) and not self._is_crowded(node)
        undisturbed_since = self.undisturbed_since[node.name]
        sent_at = trio.current_time()
        status, response = await self._post(node, request_id, BODY, harness.KEY)
        elapsed_s = round(trio.current_time() - sent_at, 3)
        is_undisturbed = undisturbed_since == self.undisturbed_since[node.name]
        must_refuse = is_bound and is_undisturbed and not self._is_crowded(node)
        details = request_id, node.name, status, elapsed_s
        if request_id in self.tried:
            # A node that was paused may find its deadline over.
            if status not in (0, 502) and (is_undisturbed or status != 504):
                self.observations.add_problem("fatal request ran", *details)
        elif status and must_refuse:
            is_blocked = status == 503 and callers.BLOCKED_CODE in response.body
            if not is_blocked or elapsed_s > REFUSAL_S:
                self.observations.add_problem(
                    "fatal request not refused at once",
                    *details,
                    response.body[:80],
                )
