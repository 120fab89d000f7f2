"""A worker that runs a task of a service with a response target is lost for good. On each other worker with room for this
task, a batch task runs that only fills. Does the service get its task back?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "lib-2"))
from standins import CannotRun, Deployment, play  # noqa: E402

SERVICE, FILLING = "5c0e7a21d94b36f8", "00000bb87a21d94b"
WORKERS, SERVING = 8, 2
CORES = 16_000
NEED = 9_000  # two tasks of the service do not fit on one worker
CALM_S = 4.0 + 3.0  # LOST: "if the 3 s and the 4 s before them are calm"
FROM_S = 6.0  # LOST: "from 6 s after its last run"
NOTHING_S = 3.0


def kind_of(task, spec):
    return {"lasting": True, "startup_s": 0.5} if task.startswith(SERVICE) else {"run_s": 36.0}


async def case(deployment: Deployment, trouble):
    fleet, record = deployment.fleet, deployment.record
    await deployment.open(vms=3)
    for number in range(1, WORKERS + 1):
        await fleet.add(f"m-000{number}", deployment.BACKEND, ["a", "r1-1"], cpu=CORES)
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    serving = {
        "count": SERVING, "cpu": NEED, "mem-mb": 4096, "est-runtime-ms": 1000, "long-running": True,
        "image": "front", "target-ms": 200, "max-unavailable": 1,
    }
    await deployment.submit(SERVICE, {"task-spec": "service", "steps": [serving]})
    tasks = [f"{SERVICE}.0.0.{index}" for index in range(SERVING)]
    at_work = lambda task: any(run.percent(time.monotonic()) >= 100 for run in fleet.running(task))
    await deployment.until(lambda: all(map(at_work, tasks)), 20.0, "the service is at work")
    count = WORKERS - SERVING
    filling = {
        "count": count, "cpu": 4000, "mem-mb": 2048, "est-runtime-ms": 36000, "image": "batch", "fills": True,
        "anti-affinity": 1,
    }
    await deployment.submit(FILLING, {"task-spec": "batch", "steps": [filling]})
    fills = lambda: [run for run in fleet.running() if run.task.startswith(FILLING)]
    await deployment.until(lambda: len(fills()) == count, 10.0, "the batch job runs on the other workers")
    await asyncio.sleep(2.0)
    lost = fleet.running(tasks[0])[0]
    if trouble:
        record.write(f"{lost.worker.name} is lost for good, with {lost.task}")
        asyncio.create_task(lost.worker.machine.crash(back_s=1_000))
    last_run = time.monotonic()
    # The disruption is over at once. The check begins when both times of the rule have passed.
    await asyncio.sleep(max(FROM_S, CALM_S))
    nothing_since = time.monotonic()
    while time.monotonic() - nothing_since < NOTHING_S:
        if fleet.running(tasks[0]):
            record.write(f"{tasks[0]} runs")
            return None
        if await deployment.state(SERVICE) is None:
            raise CannotRun("no VM answers")
        await asyncio.sleep(0.2)
    used = {}
    for run in fleet.running():
        if run.task.startswith(SERVICE):
            used[run.worker.name] = used.get(run.worker.name, 0) + NEED
    free = {
        machine.worker.name: CORES - used.get(machine.worker.name, 0)
        for machine in fleet.machines.values()
        if machine.worker
    }
    record.write(f"free, in thousandths of a core: {free}")
    if sum(cores // NEED for cores in free.values()) < 2:
        raise CannotRun("there is no capacity for the task twice over")
    waited = time.monotonic() - last_run
    return f"LOST: {tasks[0]} has had nothing running for {waited:.1f} s, with room for it on {sum(c >= NEED for c in free.values())} workers"


play(os.path.dirname(os.path.abspath(__file__)), case, kind_of=kind_of, stop_s=0.9)
