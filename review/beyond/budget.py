"""A task that crashes its workers is started once too often if all VMs are killed at the time of a crash."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from cluster import CannotRun, Worker, run_case  # noqa: E402

JOB = "00000000000000b6"
CRASH_S = 3.0
BACK_S = 2.0
KILLED_S = 3.0
# BUDGET: "is started three times more, by machines in touch, after three workers have crashed under it".
CRASHES, STARTS = 3, 3


class FragileWorker(Worker):
    """A worker whose tasks crash it. It starts again under its id."""

    def run_start(self, call, refuse):
        before = len(self.cluster.runs)
        reply = super().run_start(call, refuse)
        if len(self.cluster.runs) > before:
            asyncio.get_running_loop().call_later(CRASH_S, self.fall)
        return reply

    def fall(self):
        self.crash()
        asyncio.get_running_loop().call_later(BACK_S, self.start_again)


async def case(cluster, trouble):
    cluster.publish_config({"plain": {}})
    for index in range(7):
        cluster.workers.append(await FragileWorker(cluster, f"w-{index}", 4000, 32768, ["a", f"r1-{index % 3}"]).start())
    await cluster.start_vms(3)
    await asyncio.sleep(3)
    job = {"task-spec": '{"ms":60000}', "steps": [{"count": 1, "cpu": 1000, "mem-mb": 64, "est-runtime-ms": 5000}]}
    answer = await cluster.call(cluster.vms[0], "POST", f"/plain/{JOB}", job)
    if not answer or answer[0] != 200:
        raise CannotRun("the job was not accepted")
    await cluster.wait("the task starts", 5, lambda: cluster.started(JOB))
    if trouble:
        # All processes are killed as the first worker crashes.
        await asyncio.sleep(CRASH_S - 0.1)
        for vm in cluster.vms:
            vm.signal(signal.SIGKILL)
        await asyncio.sleep(KILLED_S)
        for vm in cluster.vms:
            vm.start()
    until = time.monotonic() + 80
    while time.monotonic() < until and await cluster.state(cluster.vms[0], f"/plain/{JOB}") != "failed":
        await asyncio.sleep(1)
    runs = cluster.started(JOB)
    crashes = sorted(run["ended"] for run in runs if run["how"] == "crashed")
    later = [run for run in runs if len(crashes) >= CRASHES and run["began"] > crashes[CRASHES - 1]]
    cluster.note("starts", all=len(runs), after_three_crashes=len(later))
    return [f"BUDGET: started {len(later)} times after three crashes"] if len(later) >= STARTS else []


run_case(case, HERE / "budget.txt")
