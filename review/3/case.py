"""A client cancels a job at once while the store turns the owner of the job's shard away."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import Fleet, Worker, config, run_case

POOL = "tienda"
JOB = "c7376fa257b4e878"
# A job as stock-sync of the site: tasks that last, on a public queue.
PHASES = [{"count": 3, "cpu": 2600, "memMb": 8100, "estimateMs": 90000, "longRunning": True}]
SPEC = {"lasts": True}
TURNED_AWAY_S = 4.5
CANCEL_S, STOP_S, STABLE_S = 3.0, 0.4, 3.0


async def play(fleet: Fleet, record, trouble):
    await fleet.open([Worker(fleet, n, POOL, cpu=32000, mem=65536) for n in range(2)])
    routes = [("r-1", "/sync/", POOL, {"public": True})]
    fleet.store.put("keyed.op", "config", config(1, routes, [(POOL, True)]))
    for name in ("frontend-1", "frontend-2", "frontend-3"):
        await fleet.start_node(name)
    await fleet.wait_ready()
    owner = fleet.owner_of(POOL)
    other = next(name for name in fleet.nodes if name != owner)
    if trouble:
        fleet.store.turn_away(owner, True)
        record(f"store: turns {owner} away (503) for {TURNED_AWAY_S} s and serves the others")
    began = time.monotonic()
    await asyncio.sleep(0.3)
    if await fleet.submit(other, "/sync/", JOB, SPEC, PHASES) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(0.5)
    status = None
    while status not in (200, 410):
        status, _ = await fleet.client(other, "DELETE", "/sync/" + JOB)
        acknowledged = time.monotonic()
        await asyncio.sleep(0.3)
    await asyncio.sleep(max(0, began + TURNED_AWAY_S - time.monotonic()))
    if trouble:
        fleet.store.turn_away(owner, False)
        record(f"store: serves {owner} again")
    calm = time.monotonic()
    await asyncio.sleep(STABLE_S + CANCEL_S + STOP_S + 5)
    await fleet.client(other, "GET", "/sync/" + JOB)
    left = [
        f"UNASKED: {task} runs on {worker.id}, {time.monotonic() - acknowledged:.1f} s after its"
        f" job's DELETE was answered {status}, {time.monotonic() - calm:.1f} s after all trouble"
        for worker in fleet.workers
        for task in worker.running
    ]
    return left


run_case(play)
