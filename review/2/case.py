"""A worker has more than 500 ends to list when its tasks get a new owner."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from standin import KEY, Fleet, Worker, config, run_case

POOL = "tienda"
JOB = "5c0e7a21d94b36f8"
TASKS = 1600
DOWN_S = 3.5


def started_after_done(events):
    """Starts of tasks of which a run had ended done, where that end is taken note of then or later
    and no lease lapsed."""
    done, noted, starts = {}, set(), []
    for at, what, worker, _, task, run, more in events:
        if what == "done":
            done[task] = (at, run, worker)
        elif what == "noted" and more["how"] == "done":
            noted.add((task, run))
        elif what == "started" and task in done:
            starts.append((at, task, run, worker))
    return [
        f"TWICE: {task} run {run} started on {worker}, {at - done[task][0]:.2f} s after run"
        f" {done[task][1]} had ended done on {done[task][2]}; that end was taken note of"
        for at, task, run, worker in starts
        if (task, done[task][1]) in noted and done[task][1] < run
    ]


async def play(fleet: Fleet, record, trouble):
    await fleet.open([Worker(fleet, 0, POOL, cpu=32000, mem=65536)])
    fleet.store.put("keyed.op", "config", config(1, [("r-1", "/q/", POOL, {})], [(POOL, True)]))
    for name in ("frontend-1", "frontend-2"):
        await fleet.start_node(name)
    await fleet.wait_ready()
    phases = [{"count": TASKS, "cpu": 20, "memMb": 40, "estimateMs": 10000}]
    spec = {"workMs": 9000, "spreadMs": 200}
    if await fleet.submit("frontend-1", "/q/", JOB, spec, phases, KEY, verbose=False) != 200:
        raise RuntimeError("the job was not accepted")

    def count(what):
        return sum(1 for event in fleet.events if event[1] == what)

    until = time.monotonic() + 20
    while count("done") < 10 and time.monotonic() < until:
        await asyncio.sleep(0.05)
    running = [len(worker.running) for worker in fleet.workers]
    record(f"{count('started')} tasks started, {count('done')} done, running on the workers: {running}")
    if count("started") < TASKS:
        raise RuntimeError("the tasks did not all start")
    if trouble:
        await fleet.kill_node(fleet.owner_of(POOL), DOWN_S)
    until = time.monotonic() + 40
    while time.monotonic() < until:
        status, text = await fleet.client("frontend-1" if fleet.owner_of(POOL) != "frontend-1" else "frontend-2", "GET", "/q/" + JOB, key=KEY)
        if "completed" in text:
            break
        await asyncio.sleep(1)
    counts = {what: count(what) for what in ("started", "done", "stopped", "lapsed", "noted")}
    record(f"events at the workers: {counts}")
    broken = started_after_done(fleet.events)
    record(f"starts after an end that counts: {len(broken)}")
    return broken[:20]


run_case(play)
