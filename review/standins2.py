"""Stand-ins for the scripts of the second review: workers, clients, and the
processes of the project (the store of its stand-in, and instances).

All workers of a script live in one event loop, each with its own address.
They follow PROTOCOL.md: fences, leases on their own clock, run numbers, ends
that are listed until they are seen, rooms, gangs.  Nothing is started outside
loopback addresses.
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "commands" / "peridothill"


def parse_options():
    """What run.sh passes on: TROUBLE, and the file of the record."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", choices=("0", "1"), required=True)
    parser.add_argument("--record", type=pathlib.Path, required=True)
    return parser.parse_args()


OPTIONS = parse_options()
TROUBLE = OPTIONS.trouble == "1"
HOST = "jobs.example"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10000
STOP_GRACE_S = 0.2
PERCENT_ALL = 100


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


PORTS = random.sample(range(15000, 32000), 2000)


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while PORTS:
        port = PORTS.pop()
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise CannotRun("no port is free")


async def call(address, method, path, body=b"", headers=(), timeout=3.0):
    """One HTTP call on a connection of its own: (status, body)."""
    async def talk():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = [f"{method} {path} HTTP/1.1", "Connection: close",
                    f"Content-Length: {len(body)}"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                head.append(f"Host: {address}")
            head += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            status, _, answer = await read_message(reader)
            return int(status.split()[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, EOFError, ValueError):
        return None, b""


async def read_message(reader):
    """First line, headers by lower-case name, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Store:
    """Writes of the platform and of workers to the store's stand-in."""

    def __init__(self, address):
        self.address = address

    async def put(self, topic, key, value):
        """Appends a record, or drops the key if the value is None; True once
        the store has accepted it."""
        key = key.encode()
        value = b"" if value is None else json.dumps(value).encode()
        data = bytes([len(key)]) + key + value
        status, _ = await call(
            self.address, "POST", f"/api/log-append?topic={topic}&part=0",
            struct.pack(">I", len(data)) + data, timeout=2.0)
        return status == 200


class Run:
    def __init__(self, task, number, order):
        self.task, self.number = task, number
        self.cpu, self.mem, self.work_s, self.gang = order
        self.began = None   # at work since
        self.arrived = time.monotonic()
        self.stops_at = None


class Worker:
    """One worker; `restart` begins another life at the same address.

    `orders` maps ID.K.STEP to (cpu, memMb, seconds of work, gang size or 0):
    what the script has submitted, since an order names no resources.
    """

    def __init__(self, fleet, ident, capacity, labels):
        self.fleet, self.id = fleet, ident
        self.capacity, self.labels = capacity, labels
        self.port = free_port()
        self.fails = False        # it fails all that it starts
        self.store_cut = False    # it doesn't reach the store
        self.life = 0
        self.wrote_at = None      # its entry, None once that has expired
        self.held_at = 0.0        # the newest hold came then
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.life += 1
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.fence, self.deadline = 0, 0
        self.runs, self.ends, self.highest = {}, [], {}
        self.next_end = 0
        self.changed = asyncio.Event()
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)
        self.tasks = {asyncio.create_task(self.beat()),
                      asyncio.create_task(self.tick())}
        self.fleet.note(f"worker {self.id} life {self.life} born {self.born} "
                        f"kind {','.join(self.labels)} "
                        f"cpu {self.capacity['cpu']}")

    async def crash(self):
        """All that it runs and knows is gone; its connections are reset."""
        self.fleet.note(f"worker {self.id} life {self.life} crashes")
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.runs = {}

    async def beat(self):
        while True:
            self.seq += 1
            if not self.store_cut:
                self.wrote_at = time.monotonic()
                await self.fleet.store.put("keyed.servers", self.id, {
                    "service": "booking", "address": self.address,
                    "zone": "bacolod", "version": "v1", "slots": 8,
                    "state": "ready", "coldRemainingMs": 0,
                    "capacity": self.capacity, "labels": self.labels,
                    "clockMs": self.clock(), "born": self.born,
                    "seq": self.seq})
            await asyncio.sleep(HEARTBEAT_S)

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    def used(self, what):
        return sum(getattr(run, what) for run in self.runs.values())

    def end(self, run, how):
        self.next_end += 1
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0),
                                     run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.fleet.note(f"worker {self.id} life {self.life} end {run.task} "
                        f"run {run.number} {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def tick(self):
        while True:
            self.step()
            await asyncio.sleep(0.01)

    def step(self):
        now = time.monotonic()
        if self.runs and self.clock() > self.deadline:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")
            elif run.gang:
                self.fleet.gang_step(self, run, now)
            elif now - run.arrived >= run.work_s:
                hopeless = run.task.rsplit(".", 1)[0] in self.fleet.hopeless
                self.end(run, "failed" if self.fails or hopeless else "done")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                status, answer = await self.answer(line, headers, body)
                answer["clockMs"] = self.clock()
                answer["born"] = self.born
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nContent-Length: "
                             f"{len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, body):
        path = line.split()[1]
        expected = headers.get("peridothill-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        order = json.loads(body or b"{}")
        fence = order.get("fence", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        if path == "/api/run-start":
            return self.run_start(order)
        if path == "/api/run-stop":
            return self.run_stop(order)
        if path == "/api/hold":
            return await self.hold(order)
        if path == "/api/pace":
            return 200, {}
        return 404, {}

    def extend(self, deadline):
        self.deadline = max(self.deadline,
                            min(deadline, self.clock() + MAX_HOLD_MS))

    def run_start(self, order):
        task, number = order["task"], order["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if order["deadlineMs"] < self.clock():
            return 409, {"reason": "late"}
        self.extend(order["deadlineMs"])
        if known is not None or number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        run = Run(task, number, self.fleet.orders[task.rsplit(".", 1)[0]])
        if (self.fleet.enforces and
                (self.used("cpu") + run.cpu > self.capacity["cpu"] or
                 self.used("mem") + run.mem > self.capacity["memMb"])):
            return 409, {"reason": "room"}
        self.runs[task] = run
        self.fleet.note(f"worker {self.id} life {self.life} start {task} "
                        f"run {number} fence {order['fence']}")
        self.fleet.started(self, run)
        return 200, {}

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            run.stops_at = time.monotonic() + STOP_GRACE_S / 2
        else:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {}

    async def hold(self, order):
        self.held_at = time.monotonic()
        if "deadlineMs" in order:
            self.extend(order["deadlineMs"])
        seen = order.get("lastSeen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        if order.get("waitMs") and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", PERCENT_ALL, run.cpu]
                   for run in self.runs.values()]
        return 200, {"running": running, "endedRuns": self.ends[:500]}


class Fleet:
    """The whole deployment of a script."""

    def __init__(self):
        self.record = Record(OPTIONS.record)
        self.note = self.record.write
        self.work = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.workers = []
        self.orders = {}
        self.enforces = True
        self.hopeless = set()     # steps of which each task fails
        self.starts = 0
        self.expiry = None
        self.on_start = None
        self.fronts, self.readies, self.links = [], [], []

    async def spawn(self, name, *words):
        log = open(os.path.join(self.work, name + ".log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            str(PROGRAM), *words, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()

    async def start_store(self):
        port = free_port()
        self.store = Store(f"127.0.0.1:{port}")
        await self.spawn("store", "standin", "--store", self.store.address,
                         "--workers", "0")
        for _ in range(100):
            if (await call(self.store.address, "GET",
                           "/api/log-newest?topic=keyed.op&part=0"))[0] == 200:
                self.expiry = asyncio.create_task(self.expire())
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the store's stand-in doesn't answer")

    async def expire(self):
        """The platform removes entries after three intervals of silence."""
        while True:
            await asyncio.sleep(0.05)
            for worker in self.workers:
                if (worker.wrote_at is not None and
                        time.monotonic() - worker.wrote_at >= 3 * HEARTBEAT_S):
                    worker.wrote_at = None
                    self.note(f"platform: servers/{worker.id} has expired")
                    await self.store.put("keyed.servers", worker.id, None)

    async def put_config(self, version, routes):
        config = {"version": version, "routes": routes, "services": [
            {"name": "booking", "healthPath": "/health", "maxConns": 64,
             "protocol": "h1", "tls": False,
             "enforcesCapacity": self.enforces, "spare": False}]}
        self.note(f"config {json.dumps(config)}")
        if not await self.store.put("keyed.op", "config", config):
            raise CannotRun("the configuration was not stored")

    async def start_instances(self, count):
        for number in range(1, count + 1):
            front, ready, link = free_port(), free_port(), free_port()
            self.fronts.append(f"127.0.0.1:{front}")
            self.readies.append(f"127.0.0.1:{ready}")
            self.links.append(f"127.0.0.1:{link}")
            path = os.path.join(self.work, f"edge-{number}.ini")
            zone = ("bacolod", "silay", "talisay")[(number - 1) % 3]
            with open(path, "w") as file:
                file.write(f"""[instance]
id = edge-{zone}-{number}
data_centre = {zone}
deployment = platform
[callers]
listen = {self.fronts[-1]}
[scheduler]
store = {self.store.address}
ready = {self.readies[-1]}
link = {self.links[-1]}
share = 0.1
lease_limit = 10000ms
pace_lag = 100ms
report_interval = 1500ms
record_bytes = 262144
append_bytes = 2097152
[limits]
request_body = 256KB
connections = 2048
drain_notice = 2500ms
drain_limit = 5s
[log]
level = info
""")
            await self.spawn(f"edge-{number}", "serve", path)
        for ready in self.readies:
            for _ in range(300):
                if (await call(ready, "GET", "/api/ready"))[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun("an instance doesn't become ready")

    async def add_worker(self, ident, capacity, labels):
        worker = Worker(self, ident, capacity, labels)
        self.workers.append(worker)
        await worker.start()
        return worker

    def started(self, worker, run):
        self.starts += 1
        if self.on_start is not None:
            self.on_start(worker, run)

    def gang_of(self, run):
        """The members of a gang's run that are present: (worker, run)."""
        step = run.task.rsplit(".", 1)[0]
        return [(worker, other) for worker in self.workers
                for other in worker.runs.values()
                if other.gang and other.number == run.number and
                other.task.rsplit(".", 1)[0] == step]

    def gang_step(self, worker, run, now):
        """A gang is at work once all are present; it ends together.

        A worker that fails all that it starts fails each member that it has.
        """
        members = self.gang_of(run)
        if run.began is None:
            if len(members) < run.gang:
                if now - run.arrived > 3.0:
                    worker.end(run, "alone")
                return
            for _, other in members:
                other.began = now
        if now - run.began < run.work_s:
            return
        failed = any(w.fails for w, _ in members)
        for w, other in members:
            how = "failed" if w.fails else "broken" if failed else "done"
            w.end(other, how)

    async def submit(self, front, ident, steps, work_s, last_s=None):
        """Sends a submission until it is accepted; True once it is.  `work_s`
        is the time that each task works, `last_s` that of the last step."""
        for number, step in enumerate(steps):
            last = last_s is not None and number == len(steps) - 1
            self.orders[f"{ident}.0.{number}"] = (
                step.get("cpu", 0), step.get("memMb", 0),
                last_s if last else work_s,
                step["count"] if step.get("gang") else 0)
        body = json.dumps({"spec": "work", "steps": steps}).encode()
        for _ in range(4):
            status, _ = await call(
                self.fronts[front], "POST", f"/jobs/{ident}", body,
                (("Host", HOST), ("Content-Type", "application/json"),
                 ("Peridothill-Request-Deadline", "3000")), 3.0)
            self.note(f"client POST {ident} at edge {front + 1}: {status}")
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, front, ident):
        status, body = await call(
            self.fronts[front], "GET", f"/jobs/{ident}", b"",
            (("Host", HOST), ("Peridothill-Request-Deadline", "3000")), 3.0)
        state = json.loads(body)["state"] if status == 200 else None
        return status, state

    async def wait_over(self, front, idents, limit_s):
        """States of the submissions once all are over, or at the limit."""
        states, until = {}, time.monotonic() + limit_s
        while time.monotonic() < until and len(states) < len(idents):
            for ident in idents:
                if ident in states:
                    continue
                status, state = await self.state(front, ident)
                if state in ("completed", "failed", "cancelled"):
                    states[ident] = state
                    self.note(f"client GET {ident} at edge {front + 1}: "
                              f"{status} {state}")
            await asyncio.sleep(0.1)
        return states

    async def stop(self):
        if self.expiry is not None:
            self.expiry.cancel()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            if worker.server is not None:
                worker.server.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        if os.environ.get("KEEP"):
            sys.stderr.write(f"logs kept\n")
            shutil.copytree(self.work, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def main(play):
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't
    run."""
    async def whole():
        fleet = Fleet()
        try:
            if not PROGRAM.exists():
                raise CannotRun("the program is not built")
            broken = await asyncio.wait_for(play(fleet), 110)
            for line in broken:
                fleet.note(f"BROKEN {line}")
            fleet.note(f"result: {'broken' if broken else 'held'}")
            return 1 if broken else 0
        except Exception as error:  # an error of the case is no finding
            fleet.note(f"could not run: {error!r}")
            return 2
        finally:
            await fleet.stop()
    sys.exit(asyncio.run(whole()))
