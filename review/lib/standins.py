"""Stand-ins of the users' platform for the cases of the review: the metadata
store, the workers and clients, as PROTOCOL.md describes them.

All of them live in one process and listen on 127.0.0.1; the instances of the
project run as processes of their own.  A hook may tell a stand-in to answer
late, wrongly or not at all.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "commands", "peridothill")
TEMPLATE = """[instance]
id = {id}
data_centre = {zone}
deployment = platform
[callers]
listen = 127.0.0.1:{front}
[scheduler]
store = 127.0.0.1:{store}
ready = 127.0.0.1:{ready}
link = 127.0.0.1:{link}
share = {share}
lease_limit = 10000ms
pace_lag = 100ms
[limits]
request_body = 256KB
connections = 2048
drain_notice = 2500ms
drain_limit = 5s
[log]
level = info
"""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, in order, with the time in ms."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")
        self.rows = []
        self.left_out = set()  # kinds of rows

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, *words):
        if kind in self.left_out:
            return
        row = (self.now(), kind) + words
        self.rows.append(row)
        self.file.write("%9.3f %s\n" % (row[0], " ".join(str(w) for w in row[1:])))
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message: first line, headers, body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if int(headers.get("content-length", 0)) > 0:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 413: "Payload Too Large", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


def encode_response(status, body, kind="application/json"):
    return ("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
            % (status, REASONS.get(status, "Status"), kind, len(body))).encode() + body


class HttpServer:
    """Answers requests through `handle(method, target, headers, body)`, which
    returns (status, body, content type), or None for no answer on this
    channel, which then returns nothing further."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.server = None
        self.dark = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                 limit=1 << 22, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        silent = False
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer == "reset":
                    writer.transport.abort()
                    break
                silent = silent or answer is None or self.dark
                if not silent:
                    writer.write(encode_response(*answer))
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset_all()


def as_json(status, value):
    return status, json.dumps(value, separators=(",", ":")).encode(), "application/json"


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def add(self, records):
        first = len(self.records)
        for raw in records:
            offset = len(self.records)
            self.records.append(raw)
            key = raw[1:1 + raw[0]].decode("latin-1")
            value = raw[1 + raw[0]:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (offset, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return first


class Store:
    """The metadata store.  Each instance calls it at a port of its own, so
    that a hook can tell them apart: `hook(caller, path, query, body)` returns
    None, or ("status", n), ("silent",), ("reset",), ("wait", s),
    ("lost",): done and not answered, ("late", s): done after s and not
    answered."""

    RECORD_BYTES = 262144
    CALL_BYTES = 2097152
    ANSWER_S = 0.004

    def __init__(self):
        self.topics = {}
        self.hook = None
        self.servers = []

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Topic()
        return self.topics[name]

    async def open(self, caller):
        async def handle(method, target, headers, body):
            return await self.call(caller, method, target, body)
        server = await HttpServer(handle).start()
        self.servers.append(server)
        return server.port

    def put(self, topic, key, value):
        """A record of the operator's or of a worker's."""
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).add([bytes([len(key)]) + key.encode() + data])

    async def call(self, caller, method, target, body):
        path, _, rest = target.partition("?")
        query = dict(p.split("=", 1) for p in rest.split("&") if "=" in p)
        rule = self.hook(caller, path, query, body) if self.hook else None
        kind = rule[0] if rule else None
        if kind == "status":
            return as_json(rule[1], {})
        if kind == "silent":
            return None
        if kind == "reset":
            return "reset"
        if kind == "late":
            asyncio.get_running_loop().call_later(rule[1], lambda: self.run(path, query, body))
            return None
        if kind == "wait":
            await asyncio.sleep(rule[1])
        await asyncio.sleep(self.ANSWER_S)
        if path == "/api/log-read":
            return await self.read(query)
        answer = self.run(path, query, body)
        return None if kind == "lost" else answer

    def run(self, path, query, body):
        if path == "/api/log-append":
            return self.append(query, body)
        if path == "/api/log-newest":
            return self.list_newest(query)
        return as_json(400, {})

    def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return as_json(403, {})
        records, at = [], 0
        while at + 4 <= len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            if size > self.RECORD_BYTES:
                return as_json(413, {})
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if len(body) > self.CALL_BYTES or at != len(body):
            return as_json(413, {})
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            return as_json(412, {"end": end})
        if "producer" in query:
            known = topic.producers.setdefault(query["producer"], {"epoch": -1, "seq": None, "past": {}})
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < known["epoch"]:
                return as_json(409, {"reason": "fenced"})
            if epoch > known["epoch"]:
                known.update(epoch=epoch, seq=None, past={})
            if not records:
                return as_json(200, {"offset": end, "end": end})
            if seq in known["past"]:
                return as_json(200, known["past"][seq])
            if known["seq"] is not None and seq != known["seq"] + 1:
                return as_json(409, {"reason": "seq", "seq": known["seq"] + 1})
            first = topic.add(records)
            known["seq"] = seq
            known["past"][seq] = {"offset": first, "end": len(topic.records)}
            known["past"].pop(seq - 5, None)
            return as_json(200, known["past"][seq])
        first = topic.add(records)
        return as_json(200, {"offset": first, "end": len(topic.records)})

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), max(until - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                pass
        out = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for raw in topic.records[start:]:
            if size + len(raw) > 1 << 20 and size > 0:
                break
            size += len(raw) + 4
            out.append(struct.pack(">I", len(raw)) + raw)
        return 200, b"".join(out), "application/octet-stream"

    def list_newest(self, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "").replace("%2E", ".")
        keys = sorted(k for k in topic.newest if k > after)
        items, size = [], 0
        for key in keys[:500]:
            offset, value = topic.newest[key]
            if size + len(value) > 1 << 20 and items:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return as_json(200, {"items": items, "hasMore": len(items) < len(keys),
                             "end": len(topic.records)})

    async def stop(self):
        for server in self.servers:
            await server.stop()


class Run:
    def __init__(self, name, number, spec, checkpoint, worker):
        self.name, self.number, self.spec, self.worker = name, number, spec, worker
        self.saved = checkpoint
        self.done_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.task = None
        self.percent = 0


class Gangs:
    """The members of each gang that are present, by step and run number."""

    def __init__(self):
        self.members = {}

    def key(self, run):
        return run.name.rsplit(".", 1)[0], run.number

    def enter(self, run):
        self.members.setdefault(self.key(run), {})[run.name] = run

    def leave(self, run):
        return self.members.get(self.key(run), {}).pop(run.name, None)

    def present(self, run):
        return self.members.get(self.key(run), {})


class Worker:
    """A worker.  What a task does is told by its specification, a JSON text:
    ms (of work), gang (members), lasts, fails (the share of its runs), tick (ms, of its steps).
    `hook(worker, path, body)` returns None, ("silent",): not done and not
    answered, ("late", s): done after s and not answered, ("lost",), or
    ("status", n)."""

    STOP_S = 0.05
    SAVE_MS = 1000

    def __init__(self, store, record, identity, service, zone="a", rack="r1-1", cpu=64000,
                 mem=256000, gangs=None, slow=False, labels=()):
        self.store, self.record, self.id, self.service = store, record, identity, service
        self.zone, self.rack, self.cpu, self.mem = zone, rack, cpu, mem
        self.gangs = gangs if gangs is not None else Gangs()
        self.rate = 0.98 if slow else 1.0
        self.labels = list(labels)
        self.hook = None
        self.port = 0
        self.up = False
        self.listed = True
        self.first_beat_s = 0.0
        self.state = "ready"
        self.remaining = 0
        self.beat = None
        self.seq = 0
        self.http = None

    async def start(self):
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.seq, self.fence, self.deadline, self.lapsed_at = 0, 0, 0, 0
        self.runs, self.ends, self.numbers, self.last_end = {}, [], {}, 0
        self.used = [0, 0]
        self.ended = asyncio.Event()
        self.up = True
        self.state = "ready"
        self.http = await HttpServer(self.handle, self.port).start()
        self.port = self.http.port
        self.record.add("worker-up", self.id, self.born)
        self.beat = asyncio.create_task(self.beats())
        self.lapse = asyncio.create_task(self.lapses())
        return self

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000 * self.rate)

    def entry(self):
        self.seq += 1
        value = {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                 "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                 "coldRemainingMs": 0, "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                 "labels": ["a", self.rack] + self.labels, "clockMs": self.clock(),
                 "seq": self.seq, "born": self.born}
        if self.state == "draining":
            value["remainingMs"] = self.remaining
        return value

    async def beats(self):
        await asyncio.sleep(self.first_beat_s)
        while self.up:
            if self.listed:
                self.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(1.5)

    async def lapses(self):
        while self.up:
            await asyncio.sleep(0.02)
            if self.deadline and self.clock() >= self.deadline:
                if self.lapsed_at != self.deadline:
                    self.lapsed_at = self.deadline
                    self.record.add("lease-over", self.id)
                for run in list(self.runs.values()):
                    self.finish(run, "lapsed")

    async def crash(self, unlist=True):
        self.up = False
        self.beat.cancel()
        self.lapse.cancel()
        self.record.add("worker-down", self.id, self.born)
        for run in list(self.runs.values()):
            run.task.cancel()
            if run.spec.get("gang"):
                self.gangs.leave(run)
                self.break_gang(run)
        self.runs = {}
        await self.http.stop()

    async def lose_power(self):
        """Ends this boot; its channels go silent, without a reset."""
        self.up = False
        self.beat.cancel()
        self.lapse.cancel()
        self.record.add("worker-down", self.id, self.born)
        for run in list(self.runs.values()):
            run.task.cancel()
        self.runs = {}
        self.http.dark = True
        self.http.server.close()

    def finish(self, run, how):
        if self.runs.get(run.name) is not run:
            return
        del self.runs[run.name]
        if run.task is not asyncio.current_task():
            run.task.cancel()
        self.last_end += 1
        self.ends.append([self.last_end, run.name, run.number, how, run.saved])
        self.record.add("end", run.name, run.number, how, self.id, self.last_end, run.saved or "-")
        self.ended.set()
        self.ended = asyncio.Event()
        if run.spec.get("gang") and self.gangs.leave(run) is not None and how != "done":
            self.break_gang(run)

    def break_gang(self, run):
        for other in list(self.gangs.present(run).values()):
            if other.started:
                other.worker.finish(other, "broken")

    async def work(self, run):
        spec = run.spec
        run.started = not spec.get("gang")
        if spec.get("gang"):
            self.gangs.enter(run)
            until = time.monotonic() + 3.0
            while len(self.gangs.present(run)) < spec["gang"]:
                if run.started:
                    break
                if time.monotonic() > until:
                    self.finish(run, "alone")
                    return
                await asyncio.sleep(0.01)
            run.started = True
        fails = random.random() < spec.get("fails", 0)
        tick = spec.get("tick", 50)
        await asyncio.sleep(0.02)
        run.percent = 100 if spec.get("lasts") else 0
        while spec.get("lasts") or run.done_ms < spec["ms"]:
            await asyncio.sleep(tick / 1000)
            before = run.done_ms // self.SAVE_MS
            run.done_ms += tick
            if spec.get("saves") and run.done_ms // self.SAVE_MS > before:
                run.saved = "%08x%08x" % (run.done_ms, random.getrandbits(32))
                self.record.add("saved", run.name, run.number, run.saved)
            if not spec.get("lasts"):
                run.percent = min(99, 100 * run.done_ms // max(spec["ms"], 1))
            if fails and run.done_ms >= spec["ms"] / 2:
                self.finish(run, "failed")
                return
        if spec.get("gang"):
            members = list(self.gangs.present(run).values())
            for other in members:
                other.worker.finish(other, "done")
        else:
            self.finish(run, "done")

    async def stop_run(self, run):
        await asyncio.sleep(self.STOP_S)
        self.finish(run, "stopped")

    async def handle(self, method, target, headers, body):
        if not self.up:
            return None if self.http.dark else "reset"
        if target == "/health":
            return as_json(200 if self.state == "ready" else 503, {})
        value = json.loads(body)
        path = target.split("?")[0]
        rule = self.hook(self, path, value) if self.hook else None
        kind = rule[0] if rule else None
        if kind == "silent":
            return None
        if kind == "status":
            return as_json(rule[1], {})
        if headers.get("peridothill-expect-instance", self.id) != self.id:
            return as_json(421, {})
        born = self.born
        if kind == "late":
            async def later():
                await asyncio.sleep(rule[1])
                if self.up and self.born == born:
                    self.record.add("late", path, value.get("task", "-"))
                    await self.execute(path, value)
            asyncio.create_task(later())
            return None
        answer = await self.execute(path, value)
        return None if kind == "lost" else answer

    def reply(self, status, more=None):
        value = {"clockMs": self.clock(), "born": self.born}
        value.update(more or {})
        return as_json(status, value)

    async def execute(self, path, value):
        fence = value.get("fence", 0)
        if fence < self.fence:
            self.record.add("refused", self.id, path, "fence", fence, self.fence)
            return self.reply(409, {"reason": "fence"})
        self.fence = fence
        if path == "/api/hold":
            return await self.hold(value)
        if path == "/api/run-start":
            return self.run_start(value)
        if path == "/api/run-stop":
            run = self.runs.get(value["task"])
            self.record.add("stop", value["task"], value["run"], self.id)
            if run is not None and run.number <= value["run"]:
                asyncio.create_task(self.stop_run(run))
            self.numbers[value["task"]] = max(self.numbers.get(value["task"], 0), value["run"])
            return self.reply(200)
        if path == "/api/pace":
            return self.reply(200)
        return self.reply(400)

    def lease(self, deadline):
        if deadline:
            self.deadline = max(self.deadline, min(deadline, self.clock() + 10000))

    def run_start(self, value):
        name, number = value["task"], value["run"]
        run = self.runs.get(name)
        if value["deadlineMs"] <= self.clock():
            return self.reply(409, {"reason": "late"})
        if run is not None and run.number == number:
            self.lease(value["deadlineMs"])
            return self.reply(200)
        if run is not None or number <= self.numbers.get(name, 0):
            self.lease(value["deadlineMs"])
            return self.reply(409, {"reason": "old"})
        spec = json.loads(value["spec"])
        cpu = sum(r.spec.get("cpu", 0) for r in self.runs.values())
        if cpu + spec.get("cpu", 0) > self.cpu:
            self.lease(value["deadlineMs"])
            return self.reply(409, {"reason": "room"})
        self.lease(value["deadlineMs"])
        self.numbers[name] = number
        run = Run(name, number, spec, value.get("lastCheckpoint", ""), self)
        self.runs[name] = run
        self.record.add("start", name, number, self.id, "fence", value["fence"],
                        "from", value.get("lastCheckpoint", "-") or "-", "spec", value["spec"])
        run.task = asyncio.create_task(self.work(run))
        return self.reply(200)

    async def hold(self, value):
        seen = value.get("lastSeen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.record.add("noted", end[1], end[2], end[3], self.id)
        self.ends = [e for e in self.ends if e[0] > seen]
        self.lease(value.get("deadlineMs", 0))
        if value.get("waitMs", 0) > 0 and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), value["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return self.reply(200, {"running": [[r.name, r.number, r.saved, r.percent, 0]
                                            for r in self.runs.values()],
                                "endedRuns": self.ends[:500]})


class Instance:
    """A process of the project, started as the deploy file says."""

    def __init__(self, record, folder, identity, store_port, zone="a", share=0.5):
        self.record, self.id = record, identity
        self.front, self.ready, self.link = free_port(), free_port(), free_port()
        self.path = os.path.join(folder, identity + ".ini")
        self.log = open(os.path.join(folder, identity + ".log"), "ab")
        with open(self.path, "w") as f:
            f.write(TEMPLATE.format(id=identity, zone=zone, front=self.front, ready=self.ready,
                                    link=self.link, store=store_port, share=share))
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "serve", self.path, cwd=ROOT, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL, start_new_session=True)
        self.record.add("instance-start", self.id)

    def signal(self, number):
        self.record.add("signal", self.id, signal.Signals(number).name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def running(self):
        return self.process is not None and self.process.returncode is None


async def call(port, method, path, host, body=None, limit=3.0, budget_ms=3000):
    """One request on a channel of its own.  Returns (status, value), with the
    status 0 if there was no answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "Peridothill-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, host, budget_ms, len(data))).encode() + data)
            await writer.drain()
            return await read_message(reader)
        message = await asyncio.wait_for(exchange(), limit)
        if message is None:
            return 0, None
        status = int(message[0].split(" ")[1])
        try:
            return status, json.loads(message[2] or b"null")
        except ValueError:
            return status, None
    except (OSError, asyncio.TimeoutError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Calls on one queue, recorded."""

    def __init__(self, record, host="jobs.example", prefix="/jobs/"):
        self.record, self.host, self.prefix = record, host, prefix

    async def ask(self, instance, method, identity, body=None, limit=3.0, quiet=False):
        if not quiet:
            self.record.add("send", method, identity, "at", instance.id)
        status, value = await call(instance.front, method, self.prefix + identity, self.host,
                                   body, limit)
        if not quiet or status != 200:
            self.record.add("answer", method, identity, "at", instance.id, status,
                            json.dumps(value))
        return status, value

    async def submit(self, instances, identity, body, tries=5):
        """Submits until there is a definite answer; other instances get the
        retries."""
        status = 0
        for i in range(tries):
            status, _ = await self.ask(instances[i % len(instances)], "POST", identity, body)
            if 200 <= status < 300 or status in (404, 400):
                break
            await asyncio.sleep(0.2)
        return status


def config(version=1, extra=0, service="desk", max_attempts=3):
    routes = [{"name": "jobs", "host": "jobs.example", "pathPrefix": "/jobs/",
               "kind": "non_idempotent", "timeoutMs": 3000, "targetCompletionMs": 1000,
               "priority": 0, "service": service, "maxAttempts": max_attempts, "stretch": 2.0}]
    for i in range(extra):
        routes.append(dict(routes[0], name="idle-%d" % i, pathPrefix="/idle%d/" % i))
    return {"version": version, "routes": routes,
            "services": [{"name": service, "healthPath": "/health", "maxConns": 64,
                          "protocol": "h1", "tls": False, "enforcesCapacity": True,
                          "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class World:
    """A small deployment: the store, workers and instances."""

    def __init__(self, record):
        self.record = record
        self.work = tempfile.mkdtemp(prefix="peridothill-review-")
        self.store = Store()
        self.gangs = Gangs()
        self.workers, self.instances = [], []

    async def start(self, instances=3, workers=6, worker_id="w%d", share=0.5, cpu=64000,
                    settings=None):
        self.store.put("keyed.op", "config", settings or config())
        for i in range(workers):
            worker = Worker(self.store, self.record, worker_id % (i + 1), "desk",
                            zone="abc"[i % 3], rack="r1-%d" % (i % 3 + 1), cpu=cpu,
                            gangs=self.gangs, slow=i % 2 == 1)
            self.workers.append(await worker.start())
        for i in range(instances):
            identity = "edge-%d" % (i + 1)
            port = await self.store.open(identity)
            self.instances.append(Instance(self.record, self.work, identity, port,
                                           zone="abc"[i % 3], share=share))
            await self.instances[-1].start()

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            states = [await call(i.ready, "GET", "/api/ready", "x", limit=1)
                      for i in self.instances if i.running()]
            if all(s[0] == 200 for s in states) and self.owner() is not None:
                return True
            await asyncio.sleep(0.1)
        return False

    def owner(self):
        """The instance that wrote the newest record of the owners' topic."""
        topic = self.store.topics.get("keyed.owner")
        if topic is None or not topic.records:
            return None
        raw = topic.records[-1]
        for instance in self.instances:
            if (instance.id + ".").encode() in raw:
                return instance
        return None

    async def stop(self):
        for instance in self.instances:
            if instance.running():
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                await instance.process.wait()
        for worker in self.workers:
            if worker.up:
                await worker.crash()
        await self.store.stop()
        for name in os.listdir(self.work):
            os.unlink(os.path.join(self.work, name))
        os.rmdir(self.work)


def main(play, record_path):
    """Runs `play(world, trouble)`, which returns a list of what broke the
    rule, or None if the case could not run.  What was sent, answered and run
    is written to `record_path`.  TROUBLE=0 leaves the disruption out.  Returns
    1 if the rule was broken, 0 if it held, 2 if the case could not run, which
    includes an error of the case itself."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(PROGRAM, os.X_OK):
        record.add("case", "the program is not built")
        print("the program is not built")
        return 2

    async def whole():
        world = World(record)
        try:
            return await asyncio.wait_for(play(world, trouble), 115)
        except asyncio.TimeoutError:
            record.add("case", "took too long")
            return None
        finally:
            await world.stop()

    try:
        broken = asyncio.run(whole())
    except Exception as error:  # not a finding
        record.add("case", "error", repr(error))
        broken = None
    if broken is None:
        record.add("case", "could not run")
        print("the case could not run")
        return 2
    for line in broken:
        record.add("broken", line)
        print("broken: " + line)
    record.add("case", len(broken), "broken")
    print("%d broken" % len(broken))
    return 1 if broken else 0
