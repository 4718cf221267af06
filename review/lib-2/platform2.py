"""Stand-ins of the users' platform for the scripts of the second review, and the node processes.

The store (log form), the workers, the machine service and the clients follow PROTOCOL.md and DEPLOY.md of the
users' pages. All of them run in one event loop on loopback addresses; nodes are processes of their own.
Each node reaches the store through a port of its own, so that single nodes can be cut off from it.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
# The figures of `telar-norte`, as its settings file gives them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 6, "lostMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevoke": True, "revokeMs": 5000, "quotaWindowS": 5, "quotaOver": 0.1, "quotaSlack": 20,
    "coldOver": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "holdMaxMs": 6000, "stopMs": 400,
    "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 3, "saveS": 0.5, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2,
    "fencing": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
}
RECORD_BYTES, CALL_BYTES, PARTS = 262144, 2097152, 24
STORE_MS, APPEND_MS, BEAT_S, SAVE_S, GANG_S, MOVE_S, HOLD_MAX_MS = 4.0, 1.0, 1.5, 0.5, 3.0, 1.5, 6000


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def say(self, *words):
        line = f"{self.now():8.3f}  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


async def read_http(reader):
    """Reads one message; returns its first line, headers and body, or None at the end."""
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
    length = int(headers.get("content-length", 0))
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
        return lines[0], headers, body
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def reply_bytes(status, body=b"", kind="application/json", extra=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", f"Content-Type: {kind}"]
    lines += [f"{name}: {value}" for name, value in extra]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server whose `answer` returns (status, body[, kind]); None leaves the call unanswered."""

    def __init__(self):
        self.server = None
        self.port = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.connection, HOST, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def address(self):
        return f"{HOST}:{self.port}"

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_http(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                result = await self.answer(method, target, message[1], message[2])
                if result is None:
                    await asyncio.sleep(3600)
                    return
                writer.write(reply_bytes(*result))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends as a crashed process does: nothing listens, and connections break."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Part:
    def __init__(self):
        self.records, self.newest, self.epoch, self.last = [], {}, -1, None
        self.history = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def append(self, records, keyed):
        first = len(self.records)
        for record in records:
            if keyed:
                size = record[0]
                key, value = record[1:1 + size], record[1 + size:]
                if value:
                    self.newest[key] = (value, len(self.records))
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return first


class Store:
    """The platform's store; `slow` multiplies the time of each answer."""

    def __init__(self, record):
        self.record, self.parts, self.slow = record, {}, 1.0
        self.members, self.topics, self.generation, self.refused = {}, set(), 1, 0

    def part(self, topic, number):
        return self.parts.setdefault((topic, int(number)), Part())

    def put(self, topic, key, value):
        """A write of the operator or of a worker."""
        key = key.encode()
        self.part(topic, 0).append([bytes([len(key)]) + key + value], True)

    async def port_for(self, name):
        return await StorePort(self, name).listen()

    def prune(self):
        now = time.monotonic()
        gone = [name for name, (seen, ttl) in self.members.items() if now > seen + ttl]
        for name in gone:
            del self.members[name]
            self.generation += 1

    def owners(self):
        self.prune()
        names = sorted(self.members)
        rows = [(topic, part) for topic in sorted(self.topics) for part in range(PARTS)]
        return [[topic, part, names[i % len(names)] if names else None, 0] for i, (topic, part) in enumerate(rows)]

    async def append(self, query, body):
        topic, number = query["topic"], int(query["part"])
        records, at = [], 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if any(len(record) > RECORD_BYTES for record in records) or len(body) > CALL_BYTES:
            self.refused += 1
            if self.refused in (1, 10, 100, 1000):
                largest = max(len(record) for record in records)
                self.record.say(f"store: refuses an append to {topic}/{number}, largest record {largest} bytes,"
                                f" {len(body)} bytes in all ({self.refused} times)")
            return 400, {}
        part = self.part(topic, number)
        async with part.lock:
            await asyncio.sleep(APPEND_MS / 1000)
            end = len(part.records)
            if "timestamp" in query and int(query["timestamp"]) != end:
                return 412, {"endOffset": end}
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                if epoch < part.epoch:
                    return 409, {"reason": "fenced"}
                if not records:
                    if epoch > part.epoch:
                        part.epoch, part.last, part.history = epoch, None, {}
                    return 200, {"offset": end, "endOffset": end}
                if epoch > part.epoch:
                    part.epoch, part.last, part.history = epoch, None, {}
                if seq in part.history:
                    return 200, part.history[seq]
                if part.last is not None and seq != part.last + 1:
                    return 409, {"reason": "seq", "seq": part.last + 1}
            first = part.append(records, topic.startswith("keyed."))
            answer = {"offset": first, "endOffset": len(part.records)}
            if "producer" in query:
                part.last = seq
                part.history[seq] = answer
                part.history.pop(seq - 5, None)
            return 200, answer

    async def read(self, query):
        part, start = self.part(query["topic"], query["part"]), int(query["from"])
        wait = min(int(query.get("waitMs", 0)), 30000) / 1000
        until = time.monotonic() + wait
        while start >= len(part.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = struct.pack(">QQ", len(part.records), 0)
        size = 0
        for record in part.records[start:]:
            out += struct.pack(">I", len(record)) + record
            size += len(record)
            if size > 1024 * 1024:
                break
        return 200, out, "application/octet-stream"

    async def newest(self, query):
        part = self.part(query["topic"], query["part"])
        after = query.get("dependsOn", "").encode()
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = part.newest[key]
            size += len(value)
            if items and size > 1 << 20:
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "hasMore": len(items) < len(keys), "endOffset": len(part.records)}

    async def call(self, method, target, body):
        split = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        path = split.path
        if path == "/log-append":
            return await self.append(query, body)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return await self.newest(query)
        if path == "/log-owners":
            return 200, {"parts": self.owners()}
        data = json.loads(body or b"{}")
        if path == "/log-join":
            self.prune()
            self.topics |= set(data["topics"])
            if data["member"] not in self.members:
                self.generation += 1
            self.members[data["member"]] = (time.monotonic(), data["ttlMs"] / 1000)
            parts = [[t, p, 0] for t, p, member, _ in self.owners() if member == data["member"]]
            return 200, {"generation": self.generation, "ttlMs": data["ttlMs"], "parts": parts}
        if path == "/log-leave":
            if self.members.pop(data["member"], None):
                self.generation += 1
            return 200, {}
        return 404, {}


class StorePort(Server):
    """The store as one node reaches it; while `cut`, nothing passes in either direction."""

    def __init__(self, store, name):
        super().__init__()
        self.store, self.name, self.cut = store, name, False

    async def answer(self, method, target, headers, body):
        if self.cut:
            return None
        result = await self.store.call(method, target, body)
        await asyncio.sleep(STORE_MS / 1000 * self.store.slow)
        return None if self.cut else result


class Worker(Server):
    """One worker. The text of a job says how its tasks run: `ms=N`."""

    def __init__(self, fleet, number, pool, zone, rack, cpu, mem):
        super().__init__()
        self.fleet, self.number, self.pool, self.zone, self.rack = fleet, number, pool, zone, rack
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.id, self.machine = f"i-{0x3cee7a0000 + number * 7919:010x}", f"m-{0x0a3f1 + number * 131:05x}"
        self.up = self.moving = False

    async def start(self):
        self.born, self.booted = int(time.time() * 1000), time.monotonic()
        self.fence, self.lease, self.runs, self.ended, self.ends, self.barred = 0, 0, {}, [], 0, {}
        self.sizes, self.changed, self.seq, self.up = {}, asyncio.Event(), 0, True
        await self.listen()
        self.loop = asyncio.ensure_future(self.live())
        self.beat = asyncio.ensure_future(self.report())
        return self

    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    async def report(self):
        while True:
            self.seq += 1
            entry = {"service": self.pool, "address": self.address(), "zone": self.zone, "version": "v1", "slots": 8,
                     "state": "ready", "coldLeftMs": 0, "capacity": self.capacity, "labels": ["a", self.rack],
                     "clockMs": self.clock(), "seq": self.seq, "born": self.born, "machine": self.machine}
            self.fleet.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(BEAT_S)

    async def move(self, pool):
        """The machine goes to another pool: what runs ends, and a new worker joins after moveS."""
        self.go("ended by a move")
        self.moving = True
        self.fleet.store.put("keyed.servers", self.id, b"")
        if not self.fleet.quiet:
            self.fleet.record.say(f"worker {self.id}: its machine moves from {self.pool} to {pool}")
        await asyncio.sleep(MOVE_S)
        self.pool, self.moving = pool, False
        self.id = f"i-{int(self.id[2:], 16) + 1:010x}"
        await self.start()

    def crash(self):
        """The machine crashes: all runs are gone, nothing answers."""
        self.go("lost with its worker")
        self.fleet.record.say(f"worker {self.id}: crashes")

    def go(self, how):
        self.up = False
        for task, run in list(self.runs.items()):
            self.fleet.ended(self, task, run["run"], how)
            if run["gang"]:
                for other, name, one in self.fleet.members(run["gang"], run["run"]):
                    one["over"] = True
                    other.end(name, "broken")
        self.loop.cancel()
        self.beat.cancel()
        self.close()

    def end(self, task, how):
        run = self.runs.pop(task)
        if run["gang"] and not run["over"]:
            others = self.fleet.members(run["gang"], run["run"])
            for _, _, one in others:
                one["over"] = True
            for other, name, _ in others:
                other.end(name, "done" if how == "done" else "broken")
        self.ends += 1
        self.ended.append([self.ends, task, run["run"], how, self.saved(run)])
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.fleet.ended(self, task, run["run"], how)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def saved(self, run):
        since = run["together"] if run["gang"] else run["at"]
        if not run["saves"] or since is None:
            return ""
        steps = int((time.monotonic() - since) / SAVE_S)
        return "%08x%08x" % (int(run["base"] + steps * SAVE_S * 1000), run["tag"])

    async def live(self):
        while True:
            await asyncio.sleep(0.02)
            now, clock = time.monotonic(), self.clock()
            for task, run in list(self.runs.items()):
                if task not in self.runs:
                    continue
                if run["stop"] and now >= run["stop"]:
                    self.end(task, "stopped")
                elif clock > self.lease:
                    self.end(task, "lapsed")
                elif run["gang"] and not run["together"] and now >= run["at"] + GANG_S:
                    self.end(task, "alone")
                elif run["until"] and now >= run["until"]:
                    self.end(task, "done")

    def refusal(self, data):
        fence = data.get("fence", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "born": self.born, "reason": "fence"}
        self.fence = fence
        return None

    def renew(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    async def answer(self, method, target, headers, body):
        if headers.get("primrosewheel-expect-instance", self.id) != self.id:
            return 421, {}
        data = json.loads(body or b"{}")
        refused = self.refusal(data)
        if refused:
            return refused
        if target == "/run-start":
            return self.run_start(data)
        if target == "/run-stop":
            task, number = data["task"], data["run"]
            self.barred[task] = max(self.barred.get(task, 0), number)
            run = self.runs.get(task)
            if run and run["run"] <= number and not run["stop"]:
                run["stop"] = time.monotonic() + 0.2
        elif target == "/hold":
            return await self.hold(data)
        return 200, {"clockMs": self.clock(), "born": self.born}

    def run_start(self, data):
        task, number, clock = data["task"], data["run"], self.clock()
        answer = {"clockMs": clock, "born": self.born}
        here = self.runs.get(task)
        if here and here["run"] == number:
            return 200, answer
        if data["deadlineMs"] <= clock:
            return 409, {**answer, "reason": "late"}
        self.renew(data["deadlineMs"])
        if number <= self.barred.get(task, 0) or here:
            return 409, {**answer, "reason": "old"}
        job = self.fleet.jobs.get(task.split(".")[0])
        if job and job.get("advised") and not self.fleet.advice.allows(self, task, data.get("ticket", "")):
            return 409, {**answer, "reason": "ticket"}
        step = job["phases"][int(task.split(".")[2])] if job else {}
        cpu = sum(run["cpu"] for run in self.runs.values()) + step.get("cpu", 0)
        mem = sum(run["mem"] for run in self.runs.values()) + step.get("memMb", 0)
        if cpu > self.capacity["cpu"] or mem > self.capacity["memMb"]:
            return 409, {**answer, "reason": "room"}
        checkpoint = data.get("checkpoint", "")
        base = int(checkpoint[:8], 16) if checkpoint else 0
        lasts, gang = step.get("longRunning", False), step.get("gang", False)
        texts = dict(word.split("=") for word in data["spec"].split() if "=" in word)
        left = max(0, int(texts.get("ms", 500)) - base) / 1000
        self.runs[task] = {
            "run": number, "at": time.monotonic(), "base": base, "tag": hash(task.split(".")[0]) & 0xffffffff,
            "saves": step.get("savesProgress", False), "cpu": step.get("cpu", 0), "mem": step.get("memMb", 0),
            "until": None if lasts or gang else time.monotonic() + left, "stop": None, "lasts": lasts,
            "gang": task.rsplit(".", 1)[0] if gang else None, "left": left, "together": None,
            "over": False,
        }
        if gang:
            self.fleet.join_gang(self, task, self.runs[task], step["count"])
        self.fleet.started(self, task, number, checkpoint)
        return 200, answer

    async def hold(self, data):
        if "deadlineMs" in data:
            self.renew(data["deadlineMs"])
        seen = data.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.fleet.noted(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = min(data.get("waitMs", 0), 2000) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = []
        for task, run in self.runs.items():
            percent = 100 if run["lasts"] and now > run["at"] + 0.7 else 50
            rows.append([task, run["run"], self.saved(run), percent, run["cpu"]])
        return 200, {"clockMs": self.clock(), "born": self.born, "running": rows, "finished": self.ended[:500]}


class Cloud(Server):
    """The machine service; no wave is ever asked for, so nothing is due for upkeep."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet, self.fences = fleet, {}

    async def answer(self, method, target, headers, body):
        if method == "GET":
            rows = [{"machine": w.machine, "pool": w.pool, "zone": w.zone, "labels": ["a", w.rack],
                     "state": "up" if w.up else "moving" if w.moving else "down", "capacity": w.capacity,
                     **({"id": w.id} if w.up else {})} for w in self.fleet.workers]
            return 200, {"machines": rows, "nextToken": None}
        data = json.loads(body)
        worker = next((w for w in self.fleet.workers if w.machine == data["machine"]), None)
        if worker is None:
            return 400, {}
        fence = int(headers.get("primrosewheel-fencing-token", 0))
        if fence < self.fences.get(worker.machine, 0):
            return 409, {"reason": "fence"}
        self.fences[worker.machine] = fence
        if target != "/machine-move":
            return 409, {"reason": "wave"}
        if not worker.up:
            return 409, {"reason": "busy"}
        if worker.pool != data["pool"]:
            asyncio.ensure_future(worker.move(data["pool"]))
        return 200, {}


class Advice(Server):
    """The advice service: half of the workers may run a step, and each ticket is for one step and worker."""

    def __init__(self, fleet, decide_ms=20, each_ms=1, valid_ms=3000):
        super().__init__()
        self.fleet, self.figures = fleet, {"decideMs": decide_ms, "eachMs": each_ms, "validMs": valid_ms}
        self.calls, self.lock, self.issued = 0, asyncio.Lock(), {}

    async def answer(self, method, target, headers, body):
        data = json.loads(body)
        self.calls += 1
        async with self.lock:
            await asyncio.sleep((self.figures["decideMs"] + self.figures["eachMs"] * len(data["workers"])) / 1000)
        good = []
        for worker in self.fleet.workers:
            if worker.id in data["workers"] and worker.number % 2 == 0:
                ticket = f"{len(self.issued):04x}-{worker.number:04x}"
                until = time.monotonic() + self.figures["validMs"] / 1000
                self.issued[ticket] = (data["step"], worker.id, worker.born, until)
                good.append([worker.id, ticket])
        if not self.fleet.quiet:
            self.fleet.record.say(f"advice: {len(good)} of {len(data['workers'])} workers may run {data['step']}")
        return 200, {"good": good, "validMs": self.figures["validMs"]}

    def allows(self, worker, task, ticket):
        step, own, born, until = self.issued.get(ticket, ("", "", 0, 0))
        return (task.startswith(step + ".") and own == worker.id and born == worker.born
                and time.monotonic() < until)


class Fleet:
    def __init__(self, record):
        self.record, self.store, self.workers, self.jobs = record, Store(record), [], {}
        self.nodes, self.starts, self.ends, self.notes = [], [], [], []
        self.on_start, self.quiet, self.advice, self.folder = None, False, None, None

    def started(self, worker, task, run, checkpoint):
        self.starts.append((self.record.now(), task, run, worker, checkpoint))
        if not self.quiet:
            text = f" from checkpoint {checkpoint}" if checkpoint else ""
            self.record.say(f"worker {worker.id}: starts {task} run {run}{text}")
        if self.on_start:
            self.on_start(worker, task, run)

    def members(self, name, run):
        """The members of one run of a gang that are present."""
        return [(worker, task, one) for worker in self.workers if worker.up
                for task, one in worker.runs.items() if one["gang"] == name and one["run"] == run]

    def join_gang(self, worker, task, run, count):
        """A gang works from the moment when all tasks of one run are present."""
        present = self.members(run["gang"], run["run"])
        if len(present) == count:
            now = time.monotonic()
            for _, _, one in present:
                one["together"], one["until"] = now, now + one["left"]

    def ended(self, worker, task, run, how):
        self.ends.append((self.record.now(), task, run, worker, how))
        if not self.quiet:
            self.record.say(f"worker {worker.id}: ends {task} run {run}: {how}")

    def noted(self, worker, end):
        self.notes.append((self.record.now(), *end[1:]))

    async def build(self, pools, nodes, config, cpu=32000, mem=65536):
        """Starts the stand-ins, publishes `config`, and starts the nodes."""
        self.cloud = await Cloud(self).listen()
        zones = ["bilbao", "santander", "oviedo", "donostia"]
        for pool, count in pools:
            for _ in range(count):
                number = len(self.workers)
                worker = Worker(self, number, pool, zones[number % 4], f"r{number % 4}-{number // 16}", cpu, mem)
                self.workers.append(await worker.start())
        self.put_config(config)
        self.folder = tempfile.mkdtemp(prefix="review-")
        for number in range(nodes):
            node = Node(self, f"frontend-{zones[number % 4]}-{number}")
            await node.prepare(zones[number % 4])
            self.nodes.append(node)
        for node in self.nodes:
            node.start()

    def put_config(self, config):
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def ready(self, limit=30):
        """Waits until all nodes are ready and the shards have owners."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            states = [await self.call(node.ready, "GET", "/ready", timeout=1) for node in self.nodes]
            if all(state and state[0] == 200 for state in states) and self.owner_names():
                await asyncio.sleep(3)
                return True
            await asyncio.sleep(0.2)
        return False

    def owner_names(self):
        """The assignment of shards, as the nodes keep it in the store: the scripts read it to find an owner."""
        newest = self.store.part("keyed.assignment", 0).newest.get(b"owners")
        if not newest:
            return []
        value, names, at = newest[0], [], 1
        for _ in range(value[0]):
            size = value[at]
            names.append(value[at + 1:at + 1 + size].decode())
            at += 1 + size
        return names

    def owner_of(self, pool):
        """The node that owns the shard of a pool: FNV-1a of its name, folded, as the project does."""
        value = 0xcbf29ce484222325
        for byte in pool.encode():
            value = ((value ^ byte) * 0x100000001b3) % (1 << 64)
        shard = (value ^ (value >> 32)) % PARTS
        name = self.owner_names()[shard]
        return next(node for node in self.nodes if name.startswith(f"{HOST}:{node.peers}#"))

    async def call(self, port, method, path, body=None, key=None, host="jobs.example", timeout=3.0):
        """One call of a client on a connection of its own; None if no answer comes in time."""
        payload = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(payload)}",
                 "Content-Type: application/json", "Connection: close",
                 f"Primrosewheel-Request-Deadline: {int(timeout * 1000)}"]
        if key:
            lines.append(f"Primrosewheel-Credential: {key}")

        async def exchange():
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
            answer = await read_http(reader)
            writer.close()
            if answer is None:
                return None
            status = int(answer[0].split(" ")[1])
            try:
                return status, json.loads(answer[2] or b"{}")
            except ValueError:
                return status, {}
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (asyncio.TimeoutError, OSError):
            return None

    async def client(self, node, method, path, body=None, key=None, timeout=3.0):
        """A client's call, recorded."""
        sent = self.record.now()
        answer = await self.call(node.front, method, path, body, key, timeout=timeout)
        text = f"{answer[0]} {json.dumps(answer[1])}" if answer else "no answer"
        self.record.say(f"client: {method} {path} at {node.name}, sent at {sent:.3f}: {text}")
        return answer

    def end(self):
        for node in self.nodes:
            node.kill()
        if self.folder:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_port(count=1):
    """The first of `count` free ports in a row."""
    while True:
        held = []
        try:
            first = socket.socket()
            first.bind((HOST, 0))
            held.append(first)
            port = first.getsockname()[1]
            for offset in range(1, count):
                other = socket.socket()
                held.append(other)
                other.bind((HOST, port + offset))
            return port
        except OSError:
            pass
        finally:
            for item in held:
                item.close()


class Node:
    """A process of the deploy file's role `node`, with settings like those of a small deployment."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.process = fleet, name, None

    async def prepare(self, zone):
        self.store = await self.fleet.store.port_for(self.name)
        self.front, self.ready, self.control, self.peers = free_port(), free_port(), free_port(), free_port(4)
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())
        advice = f'advice = "{self.fleet.advice.address()}"' if self.fleet.advice else ""
        text = f'''node = "{self.name}"
role = "node"
machineClass = "frontend"
serves = ["frontend"]
ip = "{HOST}"
zone = "{zone}"
region = "cantabrico"
portRange = [{self.peers},{self.peers + 3}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
{advice}
[listen]
front = "{HOST}:{self.front}"
ready = "{HOST}:{self.ready}"
control = "{HOST}:{self.control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
{bounds}
[platform]
address = "{self.store.address()}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = {PARTS}
appendMs = {APPEND_MS}
partMbS = 20.0
readMbS = 80.0
recordBytes = {RECORD_BYTES}
callBytes = {CALL_BYTES}
keep_s = 300
partMb = 200
ttlMinMs = 1000
[cloud]
address = "{self.fleet.cloud.address()}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
'''
        self.settings = os.path.join(self.fleet.folder, f"{self.name}.toml")
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        words = run_words(root)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(words, cwd=root, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={**keep, "PRIMROSEWHEEL_BOOT": self.settings})

    def signal(self, number):
        self.fleet.record.say(f"operator: signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def run_words(root):
    """The command of the deploy file."""
    import tomllib
    with open(os.path.join(root, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["node"]["run"].split()


def route(name, prefix, service, **more):
    return {"name": name, "host": "jobs.example", "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 600, "priority": 0, "service": service, "attempts": 4, "stretch": 1.6,
            "public": False, **more}


def service(name, **more):
    return {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
            "coldStartS": 0.0, "coldPerS": 0.0, "admissionCheck": True, "spare": False, **more}


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants}


def tenant(name, key, **maximum):
    return {"name": name, "apiKeys": [key], "weight": 10,
            "maximum": {"cpu": 0, "memMb": 0, "gpu": 0, **maximum}}


def main(folder, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    fleet = Fleet(record)

    async def whole():
        try:
            return await asyncio.wait_for(play(fleet, os.environ.get("TROUBLE", "1") != "0"), 115)
        except asyncio.TimeoutError:
            record.say("the case took too long")
            return 2
        except (Exception, AssertionError) as error:  # noqa: the case could not run
            record.say(f"the case couldn't run: {error!r}")
            return 2
        finally:
            fleet.end()
    code = asyncio.run(whole())
    record.say({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "couldn't run"}[code])
    sys.exit(code)
