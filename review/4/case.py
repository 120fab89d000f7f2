"""A long-running task whose run ended `done` on a worker that was cut off runs twice once the cut has healed."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from cluster import CannotRun, run_case  # noqa: E402

JOB = "00000000000000c1"
WORKERS = 12
TASKS = 8
CUT_SHARE = 0.17
CUT_S = 5.5


async def case(cluster, trouble):
    cluster.publish_config({"plain": {}})
    for index in range(WORKERS):
        await cluster.add_worker(f"w-{index}", labels=("a", f"r1-{index % 3}"))
    await cluster.start_vms(3)
    # Long-running tasks, at most one on a worker.
    job = {
        "task-spec": '{"lasts":true}',
        "steps": [{"count": TASKS, "cpu": 2000, "mem-mb": 512, "est-runtime-ms": 500, "long-running": True, "anti-affinity": 1}],
    }
    answer = await cluster.call(cluster.vms[0], "POST", f"/plain/{JOB}", job)
    if not answer or answer[0] != 200:
        raise CannotRun("the job was not accepted")
    await cluster.wait("all tasks run", 10, lambda: len(cluster.started(JOB)) == TASKS)
    await asyncio.sleep(4)

    cut = [worker for worker in cluster.workers if worker.running][: int(WORKERS * CUT_SHARE)]
    if trouble:
        for worker in cut:
            worker.endpoint.mode = "silent"
            cluster.note("cut", worker=worker.name)
    healed_at = time.monotonic() + CUT_S
    await asyncio.sleep(1)
    # The programs of these tasks exit normally; a long-running task is started again however it ends.
    for worker in cut:
        for run in list(worker.running.values()):
            worker.end(run, "done")
    await asyncio.sleep(max(0, healed_at - time.monotonic()))
    for worker in cut:
        worker.endpoint.mode = None
        cluster.note("healed", worker=worker.name)
    await asyncio.sleep(6)
    for run in cluster.started(JOB):
        if run["attempt"] > 1:
            cluster.note("run", what=f"{run['task']}: {cluster.describe(run)}")
    return [
        f"TWICE: {task}: {what}: {cluster.describe(earlier)}; {cluster.describe(later)}"
        for what, task, earlier, later in cluster.twice()
    ]


run_case(case, HERE / "record.txt")
