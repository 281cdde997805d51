"""Compares calls through a node with direct calls to the same fake engine."""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import statistics
import sys
import tempfile
import time

import attrs
import orjson
import trio

from bench import deployment as deployments
from bench import processes
from kingcupscale.fakes import tables as sample
from kingcupscale.providers import engine
from kingcupscale.web import httpclient
from kingcupscale.web import message

REQUESTS = 400
CONCURRENCY = 8
WARM_UP = 60
TOKENS = 8
LONG_TOKENS = 512
STREAMS = 40
DESIGN_REQUESTS_PER_S = 13.4
DESIGN_TOKENS_PER_S = 3700.0
TIMEOUT_S = 30.0
RELAY_START_S = 3.0


@attrs.frozen
class Path:
    """Latency and throughput of one path to the engine.

    Attributes:
        p50_ms: Median latency of a call, one call at a time.
        p99_ms: 99th percentile of this latency.
        requests_per_s: Calls completed per second with concurrent callers.
    """

    p50_ms: float
    p99_ms: float
    requests_per_s: float


@attrs.frozen
class Report:
    """Result of the comparison.

    Attributes:
        direct: Calls directly to the fake engine.
        through_relay: Calls through a minimal proxy on the same libraries.
        through_node: Calls through a node.
        relay_added_p50_ms: Median latency added by the proxy.
        added_p50_ms: Median latency added by the node.
        added_p99_ms: Latency added by the node at the 99th percentile.
        cpu_ms_per_request: Processor time of the node for a call.
        cpu_us_per_token: Processor time of the node for a streamed token.
        resident_mb: Resident memory of the node.
        idle_core_share: Fraction of a core that the node uses without calls.
        design_core_share: Fraction of a core that the node uses at the design
            load.
    """

    direct: Path
    through_relay: Path
    through_node: Path
    relay_added_p50_ms: float
    added_p50_ms: float
    added_p99_ms: float
    cpu_ms_per_request: float
    cpu_us_per_token: float
    resident_mb: float
    idle_core_share: float
    design_core_share: float


def _direct_request(number: int) -> message.Request:
    body = engine.GenerateRequest(
        f"bench-{number}", "", f"prompt {number}", 0, TOKENS, chunk_tokens=64
    )
    return message.json_request("/generate", body)


def _node_request(
    number: int, key: str, tokens: int, stream: bool
) -> message.Request:
    body = {
        "model": sample.ENGINE_SERVICE,
        "prompt": f"prompt {number}",
        "max_tokens": tokens,
        "stream": stream,
    }
    headers = {"authorization": f"Bearer {key}"}
    return message.json_request("/v1/completions", body, headers)


class Comparison:
    """One comparison on a running deployment.

    Args:
        deployment: The deployment.
        relay: ``host:port`` of a minimal proxy to the same engine.
    """

    def __init__(self, deployment: deployments.Deployment, relay: str) -> None:
        self.deployment = deployment
        self.relay = relay
        self.http_client = httpclient.PooledHttpClient()
        self.node = deployment.nodes[0].listeners.callers
        self.pid = deployment.pids[0]
        self.key = deployment.issued[0].text
        self.bodies: list[bytes] = []

    async def run(self) -> Report:
        """Measures all paths, in turns, and returns the comparison."""
        await self._call_node(WARM_UP)
        await self._call_direct(WARM_UP)
        await self._call_relay(WARM_UP)
        idle = await self._measure_idle()
        direct, relayed, through = [], [], []
        for _ in range(4):
            direct += await self._call_direct(REQUESTS // 4)
            relayed += await self._call_relay(REQUESTS // 4)
            through += await self._call_node(REQUESTS // 4)
        direct_s = await self._time_calls(self._call_direct)
        relay_s = await self._time_calls(self._call_relay)
        cpu_before = processes.cpu_s(self.pid)
        node_s = await self._time_calls(self._call_node)
        cpu_s = processes.cpu_s(self.pid) - cpu_before - idle * node_s
        per_token_us = await self._measure_tokens(idle, cpu_s / REQUESTS)
        return self._make_report(
            _summarise(direct, direct_s),
            _summarise(relayed, relay_s),
            _summarise(through, node_s),
            1000 * cpu_s / REQUESTS,
            per_token_us,
            idle,
        )

    async def _measure_idle(self) -> float:
        before = processes.cpu_s(self.pid)
        await trio.sleep(5)
        return (processes.cpu_s(self.pid) - before) / 5

    async def _measure_tokens(self, idle: float, request_s: float) -> float:
        before = processes.cpu_s(self.pid)
        started_at = time.monotonic()
        requests = [
            _node_request(10**6 + n, self.key, LONG_TOKENS, True)
            for n in range(STREAMS * 20)
        ]
        tokens = 0
        for start in range(0, len(requests), STREAMS):
            batch = requests[start : start + STREAMS]
            await self._call(self.node, batch, STREAMS)
            tokens += sum(map(_count_tokens, self.bodies))
        used_s = processes.cpu_s(self.pid) - before
        used_s -= idle * (time.monotonic() - started_at)
        used_s -= request_s * len(requests)
        return 1e6 * used_s / max(1, tokens)

    async def _call_direct(
        self, count: int, concurrency: int = 1
    ) -> list[float]:
        address = self.deployment.engine_addresses()[0]
        requests = [_direct_request(number) for number in range(count)]
        return await self._call(address, requests, concurrency)

    async def _time_calls(
        self, call: Callable[[int, int], Awaitable[list[float]]]
    ) -> float:
        started_at = time.monotonic()
        await call(REQUESTS, CONCURRENCY)
        return time.monotonic() - started_at

    async def _call_relay(
        self, count: int, concurrency: int = 1
    ) -> list[float]:
        requests = [_direct_request(number) for number in range(count)]
        return await self._call(self.relay, requests, concurrency)

    async def _call_node(self, count: int, concurrency: int = 1) -> list[float]:
        requests = [
            _node_request(number, self.key, TOKENS, False)
            for number in range(count)
        ]
        return await self._call(self.node, requests, concurrency)

    async def _call(
        self, address: str, requests: list[message.Request], concurrency: int
    ) -> list[float]:
        times: list[float] = []
        self.bodies = []
        pending = list(requests)

        async def run_worker() -> None:
            while pending:
                request = pending.pop()
                started_at = time.monotonic()
                response = await httpclient.fetch(
                    self.http_client, address, request, TIMEOUT_S
                )
                if response.status != 200:
                    raise RuntimeError(response.body.decode())
                times.append(1000 * (time.monotonic() - started_at))
                self.bodies.append(response.body)

        async with trio.open_nursery() as nursery:
            for _ in range(concurrency):
                nursery.start_soon(run_worker)
        return times

    def _make_report(
        self,
        direct: Path,
        relayed: Path,
        through: Path,
        request_ms: float,
        token_us: float,
        idle: float,
    ) -> Report:
        requests_share = DESIGN_REQUESTS_PER_S * request_ms / 1000
        tokens_share = DESIGN_TOKENS_PER_S * token_us / 1e6
        return Report(
            direct,
            relayed,
            through,
            round(relayed.p50_ms - direct.p50_ms, 2),
            round(through.p50_ms - direct.p50_ms, 2),
            round(through.p99_ms - direct.p99_ms, 2),
            round(request_ms, 2),
            round(token_us, 1),
            round(processes.resident_mb(self.pid), 1),
            round(idle, 4),
            round(requests_share + tokens_share + idle, 3),
        )


def _count_tokens(body: bytes) -> int:
    """Returns the number of tokens in a stream of server-sent events."""
    events = [event.removeprefix(b"data: ") for event in body.split(b"\n\n")]
    chunks = [orjson.loads(event) for event in events if event[:1] == b"{"]
    texts = [chunk["choices"][0]["text"] for chunk in chunks]
    return len("".join(texts).split())


def _summarise(times_ms: list[float], seconds: float) -> Path:
    percentiles = statistics.quantiles(times_ms, n=100)
    return Path(
        round(percentiles[49], 2),
        round(percentiles[98], 2),
        round(len(times_ms) / seconds, 1),
    )


def main() -> int:
    """Runs the comparison from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    with (
        tempfile.TemporaryDirectory() as folder,
        deployments.running(pathlib.Path(folder), 4) as deployment,
    ):
        relay = f"127.0.0.1:{deployments.free_ports(1)[0]}"
        engine_address = deployment.engine_addresses()[0]
        with processes.run_module("bench.relay", relay, engine_address):
            time.sleep(RELAY_START_S)
            report = trio.run(Comparison(deployment, relay).run)
    values = attrs.asdict(report)
    if arguments.json:
        print(orjson.dumps(values).decode())
    else:
        for name, value in values.items():
            print(f"{name:20} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
