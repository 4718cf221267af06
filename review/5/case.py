"""The route of a queue with advice is replaced by one of another name while a job of it runs."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import KEY, Fleet, Worker, config, run_case

POOL = "tienda"
JOB = "fad05c8c4b079bd9"
PHASES = [
    {"count": 2, "cpu": 1600, "memMb": 2300, "estimateMs": 6000},
    {"count": 2, "cpu": 1600, "memMb": 2300, "estimateMs": 6000, "dependsOn": [0]},
]
SPEC = {"workMs": 6000, "advised": True}
ADVICE = {"advice": {"decideMs": 20, "eachMs": 2, "validMs": 3000}}
WAIT_S = 20


async def play(fleet: Fleet, record, trouble):
    await fleet.open([Worker(fleet, n, POOL, cpu=32000, mem=65536) for n in range(8)])
    pools = [(POOL, True)]
    fleet.store.put("keyed.op", "config", config(1, [("r-1", "/q/", POOL, ADVICE)], pools))
    for name in ("frontend-1", "frontend-2"):
        await fleet.start_node(name)
    await fleet.wait_ready()
    if await fleet.submit("frontend-1", "/q/", JOB, SPEC, PHASES, KEY) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(2)
    if trouble:
        routes = [("r-2", "/q/", POOL, {"timeoutMs": 5000, **ADVICE})]
        fleet.store.put("keyed.op", "config", config(4, routes, pools))
        record("operator: configuration 4: route r-2 in place of r-1, with another time-out")
    until = time.monotonic() + 10
    while sum(1 for event in fleet.events if event[1] == "done") < 2:
        if time.monotonic() > until:
            raise RuntimeError("the first step did not end")
        await asyncio.sleep(0.1)
    turn, idle = time.monotonic(), 0.0
    while time.monotonic() < turn + WAIT_S:
        await asyncio.sleep(0.5)
        if any(worker.running for worker in fleet.workers):
            idle = 0.0
        elif sum(1 for event in fleet.events if event[1] == "done") < 4:
            idle += 0.5
    refused = sum(worker.refusals.get("ticket", 0) for worker in fleet.workers)
    record(f"starts without a ticket, refused by the workers: {refused}")
    _, text = await fleet.client("frontend-2", "GET", "/q/" + JOB, key=KEY)
    if "completed" in text or idle < 3:
        return []
    return [f"LOST: for {idle:.1f} s nothing of the job runs, though its second step's turn has come"
            f" and all workers are empty; its state: {text}"]


run_case(play)
