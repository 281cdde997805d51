"""A planned stop cuts requests when the settings file changes meanwhile.

Machines get SIGTERM in turn. While one is draining, it gets SIGHUP, because its
settings file has changed.
"""

import asyncio
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
RECORD = CASE / "record.txt"
sys.path.insert(0, str(CASE.parent))

import standins  # noqa: E402

HOST = "shop.example"
KEY = "key-of-one"
WORK_S = 0.3
TIME_LIMIT_S = 3.0
ROUNDS = 2
HUP_AFTER_S = 0.5
NEXT_AFTER_S = 9.0
TRAFFIC_S = 4 + ROUNDS * 2 * NEXT_AFTER_S
QUOTE = {
    "name": "quote",
    "host": HOST,
    "pathPrefix": "/quote/",
    "kind": "idempotent",
    "timeoutMs": 3000,
    "targetLatencyMs": 600,
    "priority": 1,
    "service": "desk",
    "maxAttempts": 2,
    "public": False,
}


def make_configuration():
    """Returns a configuration with one plain service."""
    return {
        "version": 1,
        "routes": [QUOTE],
        "services": [
            {
                "name": "desk",
                "maxConnections": 110,
                "healthPath": "/health",
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [KEY], "priority": 1}],
    }


class Ingress:
    """Asks each node once a second whether it is ready, as the platform."""

    def __init__(self, world):
        self.world = world
        self.misses = {node.name: 0 for node in world.nodes}

    async def watch(self, node):
        """Counts the questions in a row without a 200."""
        while True:
            answer = await standins.call(node.ready, "GET", "/ready")
            is_hit = answer.status == 200
            self.misses[node.name] = 0 if is_hit else self.misses[node.name] + 1
            await asyncio.sleep(1.0)

    def choose(self, preferred):
        """Returns the preferred node, or the next one in rotation."""
        nodes = self.world.nodes
        start = nodes.index(preferred)
        ordered = nodes[start:] + nodes[:start]
        ready = [node for node in ordered if self.misses[node.name] < 2]
        return (ready or ordered)[0]


async def quote(world, ingress, preferred, cut, counts, until):
    """Sends one request after the other; opens a channel when it has none."""
    client = standins.Client(preferred.callers)
    node = preferred
    while time.monotonic() < until:
        if client.writer is None:
            node = ingress.choose(preferred)
            client.address = node.callers
        request_id = standins.new_id()
        headers = {
            "Host": HOST,
            "Api-Key": KEY,
            "X-Kingcupscale-Request-Id": request_id,
            "X-Kingcupscale-Deadline-Ms": int(TIME_LIMIT_S * 1000),
        }
        answer = await client.send(
            "POST", "/quote/1", headers, b"quote", TIME_LIMIT_S
        )
        counts["sent"] += 1
        counts["served"] += answer.status == 200
        what = answer.status or answer.reason
        world.record.add("client of", node.name, "got", what, request_id)
        is_run = any(request_id in server.runs for server in world.servers)
        is_ended = answer.reason.startswith("channel ended")
        if is_ended and is_run and node.is_stopping:
            cut.append((request_id, node.name))
            world.record.add("cut after it was passed on:", request_id)
        if not answer.status:
            await asyncio.sleep(0.1)
    client.close()


async def stop_in_turn(world):
    """Stops the nodes in turn; their settings files change meanwhile."""
    await asyncio.sleep(3.0)
    for _ in range(ROUNDS):
        for node in world.nodes[:2]:
            started_at = time.monotonic()
            node.is_wanted = False
            node.is_stopping = True
            world.record.add(node.name, "gets SIGTERM")
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(HUP_AFTER_S)
            if standins.has_trouble() and node.process.poll() is None:
                world.record.add(node.name, "gets SIGHUP")
                node.first_seed = 1 - node.first_seed
                node.write_settings()
                node.process.send_signal(signal.SIGHUP)
            while node.process.poll() is None:
                await asyncio.sleep(0.02)
                if time.monotonic() - started_at > standins.BOUNDS["graceS"]:
                    node.process.kill()
            took_s = time.monotonic() - started_at
            world.record.add(node.name, f"has ended {took_s:.2f} s after it")
            await asyncio.sleep(standins.RESTART_DELAY_S)
            node.is_stopping = False
            node.start()
            left_s = NEXT_AFTER_S - (time.monotonic() - started_at)
            await asyncio.sleep(max(0.0, left_s))


async def main():
    """Plays the case; returns its exit code."""
    async with standins.World(RECORD, nodes=4) as world:
        world.store.put_json("op/config", make_configuration())
        for number in range(3):
            server = standins.Server(
                world.store, world.record, f"d{number}", "desk", 6, WORK_S
            )
            await world.add(server)
        await world.start_nodes()
        for node in world.nodes:
            node.is_stopping = False
        ingress = Ingress(world)
        cut, counts = [], {"sent": 0, "served": 0}
        until = time.monotonic() + TRAFFIC_S
        world.tasks += [
            asyncio.create_task(ingress.watch(node)) for node in world.nodes
        ]
        world.tasks.append(asyncio.create_task(stop_in_turn(world)))
        preferred = [node for node in world.nodes for _ in range(3)]
        await asyncio.gather(
            *(
                quote(world, ingress, node, cut, counts, until)
                for node in preferred
            )
        )
        return judge(world, cut, counts)


def judge(world, cut, counts):
    """Writes the verdict on requests that a planned stop has cut."""
    verdict = (
        f"{counts['sent']} requests, {counts['served']} served; LOST:"
        f" {len(cut)} were read and passed on, and their channel ended without"
        " an answer, under planned work only"
    )
    if not counts["served"]:
        world.record.write(f"could not run: {verdict}")
        return 2
    world.record.write(verdict)
    return 1 if cut else 0


if __name__ == "__main__":
    standins.run_case(main)
