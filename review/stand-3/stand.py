"""Stand-ins for the scripts of the third review: the platform's store, workers
and clients, in one process and on loopback addresses, as PROTOCOL.md tells.
Where the page is silent they behave like sound ones."""
import argparse
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/queue/"


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, with seconds since the
    start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with connections that stay open.  handle() returns (status,
    body) or None, which leaves the request without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.closes = False  # closes each connection after its answer
        self.writers = set()
        self.server = None
        self.port = 0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        headers[k.strip().lower()] = v.strip()
                n = int(headers.get("content-length", 0))
                body = await reader.readexactly(n) if n else b""
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                closing = "Connection: close\r\n" if self.closes else ""
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                    f"{closing}Content-Type: application/json\r\n\r\n"
                    .encode() + data)
                await writer.drain()
                if self.closes:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key -> (value, offset)
        self.producers = {}  # name -> [epoch, seq or None, [(seq, answer)]]
        self.waiters = set()


class Store:
    """The platform's metadata store: keyed topics with one partition."""

    def __init__(self, delay=0.004):
        self.topics = {}
        self.delay = delay
        self.http = HttpServer(self.handle)
        self.refuse = None  # function of (method, target): status or None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        self.append(self.topic(name), [(key.encode(), value)])

    def append(self, t, rows):
        first = len(t.records)
        for key, value in rows:
            if value:
                t.newest[key] = (value, len(t.records))
            else:
                t.newest.pop(key, None)
            t.records.append((key, value))
        for w in list(t.waiters):
            w.set()
        return {"offset": first, "end": len(t.records)}

    @staticmethod
    def rows_of(body):
        rows, at = [], 0
        while at < len(body):
            (n,) = struct.unpack_from(">I", body, at)
            raw = body[at + 4:at + 4 + n]
            k = raw[0]
            rows.append((raw[1:1 + k], raw[1 + k:]))
            at += 4 + n
        return rows

    def on_append(self, q, body):
        name = q["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, b""
        t = self.topic(name)
        if "at" in q and int(q["at"]) != len(t.records):
            return 412, {"end": len(t.records)}
        if "producer" not in q:
            return 200, self.append(t, self.rows_of(body))
        epoch, seq = int(q.get("epoch", 0)), int(q.get("seq", 0))
        p = t.producers.setdefault(q["producer"], [epoch, None, []])
        if epoch < p[0]:
            return 409, {"reason": "fenced"}
        if epoch > p[0]:
            p[0], p[1], p[2] = epoch, None, []
        if not body:
            return 200, {"offset": len(t.records), "end": len(t.records)}
        for s, answer in p[2]:
            if s == seq:
                return 200, answer
        if p[1] is not None and seq != p[1] + 1:
            return 409, {"reason": "seq", "seq": p[1] + 1}
        answer = self.append(t, self.rows_of(body))
        p[1] = seq
        p[2] = (p[2] + [(seq, answer)])[-5:]
        return 200, answer

    async def on_read(self, q):
        t = self.topic(q["topic"])
        at = int(q["from"])
        until = now() + int(q.get("waitMs", 0)) / 1000
        while at >= len(t.records) and now() < until:
            event = asyncio.Event()
            t.waiters.add(event)
            try:
                await asyncio.wait_for(event.wait(), until - now())
            except asyncio.TimeoutError:
                pass
            t.waiters.discard(event)
        out = [struct.pack(">QQ", len(t.records), 0)]
        size = 0
        for key, value in t.records[at:]:
            raw = bytes([len(key)]) + key + value
            out.append(struct.pack(">I", len(raw)) + raw)
            size += len(raw)
            if size > 1 << 20:
                break
        return 200, b"".join(out)

    def on_newest(self, q):
        t = self.topic(q["topic"])
        after = q.get("after", "").encode()
        keys = sorted(k for k in t.newest if k > after)
        items = [{"key": k.decode(), "offset": t.newest[k][1],
                  "value": base64.b64encode(t.newest[k][0]).decode()}
                 for k in keys[:500]]
        return 200, {"items": items, "hasMore": len(keys) > 500,
                     "end": len(t.records)}

    async def handle(self, method, target, headers, body):
        if self.refuse:
            status = self.refuse(method, target)
            if status == 0:
                return None
            if status:
                return status, b""
        await asyncio.sleep(self.delay)
        url = urllib.parse.urlsplit(target)
        q = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/api/log-append":
            return self.on_append(q, body)
        if url.path == "/api/log-read":
            return await self.on_read(q)
        if url.path == "/api/log-newest":
            return self.on_newest(q)
        return 404, b""


class Run:
    def __init__(self, worker, name, run, spec, saved):
        self.worker, self.name, self.run = worker, name, run
        self.spec, self.saved = spec, saved
        self.begun = now()
        self.work_from = None  # None: waits for its gang
        self.percent = 100
        self.stopping = False
        self.over = False


class World:
    """All workers, what they run, and what clients have asked for."""

    def __init__(self, record, gang_wait=3.0, max_hold=10.0, stop_grace=0.2):
        self.record = record
        self.jobs = {}  # id -> body as a client sent it
        self.workers = []
        self.gang_wait, self.max_hold = gang_wait, max_hold
        self.stop_grace = stop_grace
        self.starts = []  # (time, name, run, worker)
        self.ends = []  # (time, name, run, worker, how)
        self.fails = lambda name, run, worker: False
        self.gangs = {}  # (ID.K.STEP, run) -> the members that are there

    def step(self, name):
        job, _, step, _ = name.split(".")
        body = self.jobs.get(job)
        return body["steps"][int(step)] if body else None

    def members(self, r):
        """The members of a run of a gang that are there."""
        return self.gangs.setdefault((r.name.rsplit(".", 1)[0], r.run), [])


class Worker:
    def __init__(self, world, store, ident, cpu=64000, mem=256000, gpu=0,
                 labels=("a", "r1-1"), service="svc", zone="z1"):
        self.world, self.store, self.id = world, store, ident
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": gpu}
        self.labels, self.service, self.zone = list(labels), service, zone
        self.state = "ready"
        self.up = False
        self.hook = None  # async function of (path, body): True to go silent
        self.http = None
        self.port = 0
        world.workers.append(self)

    async def boot(self, keep_port=True):
        self.born = int(time.time() * 1000)
        self.boot_at = now()
        self.runs, self.highest = {}, {}
        self.left = dict(self.capacity)
        self.ended, self.number, self.fence, self.seq = [], 0, 0, 0
        self.lease_until = 0.0
        self.changed = asyncio.Event()
        self.up = True
        self.http = HttpServer(self.handle)
        await self.http.open(self.port if keep_port else 0)
        self.port = self.http.port
        self.beat()
        self.tasks = [asyncio.create_task(self.beats()),
                      asyncio.create_task(self.tick())]

    def crash(self):
        self.up = False
        self.http.close()
        for t in self.tasks:
            t.cancel()
        runs, self.runs = list(self.runs.values()), {}
        for r in runs:
            r.over = True
            self.world.record(f"worker {self.id} crashed with {r.name} "
                              f"run {r.run}")
        for r in runs:
            self.break_gang(r)

    def lose(self):
        """Lost for good: the platform removes its entry after three report
        intervals of silence."""
        self.crash()
        asyncio.get_running_loop().call_later(
            4.5, self.store.put, "keyed.servers", self.id, b"")

    def clock(self):
        return int((now() - self.boot_at) * 1000) + 1000

    def beat(self):
        self.seq += 1
        entry = {"service": self.service, "zone": self.zone,
                 "address": f"127.0.0.1:{self.port}", "version": "v1",
                 "slots": 8, "state": self.state, "coldRemainingMs": 0,
                 "capacity": self.capacity, "labels": self.labels,
                 "clockMs": self.clock(), "born": self.born, "seq": self.seq}
        if self.state == "draining":
            entry["remainingMs"] = 2000
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def beats(self):
        while True:
            await asyncio.sleep(1.5)
            self.beat()

    def need(self, name, what):
        step = self.world.step(name) or {}
        return 0 if what == "cpu" and step.get("fills") else step.get(what, 0)

    def used(self, what):
        return sum(self.need(r.name, what) for r in self.runs.values())

    def end(self, r, how):
        if r.over:
            return
        r.over = True
        self.runs.pop((r.name, r.run), None)
        for what in self.left:
            self.left[what] += self.need(r.name, what)
        self.number += 1
        self.ended.append([self.number, r.name, r.run, how, r.saved])
        self.world.ends.append((now(), r.name, r.run, self.id, how))
        self.world.record(f"worker {self.id} ended {r.name} run {r.run} "
                          f"{how}")
        self.changed.set()
        if how != "done":
            self.break_gang(r)

    def break_gang(self, r):
        step = self.world.step(r.name)
        if step and step.get("gang"):
            members = self.world.members(r)
            rest = [m for m in members if not m.over]
            members.clear()
            for m in rest:
                m.worker.end(m, "broken")

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            t = now()
            if self.runs and t >= self.lease_until:
                for r in list(self.runs.values()):
                    self.end(r, "lapsed")
            for r in list(self.runs.values()):
                self.advance(r, t)

    def advance(self, r, t):
        step = self.world.step(r.name) or {}
        work = step.get("workMs", step.get("estimateMs", 300)) / 1000
        if r.work_from is None:
            members = self.world.members(r)
            if len(members) == step["count"]:
                for m in members:
                    m.work_from = t
            elif t - r.begun > self.world.gang_wait:
                self.end(r, "alone")
            return
        if step.get("longRunning") or r.percent == 0:
            return
        if t - r.work_from < work:
            return
        how = "failed" if self.world.fails(r.name, r.run, self.id) else "done"
        if step.get("gang") and how == "done":
            for m in list(self.world.members(r)):
                m.worker.end(m, "done")
        else:
            self.end(r, how)

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, b""
        expect = headers.get("peridothill-expect-instance")
        if expect and expect != self.id:
            return 421, {"clockMs": self.clock()}
        m = json.loads(body)
        if self.hook and await self.hook(target, m):
            return None
        return await self.execute(target, m)

    async def execute(self, target, m):
        fence = m.get("fence", 0)
        if fence < self.fence:
            return self.no("fence")
        self.fence = fence
        if target == "/api/run-start":
            return self.on_start(m)
        if target == "/api/run-stop":
            return await self.on_stop(m)
        if target == "/api/hold":
            return await self.on_hold(m)
        if target == "/api/pace":
            r = self.runs.get((m["task"], m["run"]))
            if r:
                r.percent = m["percent"]
            return 200, {"clockMs": self.clock()}
        return 400, {"clockMs": self.clock()}

    def no(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def lease(self, deadline):
        if deadline:
            left = min((deadline - self.clock()) / 1000, self.world.max_hold)
            self.lease_until = max(self.lease_until, now() + left)

    def on_start(self, m):
        name, run = m["task"], m["run"]
        if (name, run) in self.runs:
            self.lease(m["deadlineMs"])
            return 200, {"clockMs": self.clock()}
        if run <= self.highest.get(name, 0):
            self.lease(m["deadlineMs"])
            return self.no("old")
        if m["deadlineMs"] <= self.clock():
            return self.no("late")
        self.lease(m["deadlineMs"])
        step = self.world.step(name) or {}
        for what in ("cpu", "memMb", "gpu"):
            if self.left[what] < self.need(name, what):
                return self.no("room")
        for what in self.left:
            self.left[what] -= self.need(name, what)
        r = Run(self, name, run, m.get("spec"), m.get("lastCheckpoint", ""))
        if step.get("gang"):
            self.world.members(r).append(r)
        else:
            r.work_from = now()
        self.runs[(name, run)] = r
        self.highest[name] = run
        self.world.starts.append((now(), name, run, self.id))
        self.world.record(f"worker {self.id} started {name} run {run}")
        return 200, {"clockMs": self.clock()}

    async def on_stop(self, m):
        name, run = m["task"], m["run"]
        self.world.record(f"worker {self.id} stop {name} run {run}")
        self.highest[name] = max(self.highest.get(name, 0), run)
        r = self.runs.get((name, run))
        if r and not r.stopping:
            r.stopping = True
            asyncio.get_running_loop().call_later(
                self.world.stop_grace / 2, self.end, r, "stopped")
        return 200, {"clockMs": self.clock()}

    async def on_hold(self, m):
        self.ended = [e for e in self.ended if e[0] > m.get("lastSeen", 0)]
        self.lease(m.get("deadlineMs", 0))
        wait = m.get("waitMs", 0) / 1000
        if wait and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        rows = [[r.name, r.run, r.saved, r.percent, 1]
                for r in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": rows, "endedRuns": self.ended[:500]}


class Instance:
    """A process of the project, started as deploy/system.toml says, with the
    settings that its template gives."""

    def __init__(self, name, store_port, work, record, zone="z1"):
        self.name, self.record = name, record
        self.front, self.ready = free_port(), free_port()
        self.path = work / f"{name}.ini"
        self.log = work / f"{name}.log"
        values = {"node": name, "zone": zone,
                  "listen.front": f"127.0.0.1:{self.front}",
                  "listen.ready": f"127.0.0.1:{self.ready}",
                  "platform.address": f"127.0.0.1:{store_port}",
                  "ip": "127.0.0.1", "internalPorts.0": str(free_port()),
                  "limits.cpuShare": "0.1", "limits.memoryMb": "260",
                  "bounds.maxHoldMs": "10000", "bounds.paceMs": "100",
                  "heartbeatMs": "1500", "platform.recordBytes": "262144",
                  "platform.callBytes": "2097152"}
        text = (ROOT / "deploy/settings.ini.in").read_text()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)], text)
        self.path.write_text(text)
        self.process = None

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        words = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        words = [str(self.path) if w == "/etc/peridothill/node.toml" else w
                 for w in words]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "HOME": str(self.path.parent),
                     "PERIDOTHILL_SETTINGS": str(self.path)})
        self.record(f"instance {self.name} started")

    def kill(self, sig=signal.SIGKILL):
        self.record(f"instance {self.name} gets {signal.Signals(sig).name}")
        self.process.send_signal(sig)
        if sig == signal.SIGKILL:
            self.process.wait()

    async def is_ready(self):
        try:
            return (await http(self.ready, "GET", "/api/ready", 1))[0] == 200
        except OSError:
            return False


async def http(port, method, path, timeout, body=None, host=HOST):
    """Returns (status, body); (0, reason) without an answer."""
    async def call():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = body if isinstance(body, bytes) else (
                json.dumps(body).encode() if body is not None else b"")
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                "Content-Type: application/json\r\n"
                f"Peridothill-Request-Deadline: {int(timeout * 1000)}\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            n = re.search(rb"(?i)content-length: *(\d+)", head)
            data = await reader.readexactly(int(n.group(1))) if n else b""
            return status, data.decode()
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
        return 0, f"broken channel: {type(e).__name__}"


class Bench:
    """A small deployment; use it with `async with`."""

    def __init__(self, options, instances=2, **world):
        self.trouble = options.trouble == 1
        self.record = options.record
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.world = World(self.record, **world)
        self.count = instances
        self.instances = []
        self.version = 0
        self.routes = [{"name": "r-1", "host": HOST, "pathPrefix": PREFIX,
                        "kind": "non_idempotent", "timeoutMs": 3000,
                        "targetCompletionMs": 1000, "priority": 0,
                        "service": "svc", "maxAttempts": 3, "stretch": 2.0}]
        self.services = [{"name": "svc", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforcesCapacity": True, "spare": False}]

    def configure(self):
        self.version += 3
        config = {"version": self.version, "routes": self.routes,
                  "services": self.services,
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record(f"configuration {self.version}")

    def worker(self, ident, **kw):
        return Worker(self.world, self.store, ident, **kw)

    async def __aenter__(self):
        await self.store.http.open()
        self.configure()
        return self

    async def up(self):
        """Starts the workers and instances, and waits until they can
        serve."""
        for w in self.world.workers:
            await w.boot()
        for i in range(self.count):
            self.instances.append(Instance(f"entry-{i + 1}",
                                           self.store.http.port, self.work,
                                           self.record))
            self.instances[-1].start()
        until = now() + 20
        while now() < until:
            if all([await i.is_ready() for i in self.instances]):
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("instances did not become ready")

    async def __aexit__(self, *_):
        for i in self.instances:
            if i.process and i.process.poll() is None:
                i.process.send_signal(signal.SIGCONT)
                i.process.kill()
                i.process.wait()
        for w in self.world.workers:
            if w.up:
                w.http.close()
                for t in w.tasks:
                    t.cancel()
        self.store.http.close()
        if os.environ.get("KEEP"):
            print(self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    async def submit(self, instance, ident, body, timeout=3, path=PREFIX):
        self.world.jobs.setdefault(ident, body)
        sent = {k: v for k, v in body.items()}
        sent["steps"] = [{k: v for k, v in s.items() if k != "workMs"}
                         for s in body["steps"]]
        a = await http(instance.front, "POST", path + ident, timeout, sent)
        self.record(f"POST {path}{ident} at {instance.name}: {a[0]} {a[1]}")
        return a[0]

    async def call(self, instance, method, ident, timeout=3, path=PREFIX):
        a = await http(instance.front, method, path + ident, timeout)
        self.record(f"{method} {path}{ident} at {instance.name}: "
                    f"{a[0]} {a[1]}")
        return a

    async def state(self, instance, ident):
        a = await self.call(instance, "GET", ident)
        return json.loads(a[1])["state"] if a[0] == 200 else a[0]

    async def wait_state(self, ident, wanted, seconds):
        until = now() + seconds
        while now() < until:
            for i in self.instances:
                if i.process.poll() is None:
                    state = await self.state(i, ident)
                    if state in wanted:
                        return state
            await asyncio.sleep(0.3)
        return None


def main(play):
    """Runs play(options) and exits with 1 if it returns broken rules, 0 if
    not, 2 if it could not run.  A result stands in the record."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", type=int, choices=(0, 1), required=True)
    parser.add_argument("--record", type=Record, required=True)
    options = parser.parse_args()
    try:
        broken = asyncio.run(asyncio.wait_for(play(options), 110))
    except Exception as e:  # the case could not run
        options.record(f"could not run: {type(e).__name__}: {e}")
        print(f"could not run: {type(e).__name__}: {e}")
        sys.exit(2)
    for line in broken:
        print(line)
    options.record(f"result: {'; '.join(broken) or 'held'}")
    sys.exit(1 if broken else 0)
