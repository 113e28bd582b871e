"""An instance is killed while the owner holds its calls, since the store has
not answered the owner.  The next process of that instance numbers its calls
from 1 again, and takes the owner's answer to a call of the process before for
an answer to its own: a client is told that its submission was accepted,
though it was not."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
BEFORE = "00000000000000a0"
AFTER = "00000000000000b0"
VISIBLE_S = 3.0


async def answers_ready(instance):
    status, _ = await standins.call(instance.ready, "GET", "/api/ready", "x", limit=1)
    return status == 200


async def wait_ready(instance):
    for _ in range(100):
        if await answers_ready(instance):
            return True
        await asyncio.sleep(0.02)
    return False


async def play(world, trouble):
    await world.start(instances=3, workers=3)
    if not await world.wait_ready():
        return None
    record = world.record
    client = standins.Client(record)
    await asyncio.sleep(2)
    owner = world.owner()
    other = [i for i in world.instances if i is not owner][0]
    # A process that has just started, as after planned work.
    other.signal(15)
    await asyncio.wait_for(other.process.wait(), 8)
    await other.start()
    await asyncio.sleep(3)
    state = {"stage": "calm"}

    def hook(caller, path, query, body):
        if caller != owner.id or path != "/api/log-append" or query["topic"] != "keyed.jobs":
            return None
        if state["stage"] == "lose the answer":
            state["stage"] = "answer once"
            record.add("store", "does", "an append of", caller, "and does not answer")
            return ("lost",)
        if state["stage"] == "answer once":
            state["stage"] = "turn away"
            record.add("store", "answers", "the repeated append of", caller)
            return None
        if state["stage"] == "turn away":
            record.add("store", "503", "to an append of", caller)
            return ("status", 503)
        return None

    world.store.hook = hook
    body = {"spec": json.dumps({"ms": 500, "cpu": 500}),
            "steps": [{"count": 1, "cpu": 500, "memMb": 100, "estimateMs": 500}]}
    if trouble:
        state["stage"] = "lose the answer"
    first = asyncio.create_task(client.ask(other, "POST", BEFORE, body))
    await asyncio.sleep(0.25)
    if trouble:
        await other.kill()
        await asyncio.sleep(0.3)
        await other.start()
    if not await wait_ready(other):
        return None
    await asyncio.sleep(0.35)
    second = asyncio.create_task(client.ask(other, "POST", AFTER, body))
    await first
    status, _ = await second
    accepted = record.now()
    await asyncio.sleep(2)
    state["stage"] = "calm"
    if not 200 <= status < 300:
        record.add("case", "the second submission was not accepted", status)
        return None if trouble else ["the submission was not accepted: %d" % status]
    # The rule: later than visible_ms after the ack, by a machine in touch.
    await asyncio.sleep(VISIBLE_S + 3)
    answers = []
    for _ in range(4):
        for instance in world.instances:
            answers.append((await client.ask(instance, "GET", AFTER))[0])
        await asyncio.sleep(1)
    started = any(row[1] == "start" and row[2].startswith(AFTER) for row in record.rows)
    if 410 in answers:
        return ["LOST: the submission was accepted with %d, and %.0f s later 410 is the answer "
                "to %d of %d queries; its task has %s" % (status, record.now() - accepted,
                answers.count(410), len(answers), "run" if started else "never run")]
    return []


sys.exit(standins.main(play, RECORD))
