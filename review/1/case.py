"""One tenant sends many times its usual to one queue, and then a job to another."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import KEY, Fleet, Worker, config, run_case

FIRST, SECOND = "tienda", "corte"
MAXIMUM = {"cpu": 100000, "memMb": 0, "gpu": 0}
# Tasks that the tenant sends to the first queue at a time, and how many times as many when it is hot.
USUAL, TIMES = 5, 7.5
WAIT_S = 20


def job(tasks, work_ms):
    """The text and the step of a job; a task takes 2.4 cores."""
    phase = {"count": tasks, "cpu": 2400, "memMb": 2300, "estimateMs": work_ms}
    return {"workMs": work_ms}, [phase]


async def play(fleet: Fleet, record, trouble):
    pools = (FIRST, SECOND)
    await fleet.open([Worker(fleet, n, pools[n % 2], cpu=32000, mem=65536) for n in range(8)])
    text = config(1, [("r-1", "/a/", FIRST, {}), ("r-2", "/b/", SECOND, {})],
                  [(pool, True) for pool in pools])
    text["tenants"][0]["maximum"] = MAXIMUM
    fleet.store.put("keyed.op", "config", text)
    for name in ("frontend-1", "frontend-2"):
        await fleet.start_node(name)
    await fleet.wait_ready()
    tasks = int(USUAL * TIMES) if trouble else USUAL
    record(f"the tenant sends {tasks} tasks at once to /a/, {tasks * 2.4:.0f} cores of its 100")
    if await fleet.submit("frontend-1", "/a/", "1" * 16, *job(tasks, 3000), KEY) != 200:
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(6)
    await fleet.client("frontend-1", "GET", "/a/" + "1" * 16, key=KEY)
    if await fleet.submit("frontend-1", "/b/", "2" * 16, *job(4, 3000), KEY) != 200:
        raise RuntimeError("the second job was not accepted")
    began, idle, longest = time.monotonic(), 0.0, 0.0
    while time.monotonic() < began + WAIT_S:
        await asyncio.sleep(0.1)
        done = sum(1 for e in fleet.events if e[1] == "done" and e[4].startswith("2" * 16))
        busy = any(worker.running for worker in fleet.workers)
        idle = 0.0 if busy or done == 4 else idle + 0.1
        longest = max(longest, idle)
    _, state = await fleet.client("frontend-2", "GET", "/b/" + "2" * 16, key=KEY)
    if longest < 3:
        return []
    return [f"LOST: for {longest:.1f} s nothing of the second job runs; its state: {state}"]


run_case(play)
