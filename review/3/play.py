"""A worker crashes while it reads an order, and the owner is restarted as
planned: the lasting task that had run on the worker for long stays down."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
LASTING = "00000000000000a1"
SHORT = "00000000000000b2"
DOWN_S = 3.0  # the worker's machine is down for so long
CALM_S = 4.0 + 3.0  # the rule: 3 s without a run, and the 4 s before are calm


def settings(body, **spec):
    return {"spec": json.dumps(spec), "steps": [body]}


async def play(world, trouble):
    await world.start(instances=3, workers=6)
    if not await world.wait_ready():
        return None
    record = world.record
    client = standins.Client(record)
    lasting = settings({"count": 6, "cpu": 4000, "memMb": 100, "longRunning": True,
                        "maxPerServer": 1}, lasts=True, cpu=4000)
    if await client.submit(world.instances, LASTING, lasting) != 200:
        return None
    # Longer than idle channels are kept, so that a later order opens one.
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
        if path == "/api/run-start" and value["task"].startswith(SHORT):
            crashed.append((record.now(), worker.id))
            record.add("crash", worker.id, "reads", value["task"])
            asyncio.create_task(crash(worker))
            return ("silent",)
        return None

    if trouble:
        for worker in world.workers:
            worker.hook = hook
    short = settings({"count": 3, "cpu": 1000, "memMb": 100, "estimateMs": 500}, ms=500, cpu=1000)
    if await client.submit(world.instances, SHORT, short) != 200:
        return None
    await asyncio.sleep(1)
    if trouble:
        if not crashed:
            return None
        owner = world.owner()
        owner.signal(signal.SIGTERM)
        await asyncio.wait_for(owner.process.wait(), 8)
        await owner.start()
    await asyncio.sleep(32)
    return judge(record, crashed)


def judge(record, crashed):
    broken = []
    since = crashed[0][0] if crashed else record.now()
    until = since + DOWN_S + CALM_S
    for index in range(6):
        task = "%s.0.0.%d" % (LASTING, index)
        runs = []
        for row in record.rows:
            if row[1] == "start" and row[2] == task:
                runs.append([row[0], None, row[4]])
            elif row[1] == "end" and row[2] == task:
                runs[-1][1] = row[0]
            elif row[1] == "worker-down" and runs and runs[-1][2] == row[2] and runs[-1][1] is None:
                runs[-1][1] = row[0]
        if not runs:
            broken.append("%s never ran" % task)
            continue
        for run, following in zip(runs, runs[1:] + [None]):
            if run[1] is None or run[1] < since - 1:
                continue
            again = following[0] if following else None
            record.add("gap", task, "from", "%.3f" % run[1], "to",
                       "-" if again is None else "%.3f" % again)
            if again is None or again > until:
                broken.append("LOST: %s is to last and has no run for %s after %s went down, with "
                              "room for it on 5 other workers; allowed are %.1f s"
                              % (task, "the rest" if again is None else "%.1f s" % (again - run[1]),
                                 run[2], until - since))
    return broken


sys.exit(standins.main(play, RECORD))
