"""One job that can never be done ends its owner's process again and again; the jobs beside it are lost."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import platform2 as p  # noqa

# DEPLOY.md: "A process that exceeds `memoryMb` is killed"; "A process that exits or is killed is restarted after a
# short delay".
MEMORY_MB, RESTART_S = 260, 0.5
JOB = {"spec": "ms=800", "phases": [{"count": 6, "cpu": 1600, "memMb": 2300, "estimateMs": 800}]}
POISON = {"spec": "ms=800", "phases": [{"count": 1, "cpu": 1600, "memMb": 2300, "estimateMs": 800}],
          "repeats": 10_000_000, "periodMs": 1000}


def resident_mb(process):
    """The memory of a process that this script started."""
    try:
        with open(f"/proc/{process.pid}/status") as file:
            return next(int(line.split()[1]) // 1024 for line in file if line.startswith("VmRSS"))
    except (OSError, StopIteration):
        return 0


async def play(fleet, trouble):
    await fleet.build([("tienda", 8), ("corte", 8), ("oficina", 4)], 3, p.config(
        1, [p.route("quote", "/quote/", "tienda"), p.route("cut-plan", "/plan/", "corte")],
        [p.service("tienda"), p.service("corte"), p.service("oficina", spare=True)],
        [p.tenant("large", "key-1"), p.tenant("small", "key-2")]))
    if not await fleet.ready():
        return 2
    fleet.quiet = True
    record, ends = fleet.record, {node.name: 0 for node in fleet.nodes}

    async def watch(node):
        """The platform: kills a process over its memory, and starts each one that has ended."""
        while True:
            await asyncio.sleep(0.02)
            memory = resident_mb(node.process)
            if memory > MEMORY_MB:
                node.process.kill()
                node.process.wait()
                record.say(f"platform: {node.name} has {memory} MB and is killed")
            if node.process.poll() is not None:
                ends[node.name] += 1
                record.say(f"platform: the process of {node.name} has ended, {ends[node.name]} times by now")
                await asyncio.sleep(RESTART_S)
                node.start()

    watches = [asyncio.ensure_future(watch(node)) for node in fleet.nodes]
    accepted, refused = [], 0

    async def submit(number, prefix):
        nonlocal refused
        job = f"000000000000{number:04x}"
        fleet.jobs[job] = JOB
        for attempt in range(5):
            answer = await fleet.client(fleet.nodes[(number + attempt) % 3], "POST", prefix + job, JOB, "key-2")
            if answer and answer[0] == 200:
                accepted.append((prefix, job))
                return
            await asyncio.sleep(0.3)
        refused += 1

    for number in range(12):
        await submit(number, "/quote/" if number % 2 else "/plan/")
        await asyncio.sleep(0.3)
    if trouble:
        record.say("disruption: one job comes that can never be done: each second, ten million times")
        fleet.jobs["00000000000000aa"] = POISON
        answer = await fleet.client(fleet.nodes[0], "POST", "/quote/00000000000000aa", POISON, "key-1")
        if not answer or answer[0] != 200:
            record.say("the job was not accepted")
            return 0 if answer and answer[0] in (400, 429) else 2
    for number in range(12, 40):
        await asyncio.sleep(0.4)
        await submit(number, "/quote/" if number % 2 else "/plan/")
    await asyncio.sleep(14)  # finish_s
    for one in watches:
        one.cancel()
    undone = 0

    async def state_of(prefix, job):
        for node in fleet.nodes:
            answer = await fleet.call(node.front, "GET", prefix + job, None, "key-2")
            if answer and answer[0] == 200:
                return answer[1].get("state")
        return "not told by any node"

    states = await asyncio.gather(*[state_of(prefix, job) for prefix, job in accepted])
    for (prefix, job), state in zip(accepted, states):
        if state != "completed":
            undone += 1
            record.say(f"job {prefix}{job} was accepted with 200; 14 s after the last one it is {state}")
    record.say(f"ends of processes: {ends}; {len(accepted)} jobs of the other tenant accepted, {undone} of them not "
               f"completed; {refused} not accepted in five attempts")
    return 1 if undone else 0


p.main(FOLDER, play)
