"""Nodes end by themselves because of one entry whose address cannot be read.

Another writer adds an entry under ``servers/``. Two of its fields are missing,
one is of another type, and its address is IPv6 text without brackets, so it is
no IP:PORT. The entry must name no engine to use.
"""

import asyncio
import base64
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
STRANGE_ADDRESS = "::1:9"
TRAFFIC_S = 45.0
TROUBLE_AT_S = 6.0
# The trainer names a version at these times.
VERSIONS_AT_S = {2: 10.0, 3: 17.0, 4: 24.0}
TIME_LIMIT_S = 3.0
ROLLOUT = {
    "name": "train",
    "host": HOST,
    "pathPrefix": "/train/",
    "kind": "rollout",
    "timeoutMs": 10000,
    "targetLatencyMs": 400,
    "dueMs": 7500,
    "maxAgeS": 60,
    "priority": 1,
    "service": "engines",
    "maxAttempts": 3,
    "public": False,
}
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
    """Returns a configuration with an engine service and a plain one."""
    common = {"healthPath": "/health", "protocol": "h1", "tls": False}
    engine = {"slots": 8, "models": [{"name": MODEL}]}
    return {
        "version": 1,
        "routes": [ROLLOUT, QUOTE],
        "services": [
            {"name": "engines", "maxConnections": 140, "engine": engine}
            | common,
            {"name": "desk", "maxConnections": 110} | common,
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "one", "apiKeys": [KEY], "priority": 1}],
    }


async def quote(world, node, answers, until):
    """Sends one request after the other over a kept channel."""
    client = standins.Client(node.callers)
    while time.monotonic() < until:
        request_id = standins.new_id()
        headers = {
            "Host": HOST,
            "Api-Key": KEY,
            "X-Kingcupscale-Request-Id": request_id,
            "X-Kingcupscale-Deadline-Ms": int(TIME_LIMIT_S * 1000),
        }
        was_kept = client.writer is not None
        answer = await client.send(
            "POST", "/quote/1", headers, b"quote", TIME_LIMIT_S
        )
        answers[request_id] = (node.name, was_kept, answer)
        what = answer.status or answer.reason
        world.record.add("client of", node.name, "got", what, request_id)
        if not answer.status:
            await asyncio.sleep(0.2)
    client.close()


def make_batch(step, version):
    """Returns a batch of two groups of four items."""
    batch_id = standins.new_id()
    items = []
    for number in range(8):
        item_id = standins.new_id()
        headers = {
            "X-Kingcupscale-Model": MODEL,
            "X-Kingcupscale-Token-Usage": "300,400",
            "X-Kingcupscale-Prompt-Prefix": f"9c2e4{number // 4}:300",
        }
        items.append(
            {
                "id": item_id,
                "path": f"/train/{step}/{item_id[:4]}",
                "headers": headers,
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 700,
                "group": f"g{step}{number // 4}",
            }
        )
    return {
        "id": batch_id,
        "step": step,
        "model": MODEL,
        "minVersion": max(1, version - 1),
        "desired": 2,
        "items": items,
    }


async def train(world, state, until):
    """Submits a batch every four seconds, at one node after the other."""
    step = 0
    while time.monotonic() < until - 12:
        batch = make_batch(step, state["version"])
        for attempt in range(2):
            node = world.nodes[(step + attempt) % len(world.nodes)]
            answer = await standins.submit(node, ROLLOUT, KEY, batch)
            if answer.status == 202:
                state["accepted"].append(batch["id"])
                break
        what = answer.status or answer.reason
        world.record.add("trainer: batch", batch["id"], "got", what)
        step += 1
        await asyncio.sleep(4.0)


async def name_versions(world, state, started_at):
    """Names the trainer's versions at their times."""
    for version, at_s in VERSIONS_AT_S.items():
        await asyncio.sleep(max(0, started_at + at_s - time.monotonic()))
        state["version"] = version
        named = {"model": MODEL, "version": version}
        world.store.put_json(f"op/version/{MODEL}", named)
        world.record.add("trainer names version", version)


async def add_strange_entry(world, started_at):
    """Writes an entry of another writer into the store."""
    await asyncio.sleep(max(0, started_at + TROUBLE_AT_S - time.monotonic()))
    strange = {"address": STRANGE_ADDRESS, "sequence": "one"}
    entry = world.servers[0].entry() | strange
    del entry["version"], entry["coldRemainingMs"]
    world.store.put_json("servers/x-other-writer", entry)
    world.record.add("another writer adds", entry)


async def count_listed(world, state):
    """Returns how many items of the accepted batches are listed at the end."""
    listed = {}
    for batch_id in state["accepted"]:
        for node in world.nodes:
            found = await standins.read_results(node, ROLLOUT, KEY, batch_id)
            if found is not None:
                listed[batch_id] = len(found["results"])
                break
    return listed


async def main():
    """Plays the case; returns its exit code."""
    async with standins.World(RECORD, nodes=4) as world:
        world.store.put_json("op/config", make_configuration())
        for number in range(3):
            server = standins.Engine(
                world.store, world.record, f"e{number}", "engines", MODEL
            )
            await world.add(server)
        for number in range(2):
            server = standins.Server(
                world.store, world.record, f"d{number}", "desk", 6, 0.3
            )
            await world.add(server)
        await world.start_nodes()
        started_at = time.monotonic()
        until = started_at + TRAFFIC_S
        state = {"version": 1, "accepted": []}
        answers = {}
        tasks = [name_versions(world, state, started_at)]
        if standins.has_trouble():
            tasks.append(add_strange_entry(world, started_at))
        world.tasks += [asyncio.create_task(task) for task in tasks]
        await asyncio.gather(
            train(world, state, until),
            *(quote(world, node, answers, until) for node in world.nodes),
        )
        listed = await count_listed(world, state)
        return judge(world, answers, state, listed)


def judge(world, answers, state, listed):
    """Writes the verdict on ended processes and unanswered requests."""
    ends = {node.name: len(node.ends) for node in world.nodes}
    run = {i for server in world.servers for i in server.runs}
    cut = {node.name: 0 for node in world.nodes}
    for request_id, (node_name, was_kept, answer) in answers.items():
        is_cut = was_kept and answer.reason.startswith("channel ended")
        cut[node_name] += is_cut and request_id in run
    served = sum(answer.status == 200 for _, _, answer in answers.values())
    verdict = (
        f"{len(answers)} requests, {served} served; processes that ended by"
        f" themselves: {ends}; LOST: requests on kept channels that were"
        f" passed on, and their channel closed without an answer: {cut};"
        f" {len(state['accepted'])} batches accepted, items listed: {listed}"
    )
    if not served:
        world.record.write(f"could not run: {verdict}")
        return 2
    world.record.write(verdict)
    return 1 if max(cut.values()) > 3 else 0


if __name__ == "__main__":
    standins.run_case(main)
