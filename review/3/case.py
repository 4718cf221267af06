"""A route is given to another service while a job that came over it runs, and the job arrives again."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import KEY, Fleet, Worker, config, overlaps, run_case

OLD, NEW = "tienda", "corte"
JOB = "27eb4763679d608a"
PHASES = [{"count": 4, "cpu": 1600, "memMb": 2300, "estimateMs": 25000}]
SPEC = {"workMs": 25000}
CONFIG_S = 2.0


async def play(fleet: Fleet, record, trouble):
    await fleet.open([Worker(fleet, n, OLD if n < 2 else NEW, cpu=32000, mem=65536) for n in range(4)])
    pools = [(OLD, True), (NEW, True)]
    fleet.store.put("keyed.op", "config", config(1, [("r-1", "/q/", OLD, {})], pools))
    for name in ("frontend-1", "frontend-2"):
        await fleet.start_node(name)
    await fleet.wait_ready()
    if await fleet.submit("frontend-1", "/q/", JOB, SPEC, PHASES, KEY) != 200:
        raise RuntimeError("the job was not accepted")
    accepted = time.monotonic()
    await asyncio.sleep(1)
    if trouble:
        fleet.store.put("keyed.op", "config", config(4, [("r-2", "/q/", NEW, {})], pools))
        record(f"operator: configuration 4: /q/ belongs to {NEW}, no longer to {OLD}")
    await asyncio.sleep(CONFIG_S + 0.5)
    for node in fleet.nodes:
        await fleet.client(node, "GET", "/q/" + JOB, key=KEY)
    record(f"the client sends the job again, {time.monotonic() - accepted:.1f} s after its 2xx")
    await fleet.submit("frontend-2", "/q/", JOB, SPEC, PHASES, KEY)
    await asyncio.sleep(5)
    return [
        f"TWICE: {task} runs on {other} (run {run_there}) and on {here} (run {run_here}) at once"
        for _, task, other, run_there, here, run_here in overlaps(fleet.events)
    ]


run_case(play)
