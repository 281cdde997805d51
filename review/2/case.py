"""An accepted batch that nobody has ended is removed from the store.

A tenant loses its last key right after a batch of it was accepted, and gets a
new key about a minute and a half later. The trainer then reads the batch with
the new key. It has not ended the batch, so the batch must still be there.
"""

import asyncio
import base64
import json
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
RECORD = CASE / "record.txt"
sys.path.insert(0, str(CASE.parent))

import standins  # noqa: E402

HOST = "shop.example"
OLD_KEY = "key-of-one"
NEW_KEY = "new-key-of-one"
OTHER_KEY = "key-of-two"
MODEL = "alpha"
ITEMS = 8
# The deployments keep 120 s; a shorter retention fits into a script.
RETENTION_S = 20
REVOKED_AFTER_S = 1.0
GRANTED_AFTER_S = 88.0
READ_FOR_S = 8.0
ROLLOUT = {
    "name": "train",
    "host": HOST,
    "pathPrefix": "/train/",
    "kind": "rollout",
    "timeoutMs": 10000,
    "targetLatencyMs": 400,
    "dueMs": 7500,
    "maxAgeS": 600,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 3,
    "public": False,
}


def make_configuration(version, keys):
    """Returns a configuration in which a tenant has the given keys."""
    return {
        "version": version,
        "routes": [ROLLOUT],
        "services": [
            {
                "name": "engines",
                "maxConnections": 140,
                "healthPath": "/health",
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 8, "models": [{"name": MODEL}]},
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "one", "apiKeys": keys, "priority": 1},
            {"name": "two", "apiKeys": [OTHER_KEY], "priority": 1},
        ],
    }


def make_batch():
    """Returns a batch of two groups of four items."""
    items = []
    for number in range(ITEMS):
        item_id = standins.new_id()
        headers = {
            "X-Kingcupscale-Model": MODEL,
            "X-Kingcupscale-Token-Usage": "300,400",
            "X-Kingcupscale-Prompt-Prefix": f"9c2e4{number // 4}:300",
        }
        items.append(
            {
                "id": item_id,
                "path": f"/train/0/{item_id[:4]}",
                "headers": headers,
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 700,
                "group": f"g{number // 4}",
            }
        )
    return {
        "id": standins.new_id(),
        "step": 0,
        "model": MODEL,
        "minVersion": 1,
        "desired": 2,
        "items": items,
    }


async def read(world, node, key, batch):
    """Reads a batch from the start; returns the status and the results."""
    headers = {
        "Host": HOST,
        "Api-Key": key,
        "X-Kingcupscale-Request-Id": standins.new_id(),
        "X-Kingcupscale-Deadline-Ms": 3000,
        "X-Kingcupscale-Wait-Ms": 1000,
    }
    target = f"/lots/{batch['id']}?after=0"
    answer = await standins.call(node.callers, "GET", target, headers)
    results = []
    if answer.status == 200:
        results = json.loads(answer.body)["results"]
    world.record.add(
        "trainer reads at", node.name, "got", answer.status, len(results)
    )
    return answer.status, results


async def end(world, node, key, batch):
    """Ends a batch; returns the status."""
    headers = {
        "Host": HOST,
        "Api-Key": key,
        "X-Kingcupscale-Request-Id": standins.new_id(),
        "X-Kingcupscale-Deadline-Ms": 3000,
    }
    answer = await standins.call(
        node.callers, "DELETE", f"/lots/{batch['id']}", headers
    )
    world.record.add("trainer ends the batch, got", answer.status)
    return answer.status


async def train(world, batch, accepted_at):
    """Reads a batch until it is complete, with the key that is in force.

    Returns:
        The statuses of reads with a key in force, and the number of results.
    """
    statuses = []
    key, until = OLD_KEY, accepted_at + READ_FOR_S
    if standins.has_trouble():
        await asyncio.sleep(REVOKED_AFTER_S)
        world.store.put_json("op/config", make_configuration(2, []))
        world.record.add("the tenant loses its last key")
        await asyncio.sleep(3.0)
        await read(world, world.nodes[0], OLD_KEY, batch)
        await asyncio.sleep(accepted_at + GRANTED_AFTER_S - time.monotonic())
        world.store.put_json("op/config", make_configuration(3, [NEW_KEY]))
        world.record.add("the tenant gets a new key")
        await asyncio.sleep(standins.BOUNDS["configApplyMs"] / 1000 + 1.0)
        key, until = NEW_KEY, time.monotonic() + READ_FOR_S
    while time.monotonic() < until:
        for node in world.nodes:
            status, results = await read(world, node, key, batch)
            statuses.append(status)
            if len(results) == ITEMS:
                await end(world, node, key, batch)
                return statuses, len(results)
        await asyncio.sleep(0.5)
    return statuses, 0


async def main():
    """Plays the case; returns its exit code."""
    standins.BOUNDS["statusRetentionS"] = RETENTION_S
    async with standins.World(RECORD, nodes=3) as world:
        world.store.put_json("op/config", make_configuration(1, [OLD_KEY]))
        for number in range(2):
            server = standins.Engine(
                world.store, world.record, f"e{number}", "engines", MODEL
            )
            await world.add(server)
        await world.start_nodes()
        batch = make_batch()
        answer = await standins.submit(world.nodes[0], ROLLOUT, OLD_KEY, batch)
        world.record.add("trainer: batch", batch["id"], "got", answer.status)
        if answer.status != 202:
            world.record.write("could not run: the batch was not accepted")
            return 2
        statuses, count = await train(world, batch, time.monotonic())
        return judge(world, statuses, count)


def judge(world, statuses, count):
    """Writes the verdict on the batch that was accepted and not ended."""
    whole = sum(len(server.whole) for server in world.servers)
    gone = sum(status in (404, 410) for status in statuses)
    verdict = (
        f"1 batch of {ITEMS} items accepted, {whole} run to their end, {count}"
        f" results read; LOST: {gone} of {len(statuses)} reads with a key in"
        " force got 404 or 410 though the batch was not ended"
    )
    world.record.write(verdict)
    return 1 if gone else 0 if count == ITEMS else 2


if __name__ == "__main__":
    standins.run_case(main)
