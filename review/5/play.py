"""A client leaves before its submission is answered, and cancels it: the answer
is that there is no such submission, while the owner has its record under way.
The submission is stored, and runs on."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
LASTING = "00000000000000a1"
CANCEL_S = 3.0
STOP_S = 0.4
CONTACT_S = 3.0
LATE_S = 4.0  # the unanswered write is done so much later
LEAVES_S = 0.25  # the client waits so long for its answer


async def play(world, trouble):
    await world.start(instances=3, workers=4)
    if not await world.wait_ready():
        return None
    record = world.record
    client = standins.Client(record)
    await asyncio.sleep(3)
    late = []

    def hook(caller, path, query, body):
        if path == "/api/log-append" and query["topic"] == "keyed.jobs" and not late:
            late.append(record.now())
            record.add("store", "does an append of", caller, LATE_S, "s later, unanswered")
            return ("late", LATE_S)
        return None

    if trouble:
        world.store.hook = hook
    body = {"spec": json.dumps({"lasts": True, "cpu": 1000}),
            "steps": [{"count": 2, "cpu": 1000, "memMb": 100, "longRunning": True}]}
    first, second, third = world.instances
    began = record.now()
    # The client leaves long before its time budget, 3 s.
    await client.ask(first, "POST", LASTING, body, limit=LEAVES_S)
    status, acknowledged = 0, None
    for instance in (second, third, first, second, third):
        status, _ = await client.ask(instance, "DELETE", LASTING)
        if status == 410 or 200 <= status < 300:
            acknowledged = record.now()
            break
        await asyncio.sleep(0.3)
    if acknowledged is None:
        return None
    disrupted = max([began] + [t + LATE_S for t in late])
    await asyncio.sleep(30)
    for instance in world.instances:
        await client.ask(instance, "GET", LASTING)
    broken = []
    starts = [row for row in record.rows if row[1] == "start"]
    for row in starts:
        if row[0] > acknowledged + CANCEL_S:
            broken.append("UNASKED: %s starts %.1f s after its cancelling was acknowledged (%d)"
                          % (row[2], row[0] - acknowledged, status))
    due = max(acknowledged + CANCEL_S + STOP_S, disrupted + CONTACT_S + CANCEL_S + STOP_S)
    for worker in world.workers:
        for run in worker.runs.values():
            if record.now() > due:
                broken.append("UNASKED: %s still runs %.1f s after its cancelling was "
                              "acknowledged (%d), %.1f s after the last disruption"
                              % (run.name, record.now() - acknowledged, status,
                                 record.now() - disrupted))
    return broken


sys.exit(standins.main(play, RECORD))
