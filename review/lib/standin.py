"""Stand-ins for the platform, its workers and its clients, for the scripts of the review.

One asyncio process plays the store, the machine service and the workers on loopback addresses, starts
node processes with the command of deploy/system.toml, and sends the calls of the clients. Each node has
a store address of its own, so that the store can turn single nodes away. The stand-ins follow
PROTOCOL.md; where that page is silent they do nothing unusual.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PARTS = 24
RECORD_BYTES = 262144
CALL_BYTES = 2097152
HOLD_MAX_MS = 6000
ENDS_AT_A_TIME = 500
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
SAVE_MS = 500
STOP_S = 0.05
GANG_MS = 3000
KEY = "key-of-ane"
BOUNDS = """[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lostMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
saveS = 0.5
restoreMs = 100
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencing = true
leaseMs = 3000
paceMs = 100
harmMs = 4000
"""


class Drop(Exception):
    """The connection is closed without an answer."""


class Record:
    """The file record.txt: what was sent, answered and run, with seconds from its start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, line):
        self.file.write(f"{time.monotonic() - self.start:8.3f}  {line}\n")
        self.file.flush()


async def serve(handler, port=0):
    """Serves HTTP/1.1; `handler` gets method, path, query, headers and body."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                status, kind, answer = await handler(method, url.path, query, headers, body)
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (Drop, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, HOST, port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


JSON = "application/json"
RAW = "application/octet-stream"


class Partition:
    def __init__(self):
        self.records = []
        self.epoch = 0
        self.last = None
        self.recent = []
        self.changed = asyncio.Event()

    def append(self, records):
        self.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's log."""

    def __init__(self, record):
        self.record = record
        self.parts = {}
        self.members = {}
        self.generation = 0
        self.table = {}
        self.down = False
        self.turned_away = set()
        self.trouble = asyncio.Event()
        self.submission_readers = {}

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Partition())

    def set_down(self, down):
        self.down = down
        self.trouble.set()
        self.trouble = asyncio.Event()

    def turn_away(self, node, away):
        (self.turned_away.add if away else self.turned_away.discard)(node)
        self.trouble.set()
        self.trouble = asyncio.Event()

    def is_refused(self, node):
        return self.down or node in self.turned_away

    def put(self, topic, key, value):
        """A write of the operator or of a worker."""
        if self.down:
            return False
        data = b"" if value is None else json.dumps(value).encode()
        self.part(topic, 0).append([bytes([len(key)]) + key.encode() + data])
        return True

    def newest(self, topic, number):
        newest = {}
        for offset, record in enumerate(self.part(topic, number).records):
            size = record[0]
            key, value = record[1 : 1 + size].decode("utf-8", "replace"), record[1 + size :]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return newest

    async def handle(self, node, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_refused(node):
            return 503, JSON, {}
        if path == "/log-append":
            return self.append(query, body)
        if path == "/log-read":
            return await self.read(node, query)
        if path == "/log-newest":
            return self.read_newest(query)
        if path == "/log-join":
            return self.join(json.loads(body))
        if path == "/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            self.deal()
            return 200, JSON, {}
        if path == "/log-owners":
            self.expire()
            rows = [[t, p, m, 0] for (t, p), m in sorted(self.table.items())]
            return 200, JSON, {"parts": rows}
        return 404, JSON, {}

    def append(self, query, body):
        part = self.part(query["topic"], query["part"])
        records, rest = [], body
        while rest:
            size = int.from_bytes(rest[:4], "big")
            records.append(rest[4 : 4 + size])
            rest = rest[4 + size :]
        if len(body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            largest = max(len(r) for r in records)
            self.record(f"store: append to {query['topic']} refused, record of {largest} bytes")
            return 413, JSON, {}
        end = len(part.records)
        if "timestamp" in query and int(query["timestamp"]) != end:
            return 412, JSON, {"endOffset": end}
        if "epoch" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < part.epoch:
                return 409, JSON, {"reason": "fenced"}
            if epoch > part.epoch:
                part.epoch, part.last, part.recent = epoch, None, []
            if body:
                for known, answer in part.recent:
                    if known == seq:
                        return 200, JSON, answer
                if part.last is not None and seq != part.last + 1:
                    return 409, JSON, {"reason": "seq", "seq": part.last + 1}
                part.last = seq
        part.append(records)
        answer = {"offset": end, "endOffset": len(part.records)}
        if "epoch" in query and body:
            part.recent = (part.recent + [(int(query["seq"]), answer)])[-5:]
        return 200, JSON, answer

    async def read(self, node, query):
        topic, number, start = query["topic"], int(query["part"]), int(query["from"])
        part = self.part(topic, number)
        if topic == "keyed.submissions":
            self.submission_readers[number] = node
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(part.records) <= start and time.monotonic() < until:
            waits = [asyncio.ensure_future(e.wait()) for e in (part.changed, self.trouble)]
            await asyncio.wait(
                waits,
                timeout=until - time.monotonic(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for wait in waits:
                wait.cancel()
            if self.is_refused(node):
                return 503, JSON, {}
        if len(part.records) > start:
            await asyncio.sleep(STORE_ANSWER_S)
        answer = bytearray()
        for record in part.records[start:]:
            if answer and len(answer) + len(record) > 1024 * 1024:
                break
            answer += len(record).to_bytes(4, "big") + record
        head = len(part.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        return 200, RAW, bytes(head + answer)

    def read_newest(self, query):
        part = self.part(query["topic"], query["part"])
        items, size, more = [], 0, False
        for key, (value, offset) in sorted(self.newest(query["topic"], query["part"]).items()):
            if "dependsOn" in query and key <= query["dependsOn"]:
                continue
            if len(items) == 500 or size + len(value) > 1024 * 1024 and items:
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return 200, JSON, {"items": items, "hasMore": more, "endOffset": len(part.records)}

    def join(self, call):
        self.expire()
        name = call["member"]
        is_new = name not in self.members
        until = time.monotonic() + call["ttlMs"] / 1000
        self.members[name] = (until, tuple(call["topics"]))
        if is_new:
            self.deal()
        parts = [[t, p, 0] for (t, p), m in sorted(self.table.items()) if m == name]
        answer = {"generation": self.generation, "ttlMs": call["ttlMs"], "parts": parts}
        return 200, JSON, answer

    def expire(self):
        now = time.monotonic()
        gone = [name for name, (until, _) in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
        if gone:
            self.deal()

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        topics = sorted({t for _, topics in self.members.values() for t in topics})
        places = [(t, p) for t in topics for p in range(PARTS)]
        self.table = {place: names[i % len(names)] for i, place in enumerate(places) if names}


class Worker:
    """A worker; the text of a task says how it works.

    `spec` is JSON: `workMs`, and `spreadMs`, by which the tasks of a step differ evenly; `lasts`;
    `gang`, the number of members.
    """

    def __init__(self, fleet, number, pool, cpu=64000, mem=262144, guards=True):
        self.fleet = fleet
        self.number = number
        self.id = f"i-{0x9C7489982B + number:010x}"
        self.machine = f"m-{0x0A3F1 + number:05x}"
        self.pool = pool
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.guards = guards
        self.server = None
        self.refusals = {}
        self.begin_life()

    def begin_life(self):
        self.up = True
        self.life = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.superseded = {}
        self.seq = 0
        self.ended = asyncio.Event()

    def clock(self):
        return 5000 + int((time.monotonic() - self.life) * 1000)

    def entry(self):
        self.seq += 1
        return {
            "service": self.pool,
            "address": f"{HOST}:{self.port}",
            "zone": "bilbao",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": ["a", f"r1-{self.number // 4}"],
            "machine": self.machine,
            "clockMs": self.clock(),
            "born": self.born,
            "seq": self.seq,
        }

    async def open(self):
        self.server, self.port = await serve(self.handle)

    def crash(self):
        """The worker is down: it runs nothing and answers nothing."""
        self.up = False
        lost, self.running = self.running, {}
        for task, run in lost.items():
            self.fleet.note("lost", self, task, run)
            if run["gang"]:
                self.fleet.halt_gang(task, run)

    def restart(self):
        """The worker is up again, under its id, and registers itself."""
        self.begin_life()
        self.fleet.store.put("keyed.servers", self.id, self.entry())

    def work_ms(self, task, spec):
        index = int(task.rsplit(".", 1)[1])
        spread = spec.get("spreadMs", 0)
        return spec.get("workMs", 1000) + (index * 7919 % 1000) * spread // 1000

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        row = [self.last_end, task, run["run"], how, self.saved(run)]
        self.finished.append(row)
        self.superseded[task] = max(run["run"], self.superseded.get(task, 0))
        self.fleet.note(how, self, task, run)
        self.ended.set()
        self.ended = asyncio.Event()

    def saved(self, run):
        if not run["saves"]:
            return ""
        worked = self.worked(run)
        done = worked if run.get("stopping") else worked // SAVE_MS * SAVE_MS
        if done <= 0:
            return run["checkpoint"]
        return f"{done:08x}{run['job'][8:]}"

    def worked(self, run):
        if "halted" in run:
            return run["halted"]
        if run["since"] is None:
            return run["from"]
        return run["from"] + int((time.monotonic() - run["since"]) * 1000)

    def step(self):
        """Ends what is due."""
        if not self.up:
            return
        now = time.monotonic()
        if self.running and self.clock() >= self.lease:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, run in list(self.running.items()):
            if task not in self.running:
                continue
            if run.get("stopping") and now >= run["stopping"]:
                self.end(task, "stopped")
                self.fleet.break_gang(task, run)
            elif run["since"] is None:
                if now - run["started"] >= GANG_MS / 1000:
                    self.end(task, "alone")
            elif not run["lasts"] and self.worked(run) >= run["work"]:
                together = list(self.fleet.members(task, run)) if run["gang"] else []
                for worker, name, _ in together or [(self, task, run)]:
                    worker.end(name, "done")

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def used(self, name):
        return sum(run["size"].get(name, 0) for run in self.running.values())

    def refuse(self, reason):
        self.refusals[reason] = self.refusals.get(reason, 0) + 1
        return 409, JSON, {"clockMs": self.clock(), "reason": reason}

    def accept(self):
        return 200, JSON, {"clockMs": self.clock()}

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise Drop
        if headers.get("primrosewheel-expect-instance") not in (None, self.id):
            return 421, JSON, {"clockMs": self.clock()}
        call = json.loads(body or b"{}")
        late_s = self.fleet.delay_of(path, call)
        if late_s:
            # The caller gets no answer; the order is carried out late, by whatever life is up then.
            asyncio.ensure_future(self.carry_out_late(late_s, path, call))
            await asyncio.sleep(late_s + 10)
            raise Drop
        return await self.carry_out(path, call)

    async def carry_out_late(self, late_s, path, call):
        await asyncio.sleep(late_s)
        if self.up:
            status, _, answer = await self.carry_out(path, call)
            self.fleet.record(
                f"worker {self.id}: carried out {late_s} s late: {path} {call.get('task')}"
                f" run {call.get('run')}: {status} {answer.get('reason', '')}"
            )

    async def carry_out(self, path, call):
        if call.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = call.get("fence", 0)
        self.step()
        if path == "/hold":
            return await self.hold(call)
        if path == "/run-start":
            return self.start(call)
        if path == "/run-stop":
            return self.stop(call)
        if path == "/pace":
            return self.accept()
        return 404, JSON, {}

    def start(self, call):
        task, number = call["task"], call["run"]
        if task in self.running and self.running[task]["run"] == number:
            self.extend(call["deadlineMs"])
            return self.accept()
        if self.superseded.get(task, 0) >= number or task in self.running:
            self.extend(call["deadlineMs"])
            return self.refuse("old")
        if call["deadlineMs"] <= self.clock():
            return self.refuse("late")
        spec = json.loads(call["spec"])
        if spec.get("advised") and not self.fleet.is_ticket(call.get("ticket"), task, self):
            return self.refuse("ticket")
        size = self.fleet.size_of(task)
        over = any(self.used(n) + size.get(n, 0) > self.capacity[n] for n in ("cpu", "memMb"))
        if over and self.guards:
            self.extend(call["deadlineMs"])
            return self.refuse("room")
        self.extend(call["deadlineMs"])
        checkpoint = call.get("checkpoint", "")
        now = time.monotonic()
        run = {
            "job": task.split(".")[0],
            "run": number,
            "started": now,
            "since": None if spec.get("gang") else now,
            "from": int(checkpoint[:8], 16) if checkpoint else 0,
            "work": self.work_ms(task, spec),
            "lasts": spec.get("lasts", False),
            "saves": spec.get("saves", False),
            "gang": spec.get("gang", 0),
            "checkpoint": checkpoint,
            "size": size,
        }
        self.running[task] = run
        self.fleet.note("started", self, task, run)
        self.fleet.gather_gang(task, run)
        return self.accept()

    def stop(self, call):
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run and run["run"] <= number:
            run.setdefault("stopping", time.monotonic() + STOP_S)
        else:
            self.superseded[task] = max(number, self.superseded.get(task, 0))
        return self.accept()

    async def hold(self, call):
        self.extend(call.get("deadlineMs"))
        seen = call.get("lastSeen", 0)
        for row in self.finished:
            if row[0] <= seen:
                self.fleet.note("noted", self, row[1], {"run": row[2], "how": row[3]})
        self.finished = [row for row in self.finished if row[0] > seen]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.step()
        running = []
        for task, run in self.running.items():
            percent = 100 if run["lasts"] else min(99, 100 * self.worked(run) // run["work"])
            running.append([task, run["run"], self.saved(run), percent, 0])
        if not self.up:
            raise Drop
        return (
            200,
            JSON,
            {
                "clockMs": self.clock(),
                "born": self.born,
                "running": running,
                "finished": self.finished[:ENDS_AT_A_TIME],
            },
        )


class Fleet:
    """The platform, its workers and the node processes of one script."""

    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.workers = []
        self.nodes = {}
        self.jobs = {}
        self.events = []
        self.tickets = {}
        self.late = None
        self.folder = tempfile.TemporaryDirectory(prefix="primrosewheel-review-")
        self.tasks = []

    def delay_of(self, path, call):
        """How late an order is carried out, without an answer; 0 for an ordinary one."""
        if self.late is None or path != "/run-start":
            return 0
        late_s, self.late = self.late, None
        self.record(f"worker: gives {path} {call['task']} run {call['run']} no answer")
        return late_s

    def note(self, what, worker, task, run):
        now = time.monotonic()
        self.events.append((now, what, worker.id, worker.pool, task, run["run"], dict(run)))
        if run["run"] == 1 and not self.verbose(task):
            return
        self.record(f"worker {worker.id} ({worker.pool}): {task} run {run['run']} {what}"
                    + (f" checkpoint {run['checkpoint']!r}" if run.get("saves") else ""))

    def verbose(self, task):
        return self.jobs.get(task.split(".")[0], {}).get("verbose", True)

    def size_of(self, task):
        job, _, step, _ = task.split(".")
        phase = self.jobs[job]["phases"][int(step)]
        return {name: phase.get(name, 0) for name in ("cpu", "memMb")}

    def members(self, task, run):
        prefix = task.rsplit(".", 1)[0] + "."
        for worker in self.workers:
            for name, other in worker.running.items():
                if name.startswith(prefix) and other["run"] == run["run"]:
                    yield worker, name, other

    def gather_gang(self, task, run):
        if not run["gang"]:
            return
        members = list(self.members(task, run))
        if len(members) == run["gang"]:
            for _, _, other in members:
                other["since"] = time.monotonic()

    def halt_gang(self, task, run):
        """The members that are left do not work on, as they work only together."""
        for worker, _, other in self.members(task, run):
            other.setdefault("halted", worker.worked(other))

    def break_gang(self, task, run):
        if run["gang"]:
            for worker, name, _ in list(self.members(task, run)):
                worker.end(name, "broken")

    async def open(self, workers):
        self.workers = workers
        for worker in workers:
            await worker.open()
        _, self.machines_port = await serve(self.handle_machines)
        _, self.advice_port = await serve(self.handle_advice)
        self.tasks.append(asyncio.ensure_future(self.beat()))
        self.tasks.append(asyncio.ensure_future(self.run_workers()))

    async def beat(self):
        while True:
            for worker in self.workers:
                if worker.up:
                    self.store.put("keyed.servers", worker.id, worker.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def run_workers(self):
        while True:
            for worker in self.workers:
                worker.step()
            await asyncio.sleep(0.01)

    async def handle_machines(self, method, path, query, headers, body):
        if path == "/machines":
            rows = [
                {
                    "machine": w.machine,
                    "pool": w.pool,
                    "state": "up" if w.up else "down",
                    "zone": "bilbao",
                    "labels": ["a", f"r1-{w.number // 4}"],
                    "capacity": w.capacity,
                    "id": w.id if w.up else "",
                }
                for w in self.workers
            ]
            return 200, JSON, {"machines": rows, "nextToken": None}
        self.record(f"machines: {path} {body.decode()} refused as busy")
        return 409, JSON, {"reason": "busy"}

    async def handle_advice(self, method, path, query, headers, body):
        """All workers may run the step; a ticket is good for one life of its worker, for 3 s."""
        call = json.loads(body)
        await asyncio.sleep(0.02 + 0.002 * len(call["workers"]))
        good = []
        for worker in self.workers:
            if worker.id in call["workers"]:
                ticket = f"c{len(self.tickets):04x}"
                until = time.monotonic() + 3
                self.tickets[ticket] = (call["step"], worker.id, worker.born, until)
                good.append([worker.id, ticket])
        return 200, JSON, {"good": good, "validMs": 3000}

    def is_ticket(self, ticket, task, worker):
        step, name, born, until = self.tickets.get(ticket, ("", "", 0, 0))
        fits = step == task.rsplit(".", 1)[0] and (name, born) == (worker.id, worker.born)
        return fits and time.monotonic() <= until

    async def start_node(self, name):
        async def handle(*call):
            return await self.store.handle(name, *call)

        _, store_port = await serve(handle)
        ports = free_ports()
        text = f"""node = "{name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "{HOST}"
zone = "bilbao"
region = "cantabrico"
portRange = [{ports[0]}, {ports[1]}]
bootstrap = true
discovery = "platform"
heartbeatMs = 1500
orders = "call"
advice = "{HOST}:{self.advice_port}"
[listen]
front = "{HOST}:{ports[2]}"
ready = "{HOST}:{ports[3]}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
{BOUNDS}[platform]
address = "{HOST}:{store_port}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = {PARTS}
recordBytes = {RECORD_BYTES}
callBytes = {CALL_BYTES}
keep_s = 300
ttlMinMs = 1000
[cloud]
address = "{HOST}:{self.machines_port}"
"""
        folder = pathlib.Path(self.folder.name)
        settings = folder / f"{name}.toml"
        settings.write_text(text)
        self.nodes[name] = {"settings": settings, "front": ports[2], "ready": ports[3]}
        await self.run_node(name)

    async def run_node(self, name):
        """Starts the program of the deploy file for a node, also after a kill."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        command[0] = str(ROOT / command[0])
        if not os.path.exists(command[0]):
            raise RuntimeError("the program of the deploy file is not built")
        settings = str(self.nodes[name]["settings"])
        with open(pathlib.Path(self.folder.name) / f"{name}.log", "ab") as log:
            self.nodes[name]["process"] = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "PRIMROSEWHEEL_BOOT": settings},
                stdout=log,
                stderr=log,
            )
        self.record(f"node {name} started")

    async def kill_node(self, name, down_s):
        """Kills a node; it starts again after `down_s`."""
        process = self.nodes[name]["process"]
        process.kill()
        await process.wait()
        self.record(f"node {name} killed (SIGKILL), starts again in {down_s} s")

        async def restart():
            await asyncio.sleep(down_s)
            await self.run_node(name)

        self.tasks.append(asyncio.ensure_future(restart()))

    async def wait_ready(self, timeout=25):
        """Waits until all nodes are ready and all shards have an owner."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            ready = []
            for node in self.nodes.values():
                answer = await call(node["ready"], "GET", "/ready")
                ready.append(answer is not None and answer[0] == 200)
            if all(ready) and len(self.store.submission_readers) == PARTS:
                await asyncio.sleep(1)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the nodes did not get ready")

    async def client(self, node, method, path, body=None, key=None, quiet=False):
        """A call of a client; returns the status (None without an answer) and the body."""
        headers = {"Host": "jobs.example", "Primrosewheel-Request-Deadline": "3000"}
        if key:
            headers["Primrosewheel-Credential"] = key
        answer = await call(self.nodes[node]["front"], method, path, headers, body, 3.0)
        status = answer[0] if answer else None
        text = answer[1].decode("utf-8", "replace")[:80] if answer else "no answer"
        if not quiet:
            self.record(f"client: {method} {path} at {node}: {status} {text}")
        return status, text

    async def submit(self, node, prefix, job, spec, phases, key=None, verbose=True):
        """Hands a job in as clients do: again with the same id until it is accepted."""
        body = {"spec": json.dumps(spec), "phases": phases}
        self.jobs[job] = {"phases": phases, "verbose": verbose}
        for _ in range(5):
            status, _ = await self.client(node, "POST", prefix + job, body, key)
            if status in (200, 404, 401, 400):
                return status
            await asyncio.sleep(0.5)
        return status

    def owner_of(self, pool):
        return self.store.submission_readers.get(find_shard(pool))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes.values():
            process = node["process"]
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp {self.folder.name}/*.log '{os.environ['KEEP_LOGS']}'")
        self.folder.cleanup()


def find_shard(pool):
    """The shard of a pool, as docs and `pw_control::find_shard` have it (FNV-1a)."""
    value = 0xCBF29CE484222325
    for byte in pool.encode():
        value = (value ^ byte) * 0x0100000001B3 & (1 << 64) - 1
    return (value ^ value >> 32) % PARTS


def free_ports():
    """Four free ports, the first two one after the other, below those of outgoing connections."""
    for _ in range(200):
        first = random.randrange(20000, 30000, 4)
        ports = range(first, first + 4)
        sockets = [socket.socket() for _ in ports]
        try:
            for one, port in zip(sockets, ports):
                one.bind((HOST, port))
            return list(ports)
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise RuntimeError("no free ports")


async def call(port, method, path, headers=None, body=None, timeout=2.0):
    """Sends one request; returns the status and the body, or None without a whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            for name, value in {"Host": "localhost", **(headers or {})}.items():
                lines.append(f"{name}: {value}")
            if body is not None:
                lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(data)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ", 2)[1])
            size = 0
            for line in head.split("\r\n"):
                if line.startswith("content-length:"):
                    size = int(line.split(":")[1])
            return status, await reader.readexactly(size)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def config(version, routes, pools):
    """A configuration; `routes` are rows of name, prefix, service and further fields."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "jobs.example",
                "pathPrefix": prefix,
                "type": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 600,
                "priority": 0,
                "service": service,
                "attempts": 4,
                "stretch": 1.6,
                "public": False,
                **more,
            }
            for name, prefix, service, more in routes
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
             "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, "admissionCheck": guards,
             "spare": False}
            for name, guards in pools
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "ane", "apiKeys": [KEY], "priority": 1, "weight": 60,
                     "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}],
    }


def overlaps(events):
    """Returns pairs of runs of one task that were running at the same time on workers that are up."""
    open_runs, found = {}, []
    for at, what, worker, pool, task, run, _ in events:
        runs = open_runs.setdefault(task, {})
        if what == "started":
            for (other_worker, other_run), since in runs.items():
                found.append((at, task, other_worker, other_run, worker, run))
            runs[worker, run] = at
        elif what != "noted":
            runs.pop((worker, run), None)
    return found


def run_case(play):
    """Runs `play(fleet, record, trouble)`; exits with 1 if it returns a broken rule, 0 if none, and
    2 if the case couldn't run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"trouble: {trouble}")

    async def main():
        # A script that is ended from outside ends its node processes, too.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(play(fleet, record, trouble), 100)
        finally:
            await fleet.close()

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in broken:
        record(f"broken: {line}")
        print(f"broken: {line}")
    record("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
