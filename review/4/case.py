"""A batch that a client cancels cannot be ended, and its items run on.

A trainer submits a batch of 31 items with long prompts and cancels it right
after the 202. No cancellation is ever acknowledged, and items keep reaching
engines for as long as there are any.
"""

import asyncio
import base64
import os
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
RECORD = CASE / "record.txt"
sys.path.insert(0, str(CASE.parent))

import standins  # noqa: E402

HOST = "shop.example"
KEY = "key-of-one"
MODEL = "alpha"
ITEMS = 31
# Two such bodies do not fit into one value of the store.
BODY_BYTES = 290_000
EVENTS = 30
EVENT_S = 0.1
SLOTS = 2
CANCEL_AFTER_S = 3.0
PLAY_S = 40.0
ROLLOUT = {
    "name": "train",
    "host": HOST,
    "pathPrefix": "/train/",
    "kind": "rollout",
    "timeoutMs": 10000,
    "targetLatencyMs": 400,
    "dueMs": 30000,
    "maxAgeS": 600,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 3,
    "public": False,
}


class Engine(standins.Engine):
    """A model engine that records when requests for tokens begin."""

    began = {}

    async def stream(self, request, channel, version):
        """Streams the events of a text."""
        Engine.began.setdefault(request.id, []).append(time.monotonic())
        await super().stream(request, channel, version)


def make_configuration():
    """Returns a configuration with one engine service."""
    return {
        "version": 1,
        "routes": [ROLLOUT],
        "services": [
            {
                "name": "engines",
                "maxConnections": 140,
                "healthPath": "/health",
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": SLOTS, "models": [{"name": MODEL}]},
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


def make_batch():
    """Returns a batch whose items have long prompts."""
    items = []
    for number in range(ITEMS):
        item_id = standins.new_id()
        headers = {
            "X-Kingcupscale-Model": MODEL,
            "X-Kingcupscale-Token-Usage": "70000,400",
            "X-Kingcupscale-Prompt-Prefix": f"9c2e4{number}:70000",
        }
        items.append(
            {
                "id": item_id,
                "path": f"/train/0/{item_id[:4]}",
                "headers": headers,
                "body": base64.b64encode(os.urandom(BODY_BYTES)).decode(),
                "tokens": 70400,
                "group": f"g{number}",
            }
        )
    return {
        "id": standins.new_id(),
        "step": 0,
        "model": MODEL,
        "minVersion": 1,
        "desired": ITEMS,
        "items": items,
    }


async def cancel(world, batch):
    """Ends a batch, at one node after the other, until one answers 200.

    Returns:
        The time of the first request, and that of the answer 200 or None.
    """
    asked_at = time.monotonic()
    until = asked_at + PLAY_S - 10
    number = 0
    while time.monotonic() < until:
        node = world.nodes[number % len(world.nodes)]
        number += 1
        headers = {
            "Host": HOST,
            "Api-Key": KEY,
            "X-Kingcupscale-Request-Id": standins.new_id(),
            "X-Kingcupscale-Deadline-Ms": 3000,
        }
        answer = await standins.call(
            node.callers, "DELETE", f"/lots/{batch['id']}", headers
        )
        what = answer.status or answer.reason
        world.record.add("the client cancels at", node.name, "got", what)
        if answer.status == 200:
            return asked_at, time.monotonic()
        await asyncio.sleep(0.5)
    return asked_at, None


async def main():
    """Plays the case; returns its exit code."""
    async with standins.World(RECORD, nodes=3) as world:
        world.store.put_json("op/config", make_configuration())
        for number in range(2):
            engine = Engine(
                world.store, world.record, f"e{number}", "engines", MODEL
            )
            engine.events, engine.work_s, engine.slots = EVENTS, EVENT_S, SLOTS
            await world.add(engine)
        await world.start_nodes()
        batch = make_batch()
        answer = await standins.submit(world.nodes[0], ROLLOUT, KEY, batch)
        world.record.add("trainer: batch", batch["id"], "got", answer.status)
        if answer.status != 202:
            world.record.write("could not run: the batch was not accepted")
            return 2
        accepted_at = time.monotonic()
        asked_at = ended_at = None
        if standins.has_trouble():
            await asyncio.sleep(CANCEL_AFTER_S)
            asked_at, ended_at = await cancel(world, batch)
        await asyncio.sleep(max(0, accepted_at + PLAY_S - time.monotonic()))
        return judge(world, asked_at, ended_at)


def judge(world, asked_at, ended_at):
    """Writes the verdict on items that reached an engine after the end."""
    bounds = standins.BOUNDS
    late = []
    if asked_at is not None:
        counts_from = ended_at or asked_at + bounds["ackMs"] / 1000
        limit = counts_from + bounds["cancelMs"] / 1000
        late = [
            item
            for item, times in Engine.began.items()
            if any(moment > limit for moment in times)
        ]
    outcome = "was not asked" if asked_at is None else "got no 200"
    if ended_at is not None:
        outcome = f"got 200 after {ended_at - asked_at:.2f} s"
    verdict = (
        f"1 batch of {ITEMS} items accepted, {len(Engine.began)} reached an"
        f" engine; its end {outcome}; UNASKED: {len(late)} items reached an"
        " engine later than cancelMs after the end, and ran"
    )
    if not Engine.began:
        world.record.write(f"could not run: {verdict}")
        return 2
    world.record.write(verdict)
    return 1 if late else 0


if __name__ == "__main__":
    standins.run_case(main)
