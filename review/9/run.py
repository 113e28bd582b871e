"""Hopeless submissions at the end of the traffic, beside others that aren't."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins2  # noqa: E402

CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
ROUTE = {"name": "plans", "host": standins2.HOST, "pathPrefix": "/jobs/",
         "kind": "non_idempotent", "timeoutMs": 3000,
         "targetCompletionMs": 1000, "priority": 2, "service": "booking",
         "maxAttempts": 2, "stretch": 2.0}
WORKERS = 8
SUBMISSIONS = 100
POISON = range(42, 80)  # those of 3.8 s of the traffic; of these, hopeless:
HOPELESS = (44, 62)     # a share of 0.053
STEPS = 5              # of a submission that takes long, and of a hopeless one
WORK_S = 5.0
FAIL_S = 0.3           # of a task that fails
FINISH_S = 14.0
WATCH_S = 12.0
IDLE_S = 3.0


def chain(step, tasks):
    """Steps that follow one another; the last one has `tasks` tasks."""
    steps = [dict(step) for _ in range(STEPS)]
    for number in range(1, STEPS):
        steps[number]["after"] = [number - 1]
    steps[-1].update(count=tasks)
    return steps


async def play(fleet):
    await fleet.start_store()
    await fleet.put_config(1, [ROUTE])
    for number in range(WORKERS):
        await fleet.add_worker(f"i-{number:02d}", CAPACITY,
                               ["a", f"r1-{number // 8}"])
    await fleet.start_instances(3)
    step = {"count": 1, "cpu": 2000, "memMb": 4000, "estimateMs": 5000}
    short = {"count": 2, "cpu": 2000, "memMb": 4000, "estimateMs": 300}
    accepted, long_ones = [], []

    async def submit(number, steps, work_s, last_s=None):
        ident = f"{0xF000 + number:016x}"
        if await fleet.submit(number % 3, ident, steps, work_s, last_s):
            accepted.append(ident)
            return ident
        return None

    # The traffic: 100 submissions in 10 s.  One in ten takes long.  Two are
    # hopeless: all tasks of their last step fail, wherever they run.
    assert all(number in POISON for number in HOPELESS)
    begins = time.monotonic()
    for number in range(SUBMISSIONS):
        if number in HOPELESS:
            steps = chain(step, 2 * WORKERS)
            steps[-1]["maxPerServer"] = 2
            ident = await submit(number, steps, WORK_S, FAIL_S)
            if standins2.TROUBLE:
                fleet.hopeless.add(f"{ident}.0.{STEPS - 1}")
        elif number % 10 == 5:
            long_ones.append(await submit(number, chain(step, 1), WORK_S))
        else:
            await submit(number, [short], 0.3)
        await asyncio.sleep(max(
            0, begins + (number + 1) * 0.1 - time.monotonic()))
    fleet.note("the traffic has ended")
    if len(accepted) < SUBMISSIONS * 0.9 or None in long_ones:
        raise standins2.CannotRun("submissions were not accepted")

    await asyncio.sleep(FINISH_S)
    # From now on no submission may have nothing running for 3 s.
    fleet.note(f"{FINISH_S} s after the end of the traffic")
    idle_since, broken = {}, {}
    until = time.monotonic() + WATCH_S
    over, asked_at = set(), 0.0
    while time.monotonic() < until:
        now = time.monotonic()
        if now - asked_at > 1.0:
            asked_at = now
            for ident in long_ones:
                _, state = await fleet.state(0, ident)
                if state in ("completed", "failed", "cancelled"):
                    over.add(ident)
        running = {run.task[:16] for worker in fleet.workers
                   for run in worker.runs.values()}
        used = sum(worker.used("cpu") for worker in fleet.workers)
        calm = used < WORKERS * CAPACITY["cpu"] / 2
        for ident in long_ones:
            if ident in running or ident in over or not calm:
                idle_since.pop(ident, None)
                continue
            idle = now - idle_since.setdefault(ident, now)
            if idle >= IDLE_S and ident not in broken:
                broken[ident] = (
                    f"LOST: {ident} has had nothing running for {idle:.1f} s; "
                    f"{used} of {WORKERS * CAPACITY['cpu']} milli-cores are "
                    f"in use")
                fleet.note(broken[ident])
        await asyncio.sleep(0.05)
    return list(broken.values())


standins2.main(play)
