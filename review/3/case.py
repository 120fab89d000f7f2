"""A VM that lost an election keeps the workers' entries that it had read for it, and leads with them when it wins a later
one. The tasks of workers that have restarted since are then started again although they run."""

import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from cluster import CannotRun, run_case  # noqa: E402

SHORT, JOB = "00000000000000f6", "00000000000000e6"
TASKS = 4
SHORT_MS = 2_000
VMS = 7
WORKERS = 8
RUN_MS = 30_000
SLOWNESS = 20
SLOW_S = 4.0
KILLED_S = 3.0
CRASHED_S = 3.0
MAX_ELECTIONS = 5


async def elect(cluster):
    """Kills the leader while the store is slow. Returns the VMs that read the workers' entries, but did not campaign."""
    cluster.store.slowness = SLOWNESS
    cluster.note("store_slow", x=SLOWNESS)
    await asyncio.sleep(0.5)
    began, killed = time.monotonic(), cluster.leader()
    killed.signal(signal.SIGKILL)
    await asyncio.sleep(KILLED_S)
    killed.start()
    await asyncio.sleep(SLOW_S - 0.5 - KILLED_S)
    cluster.store.slowness = 1
    cluster.note("store_fast")
    await asyncio.sleep(2)
    leader = cluster.leader()
    last = {}
    for at, vm in cluster.store.listings:
        if at > began:
            last[vm] = at
    campaigned = {vm for at, vm in cluster.store.conditional if at > last.get(vm, at)}
    losers = {vm for vm in last if vm not in campaigned} - {leader.name}
    cluster.note("election", leader=leader.name, read_but_did_not_campaign=sorted(losers))
    return losers


async def case(cluster, trouble):
    cluster.publish_config({"plain": {}})
    for index in range(WORKERS):
        await cluster.add_worker(f"w-{index}", cpu=4000, labels=("b" if index < 2 else "a", f"r1-{min(index, 2)}"))
    await cluster.start_vms(VMS)
    await asyncio.sleep(2)
    kills = [cluster.leader()]
    if trouble:
        for _ in range(MAX_ELECTIONS):
            losers = await elect(cluster)
            # VMs with the same share of a core take the lead in the order of their names.
            followers = sorted((vm for vm in cluster.vms if vm is not cluster.leader()), key=lambda vm: vm.name)
            kills = [cluster.leader()] if followers[0].name in losers else [cluster.leader(), followers[0]]
            if followers[len(kills) - 1].name in losers:
                break
        else:
            raise CannotRun("no follower lost an election in the way that matters")
        worker = cluster.workers[0]
        worker.crash()
        await asyncio.sleep(CRASHED_S)
        worker.start_again()
    await asyncio.sleep(5)

    # A short job on worker w-1 has the tasks of the next job start on w-0, which has come back, and nothing disturbs them.
    short = {"task-spec": f'{{"ms":{SHORT_MS}}}', "steps": [{"count": 1, "cpu": 4000, "mem-mb": 64, "est-runtime-ms": SHORT_MS, "constraints": "r1-1"}]}
    job = {
        "task-spec": f'{{"ms":{RUN_MS}}}',
        "steps": [{"count": TASKS, "cpu": 1000, "mem-mb": 64, "est-runtime-ms": RUN_MS, "constraints": "b"}],
    }
    for name, body, count in ((SHORT, short, 1), (JOB, job, TASKS)):
        answer = await cluster.call(cluster.vms[-1], "POST", f"/plain/{name}", body)
        if not answer or answer[0] != 200:
            raise CannotRun("a job was not accepted")
        await cluster.wait("its tasks run", 5, lambda: len(cluster.started(name)) == count)
    if any(run["worker"] != "w-0" for run in cluster.started(JOB)):
        raise CannotRun("a task is on another worker")
    await asyncio.sleep(SHORT_MS / 1000)
    await asyncio.sleep(3)
    if trouble:
        for vm in kills:
            vm.signal(signal.SIGKILL)
        await asyncio.sleep(KILLED_S)
        for vm in kills:
            vm.start()
        cluster.note("leads", vm=cluster.leader().name)
    await asyncio.sleep(4)
    return [
        f"TWICE: {task}: {what}: {cluster.describe(earlier)}; {cluster.describe(later)}"
        for what, task, earlier, later in cluster.twice()
    ]


run_case(case, HERE / "record.txt")
