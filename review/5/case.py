"""A worker crashes under a gang whose tasks save their progress."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import KEY, Fleet, Worker, config, run_case

POOL = "tienda"
JOB = "d51536644039d142"
MEMBERS = 4
PHASES = [{"count": MEMBERS, "cpu": 20000, "memMb": 8100, "estimateMs": 12000, "gang": True,
           "savesProgress": True}]
SPEC = {"workMs": 12000, "gang": MEMBERS, "saves": True}
DOWN_S = 4.5


async def play(fleet: Fleet, record, trouble):
    await fleet.open([Worker(fleet, n, POOL, cpu=32000, mem=65536) for n in range(8)])
    fleet.store.put("keyed.op", "config", config(1, [("r-1", "/q/", POOL, {})], [(POOL, True)]))
    for name in ("frontend-1", "frontend-2"):
        await fleet.start_node(name)
    await fleet.wait_ready()
    if await fleet.submit("frontend-1", "/q/", JOB, SPEC, PHASES, KEY) != 200:
        raise RuntimeError("the job was not accepted")
    until = time.monotonic() + 10
    while len([e for e in fleet.events if e[1] == "started"]) < MEMBERS:
        if time.monotonic() > until:
            raise RuntimeError("the gang did not start")
        await asyncio.sleep(0.05)
    # Past a multiple of saveS, and between two answers that the owner waits for up to 2 s.
    await asyncio.sleep(7.2)
    if trouble:
        victim = next(worker for worker in fleet.workers if worker.running)
        record(f"worker {victim.id} crashes, and is up again in {DOWN_S} s")
        victim.crash()
        await asyncio.sleep(DOWN_S)
        victim.restart()
    until = time.monotonic() + 40
    while time.monotonic() < until:
        _, text = await fleet.client("frontend-2", "GET", "/q/" + JOB, key=KEY)
        if "completed" in text:
            break
        await asyncio.sleep(1)
    carried = {}
    for _, what, _, _, _, run, more in fleet.events:
        if what == "started":
            carried.setdefault(run, []).append(more["checkpoint"])
    return [
        f"UNASKED: the members of run {run} were told to start with different checkpoints: {values}"
        for run, values in carried.items()
        if len(set(values)) > 1
    ]


run_case(play)
