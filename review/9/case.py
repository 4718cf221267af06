"""One large job makes the record of its state larger than the store takes; the whole service stops for good."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import platform2 as p  # noqa

SMALL = {"spec": "ms=800", "phases": [{"count": 6, "cpu": 1600, "memMb": 2300, "estimateMs": 800}]}


async def play(fleet, trouble):
    fleet.quiet = True
    await fleet.build([("tienda", 8), ("oficina", 4)], 3, p.config(
        1, [p.route("quote", "/quote/", "tienda")],
        [p.service("tienda"), p.service("oficina", spare=True)],
        [p.tenant("large", "key-1", cpu=190000), p.tenant("small", "key-2")]))
    if not await fleet.ready():
        return 2
    record, node = fleet.record, fleet.nodes[0]
    # Eight times, as the scheduled jobs of the site; the tasks take 160 of 256 cores together.
    count = 1000 if trouble else 100
    large = {"spec": "ms=12000", "phases": [{"count": count, "cpu": 20, "memMb": 5, "estimateMs": 12000}],
             "startAtMs": int(time.time() * 1000) + 500, "repeats": 8, "periodMs": 1000}
    fleet.jobs["00000000000000aa"] = large
    record.say(f"the large job: {count} tasks of 0.02 cores and 12 s, 8 times, one second apart")
    answer = await fleet.client(node, "POST", "/quote/00000000000000aa", large, "key-1")
    if not answer or answer[0] != 200:
        return 2
    small = []
    for number in range(8):
        await asyncio.sleep(3)
        job = f"000000000000b{number:03x}"
        fleet.jobs[job] = SMALL
        answer = await fleet.client(fleet.nodes[number % 3], "POST", f"/quote/{job}", SMALL, "key-2")
        if answer and answer[0] == 200:
            small.append(job)
        used = sum(run["cpu"] for worker in fleet.workers for run in worker.runs.values())
        record.say(f"{len(fleet.starts)} starts, {len(fleet.ends)} ends, {len(fleet.notes)} of them taken note of;"
                   f" {used / 1000:.0f} of 256 cores in use")
    await asyncio.sleep(20)
    used = sum(run["cpu"] for worker in fleet.workers for run in worker.runs.values())
    record.say(f"20 s after the last job: {len(fleet.starts)} starts, {len(fleet.ends)} ends, {len(fleet.notes)} of "
               f"them taken note of; {used / 1000:.0f} of 256 cores in use; the store refused "
               f"{fleet.store.refused} appends")
    broken = False
    for job in small + ["00000000000000aa"]:
        key = "key-1" if job.endswith("aa") else "key-2"
        answer = await fleet.client(node, "GET", f"/quote/{job}", None, key)
        broken |= not answer or answer[1].get("state") != "completed"
    return 1 if broken else 0


p.main(FOLDER, play)
