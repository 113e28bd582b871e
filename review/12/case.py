"""Two workers and the machine of the owner are lost for good at the same
moment.  See claim.txt."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand-3"))
from stand import *

WORKERS, LOST = 12, 2  # a share of 0.17 would be 2.04
TASK = "00000000000000f1"
# The new machine comes 2 s after the loss.  From 3 s (contactMs) after that no
# disruption is near; the rule looks at 3 s that follow 4 calm ones.
NEW_AFTER_S = 2.0
JUDGED_FROM_S = NEW_AFTER_S + 3 + 4 + 3


def running(bench):
    return {r.name for w in bench.world.workers if w.up
            for r in w.runs.values()}


def owner(bench):
    value = bench.store.topic("keyed.owner").records[-1][1]
    return next(i for i in bench.instances if i.name.encode() in value)


async def play(options):
    async with Bench(options, instances=4) as bench:
        workers = [bench.worker(f"w{i + 1}", cpu=64000)
                   for i in range(WORKERS)]
        await bench.up()
        lasting = {"spec": "watch", "steps": [
            {"count": WORKERS, "cpu": 13000, "memMb": 26000, "maxPerServer": 2,
             "longRunning": True}]}
        if await bench.submit(bench.instances[0], TASK, lasting) != 200:
            raise RuntimeError("the submission was not accepted")
        await asyncio.sleep(8)
        names = {f"{TASK}.0.0.{i}" for i in range(WORKERS)}
        if running(bench) != names:
            raise RuntimeError("not all tasks run before the disruption")
        begin = now()
        if bench.trouble:
            gone = owner(bench)
            busy = sorted(workers, key=lambda w: -len(w.runs))[:LOST]
            for w in busy:
                w.lose()
            gone.kill()
            bench.instances.remove(gone)
            bench.record(f"machine of {gone.name} is gone for good")
        await asyncio.sleep(NEW_AFTER_S)
        if bench.trouble:
            bench.instances.append(Instance(
                "entry-9", bench.store.http.port, bench.work, bench.record))
            bench.instances[-1].start()
        missing = {}
        while now() - begin < 30:
            after = now() - begin
            for name in names - running(bench):
                if after >= JUDGED_FROM_S:
                    missing[name] = after
            await asyncio.sleep(0.05)
        back = max([t - begin for t, _, run, _ in bench.world.starts
                    if run > 1], default=0)
        print(f"last new run {back:.1f} s after the loss; "
              f"used cpu {sum(w.used('cpu') for w in workers if w.up)} of "
              f"{sum(w.capacity['cpu'] for w in workers if w.up)}")
        for name, after in missing.items():
            bench.record(f"{name} has no run {after:.1f} s after the loss")
        return [f"LOST: {len(missing)} tasks that last have no run "
                f"{JUDGED_FROM_S:.0f} s and more after the loss, with room "
                f"for them; the longest until {max(missing.values()):.1f} s"
                ] if missing else []


main(play)
