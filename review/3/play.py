"""A worker crashes while it reads the first order of a lasting task: the task
has no run for long."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins

EARLIER = "00000000000000a1"
LASTING = "00000000000000b2"
DOWN_S = 3.0  # the worker's machine is down for so long
CALM_S = 4.0 + 3.0  # the rule: 3 s without a run, and the 4 s before are calm


async def play(world, trouble):
    await world.start(instances=3, workers=6)
    if not await world.wait_ready():
        return None
    record = world.record
    client = standins.Client(record)
    # Each worker runs a task, and its idle channels have been closed.
    body = {"spec": json.dumps({"lasts": True, "cpu": 4000}),
            "steps": [{"count": 6, "cpu": 4000, "memMb": 100, "longRunning": True,
                       "maxPerServer": 1}]}
    if await client.submit(world.instances, EARLIER, body) != 200:
        return None
    await asyncio.sleep(18)
    crashed = []

    async def crash(worker):
        address = worker.id
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.id += "-again"  # a new boot at the same address
        await worker.start()
        await asyncio.sleep(1.5)
        world.store.put("keyed.servers", address, None)

    def hook(worker, path, value):
        if crashed:
            return ("silent",) if worker.id == crashed[0][1] else None
        if path == "/api/run-start":
            crashed.append((record.now(), worker.id))
            record.add("crash", worker.id, "reads", value["task"])
            asyncio.create_task(crash(worker))
            return ("silent",)
        return None

    if trouble:
        for worker in world.workers:
            worker.hook = hook
    body = {"spec": json.dumps({"lasts": True, "cpu": 1000}),
            "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "longRunning": True}]}
    if await client.submit(world.instances, LASTING, body) != 200:
        return None
    await asyncio.sleep(30)
    if trouble and not crashed:
        return None
    since = crashed[0][0] if trouble else record.now()
    until = since + DOWN_S + CALM_S
    starts = [row[0] for row in record.rows
              if row[1] == "start" and row[2].startswith(LASTING)]
    if not starts:
        return ["LOST: the task that is to last never ran"]
    if starts[0] > until:
        return ["LOST: the task is to last and has no run for %.1f s after the worker that read "
                "its order went down, with room for it on 5 other workers; allowed are %.1f s"
                % (starts[0] - since, until - since)]
    return []


sys.exit(standins.main(play))
