"""Tasks that have ended run again if a worker has more unacknowledged ends than one list holds."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from cluster import CannotRun, run_case  # noqa: E402

JOBS = 8
TASKS = 100
RUN_MS = 6_000
SPREAD_MS = 15
DOWN_S = 4.5


async def case(cluster, trouble):
    cluster.publish_config({"plain": {}})
    for index in range(2):
        await cluster.add_worker(f"w-{index}", labels=("a", f"r1-{index}"))
    await cluster.start_vms(3)
    for number in range(JOBS):
        job = {
            "task-spec": f'{{"ms":{RUN_MS},"spread_ms":{SPREAD_MS}}}',
            "steps": [{"count": TASKS, "cpu": 20, "mem-mb": 30, "est-runtime-ms": RUN_MS}],
        }
        answer = await cluster.call(cluster.vms[number % 3], "POST", f"/plain/{0xB000 + number:016x}", job)
        if not answer or answer[0] != 200:
            raise CannotRun("a job was not accepted")
    await cluster.wait("all tasks run", 20, lambda: len(cluster.runs) == JOBS * TASKS)
    if any(run["ended"] for run in cluster.runs):
        raise CannotRun("a task ended before all had started")
    first_end = min(run["began"] + run["ms"] / 1000 for run in cluster.runs)
    await asyncio.sleep(first_end - asyncio.get_running_loop().time() - 0.5)
    if trouble:
        for endpoint in cluster.store.endpoints.values():
            endpoint.mode = "busy"
        cluster.note("store_down")
    await asyncio.sleep(DOWN_S)
    for endpoint in cluster.store.endpoints.values():
        endpoint.mode = None
    cluster.note("store_up", unacknowledged={worker.name: len(worker.ended) for worker in cluster.workers})
    await asyncio.sleep(RUN_MS / 1000 + 8)
    breaks = cluster.twice()
    cluster.note("runs", started=len(cluster.runs), tasks=JOBS * TASKS)
    return [f"TWICE: {len(breaks)} breaks"] + [
        f"{task}: {what}: {cluster.describe(earlier)}; {cluster.describe(later)}" for what, task, earlier, later in breaks[:5]
    ] if breaks else []


run_case(case, HERE / "ends.txt")
